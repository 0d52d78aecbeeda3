//! The state machine of the membership, with its timers.

mod digests;
mod inbound;

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;
use rand::Rng;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::seq::SliceRandom;

use crate::cluster_view::HostState;
use crate::cluster_view::HostView;
use crate::control::home_assignment::Member;
use crate::control::membership::MembershipAction;
use crate::control::membership::MembershipConf;
use crate::control::membership::broadcast_queue::Broadcast;
use crate::control::membership::conf;
use crate::control::membership::conf::LOCAL_JOIN_ATTEMPTS;
use crate::control::membership::membership_table::MembershipTable;
use crate::control::membership::membership_table::UpdateOutcome;
use crate::control::membership::outbox::Outbox;
use crate::control::membership::probes::ProbeStep;
use crate::control::membership::probes::Probes;
use crate::control::membership::record::to_record;
use crate::control::membership::seen_notices::SeenNotices;
use crate::control::membership::suspicion::Suspicion;
use crate::peer::message::Gossip;
use crate::peer::message::GossipBody;
use crate::peer::message::IndirectProbe;
use crate::peer::message::LeavingUpstream;
use crate::peer::message::PoisonNotice;
use crate::peer::message::Probe;
use crate::settings::PeerSeed;
use crate::units::BoundedTime;
use crate::units::FailureDomainId;
use crate::units::Generation;
use crate::units::HostId;
use crate::units::ObjectVersion;
use crate::units::UpstreamId;

/// The membership of one host. The state machine does no I/O: messages and time go in, actions come
/// out.
///
/// [`Membership::tick`] should be called every 100 ms or more often.
#[derive(Debug)]
pub struct Membership {
    local_host: HostView,
    rng: StdRng,
    membership_table: MembershipTable,
    probes: Probes,
    suspicions: IndexMap<HostId, Suspicion>,
    seen_notices: SeenNotices,
    outbox: Outbox,
    seeds: IndexMap<HostId, PeerSeed>,
    /// When each other failure domain was last heard from.
    domain_heard_at: IndexMap<FailureDomainId, Instant>,
    /// The hosts that are still to be probed in the current round; the last one is next.
    probe_order: Vec<HostId>,
    /// Counter of the digests sent, with a random start. It selects the next failure domain.
    digest_round: usize,
    /// Whether a list of hosts was received.
    has_joined: bool,
    /// Whether another host had the same view once.
    has_agreed: bool,
    join_attempts: usize,
    view_mismatch: Option<ViewMismatch>,
    last_pull_at: Option<Instant>,
    started_at: Instant,
    /// The time of the last call, by which a pause of this process is detected.
    last_active: Instant,
    next_probe: Instant,
    next_digest: Instant,
    next_join: Instant,
    next_reconnect: Instant,
}

/// A difference between the view of this host and the views of others that has not ended yet.
#[derive(Clone, Copy, Debug)]
struct ViewMismatch {
    since: Instant,
    /// When another host last reported a different view.
    last_reported_at: Instant,
    /// The hash of the own view. A change of it starts a new difference.
    view_hash: u64,
}

impl Membership {
    /// A membership that knows only this host and its seeds.
    pub fn new(conf: MembershipConf, mut rng: StdRng, now: Instant) -> Self {
        let local_host = HostView {
            id: conf.host,
            domain: conf.domain,
            peer_addr: conf.peer_addr,
            incarnation: conf.incarnation,
            state: HostState::Alive,
            generation: Generation::default(),
        };
        // Without a random offset, hosts that start together would probe at the same times.
        let offset = conf::PROBE_INTERVAL.scaled(rng.random());
        let digest_round = rng.random_range(0..60);
        let mut membership = Self {
            local_host,
            rng,
            membership_table: MembershipTable::default(),
            probes: Probes::default(),
            suspicions: IndexMap::new(),
            seen_notices: SeenNotices::default(),
            outbox: Outbox::new(conf.bytes_per_second, now),
            seeds: IndexMap::new(),
            domain_heard_at: IndexMap::new(),
            probe_order: Vec::new(),
            digest_round,
            has_joined: false,
            has_agreed: false,
            join_attempts: 0,
            view_mismatch: None,
            last_pull_at: None,
            started_at: now,
            last_active: now,
            next_probe: now + offset,
            next_digest: now + offset,
            next_join: now,
            next_reconnect: now + conf::RECONNECT_INTERVAL + offset,
        };
        membership.add_seeds(&conf.seeds);
        membership.broadcast_self(now);
        membership
    }

