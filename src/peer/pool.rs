//! Connections to other hosts, one a host.

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
use crate::peer::link::Outgoing;
use crate::units::HostId;

/// Messages that wait for one host. A host that reads too slowly costs this much memory and no
/// more; what does not fit is lost at once, which its sender sees.
const QUEUE_LEN: usize = 1_024;

/// The connections of one host to all others. Each is opened by the first message, opened again
/// with jittered backoff, and runs in a task of its own, so that a frozen host delays no other.
///
/// A host that answers none of its requests for three seconds is taken for cut off or frozen, and
/// its connection is closed; a handler that needs longer must answer first and send again later.
pub struct PeerPool {
    shared: Arc<PoolShared>,
    links: Mutex<Links>,
}

/// What all links of a pool use.
pub(crate) struct PoolShared {
    pub(crate) host: HostId,
    pub(crate) keys: Keyring,
    pub(crate) addrs: Arc<dyn PeerAddrs>,
    pub(crate) traffic: Arc<Traffic>,
}

struct Links {
    by_host: IndexMap<HostId, LinkHandle>,
    rng: StdRng,
}

struct LinkHandle {
    queue: mpsc::Sender<Outgoing>,
    stop: CancellationToken,
}

impl Drop for LinkHandle {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

impl PeerPool {
    /// A pool without connections. The nonces come from `rng`, which must be seeded by the system's
    /// random source outside of tests.
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

    /// Closes the connection to a host that is believed gone. After a cut, the machine would go on
    /// resending on the old connection at ever longer intervals; a new one works at once.
    pub fn disconnect(&self, host: &HostId) {
        self.links().by_host.swap_remove(host);
    }

    /// How many hosts there are connections or attempts to connect to.
    pub fn link_count(&self) -> usize {
        self.links().by_host.len()
    }

    fn links(&self) -> MutexGuard<'_, Links> {
        self.links.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn queue(&self, host: &HostId) -> mpsc::Sender<Outgoing> {
        let mut links = self.links();
        let open = links.by_host.get(host).map(|link| &link.queue);
        if let Some(queue) = open.filter(|queue| !queue.is_closed()) {
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
        let outgoing = Outgoing {
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
        let (reply, answered) = oneshot::channel();
        let outgoing = Outgoing {
            message,
            reply: Some(reply),
        };
        let queued = self.queue(to).try_send(outgoing);
        Box::pin(async move {
            if queued.is_err() {
                self.shared.traffic.count_dropped();
                return Err(PeerError::Unreachable("its queue is full".to_owned()));
            }
            match tokio::time::timeout(timeout, answered).await {
                Ok(Ok(answer)) => answer,
                Ok(Err(_)) | Err(_) => Err(PeerError::NoReply),
            }
        })
    }
}
