//! Whether this host's own connections to upstreams work at all.
//!
//! Load condition: a host loses its connections to all upstreams, while hosts around it do not, or
//! lose theirs at the same moment. Its failures say nothing about the upstreams then. Only the host
//! itself can tell: nearly all its upstreams fail at once.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;

use crate::units::UpstreamId;

/// The number of upstreams that must fail in a row, with no other connected in between. A single one
/// may be down.
const FAILED_UPSTREAMS_MIN: usize = 2;
/// How long a failed or an established connection says something about the others.
const VALID_FOR: Duration = Duration::from_secs(1);

/// The outcomes of this host's latest direct connections to upstreams.
#[derive(Clone, Debug, Default)]
pub struct DirectLinks {
    /// When a connection was last established.
    connected_at: Option<Instant>,
    /// The upstreams that failed since then, with the time of the latest failure.
    failed: IndexMap<UpstreamId, Instant>,
}

impl DirectLinks {
    /// Records that a direct connection was established.
    pub fn on_connected(&mut self, now: Instant) {
        self.connected_at = Some(now);
        self.failed.clear();
    }

    /// Records that a direct connection was not established.
    pub fn on_failed(&mut self, upstream: &UpstreamId, now: Instant) {
        self.failed.retain(|_, at| is_valid(*at, now));
        self.failed.insert(upstream.clone(), now);
    }

    /// Whether this host reaches no upstream itself, as far as its latest connections tell. False
    /// once it has not tried for a while.
    pub fn is_isolated(&self, now: Instant) -> bool {
        let failed = self.failed.values().filter(|at| is_valid(**at, now));
        failed.count() >= FAILED_UPSTREAMS_MIN
    }

    /// Whether a failed connection of this host says something about the upstream: the host has just
    /// reached another one.
    pub fn is_witness(&self, now: Instant) -> bool {
        !self.is_isolated(now) && self.connected_at.is_some_and(|at| is_valid(at, now))
    }
}

fn is_valid(at: Instant, now: Instant) -> bool {
    now.saturating_duration_since(at) < VALID_FOR
}
