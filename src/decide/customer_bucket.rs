//! Rates of customers, as token buckets.
//!
//! Load it answers: a customer sends far more than was agreed. Fair shares already protect the
//! others' waits; the bucket keeps its surplus from filling the queue, and tells it at once.

use std::time::Instant;

use crate::decide::CustomerShare;

/// One customer's rate at one pool.
#[derive(Debug)]
pub struct CustomerBucket {
    tokens: f64,
    refilled_at: Instant,
}

impl CustomerBucket {
    /// A full bucket.
    pub fn new(limit: &CustomerShare, now: Instant) -> Self {
        Self {
            tokens: limit.burst_requests,
            refilled_at: now,
        }
    }

    /// Takes one request out. Returns whether the customer is within its rate.
    pub fn take(&mut self, limit: &CustomerShare, now: Instant) -> bool {
        let elapsed = now
            .saturating_duration_since(self.refilled_at)
            .as_secs_f64();
        self.refilled_at = now;
        self.tokens = (self.tokens + elapsed * limit.rate.0).min(limit.burst_requests);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
