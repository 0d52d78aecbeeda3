//! A rate with a burst.

use std::time::Instant;

/// A token bucket over bytes, without I/O.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    rate: f64,
    burst: f64,
    level: f64,
    filled_at: Instant,
}

impl TokenBucket {
    /// A full bucket that fills at `rate` a second up to `burst`.
    pub fn new(rate: f64, burst: f64, now: Instant) -> Self {
        Self {
            rate,
            burst,
            level: burst,
            filled_at: now,
        }
    }

    /// What could be taken now.
    pub fn available(&mut self, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.filled_at);
        self.level = (self.level + self.rate * elapsed.as_secs_f64()).min(self.burst);
        self.filled_at = now;
        self.level
    }

    /// Takes `amount` if it is there.
    pub fn take(&mut self, amount: f64, now: Instant) -> bool {
        let is_there = self.available(now) >= amount;
        if is_there {
            self.level -= amount;
        }
        is_there
    }
}
