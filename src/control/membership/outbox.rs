//! Outgoing messages of the membership, within its byte budget.

use std::time::Instant;

use crate::control::membership::MembershipAction;
use crate::control::membership::broadcast_queue::Broadcast;
use crate::control::membership::broadcast_queue::BroadcastQueue;
use crate::control::membership::conf::BURST_BYTES;
use crate::control::membership::conf::PROBE_RESERVE_BYTES;
use crate::control::membership::conf::RECORDS_PER_MESSAGE_MAX;
use crate::peer::Message;
use crate::peer::TokenBucket;
use crate::peer::message::Gossip;
use crate::peer::message::GossipBody;
use crate::peer::message::HostRecord;
use crate::peer::wire_len;
use crate::units::Generation;
use crate::units::HostId;
use crate::units::Incarnation;

/// The outgoing side of the membership: the actions that wait to be returned to the caller, the
/// queued broadcasts, and the byte budget for messages. Stamps each message with the incarnation
/// and the manifest generation of this host.
#[derive(Debug)]
pub(crate) struct Outbox {
    actions: Vec<MembershipAction>,
    budget: TokenBucket,
    broadcasts: BroadcastQueue,
    transmissions_max: usize,
    incarnation: Incarnation,
    generation: Generation,
}

impl Outbox {
    /// An empty outbox whose byte budget refills at `bytes_per_second`.
    pub(crate) fn new(bytes_per_second: u64, now: Instant) -> Self {
        Self {
            actions: Vec::new(),
            budget: TokenBucket::new(bytes_per_second as f64, BURST_BYTES, now),
            broadcasts: BroadcastQueue::default(),
            transmissions_max: 1,
            incarnation: Incarnation::default(),
            generation: Generation::default(),
        }
    }

    /// Sets the incarnation and generation that every message carries.
    pub(crate) fn set_sender(&mut self, incarnation: Incarnation, generation: Generation) {
        self.incarnation = incarnation;
        self.generation = generation;
    }

    /// Sets the number of transmissions of a broadcast. A broadcast reaches all of `host_count`
    /// hosts with high probability when each host sends it twice per doubling of that number.
    pub(crate) fn set_host_count(&mut self, host_count: usize) {
        let doublings = usize::BITS - host_count.leading_zeros();
        self.transmissions_max = 2 * usize::try_from(doublings).unwrap_or(1).max(1);
    }

    /// Queues an action other than sending a message.
    pub(crate) fn push(&mut self, action: MembershipAction) {
        self.actions.push(action);
    }

    /// Queues a broadcast, which is attached to the next messages.
    pub(crate) fn broadcast(&mut self, broadcast: Broadcast) {
        self.broadcasts.push(broadcast);
    }

    /// Sends one message, with broadcasts attached unless little of the budget is left. The message
    /// is dropped if it exceeds the budget. `about_receiver` is a record that the receiver must
    /// learn about itself.
    pub(crate) fn send(
        &mut self,
        to: &HostId,
        body: GossipBody,
        about_receiver: Option<HostRecord>,
        now: Instant,
    ) {
        let mut gossip = self.gossip(body);
        gossip.hosts.extend(about_receiver);
        if self.budget.available(now) > PROBE_RESERVE_BYTES {
            self.broadcasts
                .attach_to(&mut gossip, self.transmissions_max);
        }
        self.send_within_budget(to, gossip, now);
    }

    /// Sends a list of hosts in several messages, as far as the budget allows.
    pub(crate) fn send_list(&mut self, to: &HostId, records: &[HostRecord], now: Instant) {
        for chunk in records.chunks(RECORDS_PER_MESSAGE_MAX) {
            let mut gossip = self.gossip(GossipBody::Members(()));
            gossip.hosts = chunk.to_vec();
            if self.budget.available(now) > PROBE_RESERVE_BYTES {
                self.send_within_budget(to, gossip, now);
            }
        }
    }

    /// Removes and returns the actions queued since the last call.
    pub(crate) fn take_actions(&mut self) -> Vec<MembershipAction> {
        std::mem::take(&mut self.actions)
    }

    /// A message with the incarnation and generation of this host and no broadcasts.
    fn gossip(&self, body: GossipBody) -> Gossip {
        Gossip {
            incarnation: self.incarnation.0,
            generation: self.generation.0,
            body: Some(body),
            ..Gossip::default()
        }
    }

    /// Sends a message, or drops it if it exceeds the budget. Every message of the protocol is
    /// repeated in some form, so dropping one only causes a delay.
    fn send_within_budget(&mut self, to: &HostId, gossip: Gossip, now: Instant) {
        let message = Message::Gossip(gossip);
        if self.budget.take(wire_len(&message) as f64, now) {
            self.actions.push(MembershipAction::Send {
                to: to.clone(),
                message,
            });
        }
    }
}
