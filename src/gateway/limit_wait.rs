//! A guard for a call that waits for the rate limits of a service's upstreams.

use std::sync::Arc;

use crate::gateway::Gateway;
use crate::units::ServiceId;

/// Counts a call among those that wait on this host for the rate limits of a service's upstreams,
/// until it is dropped.
pub(crate) struct LimitWait {
    gateway: Arc<Gateway>,
    service: ServiceId,
}

impl LimitWait {
    /// Counts one more waiting call for the service.
    pub(crate) fn new(gateway: &Arc<Gateway>, service: &ServiceId) -> Self {
        gateway.rate_limits.begin_wait(service);
        Self {
            gateway: Arc::clone(gateway),
            service: service.clone(),
        }
    }
}

impl Drop for LimitWait {
    fn drop(&mut self) {
        self.gateway.rate_limits.end_wait(&self.service);
    }
}
