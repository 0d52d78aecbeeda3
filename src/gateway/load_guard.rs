//! Counts the load of a request on its upstreams while the request lasts.

use std::sync::Arc;

use crate::decide::RequestLoad;
use crate::gateway::Gateway;
use crate::units::UpstreamId;

/// The load of one send, which is subtracted when the guard is dropped, however the request ends.
pub(crate) struct LoadGuard {
    gateway: Arc<Gateway>,
    shares: Vec<(UpstreamId, RequestLoad)>,
    /// Avoids locking the ledger at each event after the first.
    is_prefilled: bool,
}

impl LoadGuard {
    pub(crate) fn new(gateway: &Arc<Gateway>, shares: Vec<(UpstreamId, RequestLoad)>) -> Self {
        let now = gateway.clock.now();
        let mut ledger = gateway.ledger();
        for (upstream, share) in &shares {
            ledger.start_request(upstream, share, now);
        }
        drop(ledger);
        gateway
            .rate_limits
            .on_sent(shares.iter().map(|(id, _)| id), now);
        // Hosts that do not know of prompts sent by each other choose the same engines, and each of
        // these prompts is then delayed beyond its forecast by the prefill of the others.
        if shares
            .iter()
            .any(|(_, share)| !share.prefill_time.is_zero())
        {
            gateway.broadcast_now.notify_one();
        } else {
            gateway.load_changed.notify_one();
        }
        Self {
            gateway: Arc::clone(gateway),
            shares,
            is_prefilled: false,
        }
    }
}

impl LoadGuard {
    /// Records that the prompt has been prefilled.
    pub(crate) fn on_prefill_done(&mut self) {
        if self.is_prefilled {
            return;
        }
        self.is_prefilled = true;
        let mut ledger = self.gateway.ledger();
        for (upstream, share) in &mut self.shares {
            ledger.finish_prefill(upstream, share);
        }
    }
}

impl Drop for LoadGuard {
    fn drop(&mut self) {
        let mut ledger = self.gateway.ledger();
        for (upstream, share) in &self.shares {
            ledger.end_request(upstream, share);
        }
        drop(ledger);
        self.gateway.load_changed.notify_one();
    }
}
