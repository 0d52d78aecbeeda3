//! The work of one host at one upstream.

use std::time::Duration;

use crate::decide::PrefillSent;
use crate::units::Tokens;

/// The work of one host at one upstream, as reported to the other hosts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HostLoad {
    /// Requests that were sent to the upstream and have not ended.
    pub in_flight: u32,
    /// Requests in flight whose prompt is short.
    pub short_in_flight: u32,
    /// Prompts of other engines that the upstream helps to read or holds a part of.
    pub helping: u32,
    /// The shortest pause between two events that a caller of these requests accepts.
    pub strictest_pause: Option<Duration>,
    /// Memory that these requests occupy, in tokens.
    pub held_tokens: Tokens,
    /// Reading time of the prompts that were sent to the upstream.
    pub prefill: PrefillSent,
    /// Time until the earliest due time of a first event among the prompts that are being read.
    pub prefill_due: Option<Duration>,
}
