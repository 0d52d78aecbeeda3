//! Whether a request can still end in time.
//!
//! Load it answers: saturation. Without it each request waits, is worked on, and ends after its
//! caller has gone: engines are busy and nobody gets an answer.

use std::time::Duration;

/// What a request is expected to take from now on.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Forecast {
    /// In the queue.
    pub wait: Duration,
    /// Until the first token.
    pub prefill: Duration,
    /// From the first token to the last.
    pub output: Duration,
}

/// Whether to let a request in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It should end in time.
    Admit,
    /// It can't, and is told so at once.
    TooLate,
}

impl Forecast {
    /// All of it.
    pub fn total(&self) -> Duration {
        self.wait
            .saturating_add(self.prefill)
            .saturating_add(self.output)
    }

    /// Whether it ends within what remains. A pool without work always takes a request in: if the
    /// forecast is wrong, only a run can correct it.
    pub fn admission(&self, remaining: Duration, is_idle: bool) -> Admission {
        if is_idle || self.total() <= remaining {
            Admission::Admit
        } else {
            Admission::TooLate
        }
    }
}
