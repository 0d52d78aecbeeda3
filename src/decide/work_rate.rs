//! An exponentially weighted rate of work.

use std::time::Duration;
use std::time::Instant;

/// Work a second, of which older work counts for less.
#[derive(Debug)]
pub struct WorkRate {
    memory: Duration,
    per_second: f64,
    at: Option<Instant>,
}

impl WorkRate {
    /// Nothing yet; work of `memory` ago counts for a third.
    pub fn new(memory: Duration) -> Self {
        Self {
            memory,
            per_second: 0.0,
            at: None,
        }
    }

    /// Adds work that came now.
    pub fn add(&mut self, amount: f64, now: Instant) {
        self.per_second = self.get(now) + amount / self.memory.as_secs_f64();
        self.at = Some(now);
    }

    /// Work a second.
    pub fn get(&self, now: Instant) -> f64 {
        let since = |at| now.saturating_duration_since(at).as_secs_f64();
        let elapsed = self.at.map_or(0.0, since);
        self.per_second * (-elapsed / self.memory.as_secs_f64()).exp()
    }
}
