//! Token buckets for the request rates of customers.
//!
//! Fair shares already protect the waiting times of other customers when one customer sends far
//! more than was agreed. The bucket refuses the surplus at once, so that it does not fill the
//! queue.

use std::time::Instant;

use crate::decide::CustomerShare;

/// The token bucket of one customer at one pool.
#[derive(Debug)]
pub struct CustomerBucket {
    tokens: f64,
    refilled_at: Instant,
}

impl CustomerBucket {
    /// Creates a full bucket.
    pub fn new(limit: &CustomerShare, now: Instant) -> Self {
        Self {
            tokens: limit.burst_requests,
            refilled_at: now,
        }
    }

    /// Takes the token of one request. Returns false, and takes nothing, if the customer has
    /// exceeded its rate.
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
