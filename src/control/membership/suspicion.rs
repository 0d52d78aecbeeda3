//! Suspicions of hosts, and the time that a suspected host has to refute.

use std::time::Instant;

use crate::control::membership::conf::SUSPICION_MIN;
use crate::control::membership::conf::SUSPICION_PER_DOUBLING;
use crate::units::BoundedTime;

/// A suspicion of one host: since when the host is suspected, and whether the probes of this host
/// and whether other hosts have confirmed it.
#[derive(Clone, Debug)]
pub(crate) struct Suspicion {
    since: Instant,
    by_self: bool,
    by_others: bool,
}

impl Suspicion {
    /// A suspicion that no host has confirmed yet.
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            since: now,
            by_self: false,
            by_others: false,
        }
    }

    /// Records that the probes of this host failed.
    pub(crate) fn confirm_by_self(&mut self) {
        self.by_self = true;
    }

    /// Records that another host suspects the same host.
    pub(crate) fn confirm_by_others(&mut self) {
        self.by_others = true;
    }

    /// Restarts the time to refute.
    pub(crate) fn restart(&mut self, now: Instant) {
        self.since = now;
    }

    /// Whether the time to refute has expired, in a failure domain of `host_count` hosts.
    /// Confirmation by both this host and another one halves the time; a single report may be due
    /// to a bad connection of the reporting host.
    pub(crate) fn is_expired(&self, host_count: usize, now: Instant) -> bool {
        let timeout = SUSPICION_PER_DOUBLING.scaled((host_count as f64 + 1.0).log2());
        let wait = match self.by_self && self.by_others {
            true => timeout / 2,
            false => timeout,
        };
        now.saturating_duration_since(self.since) >= wait.max(SUSPICION_MIN)
    }
}
