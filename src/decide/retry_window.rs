//! One host's share of the retries that a service may receive in a sliding window.
//!
//! Load condition: upstreams fail, every host retries, and the remaining upstreams of the service
//! receive several times their load. The bound holds for all hosts together, also while they cannot
//! communicate: each host has a fixed share of the allowance and earns the rest through its own
//! requests.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use crate::decide::RetryCheck;

/// The fraction of the budget that is used. A restarted host has lost the record of its retries,
/// and one more host may be running than this host knows of. The unused third covers both in fleets
/// of three or more hosts.
const BUDGET_FRACTION: f64 = 0.65;

/// The bound on retries for all hosts together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBound {
    /// The number of retries allowed per request.
    pub per_request: f64,
    /// The number of retries allowed in one window in addition to those earned by requests.
    pub allowance: f64,
    /// The length of the sliding window.
    pub window: Duration,
}

/// The requests and retries of one host for one service within the window.
#[derive(Debug, Default)]
pub struct RetryWindow {
    requests: VecDeque<Instant>,
    retries: VecDeque<Instant>,
}

impl RetryWindow {
    /// Records a caller's request, which earns a fraction of a retry.
    pub fn on_request(&mut self, bound: &RetryBound, now: Instant) {
        drop_expired(&mut self.requests, bound.window, now);
        self.requests.push_back(now);
    }

    /// Checks whether a retry is allowed now, and counts the retry if so. `hosts` is the number of
    /// hosts that share the allowance.
    pub fn try_retry(&mut self, bound: &RetryBound, hosts: usize, now: Instant) -> RetryCheck {
        drop_expired(&mut self.requests, bound.window, now);
        drop_expired(&mut self.retries, bound.window, now);
        let earned = bound.per_request * self.requests.len() as f64;
        let budget = (bound.allowance / hosts.max(1) as f64 + earned) * BUDGET_FRACTION;
        let retries = self.retries.len();
        let is_allowed = ((retries + 1) as f64) <= budget;
        if is_allowed {
            self.retries.push_back(now);
        }
        RetryCheck {
            is_allowed,
            requests: self.requests.len(),
            retries,
            hosts,
            budget,
        }
    }
}

/// Drops the times that are more than `window` before `now`.
fn drop_expired(times: &mut VecDeque<Instant>, window: Duration, now: Instant) {
    while times
        .front()
        .is_some_and(|at| now.saturating_duration_since(*at) > window)
    {
        times.pop_front();
    }
}
