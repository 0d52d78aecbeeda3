//! One host's share of the retries that a service may get in any stretch of time.
//!
//! Load it answers: upstreams fail, every host sends again, and the service that is left gets
//! several times its load. The bound holds for all hosts together and also while they can't hear
//! each other, so each has a fixed share of the allowance and earns the rest by its own requests.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

/// The part of the budget that is used. A host that restarts forgets what it spent, and one more
/// may be running than this host knows of; a third covers both for fleets of three hosts and more.
const USED_PART: f64 = 0.65;

/// The bound that holds for all hosts together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBound {
    /// Retries for each request.
    pub per_request: f64,
    /// Retries beside these in one window.
    pub allowance: f64,
    /// The length of the window, which slides.
    pub window: Duration,
}

/// Requests and retries of one host for one service.
#[derive(Debug, Default)]
pub struct RetryWindow {
    requests: VecDeque<Instant>,
    retries: VecDeque<Instant>,
}

impl RetryWindow {
    /// Takes in a request of a caller.
    pub fn on_request(&mut self, bound: &RetryBound, now: Instant) {
        drop_old(&mut self.requests, bound.window, now);
        self.requests.push_back(now);
    }

    /// Takes one retry out of the budget. `hosts` is how many hosts share the allowance.
    pub fn try_retry(&mut self, bound: &RetryBound, hosts: usize, now: Instant) -> bool {
        drop_old(&mut self.requests, bound.window, now);
        drop_old(&mut self.retries, bound.window, now);
        let hosts = hosts.max(1) as f64;
        let earned = bound.per_request * self.requests.len() as f64;
        let budget = (bound.allowance / hosts + earned) * USED_PART;
        let is_allowed = ((self.retries.len() + 1) as f64) <= budget;
        if is_allowed {
            self.retries.push_back(now);
        }
        is_allowed
    }
}

fn drop_old(times: &mut VecDeque<Instant>, window: Duration, now: Instant) {
    while times
        .front()
        .is_some_and(|at| now.saturating_duration_since(*at) > window)
    {
        times.pop_front();
    }
}
