//! The platform through a peer, where this host can't reach it itself.

use std::sync::Arc;
use std::time::Duration;

use futures_util::FutureExt;
use futures_util::future::BoxFuture;

use crate::board::Board;
use crate::board::HostState;
use crate::board::HostView;
use crate::control::claims::relay;
use crate::peer::Message;
use crate::peer::PeerError;
use crate::peer::Peers;
use crate::peer::message::PlatformCall;
use crate::peer::message::PlatformReply;
use crate::platform::Expected;
use crate::platform::Kind;
use crate::platform::Object;
use crate::platform::ObjectKey;
use crate::platform::ObjectList;
use crate::platform::Platform;
use crate::platform::PlatformError;
use crate::units::FailureDomainId;
use crate::units::HostId;
use crate::units::ObjectVersion;

/// How many peers are asked in turn. Peers of other failure domains come first, since a cut that
/// keeps this host from the platform mostly keeps its neighbours from it too.
const RELAYS_MAX: usize = 2;

/// A relay makes one call to the platform, which has its own timeout; this is somewhat longer.
const RELAY_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The platform, through a peer where it has to be.
pub struct RelayPlatform {
    /// The platform as this host reaches it itself.
    pub direct: Arc<dyn Platform>,
    /// Other hosts.
    pub peers: Arc<dyn Peers>,
    /// Which hosts there are.
    pub board: Arc<Board>,
    /// This host.
    pub host: HostId,
    /// Its failure domain.
    pub domain: FailureDomainId,
}

impl RelayPlatform {
    /// Peers that might reach the platform.
    fn relays(&self) -> Vec<HostId> {
        let views = self
            .board
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
            Ok(_) => Err(relay::of_peer_error(&PeerError::NoAnswer)),
            Err(err) => Err(relay::of_peer_error(&err)),
        }
    }
}

/// Only what certainly had no effect may be tried another way.
fn may_try_elsewhere<T>(result: &Result<T, PlatformError>) -> bool {
    matches!(result, Err(PlatformError::Unavailable(_)))
}

impl Platform for RelayPlatform {
    fn get(&self, key: ObjectKey) -> BoxFuture<'_, Result<Object, PlatformError>> {
        async move {
            let mut result = self.direct.get(key.clone()).await;
            for peer in self.relays() {
                if !may_try_elsewhere(&result) {
                    break;
                }
                let reply = self.ask(&peer, relay::get_to(&key)).await;
                result = reply.and_then(|reply| relay::got_from(&key, &reply));
            }
            // A read that nobody answered for sure is as good as none.
            result.map_err(|err| match err {
                PlatformError::Unknown(why) => PlatformError::Unavailable(why),
                err => err,
            })
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
            let mut result = self.direct.put(key.clone(), value.clone(), expected).await;
            for peer in self.relays() {
                if !may_try_elsewhere(&result) {
                    break;
                }
                let reply = self.ask(&peer, relay::put_to(&key, &value, expected)).await;
                result = reply.and_then(|reply| relay::written_from(&reply));
            }
            result
        }
        .boxed()
    }

    fn list(&self, kind: Kind) -> BoxFuture<'_, Result<ObjectList, PlatformError>> {
        self.direct.list(kind)
    }

    fn watch(
        &self,
        kind: Kind,
        after: ObjectVersion,
        wait: Duration,
    ) -> BoxFuture<'_, Result<ObjectList, PlatformError>> {
        self.direct.watch(kind, after, wait)
    }
}
