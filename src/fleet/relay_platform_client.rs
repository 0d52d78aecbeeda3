//! A client of the platform that relays calls through peers if this host can't reach the platform.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use futures_util::FutureExt;
use futures_util::future::BoxFuture;

use crate::cluster_view::ClusterView;
use crate::cluster_view::HostState;
use crate::cluster_view::HostView;
use crate::control::claims::relay;
use crate::objects::Object;
use crate::objects::ObjectKey;
use crate::objects::ObjectKind;
use crate::objects::ObjectList;
use crate::objects::PlatformClient;
use crate::objects::PlatformError;
use crate::objects::Precondition;
use crate::peer::Message;
use crate::peer::PeerError;
use crate::peer::PeerTransport;
use crate::peer::message::PlatformCall;
use crate::peer::message::PlatformReply;
use crate::units::FailureDomainId;
use crate::units::HostId;
use crate::units::ObjectVersion;

/// How many peers are asked in turn. Peers of other failure domains come first, since a network
/// partition between this host and the platform mostly affects the whole failure domain.
const RELAYS_MAX: usize = 2;

/// How long a peer may take to relay a call. The peer's own call to the platform has a shorter
/// timeout.
const RELAY_TIMEOUT: Duration = Duration::from_millis(1_500);

/// A client of the platform that calls it directly or through a peer.
///
/// A read or a write that fails with [`PlatformError::Unavailable`] is tried on the next path; a
/// read also if its outcome is unknown. Lists and watches are direct only.
///
/// In a network that drops packets every direct write times out, and a write that timed out may
/// have taken effect, so that the object has to be read before the write is tried again. Therefore
/// peers are asked first after a single failure of a direct call, until a direct call succeeds
/// again, such as one of the regular reads of this host.
pub struct RelayPlatformClient {
    direct: Arc<dyn PlatformClient>,
    peers: Arc<dyn PeerTransport>,
    cluster_view: Arc<ClusterView>,
    host: HostId,
    domain: FailureDomainId,
    is_direct_down: AtomicBool,
}

/// The dependencies of a [`RelayPlatformClient`].
pub struct RelayPlatformClientParts {
    /// The client that calls the platform directly.
    pub direct: Arc<dyn PlatformClient>,
    /// The transport to other hosts.
    pub peers: Arc<dyn PeerTransport>,
    /// The cluster view, with the hosts that can relay calls.
    pub cluster_view: Arc<ClusterView>,
    /// The id of this host.
    pub host: HostId,
    /// The failure domain of this host.
    pub domain: FailureDomainId,
}

/// A path on which a call reaches the platform.
enum CallPath {
    Direct,
    Peer(HostId),
}

impl RelayPlatformClient {
    /// A client that tries direct calls first.
    pub fn new(parts: RelayPlatformClientParts) -> Self {
        Self {
            direct: parts.direct,
            peers: parts.peers,
            cluster_view: parts.cluster_view,
            host: parts.host,
            domain: parts.domain,
            is_direct_down: AtomicBool::new(false),
        }
    }

    /// The paths to try, in order. The direct path comes first, or last if the platform was
    /// unavailable to the previous direct call.
    fn paths(&self) -> Vec<CallPath> {
        let mut paths: Vec<CallPath> = self.relays().into_iter().map(CallPath::Peer).collect();
        let is_down = self.is_direct_down.load(Ordering::Relaxed);
        paths.insert(if is_down { paths.len() } else { 0 }, CallPath::Direct);
        paths
    }

    /// Records whether a direct call reached the platform, and returns its result.
    fn record_direct<T>(&self, result: Result<T, PlatformError>) -> Result<T, PlatformError> {
        let is_down = matches!(
            result,
            Err(PlatformError::Unavailable(_) | PlatformError::OutcomeUnknown(_))
        );
        self.is_direct_down.store(is_down, Ordering::Relaxed);
        result
    }

