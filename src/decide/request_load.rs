//! The load that one request adds to one upstream.

use std::time::Duration;
use std::time::Instant;

use crate::units::Tokens;

/// When a helper, an engine that reads a part of a prompt that another engine answers, is free to
/// help with one prompt more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HelperRelease {
    /// When the whole prompt has been read.
    PromptRead,
    /// When the answer ends, because the engine holds a part of the prompt.
    AnswerEnded,
}

/// The load that one request adds to one upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestLoad {
    /// Whether the request occupies a slot. Only the engine that answers the request gives a slot.
    pub takes_slot: bool,
    /// Whether the prompt is short.
    pub is_short: bool,
    /// The longest pause between two events that the caller accepts; none if the caller states
    /// none.
    pub pause: Option<Duration>,
    /// Time that the upstream needs to read the prompt, or the part that it was given.
    pub prefill_time: Duration,
    /// Memory that the request occupies, in tokens.
    pub held_tokens: Tokens,
    /// When the engine is released as a helper; none if it answers the request itself.
    pub helper_release: Option<HelperRelease>,
    /// When the first event is due; none for short prompts, for which no other prompt is held back.
    pub prefill_due: Option<Instant>,
}
