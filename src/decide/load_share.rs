//! What one request adds to one upstream.

use std::time::Duration;
use std::time::Instant;

use crate::units::Tokens;

/// How long an engine that reads a part of another engine's prompt counts as helping it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HelpsUntil {
    /// Until the whole prompt is read.
    Read,
    /// Until the answer has ended: it keeps a part of the prompt.
    Ended,
}

/// What one request adds to one upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadShare {
    /// Whether it takes a place there; an engine that only reads a part gives no place.
    pub takes_place: bool,
    /// Whether its prompt is short.
    pub is_short: bool,
    /// The longest pause that its caller accepts between two events.
    pub pause: Option<Duration>,
    /// Time that reading its prompt takes there.
    pub read_time: Duration,
    /// Memory that it takes there.
    pub held_tokens: Tokens,
    /// How long it helps another engine there; none if it is sent there itself.
    pub helps: Option<HelpsUntil>,
    /// When its first event has to be there to be on time; none if nothing there is put behind others
    /// for its sake.
    pub prefill_due: Option<Instant>,
}
