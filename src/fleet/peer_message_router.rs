//! Routes the messages of other hosts to the components of this host.

use std::sync::Arc;

use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use log::debug;

use crate::clock::Clock;
use crate::control::claims::relay;
use crate::control::claims::relay::RelayedCall;
use crate::control::home::HomeEvent;
use crate::control::home::wire;
use crate::fleet::GrantWaiters;
use crate::fleet::HomeGranter;
use crate::fleet::HomeRunner;
use crate::fleet::ManifestRunner;
use crate::fleet::MembershipEvent;
use crate::fleet::MembershipRunner;
use crate::objects::PlatformClient;
use crate::peer::Message;
use crate::peer::PeerHandler;
use crate::peer::message::Announce;
use crate::peer::message::GrantReply;
use crate::peer::message::GrantRequest;
use crate::peer::message::PlatformCall;
use crate::units::HostId;
use crate::units::PoolId;

/// A handler of the events that a [`MembershipRunner`] returns.
pub trait MembershipEventHandler: Send + Sync {
    /// Handles events, in the order in which they happened.
    fn on_events(&self, events: Vec<MembershipEvent>);
}

/// Routes the messages of other hosts to the components of this host that handle them.
pub struct PeerMessageRouter {
    /// The clock of this host.
    pub clock: Arc<dyn Clock>,
    /// The homes on this host.
    pub homes: Arc<HomeRunner>,
    /// The granter of this host, which announces the live grants.
    pub granter: Arc<HomeGranter>,
    /// The requests of this host that wait for a decision.
    pub waiters: Arc<GrantWaiters>,
    /// The runner of the membership.
    pub membership: Arc<MembershipRunner>,
    /// The runner of the manifest controller.
    pub manifests: Arc<ManifestRunner>,
    /// The handler of membership events.
    pub membership_events: Arc<dyn MembershipEventHandler>,
    /// The platform without a relay, so that a relayed call is not relayed again.
    pub platform: Arc<dyn PlatformClient>,
}

impl PeerMessageRouter {
    /// Passes a request for a grant to the home on this host, and returns the reply; none if the
    /// request is invalid.
    fn handle_request(&self, from: HostId, request: &GrantRequest) -> Option<Message> {
        match wire::decode_request(request, self.clock.now()) {
            Ok((pool, work)) => {
                let answer = self
                    .homes
                    .handle(&pool, HomeEvent::Request { from, work })?;
                Some(Message::GrantReply(wire::encode_answer(&pool, &answer)))
            }
            Err(err) => {
                debug!("homes: invalid grant request of {from}: {err}");
                None
            }
        }
    }

    /// Passes a pushed decision to the request that waits for it. If no request waits, the decision
    /// is a duplicate, or the request was withdrawn and the home was informed. The grant is not
    /// released here, since a duplicate may name a grant that is in use.
    fn handle_decision(&self, from: &HostId, reply: &GrantReply) {
        match wire::decode_answer(reply) {
            Ok((pool, answer)) => {
                if !self.waiters.deliver(answer) {
                    debug!("homes: no request waits for the decision of {from} in {pool}");
                }
            }
            Err(err) => debug!("homes: invalid decision of {from}: {err}"),
        }
    }

    /// Passes the announced grants of a host to the home on this host, or answers a query with the
    /// live grants of this host.
    fn handle_announce(&self, from: HostId, announce: &Announce) {
        let Ok((pool, grants)) = wire::decode_announce(announce, self.clock.now()) else {
            debug!("homes: invalid announcement of {from}");
            return;
        };
        if announce.is_query {
            return self.granter.announce_pool_grants(&pool, &from);
        }
        self.homes
            .handle(&pool, HomeEvent::Announce { from, grants });
    }

    fn send_to_home(&self, pool: &PoolId, event: HomeEvent) {
        self.homes.handle(pool, event);
    }

    /// Makes a call to the platform for a peer.
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

impl PeerHandler for PeerMessageRouter {
    fn handle(&self, from: HostId, message: Message) -> BoxFuture<'_, Option<Message>> {
        async move {
            match message {
                Message::GrantRequest(request) => self.handle_request(from, &request),
                Message::GrantReply(reply) => {
                    self.handle_decision(&from, &reply);
                    None
                }
                Message::Finish(finish) => {
                    if let Ok((pool, grant, done)) = wire::decode_finish(&finish) {
                        self.send_to_home(&pool, HomeEvent::Finish { from, grant, done });
                    }
                    None
                }
                Message::Withdraw(withdraw) => {
                    if let Ok((pool, request)) = wire::decode_withdraw(&withdraw) {
                        self.send_to_home(&pool, HomeEvent::Withdraw { from, request });
                    }
                    None
                }
                Message::Announce(announce) => {
                    self.handle_announce(from, &announce);
                    None
                }
                Message::PlatformCall(call) => Some(self.relay(call).await),
                Message::Gossip(gossip) => {
                    self.membership_events
                        .on_events(self.membership.handle(&from, gossip));
                    None
                }
                Message::PoisonNotice(notice) => {
                    self.membership_events
                        .on_events(vec![MembershipEvent::Poison(notice)]);
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