    async fn get_through(&self, path: &CallPath, key: &ObjectKey) -> Result<Object, PlatformError> {
        match path {
            CallPath::Direct => self.record_direct(self.direct.get(key.clone()).await),
            CallPath::Peer(peer) => {
                let reply = self.request_relay(peer, relay::encode_get(key)).await?;
                relay::decode_get_result(key, &reply)
            }
        }
    }

    async fn put_through(
        &self,
        path: &CallPath,
        key: &ObjectKey,
        value: &serde_json::Value,
        expected: Precondition,
    ) -> Result<ObjectVersion, PlatformError> {
        match path {
            CallPath::Direct => {
                self.record_direct(self.direct.put(key.clone(), value.clone(), expected).await)
            }
            CallPath::Peer(peer) => {
                let reply = self
                    .request_relay(peer, relay::encode_put(key, value, expected))
                    .await?;
                relay::decode_put_result(&reply)
            }
        }
    }

    /// The peers to relay through: at most [`RELAYS_MAX`] live hosts in random order, those of
    /// other failure domains first.
    fn relays(&self) -> Vec<HostId> {
        let views = self
            .cluster_view
            .hosts
            .snapshot()
            .into_iter()
            .map(|(_, view)| view);
        let is_other = |view: &HostView| view.id != self.host && view.state == HostState::Alive;
        let mut views: Vec<HostView> = views.filter(is_other).collect();
        views.sort_by_key(|view| (view.domain == self.domain, rand::random::<u32>()));
        views
            .into_iter()
            .take(RELAYS_MAX)
            .map(|view| view.id)
            .collect()
    }

    /// Asks a peer to make a call to the platform.
    async fn request_relay(
        &self,
        peer: &HostId,
        call: PlatformCall,
    ) -> Result<PlatformReply, PlatformError> {
        let result = self
            .peers
            .request(peer, Message::PlatformCall(call), RELAY_TIMEOUT)
            .await;
        match result {
            Ok(Message::PlatformReply(reply)) => Ok(reply),
            Ok(_) => Err(relay::map_peer_error(&PeerError::NoReply)),
            Err(err) => Err(relay::map_peer_error(&err)),
        }
    }
}

/// The error of a call for which there is no path.
fn no_path() -> PlatformError {
    PlatformError::Unavailable("no path to the platform".to_owned())
}

impl PlatformClient for RelayPlatformClient {
    fn get(&self, key: ObjectKey) -> BoxFuture<'_, Result<Object, PlatformError>> {
        async move {
            let mut result = Err(no_path());
            for path in self.paths() {
                result = self.get_through(&path, &key).await;
                // A read has no effect, so that one without a reply may be tried on another path.
                if !matches!(
                    result,
                    Err(PlatformError::Unavailable(_) | PlatformError::OutcomeUnknown(_))
                ) {
                    break;
                }
            }
            result
        }
        .boxed()
    }

    fn put(
        &self,
        key: ObjectKey,
        value: serde_json::Value,
        expected: Precondition,
    ) -> BoxFuture<'_, Result<ObjectVersion, PlatformError>> {
        async move {
            let mut result = Err(no_path());
            for path in self.paths() {
                result = self.put_through(&path, &key, &value, expected).await;
                // Only a write that certainly had no effect may be tried on another path.
                if !matches!(result, Err(PlatformError::Unavailable(_))) {
                    break;
                }
            }
            result
        }
        .boxed()
    }

    fn list(&self, kind: ObjectKind) -> BoxFuture<'_, Result<ObjectList, PlatformError>> {
        async move { self.record_direct(self.direct.list(kind).await) }.boxed()
    }

    fn watch(
        &self,
        kind: ObjectKind,
        after: ObjectVersion,
        wait: Duration,
    ) -> BoxFuture<'_, Result<ObjectList, PlatformError>> {
        async move { self.record_direct(self.direct.watch(kind, after, wait).await) }.boxed()
    }
}
