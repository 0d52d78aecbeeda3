//! The lease on what this host has learnt from the platform: the manifest and the evacuations.
//!
//! A revoked key must stop working everywhere after a bounded time, also on a host that can't reach
//! the platform. So each host holds a lease on its knowledge of the manifest. The lease runs from
//! the moment at which the last successful read of the manifest was requested, and after it has
//! expired requests with keys are refused as not run. The lease also counts time for which the
//! machine was suspended.

use std::time::Duration;

use crate::units::BoundedTime;

/// The fraction of the lease for which requests that rely on it are sent. The rest allows for timers
/// that fire late and clocks that drift.
const LEASE_FRACTION: f64 = 0.9;
/// Age of the manifest from which on callers are not told that a route or key does not exist, since
/// a newer manifest may contain it. Three consecutive reads may fail before this age is reached.
const REJECT_AGE_MAX: Duration = Duration::from_millis(2_500);

/// When a list, such as the manifest in force, was last confirmed to be the newest one. All times
/// are since boot.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Freshness {
    confirmed_at: Option<Duration>,
}

impl Freshness {
    /// The freshness of a list that was last confirmed at this time, or not yet.
    pub fn confirmed_at(confirmed_at: Option<Duration>) -> Self {
        Self { confirmed_at }
    }

    /// Records that a read that was requested at `requested_at` confirmed the manifest. An earlier
    /// time than the recorded one has no effect.
    pub fn confirm(&mut self, requested_at: Duration) {
        self.confirmed_at = self.confirmed_at.max(Some(requested_at));
    }

    /// The time since the last confirmation; none before the first one.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        Some(now.saturating_sub(self.confirmed_at?))
    }

    /// Whether a lease of this duration has not expired at `now`, so that requests that rely on the
    /// list may be sent. Without a limited lease they may be sent from the first confirmation on.
    pub fn holds_lease(&self, lease: Option<Duration>, now: Duration) -> bool {
        match (lease, self.age(now)) {
            (_, None) => false,
            (None, Some(_)) => true,
            (Some(lease), Some(age)) => age < lease.scaled(LEASE_FRACTION),
        }
    }

    /// Whether the manifest is recent enough at `now` to tell a caller that a route or key does not
    /// exist.
    pub fn may_reject(&self, now: Duration) -> bool {
        self.age(now).is_some_and(|age| age < REJECT_AGE_MAX)
    }
}
