//! What the membership does with the messages of other hosts.

use std::time::Duration;
use std::time::Instant;

use rand::seq::SliceRandom;

use crate::cluster_view::HostState;
use crate::cluster_view::HostView;
use crate::control::membership::Membership;
use crate::control::membership::MembershipAction;
use crate::control::membership::conf;
use crate::control::membership::machine::Differing;
use crate::control::membership::record::from_record;
use crate::control::membership::roster::Applied;
use crate::control::membership::rumours::News;
use crate::peer::message::DomainDigest;
use crate::peer::message::Gossip;
use crate::peer::message::GossipBody;
use crate::peer::message::HostRecord;
use crate::peer::message::LeavingUpstream;
use crate::peer::message::PoisonNotice;
use crate::peer::message::Probe;
use crate::peer::message::ProbeAck;
use crate::peer::message::Pull;
use crate::units::FailureDomainId;
use crate::units::Generation;
use crate::units::HostId;
use crate::units::Incarnation;
use crate::units::ObjectVersion;

impl Membership {
    pub(super) fn handle_body(&mut self, from: &HostId, body: GossipBody, now: Instant) {
        match body {
            GossipBody::Probe(probe) => {
                self.send(from, GossipBody::Ack(ProbeAck { seq: probe.seq }), now);
                self.compare(from, probe.view_hash, now);
            }
            GossipBody::Ack(ack) => self.handle_ack(from, &ack, now),
            GossipBody::IndirectProbe(asked) => {
                if let Ok(target) = asked.target.parse::<HostId>() {
                    let seq = self.probes.begin_for(from.clone(), asked.seq, now);
                    let view_hash = self.roster.view_hash();
                    self.send(&target, GossipBody::Probe(Probe { seq, view_hash }), now);
                }
            }
            GossipBody::Join(record) => {
                self.hear_host(&record, true, now);
                self.answer_join(from, &record, now);
            }
            GossipBody::Members(()) => self.has_joined = true,
            GossipBody::Digest(digest) => self.handle_digest(from, &digest, now),
            GossipBody::Pull(pull) => self.answer_pull(from, &pull, now),
        }
    }

    fn handle_ack(&mut self, from: &HostId, ack: &ProbeAck, now: Instant) {
        if let Some((asked_by, seq)) = self.probes.acked(ack.seq) {
            self.send(&asked_by, GossipBody::Ack(ProbeAck { seq }), now);
        }
        // A suspect must refute to all; one whose state never said so is simply there.
        let state = self.roster.get(from).map(|view| view.state);
        if state != Some(HostState::Suspect) {
            self.suspicions.swap_remove(from);
        }
    }

    /// Asks for hosts when the views have differed for longer than news takes to settle.
    fn compare(&mut self, from: &HostId, their_hash: u64, now: Instant) {
        if their_hash == self.roster.view_hash() {
            // Others may still see it differently, as where a few share a part of the truth.
            self.has_agreed = true;
            return;
        }
        let lasts = self.differing_for(now) >= conf::DIFFERENCE_MIN;
        // A host that has just come knows few others, and needs not wait.
        if (lasts || self.is_fresh(now)) && self.may_pull(now) {
            let known = self.roster.domains();
            let known = known.map(|domain| self.digest_of(domain)).collect();
            let only_known = false;
            self.send(from, GossipBody::Pull(Pull { known, only_known }), now);
        }
    }

    /// How long this host has seen the same and met others that see something else.
    fn differing_for(&mut self, now: Instant) -> Duration {
        let view_hash = self.roster.view_hash();
        let goes_on = |differing: &Differing| {
            let since_last = now.saturating_duration_since(differing.last);
            differing.view_hash == view_hash && since_last < conf::DIFFERENCE_GAP
        };
        let since = match self.differing.filter(goes_on) {
            Some(differing) => differing.since,
            None => now,
        };
        self.differing = Some(Differing {
            since,
            last: now,
            view_hash,
        });
        now.saturating_duration_since(since)
    }

    fn handle_digest(&mut self, from: &HostId, digest: &DomainDigest, now: Instant) {
        let Ok(domain) = digest.domain.parse::<FailureDomainId>() else {
            return;
        };
        self.heard_domains.insert(domain.clone(), now);
        if digest.wants_reply {
            let answer = self.digest_of(&self.me.domain);
            self.send(from, GossipBody::Digest(answer), now);
        }
        if digest.hash != self.roster.domain_hash(&domain) && self.may_pull(now) {
            let known = vec![self.digest_of(&domain)];
            let only_known = true;
            self.send(from, GossipBody::Pull(Pull { known, only_known }), now);
        }
    }

