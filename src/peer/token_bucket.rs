//! A token bucket, which limits a rate but permits bursts.

use std::time::Instant;

/// A token bucket, which limits a rate but permits bursts. Callers pass the current time. A token
/// usually stands for a byte.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    rate: f64,
    burst: f64,
    level: f64,
    filled_at: Instant,
}

impl TokenBucket {
    /// A full bucket that gains `rate` tokens a second and holds at most `burst` tokens.
    pub fn new(rate: f64, burst: f64, now: Instant) -> Self {
        Self {
            rate,
            burst,
            level: burst,
            filled_at: now,
        }
    }

    /// The number of tokens that can be taken now.
    pub fn available(&mut self, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.filled_at);
        self.level = (self.level + self.rate * elapsed.as_secs_f64()).min(self.burst);
        self.filled_at = now;
        self.level
    }

    /// Takes `amount` tokens if the bucket holds as many, and returns whether it did.
    pub fn take(&mut self, amount: f64, now: Instant) -> bool {
        let is_available = self.available(now) >= amount;
        if is_available {
            self.level -= amount;
        }
        is_available
    }
}