    /// Adds seeds: hosts that may exist, from the settings or from the list in the platform, which
    /// lags behind.
    pub fn add_seeds(&mut self, seeds: &[PeerSeed]) {
        for seed in seeds.iter().filter(|seed| seed.host != self.local_host.id) {
            self.seeds.insert(seed.host.clone(), seed.clone());
        }
    }

    /// Performs the work that is due, and returns all actions since the last call of a method that
    /// returns actions.
    pub fn tick(&mut self, now: Instant) -> Vec<MembershipAction> {
        self.detect_pause(now);
        self.expire_suspicions(now);
        for step in self.probes.take_due_steps(now) {
            self.on_probe_step(step, now);
        }
        if reset_if_due(&mut self.next_probe, conf::PROBE_INTERVAL, now) {
            self.probe_next(now);
            self.remove_expired_dead(now);
        }
        if !self.has_joined && reset_if_due(&mut self.next_join, conf::JOIN_INTERVAL, now) {
            self.join_seeds(now);
        }
        if reset_if_due(&mut self.next_reconnect, conf::RECONNECT_INTERVAL, now) {
            self.reconnect_one(now);
        }
        if reset_if_due(&mut self.next_digest, conf::DIGEST_INTERVAL, now) && self.is_digest_host()
        {
            self.send_digest(now);
        }
        self.outbox.take_actions()
    }

    /// Handles a message of another host.
    pub fn handle(&mut self, from: &HostId, gossip: Gossip, now: Instant) -> Vec<MembershipAction> {
        self.detect_pause(now);
        self.on_sender(from, &gossip, now);
        let is_list = matches!(gossip.body, Some(GossipBody::Members(())));
        // A new host receives a list of all others, which the other hosts already know.
        let rebroadcasts = !is_list || self.has_agreed;
        for record in &gossip.hosts {
            self.on_host_record(record, rebroadcasts, now);
        }
        for leaving in gossip.leaving {
            self.on_leaving_upstream(leaving);
        }
        for notice in gossip.poison {
            self.on_poison(notice);
        }
        if let Some(body) = gossip.body {
            self.on_body(from, body, now);
        }
        self.outbox.take_actions()
    }

    /// Probes a host immediately after a call to it failed. A suspicion is broadcast only if the
    /// probe fails too.
    pub fn probe_after_failed_call(
        &mut self,
        host: &HostId,
        now: Instant,
    ) -> Vec<MembershipAction> {
        let is_local_peer = |view: &HostView| {
            view.domain == self.local_host.domain
                && view.state != HostState::Dead
                && view.id != self.local_host.id
        };
        if self.membership_table.get(host).is_some_and(is_local_peer) {
            self.probe(host, now);
        }
        self.outbox.take_actions()
    }

    /// Announces that this host is draining, so that it becomes the home of no further pool. It
    /// stays in the leaving state from then on.
    pub fn leave(&mut self, now: Instant) -> Vec<MembershipAction> {
        self.local_host.state = HostState::Leaving;
        self.local_host.incarnation = self.local_host.incarnation.next();
        self.broadcast_self(now);
        for host in self.local_peers(conf::INDIRECT_PROBES) {
            self.probe(&host, now);
        }
        self.outbox.take_actions()
    }

