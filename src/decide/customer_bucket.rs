//! Rates of customers, as token buckets.
//!
//! Load it answers: a customer sends far more than was agreed. Fair shares already protect the
//! others' waits; the bucket keeps its surplus from filling the queue, and tells it at once.

use std::time::Instant;

use crate::decide::CustomerShare;

/// One customer's rate at one pool.
#[derive(Debug)]
pub struct CustomerBucket {
    level: f64,
    filled_at: Instant,
}

impl CustomerBucket {
    /// A full bucket.
    pub fn new(limit: &CustomerShare, now: Instant) -> Self {
        Self {
            level: limit.burst_requests,
            filled_at: now,
        }
    }

    /// Takes one request out. Returns whether the customer is within its rate.
    pub fn take(&mut self, limit: &CustomerShare, now: Instant) -> bool {
        let elapsed = now.saturating_duration_since(self.filled_at).as_secs_f64();
        self.filled_at = now;
        self.level = (self.level + elapsed * limit.rate.0).min(limit.burst_requests);
        if self.level < 1.0 {
            return false;
        }
        self.level -= 1.0;
        true
    }
}
