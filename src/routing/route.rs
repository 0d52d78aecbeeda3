//! One route.

use std::time::Duration;

use crate::routing::CallKind;
use crate::units::Priority;
use crate::units::ServiceId;

/// How long callers of streams stay without an event at least, by the interface's page.
const CALLER_TIMEOUT_MIN: Duration = Duration::from_secs(2);
/// The same in objectives, and in longest pauses that are on time; the longest of the three holds.
const CALLER_TIMEOUT_OBJECTIVES: u32 = 4;
const CALLER_TIMEOUT_PAUSES: u32 = 8;

/// How long the caller of a stream stays without an event, by what is on time on its route.
pub fn stream_caller_timeout(objective: Duration, pause_objective: Option<Duration>) -> Duration {
    let by_objective = objective * CALLER_TIMEOUT_OBJECTIVES;
    let by_pause = pause_objective.unwrap_or_default() * CALLER_TIMEOUT_PAUSES;
    by_objective.max(by_pause).max(CALLER_TIMEOUT_MIN)
}

/// A service that a route leads to, with its share of the calls.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteTarget {
    /// The service.
    pub service: ServiceId,
    /// Its share, relative to the other targets; none gets calls by a weight of 0.
    pub weight: u32,
}

/// What holds for all calls under one host name and path prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Its name, for logs and metrics.
    pub name: String,
    /// The host name it belongs to, without a port.
    pub hostname: String,
    /// The prefix of the path, which begins and ends with a slash.
    pub path_prefix: String,
    /// What may be repeated.
    pub kind: CallKind,
    /// How long a caller is kept waiting at most, from the first byte of its request.
    pub timeout: Duration,
    /// How soon the answer, or the first event of a stream, should come.
    pub objective: Duration,
    /// The longest pause between two events that is still on time.
    pub pause_objective: Option<Duration>,
    /// The rank; 0 is served first.
    pub priority: Priority,
    /// The services, with their shares.
    pub targets: Vec<RouteTarget>,
    /// How many upstreams may run one call.
    pub runs_max: u32,
    /// Whether calls need no key.
    pub is_public: bool,
}

impl Route {
    /// Chooses a target by weight; `draw` is even over all `u32`.
    pub fn target(&self, draw: u32) -> Option<&ServiceId> {
        let total: u64 = self.targets.iter().map(|t| u64::from(t.weight)).sum();
        let mut remaining = (u64::from(draw) * total) >> 32;
        for target in &self.targets {
            let weight = u64::from(target.weight);
            if remaining < weight {
                return Some(&target.service);
            }
            remaining -= weight;
        }
        None
    }
}
