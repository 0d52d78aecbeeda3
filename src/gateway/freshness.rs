//! The lease on this host's knowledge of the manifest.
//!
//! A revoked key must stop working everywhere after a bounded time, also on a host that can't reach
//! the platform. So each host holds a lease on its knowledge of the manifest. The lease runs from
//! the moment at which the last successful read of the manifest was requested, and after it has
//! expired requests with keys are refused as not run. The lease also counts time for which the
//! machine was suspended.

use std::time::Duration;

/// The fraction of the lease that is used, to allow for timers that fire late and clocks that
/// drift.
const LEASE_FRACTION: f64 = 0.9;
/// Largest age of the manifest with which a caller may be told that a route or key does not exist,
/// since a newer manifest may contain it. Three consecutive reads may fail before this age is
/// reached.
const REJECT_AGE_MAX: Duration = Duration::from_millis(2_500);

/// When the manifest in force was last confirmed to be the newest one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Freshness {
    confirmed_at: Option<Duration>,
}

impl Freshness {
    /// Records that a read requested at `requested_at`, time since boot, succeeded.
    pub fn confirm(&mut self, requested_at: Duration) {
        self.confirmed_at = self.confirmed_at.max(Some(requested_at));
    }

    /// The age of the last confirmation; none before the first read.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        Some(now.saturating_sub(self.confirmed_at?))
    }

    /// Whether requests with keys may be sent.
    pub fn holds_lease(&self, lease: Option<Duration>, now: Duration) -> bool {
        match (lease, self.age(now)) {
            (_, None) => false,
            (None, Some(_)) => true,
            (Some(lease), Some(age)) => age < lease.mul_f64(LEASE_FRACTION),
        }
    }

    /// Whether the absence of a route or key is certain.
    pub fn may_reject(&self, now: Duration) -> bool {
        self.age(now).is_some_and(|age| age < REJECT_AGE_MAX)
    }
}