    /// Sets the manifest generation that this host has in force.
    pub fn set_generation(&mut self, generation: Generation, now: Instant) {
        self.local_host.generation = generation;
        self.membership_table.set(self.local_host.clone(), now);
        self.outbox
            .set_sender(self.local_host.incarnation, generation);
    }

    /// Broadcasts that an upstream is leaving, as of a version of its object in the platform. Does
    /// nothing if a notice with this version or a later one is known.
    pub fn announce_leaving_upstream(&mut self, upstream: &UpstreamId, version: ObjectVersion) {
        let leaving = LeavingUpstream {
            upstream: upstream.to_string(),
            version: version.0,
        };
        if self.seen_notices.record_leaving(&leaving) {
            self.outbox.broadcast(Broadcast::Leaving(leaving));
        }
    }

    /// Broadcasts that a request crashed upstreams, together with the attempts known from earlier
    /// notices. Does nothing if the notice contains no new attempt.
    pub fn announce_poison(&mut self, notice: PoisonNotice) {
        if let Some(merged) = self.seen_notices.merge_poison(notice) {
            self.outbox.broadcast(Broadcast::Poison(merged));
        }
    }

    /// Whether another host of this failure domain was found to have the same view. Until then,
    /// this host may know only some of the hosts and therefore compute other homes.
    pub fn has_agreed(&self) -> bool {
        self.has_agreed
    }

    /// All known hosts, including this one.
    pub fn hosts(&self) -> impl Iterator<Item = &HostView> {
        self.membership_table.iter()
    }

    /// The hosts of a failure domain as candidates for homes. A suspect stays eligible: its pools
    /// move when it is declared dead, not after each late answer.
    pub fn members(&self, domain: &FailureDomainId) -> Vec<Member> {
        let is_eligible =
            |view: &HostView| matches!(view.state, HostState::Alive | HostState::Suspect);
        self.membership_table
            .iter()
            .filter(|view| view.domain == *domain)
            .map(|view| Member {
                host: view.id.clone(),
                is_eligible: is_eligible(view),
            })
            .collect()
    }

    /// Failure domains that have sent no digest for a while. Only hosts that exchange digests
    /// report any; the others receive no digests.
    pub fn silent_domains(&self, now: Instant) -> Vec<FailureDomainId> {
        let is_silent = |heard_at: &Instant| {
            now.saturating_duration_since(*heard_at) > conf::DOMAIN_SILENCE_MAX
        };
        self.domain_heard_at
            .iter()
            .filter(|(_, heard_at)| self.is_digest_host() && is_silent(heard_at))
            .map(|(domain, _)| domain.clone())
            .collect()
    }

    /// Detects a pause of this process. After a pause, it reports the pause, drops all probes,
    /// gives suspects their whole time to refute again, and announces this host with a higher
    /// incarnation.
    ///
    /// The failure this guards against: the process was stopped for a while, by SIGSTOP or a frozen
    /// machine, without noticing. A pause shows as a gap between calls. The homes that the process
    /// held may have been taken over, and unanswered probes say nothing about the other hosts.
    fn detect_pause(&mut self, now: Instant) {
        let paused = now.saturating_duration_since(self.last_active);
        self.last_active = now;
        if paused < conf::PAUSE_MIN {
            return;
        }
        log::warn!("membership: this process was paused for {paused:?}");
        self.outbox
            .push(MembershipAction::ResumedAfterPause { paused });
        self.probes.clear();
        for suspicion in self.suspicions.values_mut() {
            suspicion.restart(now);
        }
        self.local_host.incarnation = self.local_host.incarnation.next();
        self.broadcast_self(now);
        for host in self.local_peers(conf::INDIRECT_PROBES) {
            self.probe(&host, now);
        }
    }

