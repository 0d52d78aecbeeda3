//! What the membership sends, within its byte budget.

use std::time::Instant;

use crate::control::membership::MembershipAction;
use crate::control::membership::conf::BURST_BYTES;
use crate::control::membership::conf::LIST_MAX;
use crate::control::membership::conf::RESERVE_BYTES;
use crate::control::membership::rumours::News;
use crate::control::membership::rumours::Rumours;
use crate::peer::Message;
use crate::peer::TokenBucket;
use crate::peer::message::Gossip;
use crate::peer::message::GossipBody;
use crate::peer::message::HostRecord;
use crate::peer::wire_len;
use crate::units::Generation;
use crate::units::HostId;
use crate::units::Incarnation;

/// Actions that wait to be handed out, and the budget that messages are taken from.
#[derive(Debug)]
pub(crate) struct Outbox {
    actions: Vec<MembershipAction>,
    budget: TokenBucket,
    rumours: Rumours,
    sends_max: usize,
    incarnation: Incarnation,
    generation: Generation,
}

impl Outbox {
    pub(crate) fn new(bytes_per_second: u64, now: Instant) -> Self {
        Self {
            actions: Vec::new(),
            budget: TokenBucket::new(bytes_per_second as f64, BURST_BYTES, now),
            rumours: Rumours::default(),
            sends_max: 1,
            incarnation: Incarnation::default(),
            generation: Generation::default(),
        }
    }

    /// What stands on every message.
    pub(crate) fn set_sender(&mut self, incarnation: Incarnation, generation: Generation) {
        self.incarnation = incarnation;
        self.generation = generation;
    }

    /// News reaches all of `host_count` hosts with high probability when each passes it on twice a
    /// doubling.
    pub(crate) fn set_host_count(&mut self, host_count: usize) {
        let doublings = usize::BITS - host_count.leading_zeros();
        self.sends_max = 2 * usize::try_from(doublings).unwrap_or(1).max(1);
    }

    pub(crate) fn act(&mut self, action: MembershipAction) {
        self.actions.push(action);
    }

    /// Begins to pass on a piece of news.
    pub(crate) fn spread(&mut self, news: News) {
        self.rumours.add(news);
    }

    /// Sends one step with news on it. `about_receiver` is what the receiver must know of itself.
    pub(crate) fn send(
        &mut self,
        to: &HostId,
        body: GossipBody,
        about_receiver: Option<HostRecord>,
        now: Instant,
    ) {
        let mut gossip = self.gossip(body);
        gossip.hosts.extend(about_receiver);
        if self.budget.available(now) > RESERVE_BYTES {
            self.rumours.fill(&mut gossip, self.sends_max);
        }
        self.take_and_push(to, gossip, now);
    }

    /// Sends a list of hosts in parts, as far as the budget reaches.
    pub(crate) fn send_list(&mut self, to: &HostId, records: &[HostRecord], now: Instant) {
        for part in records.chunks(LIST_MAX) {
            let mut gossip = self.gossip(GossipBody::Members(()));
            gossip.hosts = part.to_vec();
            if self.budget.available(now) > RESERVE_BYTES {
                self.take_and_push(to, gossip, now);
            }
        }
    }

    /// All actions since the last time.
    pub(crate) fn take(&mut self) -> Vec<MembershipAction> {
        std::mem::take(&mut self.actions)
    }

    fn gossip(&self, body: GossipBody) -> Gossip {
        Gossip {
            incarnation: self.incarnation.0,
            generation: self.generation.0,
            body: Some(body),
            ..Gossip::default()
        }
    }

    /// A message that the budget doesn't cover is dropped: every step is repeated in some form.
    fn take_and_push(&mut self, to: &HostId, gossip: Gossip, now: Instant) {
        let message = Message::Gossip(gossip);
        if self.budget.take(wire_len(&message) as f64, now) {
            self.actions.push(MembershipAction::Send {
                to: to.clone(),
                message,
            });
        }
    }
}
