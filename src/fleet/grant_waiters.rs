//! Requests that wait for a home's decision.

use tokio::sync::mpsc;

use crate::cluster_view::ShardedMap;
use crate::control::home::HomeAnswer;
use crate::units::RequestId;

/// Requests that wait for a home's decision, by their id.
#[derive(Debug, Default)]
pub struct GrantWaiters {
    senders: ShardedMap<RequestId, mpsc::UnboundedSender<HomeAnswer>>,
}

impl GrantWaiters {
    /// Starts to wait. A request gets at most one decision an asking, so the channel stays short.
    pub fn wait(&self, request: RequestId) -> mpsc::UnboundedReceiver<HomeAnswer> {
        let (tx, rx) = mpsc::unbounded_channel();
        self.senders.insert(request, tx);
        rx
    }

    /// Stops waiting.
    pub fn forget(&self, request: RequestId) {
        self.senders.remove(&request);
    }

    /// Hands a decision to the request that waits for it. Returns whether one does.
    pub fn decided(&self, answer: HomeAnswer) -> bool {
        let request = answer.request;
        let sent = self.senders.update(&request, |tx| tx.send(answer).is_ok());
        sent.unwrap_or(false)
    }
}
