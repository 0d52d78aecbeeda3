//! Work of one host at one upstream.

use std::time::Duration;

use crate::decide::PrefillSent;
use crate::units::Tokens;

/// Work of one host at one upstream, as it is told to the others.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HostLoad {
    /// Requests that were sent there and have not ended.
    pub in_flight: u32,
    /// Those of them whose prompt is short.
    pub short_in_flight: u32,
    /// Prompts of other engines that it helps to read or keeps a part of.
    pub helping: u32,
    /// The shortest pause that the caller of one of them accepts between two events.
    pub strictest_pause: Option<Duration>,
    /// Memory that these requests take, in tokens.
    pub held_tokens: Tokens,
    /// What was sent there to be read in.
    pub read: PrefillSent,
    /// Time until the first of the prompts being read there has to have its first event to be on time.
    pub prefill_due: Option<Duration>,
}