    /// Declares the suspects dead whose time to refute has expired.
    fn expire_suspicions(&mut self, now: Instant) {
        if self.suspicions.is_empty() {
            return;
        }
        let host_count = self.local_host_count();
        let expired: Vec<HostId> = self
            .suspicions
            .iter()
            .filter(|(_, suspicion)| suspicion.is_expired(host_count, now))
            .map(|(host, _)| host.clone())
            .collect();
        for host in expired {
            self.suspicions.swap_remove(&host);
            if self.set_state(&host, HostState::Dead, now) {
                log::info!("membership: host {host} declared dead");
            }
        }
    }

    /// Asks other hosts to probe a target that did not answer, or suspects it if none got an
    /// answer.
    fn on_probe_step(&mut self, step: ProbeStep, now: Instant) {
        match step {
            ProbeStep::RequestIndirect { seq, target } => {
                for helper in self.local_peers(conf::INDIRECT_PROBES + 1) {
                    if helper != target {
                        let body = IndirectProbe {
                            seq,
                            target: target.to_string(),
                        };
                        self.send(&helper, GossipBody::IndirectProbe(body), now);
                    }
                }
            }
            ProbeStep::Failed { target } => {
                let is_dead = |view: &HostView| view.state == HostState::Dead;
                if self.membership_table.get(&target).is_none_or(is_dead) {
                    return;
                }
                self.suspicion_or_new(&target, now).confirm_by_self();
                self.set_state(&target, HostState::Suspect, now);
            }
        }
    }

    /// Probes the next host of this failure domain. Each host is probed once before any is probed
    /// again, in a random order.
    fn probe_next(&mut self, now: Instant) {
        loop {
            if self.probe_order.is_empty() {
                self.probe_order = self.local_peers(usize::MAX);
            }
            let Some(host) = self.probe_order.pop() else {
                return;
            };
            let is_gone = |view: &HostView| view.state == HostState::Dead;
            if !self.membership_table.get(&host).is_none_or(is_gone) {
                self.probe(&host, now);
                return;
            }
        }
    }

    /// Probes a host unless a probe of it is already waiting for an answer.
    fn probe(&mut self, host: &HostId, now: Instant) {
        if self.probes.is_probing(host) {
            return;
        }
        let seq = self.probes.begin(host.clone(), now);
        let view_hash = self.membership_table.view_hash();
        self.send(host, GossipBody::Probe(Probe { seq, view_hash }), now);
    }

    /// Asks some seeds for the hosts that they know.
    fn join_seeds(&mut self, now: Instant) {
        let (local, remote): (Vec<&PeerSeed>, Vec<&PeerSeed>) = self
            .seeds
            .values()
            .partition(|seed| seed.failure_domain == self.local_host.domain);
        // Asks a seed of another failure domain only if the own domain may have no other live host.
        self.join_attempts += 1;
        let remote_count =
            usize::from(local.is_empty() || self.join_attempts > LOCAL_JOIN_ATTEMPTS);
        let local = local.choose_multiple(&mut self.rng, 2);
        let mut chosen: Vec<HostId> = local.map(|seed| seed.host.clone()).collect();
        let remote = remote.choose_multiple(&mut self.rng, remote_count);
        chosen.extend(remote.map(|seed| seed.host.clone()));
        for host in chosen {
            self.send(&host, GossipBody::Join(to_record(&self.local_host)), now);
        }
    }

    /// Probes one random dead host of this failure domain, and sends a join to one random seed that
    /// is not a known host.
    ///
    /// The failure this guards against: a network partition lasted so long that both sides declared
    /// each other dead, and after it healed, neither probes the other.
    fn reconnect_one(&mut self, now: Instant) {
        let dead: Vec<HostId> = self
            .membership_table
            .iter()
            .filter(|view| view.state == HostState::Dead && view.domain == self.local_host.domain)
            .map(|view| view.id.clone())
            .collect();
        if let Some(host) = dead.choose(&mut self.rng) {
            self.probe(host, now);
        }
        let unknown: Vec<HostId> = self
            .seeds
            .keys()
            .filter(|host| self.membership_table.get(host).is_none())
            .cloned()
            .collect();
        if let Some(host) = unknown.choose(&mut self.rng).cloned() {
            self.send(&host, GossipBody::Join(to_record(&self.local_host)), now);
        }
    }

