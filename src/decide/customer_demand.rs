//! The demand of one customer for one service, over all hosts.

use std::time::Duration;
use std::time::Instant;

use crate::decide::CustomerUse;
use crate::decide::recent_time::RecentTime;
use crate::units::BoundedTime;

/// The time constant with which the usual demand follows the current one.
const LEARNING_TIME: Duration = Duration::from_secs(60);
/// A demand that has been learned for less than this follows the current one without a bound, since
/// nothing is known that it could be compared with.
const UNBOUNDED_LEARNING: Duration = Duration::from_secs(5);
/// How much longer another host must have learned the usual demand for its value to be taken.
const LEARNED_LONGER_BY: Duration = Duration::from_secs(5);
/// A customer that wants nothing and whose usual demand is lower than this is forgotten.
const USUAL_MIN_US_PER_S: f64 = 1_000.0;

/// What a customer wants and uses of a service: on this host, on all others, and usually.
#[derive(Debug)]
pub(crate) struct CustomerDemand {
    own_wanted: RecentTime,
    own_used: RecentTime,
    /// The engine times of the calls that arrived here, each multiplied by itself in milliseconds.
    own_squared: RecentTime,
    peers_wanted_us_per_s: u64,
    peers_used_us_per_s: u64,
    peers_squared: u64,
    usual_us_per_s: f64,
    /// The usual sum of squared engine times, in milliseconds times microseconds per second.
    usual_squared: f64,
    learned: Duration,
}

impl CustomerDemand {
    /// The demand of a customer that wants nothing yet, of a service whose demand has been learned
    /// for `learned`.
    pub(crate) fn new(learned: Duration, now: Instant) -> Self {
        Self {
            own_wanted: RecentTime::new(now),
            own_used: RecentTime::new(now),
            own_squared: RecentTime::new(now),
            peers_wanted_us_per_s: 0,
            peers_used_us_per_s: 0,
            peers_squared: 0,
            usual_us_per_s: 0.0,
            usual_squared: 0.0,
            learned: learned.min(LEARNING_TIME),
        }
    }

    /// Adds the engine time of a call that arrived at this host.
    pub(crate) fn on_arrival(&mut self, cost: Duration, now: Instant) {
        self.own_wanted.add(cost, now);
        self.own_squared
            .add(cost.scaled(cost.as_secs_f64() * 1e3), now);
    }

    /// Adds the engine time of a call that this host has sent.
    pub(crate) fn on_send(&mut self, cost: Duration, now: Instant) {
        self.own_used.add(cost, now);
    }

    /// Replaces what one source has reported. Takes over the usual demand if the source has learned
    /// it for longer.
    pub(crate) fn on_report(&mut self, before: Option<&CustomerUse>, report: &CustomerUse) {
        if let Some(before) = before {
            self.remove_report(before);
        }
        self.peers_wanted_us_per_s += report.wanted_us_per_s;
        self.peers_used_us_per_s += report.used_us_per_s;
        self.peers_squared += report.wanted_squared();
        if report.learned > self.learned + LEARNED_LONGER_BY {
            self.usual_us_per_s = report.usual_us_per_s as f64;
            self.usual_squared = self.usual_us_per_s * report.usual_call_us as f64 / 1e3;
            self.learned = report.learned;
        }
    }

    /// Subtracts what a source had reported.
    pub(crate) fn remove_report(&mut self, report: &CustomerUse) {
        let wanted = self.peers_wanted_us_per_s;
        self.peers_wanted_us_per_s = wanted.saturating_sub(report.wanted_us_per_s);
        let used = self.peers_used_us_per_s;
        self.peers_used_us_per_s = used.saturating_sub(report.used_us_per_s);
        let squared = self.peers_squared;
        self.peers_squared = squared.saturating_sub(report.wanted_squared());
    }

    /// Moves the usual demand towards the current one, `elapsed` after the last call. Demand beyond
    /// the customer's share is not learned, so that a flood does not become usual.
    pub(crate) fn learn(&mut self, share_us_per_s: f64, elapsed: Duration, now: Instant) {
        let wanted = self.wanted_us_per_s(now);
        let sample = if self.learned < UNBOUNDED_LEARNING {
            wanted
        } else {
            wanted.min(share_us_per_s)
        };
        let squared = (self.own_squared.us_per_s(now) + self.peers_squared) as f64;
        let sample_squared = squared * sample / wanted.max(1.0);
        self.learned = (self.learned + elapsed).min(LEARNING_TIME);
        let weight = (elapsed.as_secs_f64() / self.learned.as_secs_f64()).min(1.0);
        self.usual_us_per_s += weight * (sample - self.usual_us_per_s);
        self.usual_squared += weight * (sample_squared - self.usual_squared);
    }

    /// What the customer wants now, on all hosts.
    pub(crate) fn wanted_us_per_s(&self, now: Instant) -> f64 {
        (self.own_wanted.us_per_s(now) + self.peers_wanted_us_per_s) as f64
    }

    /// What is used for the customer, on all hosts.
    pub(crate) fn used_us_per_s(&self, now: Instant) -> f64 {
        (self.own_used.us_per_s(now) + self.peers_used_us_per_s) as f64
    }

    /// What the customer usually wants, on all hosts.
    pub(crate) fn usual_us_per_s(&self) -> f64 {
        self.usual_us_per_s
    }

    /// The usual sum of squared engine times, in milliseconds times microseconds per second.
    pub(crate) fn usual_squared(&self) -> f64 {
        self.usual_squared
    }

    /// The engine time of a call at the usual demand, as a mean weighted by engine time; 0 if the
    /// customer usually wants nothing.
    pub(crate) fn usual_call_us(&self) -> f64 {
        mean_call_us(self.usual_squared, self.usual_us_per_s)
    }

    /// What the customer wants on this host.
    pub(crate) fn own_wanted_us_per_s(&self, now: Instant) -> u64 {
        self.own_wanted.us_per_s(now)
    }

    /// What is used for the customer on this host.
    pub(crate) fn own_used_us_per_s(&self, now: Instant) -> u64 {
        self.own_used.us_per_s(now)
    }

    /// The engine time of a call on this host, as a mean weighted by engine time.
    pub(crate) fn own_call_us(&self, now: Instant) -> f64 {
        let squared = self.own_squared.us_per_s(now) as f64;
        mean_call_us(squared, self.own_wanted.us_per_s(now) as f64)
    }

    /// For how long the usual demand has been learned.
    pub(crate) fn learned(&self) -> Duration {
        self.learned
    }

    /// Whether the customer wants nothing and usually wants next to nothing.
    pub(crate) fn is_negligible(&self, now: Instant) -> bool {
        self.usual_us_per_s < USUAL_MIN_US_PER_S
            && self.wanted_us_per_s(now) + self.used_us_per_s(now) <= 0.0
    }
}

/// The mean engine time of a call, weighted by engine time, from the sum of squared engine times
/// and the sum of engine times; 0 if there are no calls.
pub(crate) fn mean_call_us(squared: f64, us_per_s: f64) -> f64 {
    if us_per_s > 0.0 {
        squared / us_per_s * 1e3
    } else {
        0.0
    }
}
