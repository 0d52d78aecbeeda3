//! Sums of the outcomes of calls to an upstream, or to all upstreams of a service.

use std::time::Duration;

/// The outcome of a call as far as it tells about the upstream. Outcomes with another cause are not
/// counted at all: callers that left, deadlines, timeouts, and connections that broke, which the
/// request or the network may have caused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The upstream of a plain service answered successfully after this time.
    Answered(Duration),
    /// The upstream answered; the time says nothing about its speed.
    Completed,
    /// The upstream responded with an error of its own, a truncated answer or an invalid one.
    Failed,
    /// The upstream refused the call without running it.
    Refused,
    /// An engine sent the first event. The call itself ends with another outcome.
    FirstEvent {
        /// The time until the first event that the engine's model predicted.
        forecast: Duration,
        /// The time that it took.
        taken: Duration,
    },
}

/// Sums of outcomes, which can be added up over time and hosts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OutcomeSums {
    /// The calls that the upstream answered or failed.
    pub calls: u32,
    /// The failures among them.
    pub failures: u32,
    /// The calls that the upstream refused, which are not among `calls`.
    pub refusals: u32,
    /// The calls of which the time until the first event is known.
    pub timed_calls: u32,
    /// The sum of the forecasts of these calls.
    pub forecast: Duration,
    /// The sum of the times until the first event of these calls.
    pub taken: Duration,
}

impl OutcomeSums {
    /// Adds one outcome.
    pub fn count(&mut self, outcome: CallOutcome) {
        match outcome {
            CallOutcome::Answered(_) | CallOutcome::Completed => self.calls += 1,
            CallOutcome::Failed => {
                self.calls += 1;
                self.failures += 1;
            }
            CallOutcome::Refused => self.refusals += 1,
            CallOutcome::FirstEvent { forecast, taken } => {
                self.timed_calls += 1;
                self.forecast += forecast;
                self.taken += taken;
            }
        }
    }

    /// The sums of both.
    pub fn plus(self, other: &Self) -> Self {
        Self {
            calls: self.calls.saturating_add(other.calls),
            failures: self.failures.saturating_add(other.failures),
            refusals: self.refusals.saturating_add(other.refusals),
            timed_calls: self.timed_calls.saturating_add(other.timed_calls),
            forecast: self.forecast.saturating_add(other.forecast),
            taken: self.taken.saturating_add(other.taken),
        }
    }

    /// These sums without `part`; zero where `part` is larger, since reports differ in age.
    pub fn without(self, part: &Self) -> Self {
        Self {
            calls: self.calls.saturating_sub(part.calls),
            failures: self.failures.saturating_sub(part.failures),
            refusals: self.refusals.saturating_sub(part.refusals),
            timed_calls: self.timed_calls.saturating_sub(part.timed_calls),
            forecast: self.forecast.saturating_sub(part.forecast),
            taken: self.taken.saturating_sub(part.taken),
        }
    }

    /// The fraction of failed calls; 0 if there are no calls.
    pub fn failure_rate(&self) -> f64 {
        f64::from(self.failures) / f64::from(self.calls.max(1))
    }

    /// How many times longer than forecast the first events took; 1 if none is known.
    pub fn pace(&self) -> f64 {
        if self.forecast.is_zero() {
            return 1.0;
        }
        self.taken.as_secs_f64() / self.forecast.as_secs_f64()
    }

    /// Whether nothing was counted.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}

/// The time that calls to a plain service took, over a longer time than [`OutcomeSums`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServiceTimes {
    /// The number of calls.
    pub calls: u32,
    /// The sum of their times.
    pub total: Duration,
}

impl ServiceTimes {
    /// Adds the time of one call.
    pub fn count(&mut self, took: Duration) {
        self.calls += 1;
        self.total += took;
    }

    /// The sums of both.
    pub fn plus(self, other: &Self) -> Self {
        Self {
            calls: self.calls.saturating_add(other.calls),
            total: self.total.saturating_add(other.total),
        }
    }

    /// The mean time; none if there are fewer than `calls_min` calls.
    pub fn mean(&self, calls_min: u32) -> Option<Duration> {
        (self.calls >= calls_min.max(1)).then(|| self.total / self.calls.max(1))
    }
}
