//! One host's share of the retries that a service may receive in a sliding window.
//!
//! Load condition: upstreams fail, every host retries, and the remaining upstreams of the service
//! receive several times their load. The bound holds for all hosts together, also while they cannot
//! communicate: each host has a fixed share of the allowance and earns the rest through its own
//! requests. It holds however often hosts restart, although a process does not know the retries of
//! the one before it: the share grows in proportion to the uptime, to the whole share after one
//! window. The processes of one host that start within a window together get at most one share, and
//! the process that was running before may have used another one. In the same way, requests earn
//! less until the uptime is one window: the process before may have used what the requests of the
//! window before its end had earned.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use crate::decide::RetryCheck;

/// The fraction of the allowance that hosts use in steady state. Restarts may use the other half.
const ALLOWANCE_FRACTION: f64 = 0.5;
/// The fraction of the earned retries that hosts use in steady state. The windows of two hosts begin
/// at different times, so together they may contain more requests than any single window.
const EARNED_FRACTION: f64 = 0.8;
/// The same for a process whose uptime is less than a window. Together with the fraction that the
/// process before it may have used, it leaves room for windows that begin at different times.
const EARNED_FRACTION_AFTER_START: f64 = 0.1;

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
#[derive(Debug)]
pub struct RetryWindow {
    started_at: Instant,
    requests: VecDeque<Instant>,
    retries: VecDeque<Instant>,
}

impl RetryWindow {
    /// The record of a process that started at this time and has sent nothing.
    pub fn new(started_at: Instant) -> Self {
        Self {
            started_at,
            requests: VecDeque::new(),
            retries: VecDeque::new(),
        }
    }

    /// Records a caller's request, which earns a fraction of a retry.
    pub fn on_request(&mut self, bound: &RetryBound, now: Instant) {
        drop_expired(&mut self.requests, bound.window, now);
        self.requests.push_back(now);
    }

    /// Checks whether a retry is allowed now, and counts the retry if so. `hosts` is the number of
    /// hosts that share the allowance. If it is not known, only earned retries are allowed.
    pub fn try_retry(
        &mut self,
        bound: &RetryBound,
        hosts: Option<usize>,
        now: Instant,
    ) -> RetryCheck {
        drop_expired(&mut self.requests, bound.window, now);
        drop_expired(&mut self.retries, bound.window, now);
        let even_share = hosts.map_or(0.0, |hosts| bound.allowance / hosts.max(1) as f64);
        let share = even_share * ALLOWANCE_FRACTION;
        let uptime = self.uptime_fraction(bound.window, now);
        let earned_fraction = if uptime < 1.0 {
            EARNED_FRACTION_AFTER_START
        } else {
            EARNED_FRACTION
        };
        let earned = bound.per_request * self.requests.len() as f64 * earned_fraction;
        let budget = share * uptime + earned;
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

    /// The uptime as a fraction of the window, at most 1.
    fn uptime_fraction(&self, window: Duration, now: Instant) -> f64 {
        let uptime = now.saturating_duration_since(self.started_at);
        if uptime >= window {
            return 1.0;
        }
        uptime.as_secs_f64() / window.as_secs_f64()
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
