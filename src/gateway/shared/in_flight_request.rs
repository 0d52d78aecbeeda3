//! The number of requests in flight.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use crate::gateway::Gateway;

/// A guard that counts one request as in flight until the guard is dropped.
pub struct InFlightRequest {
    gateway: Arc<Gateway>,
}

impl Drop for InFlightRequest {
    fn drop(&mut self) {
        self.gateway.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Gateway {
    /// The number of requests in flight.
    pub fn in_flight(&self) -> u64 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Counts a request as in flight until the guard is dropped.
    pub fn count_in_flight(self: &Arc<Self>) -> InFlightRequest {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        InFlightRequest {
            gateway: Arc::clone(self),
        }
    }
}
