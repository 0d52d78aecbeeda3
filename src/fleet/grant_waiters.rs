//! The requests of this host that wait for the decision of a home.

use tokio::sync::mpsc;

use crate::cluster_view::ShardedMap;
use crate::control::home::HomeAnswer;
use crate::units::RequestId;

/// The requests of this host that wait for the decision of a home, by request id.
#[derive(Debug, Default)]
pub struct GrantWaiters {
    senders: ShardedMap<RequestId, mpsc::UnboundedSender<HomeAnswer>>,
}

impl GrantWaiters {
    /// Registers a request and returns the channel on which its decisions arrive. The channel is
    /// unbounded but stays short: a home sends at most one decision for each time it is asked.
    pub fn register(&self, request: RequestId) -> mpsc::UnboundedReceiver<HomeAnswer> {
        let (tx, rx) = mpsc::unbounded_channel();
        self.senders.insert(request, tx);
        rx
    }

    /// Removes a request that no longer waits. Later decisions on the request are not delivered.
    pub fn unregister(&self, request: RequestId) {
        self.senders.remove(&request);
    }

    /// Passes a decision to the request that waits for it. The request stays registered, and may
    /// get further decisions, until [`Self::unregister`]. Returns `false` if the request is not
    /// registered or its receiver is gone.
    pub fn deliver(&self, answer: HomeAnswer) -> bool {
        let request = answer.request;
        let sent = self.senders.update(&request, |tx| tx.send(answer).is_ok());
        sent.unwrap_or(false)
    }
}
