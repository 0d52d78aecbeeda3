//! Whether the state read from the platform is recent enough to serve and to send calls.

use std::time::Duration;

use crate::gateway::Call;
use crate::gateway::Gateway;
use crate::gateway::ShutdownPhase;

impl Gateway {
    /// Whether a call may be sent now by what this host knows of keys and of evacuations, both of
    /// which must be recent enough. Checked right before each send, since a call may have waited.
    pub fn may_send(&self, call: &Call) -> bool {
        self.may_send_by_key(call) && self.may_send_by_evacuations()
    }

    /// Whether a call has no customer, or its key is still valid and the view of the keys on this
    /// host is recent enough.
    fn may_send_by_key(&self, call: &Call) -> bool {
        if call.customer.is_none() {
            return true;
        }
        let now = self.clock.since_boot();
        self.platform_view
            .freshness()
            .holds_lease(self.conf.key_lease, now)
            && self.knows_key(call)
    }

    /// Whether the key of the call still belongs to its customer.
    fn knows_key(&self, call: &Call) -> bool {
        let routes = self.platform_view.routes();
        let key = call.head.key.as_deref().unwrap_or_default();
        routes.is_some_and(|routes| routes.keys.customer(key) == call.customer.as_ref())
    }

    /// The age of the manifest; none if there is no manifest.
    pub fn manifest_age(&self) -> Option<Duration> {
        self.platform_view.freshness().age(self.clock.since_boot())
    }

    /// Whether the host is ready for connections from the balancer.
    pub fn is_ready(&self) -> bool {
        let now = self.clock.since_boot();
        self.phase() == ShutdownPhase::Serving
            && self.stopped_tasks.is_empty()
            && self.platform_view.routes().is_some()
            && self.platform_view.upstreams().is_some()
            && self.knows_evacuations()
            && self.may_send_by_evacuations()
            && self
                .platform_view
                .freshness()
                .holds_lease(self.conf.key_lease, now)
    }
}
