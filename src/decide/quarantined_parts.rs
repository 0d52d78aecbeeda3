//! What requests that crash upstreams have in common.

use std::time::Duration;
use std::time::Instant;

use crate::decide::RequestPart;

/// Parts of requests that crash upstreams: requests with all of them are refused.
///
/// More than one part is listed where the crashes do not tell which of them is the cause, since they
/// have only been seen together.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QuarantinedParts {
    /// The parts, in ascending order.
    pub parts: Vec<RequestPart>,
    /// The number of upstreams that have crashed.
    pub crashes: usize,
    /// Whether the crashes were found to be under these parts. If not, others may explain them.
    pub is_found: bool,
    /// Until when all requests with the parts are refused. From then on one of them may be a probe.
    pub until: Instant,
}

impl QuarantinedParts {
    /// Whether a request with these parts is refused.
    pub fn applies_to(&self, parts: &[RequestPart], now: Instant) -> bool {
        now < self.until && self.are_all_in(parts)
    }

    /// Whether a request with these parts has all of the quarantined ones.
    pub fn are_all_in(&self, parts: &[RequestPart]) -> bool {
        self.parts.iter().all(|part| parts.contains(part))
    }

    /// How long the quarantine lasts from now on.
    pub fn time_left(&self, now: Instant) -> Duration {
        self.until.saturating_duration_since(now)
    }
}
