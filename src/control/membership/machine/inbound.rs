//! Handling of messages from other hosts.

use std::time::Duration;
use std::time::Instant;

use rand::seq::SliceRandom;

use crate::cluster_view::HostState;
use crate::cluster_view::HostView;
use crate::control::membership::Membership;
use crate::control::membership::MembershipAction;
use crate::control::membership::broadcast_queue::Broadcast;
use crate::control::membership::conf;
use crate::control::membership::machine::ViewMismatch;
use crate::control::membership::membership_table::UpdateOutcome;
use crate::control::membership::record::from_record;
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
    /// Handles the body of a message; the attached broadcasts are handled apart from it.
    pub(super) fn on_body(&mut self, from: &HostId, body: GossipBody, now: Instant) {
        match body {
            GossipBody::Probe(probe) => {
                self.send(from, GossipBody::Ack(ProbeAck { seq: probe.seq }), now);
                self.compare_views(from, probe.view_hash, now);
            }
            GossipBody::Ack(ack) => self.on_ack(from, &ack, now),
            GossipBody::IndirectProbe(request) => {
                if let Ok(target) = request.target.parse::<HostId>() {
                    let seq = self.probes.begin_delegated(from.clone(), request.seq, now);
                    let view_hash = self.membership_table.view_hash();
                    self.send(&target, GossipBody::Probe(Probe { seq, view_hash }), now);
                }
            }
            GossipBody::Join(record) => {
                self.on_host_record(&record, true, now);
                self.send_join_list(from, &record, now);
            }
            GossipBody::Members(()) => self.has_joined = true,
            GossipBody::Digest(digest) => self.on_digest(from, &digest, now),
            GossipBody::Pull(pull) => self.send_pull_list(from, &pull, now),
        }
    }

    /// Handles the answer to a probe: ends the probe, passes the answer on if another host
    /// requested the probe, and drops a suspicion of the sender unless the sender is in the suspect
    /// state.
    fn on_ack(&mut self, from: &HostId, ack: &ProbeAck, now: Instant) {
        if let Some((requester, seq)) = self.probes.on_ack(ack.seq) {
            self.send(&requester, GossipBody::Ack(ProbeAck { seq }), now);
        }
        // An answer does not end a suspicion that was broadcast: the suspect must refute it towards
        // all hosts.
        let state = self.membership_table.get(from).map(|view| view.state);
        if state != Some(HostState::Suspect) {
            self.suspicions.swap_remove(from);
        }
    }

    /// Compares the view of another host with the own one, and pulls a list when they have differed
    /// for longer than broadcasts take to settle.
    fn compare_views(&mut self, from: &HostId, their_hash: u64, now: Instant) {
        if their_hash == self.membership_table.view_hash() {
            // Agreement with one host is enough, although others may have another view, for
            // instance when a few hosts know the same part of the fleet.
            self.has_agreed = true;
            return;
        }
        let is_lasting = self.track_mismatch(now) >= conf::MISMATCH_MIN;
        // A new host knows few others and need not wait.
        if (is_lasting || self.is_new_host(now)) && self.try_begin_pull(now) {
            let known = self.membership_table.domains();
            let known = known.map(|domain| self.digest_of(domain)).collect();
            let only_known = false;
            self.send(from, GossipBody::Pull(Pull { known, only_known }), now);
        }
    }

    /// Records that another host reported a different view now, and returns how long other hosts
    /// have done so while the own view stayed the same.
    fn track_mismatch(&mut self, now: Instant) -> Duration {
        let view_hash = self.membership_table.view_hash();
        let continues = |mismatch: &ViewMismatch| {
            let since_last = now.saturating_duration_since(mismatch.last_reported_at);
            mismatch.view_hash == view_hash && since_last < conf::MISMATCH_GAP_MAX
        };
        let since = match self.view_mismatch.filter(continues) {
            Some(mismatch) => mismatch.since,
            None => now,
        };
        self.view_mismatch = Some(ViewMismatch {
            since,
            last_reported_at: now,
            view_hash,
        });
        now.saturating_duration_since(since)
    }

    /// Handles a digest of another failure domain: replies if asked to, and pulls a list if this
    /// host has another view of that domain.
    fn on_digest(&mut self, from: &HostId, digest: &DomainDigest, now: Instant) {
        let Ok(domain) = digest.domain.parse::<FailureDomainId>() else {
            return;
        };
        self.domain_heard_at.insert(domain.clone(), now);
        if digest.wants_reply {
            let answer = self.digest_of(&self.local_host.domain);
            self.send(from, GossipBody::Digest(answer), now);
        }
        if digest.hash != self.membership_table.domain_hash(&domain) && self.try_begin_pull(now) {
            let known = vec![self.digest_of(&domain)];
            let only_known = true;
            self.send(from, GossipBody::Pull(Pull { known, only_known }), now);
        }
    }

    /// Whether this host started a short time ago. Agreement with another host does not end this
    /// period: of hosts that are all new, two that agree may both know only a few hosts.
    fn is_new_host(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.started_at) < conf::NEW_HOST_PERIOD
    }

    /// Returns whether a pull is allowed now. If it is, the pull counts as made, and the next one
    /// is allowed only after an interval.
    fn try_begin_pull(&mut self, now: Instant) -> bool {
        let interval = match self.is_new_host(now) {
            true => conf::PULL_INTERVAL_NEW_HOST,
            false => conf::PULL_INTERVAL,
        };
        let is_early = |at: Instant| now.saturating_duration_since(at) < interval;
        if self.last_pull_at.is_some_and(is_early) {
            return false;
        }
        self.last_pull_at = Some(now);
        true
    }

    /// Sends a joining host some hosts of its failure domain, or of this one if none are known
    /// there. It pulls the rest from the hosts that probe it, so that the restart of many hosts
    /// does not load the few seeds.
    fn send_join_list(&mut self, from: &HostId, record: &HostRecord, now: Instant) {
        let theirs = record.domain.parse().ok();
        let has_others =
            |domain: &FailureDomainId| self.membership_table.live_hosts(domain).nth(1).is_some();
        let domain = theirs
            .filter(has_others)
            .unwrap_or(self.local_host.domain.clone());
        let mut hosts: Vec<HostId> = self
            .membership_table
            .live_hosts(&domain)
            .map(|view| view.id.clone())
            .collect();
        hosts.shuffle(&mut self.rng);
        hosts.truncate(conf::RECORDS_PER_MESSAGE_MAX - 1);
        hosts.push(self.local_host.id.clone());
        let records = hosts.iter();
        let records = records.filter_map(|host| self.membership_table.record(host, now));
        let records: Vec<HostRecord> = records.collect();
        self.outbox.send_list(from, &records, now);
    }

    /// Sends the hosts of the failure domains whose hashes differ from those in the pull, and of
    /// the domains that the pull does not name unless it asks for the named ones only.
    fn send_pull_list(&mut self, from: &HostId, pull: &Pull, now: Instant) {
        let is_wanted = |domain: &FailureDomainId| {
            let known = &pull.known;
            match known.iter().find(|known| known.domain == domain.as_str()) {
                Some(known) => known.hash != self.membership_table.domain_hash(domain),
                None => !pull.only_known,
            }
        };
        let mut records: Vec<HostRecord> = self
            .membership_table
            .iter()
            .filter(|view| is_wanted(&view.domain))
            .filter_map(|view| self.membership_table.record(&view.id, now))
            .collect();
        // The budget may truncate the list. Since the order is random, the next pull brings other
        // hosts.
        records.shuffle(&mut self.rng);
        self.outbox.send_list(from, &records, now);
    }

    /// Handles what every message says about its sender: its manifest generation, and that its
    /// failure domain can be reached.
    pub(super) fn on_sender(&mut self, from: &HostId, gossip: &Gossip, now: Instant) {
        let incarnation = Incarnation(gossip.incarnation);
        let generation = Generation(gossip.generation);
        let applied = self
            .membership_table
            .apply_generation(from, incarnation, generation);
        if applied == UpdateOutcome::Generation {
            self.report_change(from);
        }
        let domain = self
            .membership_table
            .get(from)
            .map(|view| view.domain.clone());
        if let Some(domain) = domain.filter(|domain| *domain != self.local_host.domain) {
            self.domain_heard_at.insert(domain, now);
        }
    }

    /// Applies a received record of a host. A record of this host is refuted if it is wrong. A
    /// change of a known host is broadcast again, and a new host only if `rebroadcasts` is set. A
    /// change of the generation alone is reported but not broadcast again. A stale record may
    /// confirm a suspicion, and a record of a host that has been dead for the retention time or
    /// longer is ignored.
    pub(super) fn on_host_record(&mut self, record: &HostRecord, rebroadcasts: bool, now: Instant) {
        let Some(view) = from_record(record) else {
            return;
        };
        if view.id == self.local_host.id {
            self.refute(&view, now);
            return;
        }
        let dead_for = Duration::from_secs(record.dead_for_s.into());
        let since = now.checked_sub(dead_for).unwrap_or(now);
        if dead_for >= conf::DEAD_RETENTION {
            return;
        }
        let applied = self.membership_table.apply(view.clone(), since);
        if applied == UpdateOutcome::Stale {
            self.confirm_suspicion(&view);
            return;
        }
        self.report_change(&view.id);
        if applied == UpdateOutcome::Generation {
            return;
        }
        self.on_suspicion(&view, now);
        if applied == UpdateOutcome::Changed || rebroadcasts {
            self.outbox.broadcast(Broadcast::Host(record.clone()));
        }
    }

    /// Handles a suspicion of a host of this failure domain: this host probes the suspect itself,
    /// to confirm the suspicion or not.
    fn on_suspicion(&mut self, view: &HostView, now: Instant) {
        if view.state != HostState::Suspect || view.domain != self.local_host.domain {
            self.suspicions.swap_remove(&view.id);
            return;
        }
        self.suspicion_or_new(&view.id, now).confirm_by_others();
        self.probe(&view.id, now);
    }

    /// Records that another host also suspects a host, if both mean the same incarnation.
    fn confirm_suspicion(&mut self, view: &HostView) {
        if view.state == HostState::Suspect
            && self
                .membership_table
                .get(&view.id)
                .map(|known| known.incarnation)
                == Some(view.incarnation)
            && let Some(suspicion) = self.suspicions.get_mut(&view.id)
        {
            suspicion.confirm_by_others();
        }
    }

    /// Refutes a wrong view of this host. Only the host itself may raise its incarnation, so its
    /// refutation overrides the other views.
    fn refute(&mut self, view: &HostView, now: Instant) {
        let is_refuted =
            (view.incarnation, view.state) > (self.local_host.incarnation, self.local_host.state);
        if !is_refuted {
            return;
        }
        if view.state == HostState::Dead {
            log::warn!("membership: other hosts declared this host dead");
            self.outbox.push(MembershipAction::DeclaredDead);
        }
        self.local_host.incarnation = view.incarnation.next();
        self.broadcast_self(now);
    }

    /// Reports and rebroadcasts a notice of a leaving upstream unless it is known.
    pub(super) fn on_leaving_upstream(&mut self, leaving: LeavingUpstream) {
        let Ok(upstream) = leaving.upstream.parse() else {
            return;
        };
        if self.seen_notices.record_leaving(&leaving) {
            self.outbox.push(MembershipAction::UpstreamLeaving {
                upstream,
                version: ObjectVersion(leaving.version),
            });
            self.outbox.broadcast(Broadcast::Leaving(leaving));
        }
    }

    /// Reports and rebroadcasts a notice of a request that crashed upstreams, if it contains a new
    /// attempt.
    pub(super) fn on_poison(&mut self, notice: PoisonNotice) {
        if let Some(notice) = self.seen_notices.merge_poison(notice) {
            self.outbox.push(MembershipAction::Poison {
                notice: notice.clone(),
            });
            self.outbox.broadcast(Broadcast::Poison(notice));
        }
    }
}
