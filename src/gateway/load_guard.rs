//! Counts the load of a request on its upstreams while the request lasts.

use std::sync::Arc;

use crate::decide::RequestLoad;
use crate::gateway::Gateway;
use crate::units::UpstreamId;

/// The load of one send, which is subtracted when the guard is dropped, however the request ends.
pub(crate) struct LoadGuard {
    gateway: Arc<Gateway>,
    loads: Vec<(UpstreamId, RequestLoad)>,
    /// Whether the prefill has been recorded as done. Spares locking the ledger at each event after
    /// the first.
    is_prefilled: bool,
}

impl LoadGuard {
    /// Adds the loads to the ledger, counts the send against the upstreams' limits, and has the new
    /// load broadcast: at once if it includes prefill.
    pub(crate) fn new(gateway: &Arc<Gateway>, loads: Vec<(UpstreamId, RequestLoad)>) -> Self {
        let now = gateway.clock.now();
        let mut ledger = gateway.ledger();
        for (upstream, load) in &loads {
            ledger.start_request(upstream, load, now);
        }
        drop(ledger);
        gateway
            .rate_limits
            .on_sent(loads.iter().map(|(id, _)| id), now);
        // Hosts that do not know of prompts sent by each other choose the same engines, and each of
        // these prompts is then delayed beyond its forecast by the prefill of the others.
        if loads.iter().any(|(_, load)| !load.prefill_time.is_zero()) {
            gateway.broadcast_now.notify_one();
        } else {
            gateway.load_changed.notify_one();
        }
        Self {
            gateway: Arc::clone(gateway),
            loads,
            is_prefilled: false,
        }
    }
}

impl LoadGuard {
    /// Records that the prompt has been prefilled. Only the first call has an effect.
    pub(crate) fn on_prefill_done(&mut self) {
        if self.is_prefilled {
            return;
        }
        self.is_prefilled = true;
        let mut ledger = self.gateway.ledger();
        for (upstream, load) in &mut self.loads {
            ledger.finish_prefill(upstream, load);
        }
    }
}

impl Drop for LoadGuard {
    fn drop(&mut self) {
        let mut ledger = self.gateway.ledger();
        for (upstream, load) in &self.loads {
            ledger.end_request(upstream, load);
        }
        drop(ledger);
        self.gateway.load_changed.notify_one();
        self.gateway.waiting.wake_for_slot();
    }
}
