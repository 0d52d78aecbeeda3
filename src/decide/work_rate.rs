//! An exponentially decaying rate of work.

use std::time::Duration;
use std::time::Instant;

/// A rate of work a second, in which older work counts for less. The unit of work is that of the
/// amounts that are added.
#[derive(Debug)]
pub struct WorkRate {
    time_constant: Duration,
    per_second: f64,
    updated_at: Option<Instant>,
}

impl WorkRate {
    /// Creates a rate of zero. Work that is `time_constant` old counts for about a third.
    pub fn new(time_constant: Duration) -> Self {
        Self {
            time_constant,
            per_second: 0.0,
            updated_at: None,
        }
    }

    /// Adds an amount of work that arrives now.
    pub fn add(&mut self, amount: f64, now: Instant) {
        self.per_second = self.get(now) + amount / self.time_constant.as_secs_f64();
        self.updated_at = Some(now);
    }

    /// The rate at `now`, in the unit of the added amounts a second.
    pub fn get(&self, now: Instant) -> f64 {
        let since = |at| now.saturating_duration_since(at).as_secs_f64();
        let elapsed = self.updated_at.map_or(0.0, since);
        self.per_second * (-elapsed / self.time_constant.as_secs_f64()).exp()
    }
}
