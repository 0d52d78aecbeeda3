//! The graceful shutdown of a host.

use crate::gateway::Call;
use crate::gateway::DecisionEvent;
use crate::gateway::Gateway;
use crate::gateway::ShutdownPhase;
use crate::gateway::shutdown::ends_in_time;

impl Gateway {
    /// Starts the graceful shutdown. Later calls have no effect.
    pub fn begin_shutdown(&self) {
        let now = self.clock.now();
        let is_requested = self.shutdown_requested_at.send_if_modified(|requested_at| {
            let is_first = requested_at.is_none();
            requested_at.get_or_insert(now);
            is_first
        });
        if is_requested {
            let in_flight = self.in_flight();
            self.log.record(DecisionEvent::Stopping { in_flight });
        }
    }

    /// Waits until a shutdown is requested.
    pub async fn shutdown_requested(&self) {
        let mut requested = self.shutdown_requested_at.subscribe();
        // Fails only when the sender is dropped, which exists as long as this host.
        let _ = requested.wait_for(Option::is_some).await;
    }

    /// Whether a new call is likely to end before this host exits, as far as calls of its route tell.
    pub(crate) fn has_time_for(&self, call: &Call) -> bool {
        let requested_at = *self.shutdown_requested_at.borrow();
        if requested_at.is_none() {
            return true;
        }
        let takes = self.durations().longest(&call.route.name);
        let now = self.clock.now();
        ends_in_time(requested_at, self.conf.stop_grace, takes, now)
    }

    /// The current phase of the shutdown.
    pub fn phase(&self) -> ShutdownPhase {
        let requested_at = *self.shutdown_requested_at.borrow();
        ShutdownPhase::at(requested_at, self.conf.stop_grace, self.clock.now())
    }
}
