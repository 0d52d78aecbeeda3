//! How old this host's knowledge of the manifest may be.
//!
//! A key that was taken back must not work anywhere after a while, on a host that can't reach the
//! platform either. So each host holds a lease on its knowledge: it runs from the moment at which
//! the last successful read of the manifest was asked for, and when it has run out requests with
//! keys are refused as not run. It counts time that the machine spent suspended.

use std::time::Duration;

/// The part of the lease that is used, for timers that fire late and for clocks that drift.
const LEASE_PART: f64 = 0.9;
/// Knowledge older than this is not enough to tell a caller that there is no such route or key: a
/// newer manifest may have it. Three reads may fail in a row before this counts.
const REJECT_AGE_MAX: Duration = Duration::from_millis(2_500);

/// When the manifest in force was last proved to be the newest one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Freshness {
    proved_at: Option<Duration>,
}

impl Freshness {
    /// Takes in that a read asked for at `asked_at`, time since boot, was answered.
    pub fn prove(&mut self, asked_at: Duration) {
        self.proved_at = self.proved_at.max(Some(asked_at));
    }

    /// How old the knowledge is; none before the first read.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        Some(now.saturating_sub(self.proved_at?))
    }

    /// Whether requests with keys may be sent.
    pub fn holds_lease(&self, lease: Option<Duration>, now: Duration) -> bool {
        match (lease, self.age(now)) {
            (_, None) => false,
            (None, Some(_)) => true,
            (Some(lease), Some(age)) => age < lease.mul_f64(LEASE_PART),
        }
    }

    /// Whether the absence of a route or key is certain.
    pub fn may_reject(&self, now: Duration) -> bool {
        self.age(now).is_some_and(|age| age < REJECT_AGE_MAX)
    }
}
