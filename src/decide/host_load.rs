//! The load of one host at one upstream.

use std::time::Duration;

use crate::decide::PrefillSent;
use crate::units::Tokens;

/// The load at one upstream of the requests that one host has sent, as reported to the other hosts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HostLoad {
    /// Requests that were sent to the upstream and have not ended.
    pub in_flight: u32,
    /// Requests in flight whose prompt is short.
    pub short_in_flight: u32,
    /// Prompts answered by other engines that the upstream helps to read or holds a part of.
    pub helping: u32,
    /// The shortest pause between two events that the callers of these requests accept; none if no
    /// caller states one.
    pub strictest_pause: Option<Duration>,
    /// Memory that these requests occupy, in tokens.
    pub held_tokens: Tokens,
    /// Prefill time of the prompts that were sent to the upstream.
    pub prefill: PrefillSent,
    /// Time until the first event of one of the prompts being read is due, the earliest of them;
    /// none if no first event is due any more.
    pub prefill_due: Option<Duration>,
}
