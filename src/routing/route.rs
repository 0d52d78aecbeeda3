//! Routes and their targets.

use std::time::Duration;

use crate::routing::AllowedRegions;
use crate::routing::CallKind;
use crate::units::Priority;
use crate::units::ServiceId;

/// The minimum of [`stream_caller_timeout`], as documented for the interface.
const CALLER_TIMEOUT_MIN: Duration = Duration::from_secs(2);
/// The minimum of [`stream_caller_timeout`] as a multiple of the objective for the first event.
const CALLER_TIMEOUT_OBJECTIVES: u32 = 4;
/// The minimum of [`stream_caller_timeout`] as a multiple of the longest pause between two events
/// that is on time.
const CALLER_TIMEOUT_PAUSES: u32 = 8;

/// How long the caller of a stream waits for an event, given the objectives of its route: the
/// longest of the three minimum times.
pub fn stream_caller_timeout(objective: Duration, pause_objective: Option<Duration>) -> Duration {
    let by_objective = objective * CALLER_TIMEOUT_OBJECTIVES;
    let by_pause = pause_objective.unwrap_or_default() * CALLER_TIMEOUT_PAUSES;
    by_objective.max(by_pause).max(CALLER_TIMEOUT_MIN)
}

/// A service that a route leads to, with its share of the calls.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteTarget {
    /// The name of the service.
    pub service: ServiceId,
    /// The share of calls relative to the other targets. A target of weight 0 gets no calls.
    pub weight: u32,
}

/// The settings of all calls under one host name and path prefix: the weighted services, not
/// upstreams, that the calls lead to, the time limits, the priority, the number of upstreams that
/// may run one call, and whether a key is needed.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The name of the route in logs and metrics.
    pub name: String,
    /// The host name that the route belongs to, without a port.
    pub hostname: String,
    /// The path prefix, which begins and ends with a slash.
    pub path_prefix: String,
    /// Whether calls may be repeated.
    pub kind: CallKind,
    /// The maximum time that a caller waits, from the first byte of its request.
    pub timeout: Duration,
    /// The target time for the answer, or for the first event of a stream.
    pub objective: Duration,
    /// The longest pause between two events of a stream that is still on time; none if pauses are
    /// not limited.
    pub pause_objective: Option<Duration>,
    /// The priority of calls whose customer has none; 0 is served first. None if the manifest lists
    /// none.
    pub priority: Option<Priority>,
    /// The services that the route leads to, with their shares.
    pub targets: Vec<RouteTarget>,
    /// The maximum number of upstreams that may run one call.
    pub runs_max: u32,
    /// Whether calls need no key.
    pub is_public: bool,
    /// The regions whose upstreams may serve calls.
    pub allowed_regions: AllowedRegions,
}

impl Route {
    /// Chooses a target by weight; none if no target has a weight above 0. `draw` is uniformly
    /// distributed over all `u32` values.
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