    /// Whether this host has just come. Among hosts that all have just come, two that agree may
    /// know as little as each other.
    fn is_fresh(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.started_at) < conf::FRESH
    }

    fn may_pull(&mut self, now: Instant) -> bool {
        let interval = match self.is_fresh(now) {
            true => conf::PULL_INTERVAL_FRESH,
            false => conf::PULL_INTERVAL,
        };
        let is_early = |at: Instant| now.saturating_duration_since(at) < interval;
        if self.pulled_at.is_some_and(is_early) {
            return false;
        }
        self.pulled_at = Some(now);
        true
    }

    /// Tells a host that has come of some in its failure domain, or here if there are none. The rest
    /// it pulls from whoever probes it, so that a restart of many does not fall on the few seeds.
    fn answer_join(&mut self, from: &HostId, record: &HostRecord, now: Instant) {
        let theirs = record.domain.parse().ok();
        let is_there = |domain: &FailureDomainId| self.roster.present(domain).nth(1).is_some();
        let domain = theirs.filter(is_there).unwrap_or(self.me.domain.clone());
        let mut hosts: Vec<HostId> = self
            .roster
            .present(&domain)
            .map(|view| view.id.clone())
            .collect();
        hosts.shuffle(&mut self.rng);
        hosts.truncate(conf::LIST_MAX - 1);
        hosts.push(self.me.id.clone());
        let records = hosts.iter();
        let records = records.filter_map(|host| self.roster.record(host, now));
        let records: Vec<HostRecord> = records.collect();
        self.outbox.send_list(from, &records, now);
    }

    fn answer_pull(&mut self, from: &HostId, pull: &Pull, now: Instant) {
        let is_wanted = |domain: &FailureDomainId| {
            let known = &pull.known;
            match known.iter().find(|known| known.domain == domain.as_str()) {
                Some(known) => known.hash != self.roster.domain_hash(domain),
                None => !pull.only_known,
            }
        };
        let mut records: Vec<HostRecord> = self
            .roster
            .iter()
            .filter(|view| is_wanted(&view.domain))
            .filter_map(|view| self.roster.record(&view.id, now))
            .collect();
        // The budget may cut the list short, and another pull must then bring others.
        records.shuffle(&mut self.rng);
        self.outbox.send_list(from, &records, now);
    }

    pub(super) fn hear_sender(&mut self, from: &HostId, gossip: &Gossip, now: Instant) {
        let incarnation = Incarnation(gossip.incarnation);
        let generation = Generation(gossip.generation);
        let applied = self.roster.apply_generation(from, incarnation, generation);
        if applied == Applied::Generation {
            self.tell_changed(from);
        }
        let domain = self.roster.get(from).map(|view| view.domain.clone());
        if let Some(domain) = domain.filter(|domain| *domain != self.me.domain) {
            self.heard_domains.insert(domain, now);
        }
    }

    pub(super) fn hear_host(&mut self, record: &HostRecord, passes_on: bool, now: Instant) {
        let Some(view) = from_record(record) else {
            return;
        };
        if view.id == self.me.id {
            self.hear_of_self(&view, now);
            return;
        }
        let dead_for = Duration::from_secs(record.dead_for_s.into());
        let since = now.checked_sub(dead_for).unwrap_or(now);
        if dead_for >= conf::DEAD_KEPT {
            return;
        }
        let applied = self.roster.apply(view.clone(), since);
        if applied == Applied::Old {
            self.hear_again(&view);
            return;
        }
        self.tell_changed(&view.id);
        if applied == Applied::Generation {
            return;
        }
        self.hear_suspicion(&view, now);
        if applied == Applied::Changed || passes_on {
            self.outbox.spread(News::Host(record.clone()));
        }
    }

    /// A suspicion of a neighbour makes this host probe too: a second word, or none.
    fn hear_suspicion(&mut self, view: &HostView, now: Instant) {
        if view.state != HostState::Suspect || view.domain != self.me.domain {
            self.suspicions.swap_remove(&view.id);
            return;
        }
        self.suspicion(&view.id, now).confirm_by_others();
        self.probe(&view.id, now);
    }

    fn hear_again(&mut self, view: &HostView) {
        if view.state == HostState::Suspect
            && self.roster.get(&view.id).map(|known| known.incarnation) == Some(view.incarnation)
            && let Some(suspicion) = self.suspicions.get_mut(&view.id)
        {
            suspicion.confirm_by_others();
        }
    }

    /// Refutes: only this host itself may raise its incarnation, so its word is the last.
    fn hear_of_self(&mut self, view: &HostView, now: Instant) {
        let is_wrong = (view.incarnation, view.state) > (self.me.incarnation, self.me.state);
        if !is_wrong {
            return;
        }
        if view.state == HostState::Dead {
            log::warn!("membership: others took this host for dead");
            self.outbox.act(MembershipAction::DeclaredDead);
        }
        self.me.incarnation = view.incarnation.next();
        self.spread_self(now);
    }

    pub(super) fn hear_leaving(&mut self, leaving: LeavingUpstream) {
        let Ok(upstream) = leaving.upstream.parse() else {
            return;
        };
        if self.notices.is_news(&leaving) {
            self.outbox.act(MembershipAction::UpstreamLeaving {
                upstream,
                version: ObjectVersion(leaving.version),
            });
            self.outbox.spread(News::Leaving(leaving));
        }
    }

    pub(super) fn hear_poison(&mut self, notice: PoisonNotice) {
        if let Some(notice) = self.notices.merge(notice) {
            self.outbox.act(MembershipAction::Poison {
                notice: notice.clone(),
            });
            self.outbox.spread(News::Poison(notice));
        }
    }
}
