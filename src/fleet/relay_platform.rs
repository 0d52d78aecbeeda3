//! The platform through a peer, where this host can't reach it itself.

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
use crate::objects::Expected;
use crate::objects::Kind;
use crate::objects::Object;
use crate::objects::ObjectKey;
use crate::objects::ObjectList;
use crate::objects::Platform;
use crate::objects::PlatformError;
use crate::peer::Message;
use crate::peer::PeerError;
use crate::peer::Peers;
use crate::peer::message::PlatformCall;
use crate::peer::message::PlatformReply;
use crate::units::FailureDomainId;
use crate::units::HostId;
use crate::units::ObjectVersion;

/// How many peers are asked in turn. Peers of other failure domains come first, since a cut that
/// keeps this host from the platform mostly keeps its neighbours from it too.
const RELAYS_MAX: usize = 2;

/// A relay makes one call to the platform, which has its own timeout; this is somewhat longer.
const RELAY_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The platform, through a peer where it has to be.
///
/// A network that swallows packets lets every write time out, and a write that timed out may have
/// taken effect: it has to be read back before it is tried again. So the first failure counts, and
/// from then on peers are asked first, until the host's regular reads get through again.
pub struct RelayPlatform {
    direct: Arc<dyn Platform>,
    peers: Arc<dyn Peers>,
    cluster_view: Arc<ClusterView>,
    host: HostId,
    domain: FailureDomainId,
    is_direct_down: AtomicBool,
}

/// What a relay works with.
pub struct RelayPlatformParts {
    /// The platform as this host reaches it itself.
    pub direct: Arc<dyn Platform>,
    /// Other hosts.
    pub peers: Arc<dyn Peers>,
    /// Which hosts there are.
    pub cluster_view: Arc<ClusterView>,
    /// This host.
    pub host: HostId,
    /// Its failure domain.
    pub domain: FailureDomainId,
}

/// A way to the platform.
enum Way {
    Direct,
    Peer(HostId),
}

impl RelayPlatform {
    /// A relay that begins with the direct way.
    pub fn new(parts: RelayPlatformParts) -> Self {
        Self {
            direct: parts.direct,
            peers: parts.peers,
            cluster_view: parts.cluster_view,
            host: parts.host,
            domain: parts.domain,
            is_direct_down: AtomicBool::new(false),
        }
    }

    /// The ways to the platform, the best first.
    fn ways(&self) -> Vec<Way> {
        let mut ways: Vec<Way> = self.relays().into_iter().map(Way::Peer).collect();
        let is_down = self.is_direct_down.load(Ordering::Relaxed);
        ways.insert(if is_down { ways.len() } else { 0 }, Way::Direct);
        ways
    }

    /// Remembers whether the platform could be reached.
    fn direct<T>(&self, result: Result<T, PlatformError>) -> Result<T, PlatformError> {
        let is_down = matches!(
            result,
            Err(PlatformError::Unavailable(_) | PlatformError::Unknown(_))
        );
        self.is_direct_down.store(is_down, Ordering::Relaxed);
        result
    }

    async fn get_by(&self, way: &Way, key: &ObjectKey) -> Result<Object, PlatformError> {
        match way {
            Way::Direct => self.direct(self.direct.get(key.clone()).await),
            Way::Peer(peer) => {
                let reply = self.ask(peer, relay::encode_get(key)).await?;
                relay::decode_get_result(key, &reply)
            }
        }
    }

    async fn put_by(
        &self,
        way: &Way,
        key: &ObjectKey,
        value: &serde_json::Value,
        expected: Expected,
    ) -> Result<ObjectVersion, PlatformError> {
        match way {
            Way::Direct => self.direct(self.direct.put(key.clone(), value.clone(), expected).await),
            Way::Peer(peer) => {
                let reply = self
                    .ask(peer, relay::encode_put(key, value, expected))
                    .await?;
                relay::decode_put_result(&reply)
            }
        }
    }

    /// Peers that might reach the platform.
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

    async fn ask(&self, peer: &HostId, call: PlatformCall) -> Result<PlatformReply, PlatformError> {
        let asked = self
            .peers
            .request(peer, Message::PlatformCall(call), RELAY_TIMEOUT)
            .await;
        match asked {
            Ok(Message::PlatformReply(reply)) => Ok(reply),
            Ok(_) => Err(relay::map_peer_error(&PeerError::NoAnswer)),
            Err(err) => Err(relay::map_peer_error(&err)),
        }
    }
}

fn no_way() -> PlatformError {
    PlatformError::Unavailable("there is no way to the platform".to_owned())
}

impl Platform for RelayPlatform {
    fn get(&self, key: ObjectKey) -> BoxFuture<'_, Result<Object, PlatformError>> {
        async move {
            let mut result = Err(no_way());
            for way in self.ways() {
                result = self.get_by(&way, &key).await;
                // A read has no effect: one that nobody answered may be tried another way.
                if !matches!(
                    result,
                    Err(PlatformError::Unavailable(_) | PlatformError::Unknown(_))
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
        expected: Expected,
    ) -> BoxFuture<'_, Result<ObjectVersion, PlatformError>> {
        async move {
            let mut result = Err(no_way());
            for way in self.ways() {
                result = self.put_by(&way, &key, &value, expected).await;
                // Only what certainly had no effect may be tried another way.
                if !matches!(result, Err(PlatformError::Unavailable(_))) {
                    break;
                }
            }
            result
        }
        .boxed()
    }

    fn list(&self, kind: Kind) -> BoxFuture<'_, Result<ObjectList, PlatformError>> {
        async move { self.direct(self.direct.list(kind).await) }.boxed()
    }

    fn watch(
        &self,
        kind: Kind,
        after: ObjectVersion,
        wait: Duration,
    ) -> BoxFuture<'_, Result<ObjectList, PlatformError>> {
        async move { self.direct(self.direct.watch(kind, after, wait).await) }.boxed()
    }
}
