//! Work of all hosts at one upstream.

use std::time::Duration;

use crate::decide::HostLoad;
use crate::units::Tokens;

/// Work of all hosts at one upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UpstreamLoad {
    /// Requests that were sent there and have not ended.
    pub in_flight: u32,
    /// Those of them whose prompt is short.
    pub short_in_flight: u32,
    /// Prompts of other engines that it helps to read or keeps a part of.
    pub helping: u32,
    /// The shortest pause that the caller of one of them accepts between two events.
    pub strictest_pause: Option<Duration>,
    /// Time until it has read in what was sent there.
    pub prefill_backlog: Duration,
    /// Memory that these requests take, in tokens.
    pub held_tokens: Tokens,
    /// Memory that the engine has refused to set aside a moment ago, in tokens.
    pub refused_tokens: Option<Tokens>,
    /// Time until the first of the prompts being read there has to have its first event to be on time.
    pub prefill_due: Option<Duration>,
}

impl UpstreamLoad {
    /// Whether there is any.
    pub fn has_work(&self) -> bool {
        self.in_flight > 0
            || self.helping > 0
            || self.held_tokens > Tokens::ZERO
            || !self.prefill_backlog.is_zero()
    }

    /// Adds the work of one host.
    pub(crate) fn add(&mut self, other: &HostLoad) {
        self.in_flight += other.in_flight;
        self.short_in_flight += other.short_in_flight;
        self.helping += other.helping;
        let pauses = [self.strictest_pause, other.strictest_pause];
        self.strictest_pause = pauses.into_iter().flatten().min();
        self.held_tokens += other.held_tokens;
        let dues = [self.prefill_due, other.prefill_due];
        self.prefill_due = dues.into_iter().flatten().min();
    }
}
