//! Admission: whether a request can still be finished before its deadline.
//!
//! Admission protects a saturated pool. Without it every request is queued and processed but ends
//! after its caller has given up: engines are busy and no caller gets an answer.

use std::time::Duration;

/// The time that a request is expected to take from now on, by phase.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Forecast {
    /// Time in the queue.
    pub wait: Duration,
    /// Time from dispatch to the first token.
    pub prefill: Duration,
    /// Time from the first token to the last.
    pub output: Duration,
}

/// Whether a request is admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The request is expected to end before its deadline.
    Admit,
    /// The request cannot end before its deadline and is refused at once.
    TooLate,
}

impl Forecast {
    /// The sum of all phases.
    pub fn total(&self) -> Duration {
        self.wait
            .saturating_add(self.prefill)
            .saturating_add(self.output)
    }

    /// Admits a request if the forecast fits into the `remaining` time. An idle pool admits every
    /// request, because only a run can correct a wrong forecast.
    pub fn admission(&self, remaining: Duration, is_idle: bool) -> Admission {
        if is_idle || self.total() <= remaining {
            Admission::Admit
        } else {
            Admission::TooLate
        }
    }
}
