//! Keeps a request's work on the books for as long as it lasts.

use std::sync::Arc;

use crate::decide::LoadShare;
use crate::gateway::Gateway;
use crate::units::UpstreamId;

/// The work of one send, which is taken off the books when the guard is dropped, however the
/// request ends.
pub(crate) struct LoadGuard {
    gateway: Arc<Gateway>,
    shares: Vec<(UpstreamId, LoadShare)>,
    /// Spares the ledger's lock at each event after the first.
    is_prefilled: bool,
}

impl LoadGuard {
    pub(crate) fn new(gateway: &Arc<Gateway>, shares: Vec<(UpstreamId, LoadShare)>) -> Self {
        let now = gateway.clock.now();
        let mut ledger = gateway.ledger();
        for (upstream, share) in &shares {
            ledger.start(upstream, share, now);
        }
        drop(ledger);
        gateway
            .rate_limits
            .on_sent(shares.iter().map(|(id, _)| id), now);
        // Hosts that do not know of each other's prompts choose the same engines, and all of these
        // come later than forecast by the time of the others.
        if shares.iter().any(|(_, share)| !share.read_time.is_zero()) {
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
    /// Takes in that the prompt has been read.
    pub(crate) fn on_prefill_done(&mut self) {
        if self.is_prefilled {
            return;
        }
        self.is_prefilled = true;
        let mut ledger = self.gateway.ledger();
        for (upstream, share) in &mut self.shares {
            ledger.read_done(upstream, share);
        }
    }
}

impl Drop for LoadGuard {
    fn drop(&mut self) {
        let mut ledger = self.gateway.ledger();
        for (upstream, share) in &self.shares {
            ledger.end(upstream, share);
        }
        drop(ledger);
        self.gateway.load_changed.notify_one();
    }
}
