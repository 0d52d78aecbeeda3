//! Hands other hosts' messages to the parts that they are for.

use std::sync::Arc;

use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use log::debug;

use crate::clock::Clock;
use crate::control::claims::relay;
use crate::control::claims::relay::RelayedCall;
use crate::control::home::HomeEvent;
use crate::control::home::wire;
use crate::fleet::FleetNews;
use crate::fleet::GrantWaiters;
use crate::fleet::HomeDesk;
use crate::fleet::HomeGranter;
use crate::fleet::ManifestDesk;
use crate::fleet::MembershipDesk;
use crate::objects::Platform;
use crate::peer::Message;
use crate::peer::PeerHandler;
use crate::peer::message::Announce;
use crate::peer::message::GrantReply;
use crate::peer::message::GrantRequest;
use crate::peer::message::PlatformCall;
use crate::units::HostId;
use crate::units::PoolId;

/// Whoever acts on changes of the membership.
pub trait NewsSink: Send + Sync {
    /// Takes in what has changed.
    fn take(&self, news: Vec<FleetNews>);
}

/// Hands other hosts' messages to the parts that they are for.
pub struct PeerDesk {
    /// The clock.
    pub clock: Arc<dyn Clock>,
    /// The homes on this host.
    pub homes: Arc<HomeDesk>,
    /// The grants of this host.
    pub granter: Arc<HomeGranter>,
    /// Requests of this host that wait.
    pub waiters: Arc<GrantWaiters>,
    /// The membership.
    pub membership: Arc<MembershipDesk>,
    /// The spreading of manifests.
    pub manifests: Arc<ManifestDesk>,
    /// Whoever acts on changes of the membership.
    pub news: Arc<dyn NewsSink>,
    /// The platform, as this host reaches it itself.
    pub platform: Arc<dyn Platform>,
}

impl PeerDesk {
    fn request(&self, from: HostId, request: &GrantRequest) -> Option<Message> {
        match wire::decode_request(request, self.clock.now()) {
            Ok((pool, work)) => {
                let answer = self
                    .homes
                    .handle(&pool, HomeEvent::Request { from, work })?;
                Some(Message::GrantReply(wire::encode_answer(&pool, &answer)))
            }
            Err(err) => {
                debug!("homes: {from} asked wrongly: {err}");
                None
            }
        }
    }

    /// A decision that was pushed. One that nobody waits for came a second time, or its request was
    /// withdrawn, which the home was told; to give the grant back here could end one that is in use.
    fn pushed(&self, from: &HostId, reply: &GrantReply) {
        match wire::decode_answer(reply) {
            Ok((pool, answer)) => {
                if !self.waiters.decided(answer) {
                    debug!("homes: {from} decided in {pool}, and nobody waits");
                }
            }
            Err(err) => debug!("homes: {from} pushed a decision that can't be read: {err}"),
        }
    }

    fn announce(&self, from: HostId, announce: &Announce) {
        let Ok((pool, grants)) = wire::decode_announce(announce, self.clock.now()) else {
            debug!("homes: {from} announced what can't be read");
            return;
        };
        if announce.is_question {
            return self.granter.announce_pool(&pool, &from);
        }
        self.homes
            .handle(&pool, HomeEvent::Announce { from, grants });
    }

    fn of_home(&self, pool: &PoolId, event: HomeEvent) {
        self.homes.handle(pool, event);
    }

    async fn relay(&self, call: PlatformCall) -> Message {
        let reply = match relay::decode_call(&call) {
            Ok(RelayedCall::Get(key)) => relay::encode_get_result(&self.platform.get(key).await),
            Ok(RelayedCall::Put {
                key,
                value,
                expected,
            }) => relay::encode_put_result(&self.platform.put(key, value, expected).await),
            Err(err) => relay::encode_put_result(&Err(err)),
        };
        Message::PlatformReply(reply)
    }
}

impl PeerHandler for PeerDesk {
    fn handle(&self, from: HostId, message: Message) -> BoxFuture<'_, Option<Message>> {
        async move {
            match message {
                Message::GrantRequest(request) => self.request(from, &request),
                Message::GrantReply(reply) => {
                    self.pushed(&from, &reply);
                    None
                }
                Message::Finish(finish) => {
                    if let Ok((pool, grant, done)) = wire::decode_finish(&finish) {
                        self.of_home(&pool, HomeEvent::Finish { from, grant, done });
                    }
                    None
                }
                Message::Withdraw(withdraw) => {
                    if let Ok((pool, request)) = wire::decode_withdraw(&withdraw) {
                        self.of_home(&pool, HomeEvent::Withdraw { from, request });
                    }
                    None
                }
                Message::Announce(announce) => {
                    self.announce(from, &announce);
                    None
                }
                Message::PlatformCall(call) => Some(self.relay(call).await),
                Message::Gossip(gossip) => {
                    self.news.take(self.membership.handle(&from, gossip));
                    None
                }
                Message::PoisonNotice(notice) => {
                    self.news.take(vec![FleetNews::Poison(notice)]);
                    None
                }
                message @ (Message::ManifestNotice(_)
                | Message::ManifestQuery(_)
                | Message::IndexRequest(_)
                | Message::ManifestIndex(_)
                | Message::PartsRequest(_)
                | Message::ManifestParts(_)) => {
                    self.manifests.handle(&from, message);
                    None
                }
                Message::PlatformReply(_) | Message::Ack(()) => None,
            }
        }
        .boxed()
    }
}
