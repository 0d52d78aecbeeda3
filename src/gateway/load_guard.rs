//! Keeps a request's work on the books for as long as it lasts.

use std::sync::Arc;

use crate::decide::RequestLoad;
use crate::gateway::Gateway;
use crate::units::UpstreamId;

/// The work of one send, which is taken off the books when the guard is dropped, however the
/// request ends.
pub(crate) struct LoadGuard {
    gateway: Arc<Gateway>,
    shares: Vec<(UpstreamId, RequestLoad)>,
    /// Spares the ledger's lock at each event after the first.
    is_read: bool,
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
        // Hosts that do not know of each other's prompts choose the same engines, and all of these
        // come later than forecast by the time of the others.
        if shares
            .iter()
            .any(|(_, share)| !share.prefill_time.is_zero())
        {
            gateway.load_urgent.notify_one();
        } else {
            gateway.load_changed.notify_one();
        }
        Self {
            gateway: Arc::clone(gateway),
            shares,
            is_read: false,
        }
    }
}

impl LoadGuard {
    /// Takes in that the prompt has been read.
    pub(crate) fn read_done(&mut self) {
        if self.is_read {
            return;
        }
        self.is_read = true;
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
