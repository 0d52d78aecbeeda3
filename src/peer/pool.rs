//! The pool of connections to other hosts, with at most one connection to each host.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use futures_util::future::BoxFuture;
use indexmap::IndexMap;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio_util::sync::CancellationToken;

use crate::peer::Keyring;
use crate::peer::Message;
use crate::peer::PeerAddrs;
use crate::peer::PeerError;
use crate::peer::PeerTransport;
use crate::peer::Traffic;
use crate::peer::link::Link;
use crate::peer::link::OutgoingMessage;
use crate::units::HostId;

/// The number of messages that can wait for one host. It bounds the memory that a slow host takes.
/// A message that does not fit is dropped at once: it is counted, and a request fails.
const QUEUE_LEN: usize = 1_024;

/// The connections of this host to all others. Each connection is opened by the first message,
/// reopened with a jittered backoff, and run by a task of its own, so that a frozen host delays no
/// other.
///
/// A host that replies to none of its pending requests for three seconds is assumed to be frozen or
/// unreachable, and its connection is closed. A handler that takes longer must reply first and send
/// its result in a later message.
pub struct PeerPool {
    shared: Arc<PoolShared>,
    links: Mutex<Links>,
}

/// The data that the links of a pool share.
pub(crate) struct PoolShared {
    pub(crate) host: HostId,
    pub(crate) keys: Keyring,
    pub(crate) addrs: Arc<dyn PeerAddrs>,
    pub(crate) traffic: Arc<Traffic>,
}

/// The links by host, and the source of the random numbers of new links.
struct Links {
    by_host: IndexMap<HostId, LinkHandle>,
    rng: StdRng,
}

/// The pool's handle of the task of a link. Dropping the handle stops the task and closes its
/// connection.
struct LinkHandle {
    queue: mpsc::Sender<OutgoingMessage>,
    stop: CancellationToken,
}

impl Drop for LinkHandle {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

impl PeerPool {
    /// A pool without connections. The nonces of handshakes come from `rng`, which must be seeded
    /// from the random source of the operating system except in tests.
    pub fn new(
        host: HostId,
        keys: Keyring,
        addrs: Arc<dyn PeerAddrs>,
        traffic: Arc<Traffic>,
        rng: StdRng,
    ) -> Self {
        let by_host = IndexMap::new();
        Self {
            shared: Arc::new(PoolShared {
                host,
                keys,
                addrs,
                traffic,
            }),
            links: Mutex::new(Links { by_host, rng }),
        }
    }

    /// Closes the connection to a host that is assumed to be dead, and drops the messages that are
    /// queued for the host; pending requests fail. The next message opens a new connection. After a
    /// network partition the new connection works at once, whereas TCP would retransmit on the old
    /// one at ever longer intervals.
    pub fn disconnect(&self, host: &HostId) {
        self.links().by_host.swap_remove(host);
    }

    /// The number of hosts that have a link. A link without an open connection counts as well,
    /// until [`Self::disconnect`] removes it.
    pub fn link_count(&self) -> usize {
        self.links().by_host.len()
    }

    fn links(&self) -> MutexGuard<'_, Links> {
        self.links.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The queue of the link to a host. If there is no link or its task has ended, a new link is
    /// created and its task spawned.
    fn queue(&self, host: &HostId) -> mpsc::Sender<OutgoingMessage> {
        let mut links = self.links();
        let existing = links.by_host.get(host).map(|link| &link.queue);
        if let Some(queue) = existing.filter(|queue| !queue.is_closed()) {
            return queue.clone();
        }
        let rng = StdRng::from_rng(&mut links.rng);
        let (queue, outgoing) = mpsc::channel(QUEUE_LEN);
        let stop = CancellationToken::new();
        let link = Link::new(Arc::clone(&self.shared), host.clone(), outgoing, rng);
        tokio::spawn(stop.clone().run_until_cancelled_owned(link.run()));
        let handle = LinkHandle {
            queue: queue.clone(),
            stop,
        };
        links.by_host.insert(host.clone(), handle);
        queue
    }
}

impl PeerTransport for PeerPool {
    fn send(&self, to: &HostId, message: Message) {
        let outgoing = OutgoingMessage {
            message,
            reply: None,
        };
        if self.queue(to).try_send(outgoing).is_err() {
            self.shared.traffic.count_dropped();
        }
    }

    fn request(
        &self,
        to: &HostId,
        message: Message,
        timeout: Duration,
    ) -> BoxFuture<'_, Result<Message, PeerError>> {
        let (reply_sender, reply_receiver) = oneshot::channel();
        let outgoing = OutgoingMessage {
            message,
            reply: Some(reply_sender),
        };
        let queued = self.queue(to).try_send(outgoing);
        Box::pin(async move {
            if queued.is_err() {
                self.shared.traffic.count_dropped();
                return Err(PeerError::Unreachable("message queue is full".to_owned()));
            }
            match tokio::time::timeout(timeout, reply_receiver).await {
                Ok(Ok(reply)) => reply,
                Ok(Err(_)) | Err(_) => Err(PeerError::NoReply),
            }
        })
    }
}
