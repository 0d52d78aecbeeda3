//! The work of all hosts at one upstream.

use std::time::Duration;

use crate::decide::HostLoad;
use crate::units::Tokens;

/// The work of all hosts at one upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UpstreamLoad {
    /// The number of requests that were sent to the upstream and have not ended.
    pub in_flight: u32,
    /// The number of these requests that have a short prompt.
    pub short_in_flight: u32,
    /// The number of other engines' prompts that the engine helps to process or holds a part of.
    pub helping: u32,
    /// The shortest pause between two events that any caller of these requests accepts.
    pub strictest_pause: Option<Duration>,
    /// The time until the upstream has processed all prefill that was sent to it.
    pub prefill_backlog: Duration,
    /// The memory that these requests take, in tokens.
    pub held_tokens: Tokens,
    /// The least amount of memory in tokens that the engine has recently refused to reserve; `None`
    /// if it has refused none.
    pub refused_tokens: Option<Tokens>,
    /// The time until the first event of a prompt that is now in prefill at the upstream is due,
    /// for the prompt that is due first; `None` if no such time is known.
    pub prefill_due: Option<Duration>,
}

impl UpstreamLoad {
    /// Whether any host has work at the upstream.
    pub fn has_work(&self) -> bool {
        self.in_flight > 0
            || self.helping > 0
            || self.held_tokens > Tokens::ZERO
            || !self.prefill_backlog.is_zero()
    }

    /// Adds the work of one host. The prefill backlog and the refused memory stay as they are,
    /// because they are not sums over hosts.
    pub(crate) fn add(&mut self, other: &HostLoad) {
        self.in_flight += other.in_flight;
        self.short_in_flight += other.short_in_flight;
        self.helping += other.helping;
        let pause_limits = [self.strictest_pause, other.strictest_pause];
        self.strictest_pause = pause_limits.into_iter().flatten().min();
        self.held_tokens += other.held_tokens;
        let due_times = [self.prefill_due, other.prefill_due];
        self.prefill_due = due_times.into_iter().flatten().min();
    }
}
