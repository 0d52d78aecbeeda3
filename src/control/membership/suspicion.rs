//! The time that a suspected host has to refute.

use std::time::Instant;

use crate::control::membership::conf::SUSPICION_MIN;
use crate::control::membership::conf::SUSPICION_PER_DOUBLING;

/// A suspicion of one host.
#[derive(Clone, Debug)]
pub(crate) struct Suspicion {
    since: Instant,
    by_self: bool,
    by_others: bool,
}

impl Suspicion {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            since: now,
            by_self: false,
            by_others: false,
        }
    }

    /// Takes in that this host's own probes failed.
    pub(crate) fn confirm_by_self(&mut self) {
        self.by_self = true;
    }

    /// Takes in that another host suspects it too.
    pub(crate) fn confirm_by_others(&mut self) {
        self.by_others = true;
    }

    /// Starts the time again.
    pub(crate) fn restart(&mut self, now: Instant) {
        self.since = now;
    }

    /// Whether the time is over, in a failure domain of `host_count` hosts. Two independent words
    /// halve it: a single one may come from the suspecting host's own bad connection.
    pub(crate) fn is_over(&self, host_count: usize, now: Instant) -> bool {
        let whole = SUSPICION_PER_DOUBLING.mul_f64((host_count as f64 + 1.0).log2());
        let wait = match self.by_self && self.by_others {
            true => whole / 2,
            false => whole,
        };
        now.saturating_duration_since(self.since) >= wait.max(SUSPICION_MIN)
    }
}