    /// Forgets the hosts that have been dead for long enough.
    fn remove_expired_dead(&mut self, now: Instant) {
        let Some(before) = now.checked_sub(conf::DEAD_RETENTION) else {
            return;
        };
        for host in self.membership_table.remove_expired_dead(before) {
            self.outbox.push(MembershipAction::HostRemoved { host });
        }
    }

    /// Stores and broadcasts the view of this host after it changed, and reports the change to the
    /// caller (`HostChanged`). Also sets the incarnation and generation that outgoing messages
    /// carry.
    fn broadcast_self(&mut self, now: Instant) {
        self.membership_table.set(self.local_host.clone(), now);
        self.outbox
            .set_sender(self.local_host.incarnation, self.local_host.generation);
        self.outbox
            .broadcast(Broadcast::Host(to_record(&self.local_host)));
        let id = self.local_host.id.clone();
        self.report_change(&id);
    }

    /// Sets the state of a host within its incarnation, and broadcasts the change. Returns whether
    /// the state changed; a state cannot return to an earlier one within an incarnation.
    fn set_state(&mut self, host: &HostId, state: HostState, now: Instant) -> bool {
        let Some(view) = self.membership_table.get(host).cloned() else {
            return false;
        };
        if self.membership_table.apply(HostView { state, ..view }, now) != UpdateOutcome::Changed {
            return false;
        }
        self.report_change(host);
        if let Some(record) = self.membership_table.record(host, now) {
            self.outbox.broadcast(Broadcast::Host(record));
        }
        true
    }

    /// Reports the current view of a host to the caller, and adapts the number of transmissions of
    /// a broadcast to the number of hosts.
    fn report_change(&mut self, host: &HostId) {
        self.outbox.set_host_count(self.local_host_count());
        if let Some(view) = self.membership_table.get(host).cloned() {
            self.outbox.push(MembershipAction::HostChanged { view });
        }
    }

    /// Sends a message, or drops it if the byte budget is used up. A receiver that is suspected or
    /// dead in the view of this host gets this view with the message, so that it can refute at
    /// once.
    fn send(&mut self, to: &HostId, body: GossipBody, now: Instant) {
        let is_suspected =
            |view: &&HostView| matches!(view.state, HostState::Suspect | HostState::Dead);
        let about_receiver = self
            .membership_table
            .get(to)
            .filter(is_suspected)
            .map(to_record);
        self.outbox.send(to, body, about_receiver, now);
    }

    /// The suspicion of a host. Without one, a new suspicion is started, and the time to refute
    /// runs from `now` on.
    fn suspicion_or_new(&mut self, host: &HostId, now: Instant) -> &mut Suspicion {
        self.suspicions
            .entry(host.clone())
            .or_insert_with(|| Suspicion::new(now))
    }

    /// The number of hosts of this failure domain that are not dead, including this one.
    fn local_host_count(&self) -> usize {
        self.membership_table
            .live_hosts(&self.local_host.domain)
            .count()
    }

    /// Up to `count` other hosts of the failure domain that are not dead, in random order.
    fn local_peers(&mut self, count: usize) -> Vec<HostId> {
        let mut hosts: Vec<HostId> = self
            .membership_table
            .live_hosts(&self.local_host.domain)
            .filter(|view| view.id != self.local_host.id)
            .map(|view| view.id.clone())
            .collect();
        hosts.shuffle(&mut self.rng);
        hosts.truncate(count);
        hosts
    }
}

/// Returns whether a timer is due. If it is, sets its next time. After a delay, at
/// most one missed interval is caught up.
fn reset_if_due(next: &mut Instant, interval: Duration, now: Instant) -> bool {
    if now < *next {
        return false;
    }
    *next = (*next + interval).max(now);
    true
}
