//! The membership's state machine: what it does by itself.

mod digests;
mod hearing;

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
use crate::control::membership::conf;
use crate::control::membership::conf::NEAR_JOIN_TRIES;
use crate::control::membership::notices::Notices;
use crate::control::membership::outbox::Outbox;
use crate::control::membership::probes::ProbeStep;
use crate::control::membership::probes::Probes;
use crate::control::membership::record::to_record;
use crate::control::membership::roster::Applied;
use crate::control::membership::roster::Roster;
use crate::control::membership::rumours::News;
use crate::control::membership::suspicion::Suspicion;
use crate::peer::message::Gossip;
use crate::peer::message::GossipBody;
use crate::peer::message::LeavingUpstream;
use crate::peer::message::PoisonNotice;
use crate::peer::message::Probe;
use crate::peer::message::ProbeFor;
use crate::settings::PeerSeed;
use crate::units::FailureDomainId;
use crate::units::Generation;
use crate::units::HostId;
use crate::units::ObjectVersion;
use crate::units::UpstreamId;

/// The membership of one host. It does no I/O: messages and time go in, actions come out.
///
/// [`Membership::tick`] should be called every 100 ms or more often.
#[derive(Debug)]
pub struct Membership {
    me: HostView,
    rng: StdRng,
    roster: Roster,
    probes: Probes,
    suspicions: IndexMap<HostId, Suspicion>,
    notices: Notices,
    outbox: Outbox,
    seeds: IndexMap<HostId, PeerSeed>,
    heard_domains: IndexMap<FailureDomainId, Instant>,
    ring: Vec<HostId>,
    digest_turn: usize,
    has_joined: bool,
    has_agreed: bool,
    join_tries: usize,
    differing: Option<Differing>,
    pulled_at: Option<Instant>,
    started_at: Instant,
    last_active: Instant,
    next_round: Instant,
    next_digest: Instant,
    next_join: Instant,
    next_reach: Instant,
}

/// A difference of views that goes on.
#[derive(Clone, Copy, Debug)]
struct Differing {
    since: Instant,
    last: Instant,
    /// The view of this host meanwhile.
    view_hash: u64,
}

impl Membership {
    /// A membership that knows only this host and its seeds.
    pub fn new(conf: MembershipConf, mut rng: StdRng, now: Instant) -> Self {
        let me = HostView {
            id: conf.host,
            domain: conf.domain,
            peer_addr: conf.peer_addr,
            incarnation: conf.incarnation,
            state: HostState::Alive,
            generation: Generation::default(),
        };
        // Hosts that are started together must not probe together ever after.
        let offset = conf::ROUND.mul_f64(rng.random());
        let digest_turn = rng.random_range(0..60);
        let mut membership = Self {
            me,
            rng,
            roster: Roster::default(),
            probes: Probes::default(),
            suspicions: IndexMap::new(),
            notices: Notices::default(),
            outbox: Outbox::new(conf.bytes_per_second, now),
            seeds: IndexMap::new(),
            heard_domains: IndexMap::new(),
            ring: Vec::new(),
            digest_turn,
            has_joined: false,
            has_agreed: false,
            join_tries: 0,
            differing: None,
            pulled_at: None,
            started_at: now,
            last_active: now,
            next_round: now + offset,
            next_digest: now + offset,
            next_join: now,
            next_reach: now + conf::REACH_INTERVAL + offset,
        };
        membership.seed(&conf.seeds);
        membership.spread_self(now);
        membership
    }

    /// Takes in hosts that may be there, from the settings or from the platform's lagging list.
    pub fn seed(&mut self, seeds: &[PeerSeed]) {
        for seed in seeds.iter().filter(|seed| seed.host != self.me.id) {
            self.seeds.insert(seed.host.clone(), seed.clone());
        }
    }

    /// Does what is due now.
    pub fn tick(&mut self, now: Instant) -> Vec<MembershipAction> {
        self.notice_pause(now);
        self.end_suspicions(now);
        for step in self.probes.due(now) {
            self.step_probe(step, now);
        }
        if is_due(&mut self.next_round, conf::ROUND, now) {
            self.probe_next(now);
            self.forget_dead(now);
        }
        if !self.has_joined && is_due(&mut self.next_join, conf::JOIN_INTERVAL, now) {
            self.join_seeds(now);
        }
        if is_due(&mut self.next_reach, conf::REACH_INTERVAL, now) {
            self.reach_one(now);
        }
        if is_due(&mut self.next_digest, conf::DIGEST_INTERVAL, now) && self.is_bridge() {
            self.send_digest(now);
        }
        self.outbox.take()
    }

    /// Takes in a message of another host.
    pub fn handle(&mut self, from: &HostId, gossip: Gossip, now: Instant) -> Vec<MembershipAction> {
        self.notice_pause(now);
        self.hear_sender(from, &gossip, now);
        let is_list = matches!(gossip.body, Some(GossipBody::Members(())));
        // A host that has just come hears of all others, which is news to nobody else.
        let passes_on = !is_list || self.has_agreed;
        for record in &gossip.hosts {
            self.hear_host(record, passes_on, now);
        }
        for leaving in gossip.leaving {
            self.hear_leaving(leaving);
        }
        for notice in gossip.poison {
            self.hear_poison(notice);
        }
        if let Some(body) = gossip.body {
            self.handle_body(from, body, now);
        }
        self.outbox.take()
    }

    /// Probes a host at once, because a call to it failed. The others are told only if the probe
    /// fails too.
    pub fn suspect_hint(&mut self, host: &HostId, now: Instant) -> Vec<MembershipAction> {
        let is_neighbour = |view: &HostView| {
            view.domain == self.me.domain && view.state != HostState::Dead && view.id != self.me.id
        };
        if self.roster.get(host).is_some_and(is_neighbour) {
            self.probe(host, now);
        }
        self.outbox.take()
    }

    /// Tells the others that this host drains and takes no home from now on.
    pub fn leave(&mut self, now: Instant) -> Vec<MembershipAction> {
        self.me.state = HostState::Leaving;
        self.me.incarnation = self.me.incarnation.next();
        self.spread_self(now);
        for host in self.neighbours(conf::INDIRECT_PROBES) {
            self.probe(&host, now);
        }
        self.outbox.take()
    }

    /// Sets the generation that this host has in force.
    pub fn set_generation(&mut self, generation: Generation, now: Instant) {
        self.me.generation = generation;
        self.roster.set(self.me.clone(), now);
        self.outbox.set_sender(self.me.incarnation, generation);
    }

    /// Spreads that an upstream is leaving, as of a version of its object in the platform.
    pub fn note_leaving(&mut self, upstream: &UpstreamId, version: ObjectVersion) {
        let leaving = LeavingUpstream {
            upstream: upstream.to_string(),
            version: version.0,
        };
        if self.notices.is_news(&leaving) {
            self.outbox.spread(News::Leaving(leaving));
        }
    }

    /// Spreads that a request crashed upstreams.
    pub fn note_poison(&mut self, notice: PoisonNotice) {
        if let Some(merged) = self.notices.merge(notice) {
            self.outbox.spread(News::Poison(merged));
        }
    }

    /// Whether another host of this failure domain was found to see the same hosts. Until then this
    /// one may know only some of them, and name other homes.
    pub fn has_agreed(&self) -> bool {
        self.has_agreed
    }

    /// All hosts that are known, this one among them.
    pub fn hosts(&self) -> impl Iterator<Item = &HostView> {
        self.roster.iter()
    }

    /// The hosts of a failure domain as possible homes. A suspect stays eligible: its pools move
    /// when it is declared dead, not at each late answer.
    pub fn members(&self, domain: &FailureDomainId) -> Vec<Member> {
        let is_eligible =
            |view: &HostView| matches!(view.state, HostState::Alive | HostState::Suspect);
        self.roster
            .iter()
            .filter(|view| view.domain == *domain)
            .map(|view| Member {
                host: view.id.clone(),
                is_eligible: is_eligible(view),
            })
            .collect()
    }

    /// Failure domains that sent no digest for a while, as one of the hosts that exchange digests
    /// sees it; the others hear none and name none.
    pub fn silent_domains(&self, now: Instant) -> Vec<FailureDomainId> {
        let is_silent =
            |heard_at: &Instant| now.saturating_duration_since(*heard_at) > conf::DOMAIN_SILENCE;
        self.heard_domains
            .iter()
            .filter(|(_, heard_at)| self.is_bridge() && is_silent(heard_at))
            .map(|(domain, _)| domain.clone())
            .collect()
    }

    /// Failure: the process was stopped for a while (SIGSTOP, a frozen machine) and does not know.
    /// It shows as a gap between calls. All that it held may have been taken over, and answers to
    /// its probes are late through no fault of the others.
    fn notice_pause(&mut self, now: Instant) {
        let paused = now.saturating_duration_since(self.last_active);
        self.last_active = now;
        if paused < conf::PAUSE_MIN {
            return;
        }
        log::warn!("membership: this process was paused for {paused:?}");
        self.outbox.act(MembershipAction::Woke { paused });
        self.probes.clear();
        for suspicion in self.suspicions.values_mut() {
            suspicion.restart(now);
        }
        self.me.incarnation = self.me.incarnation.next();
        self.spread_self(now);
        for host in self.neighbours(conf::INDIRECT_PROBES) {
            self.probe(&host, now);
        }
    }

    fn end_suspicions(&mut self, now: Instant) {
        if self.suspicions.is_empty() {
            return;
        }
        let host_count = self.neighbour_count();
        let over: Vec<HostId> = self
            .suspicions
            .iter()
            .filter(|(_, suspicion)| suspicion.is_over(host_count, now))
            .map(|(host, _)| host.clone())
            .collect();
        for host in over {
            self.suspicions.swap_remove(&host);
            if self.set_state(&host, HostState::Dead, now) {
                log::info!("membership: {host} is dead");
            }
        }
    }

    fn step_probe(&mut self, step: ProbeStep, now: Instant) {
        match step {
            ProbeStep::AskOthers { seq, target } => {
                for helper in self.neighbours(conf::INDIRECT_PROBES + 1) {
                    if helper != target {
                        let body = ProbeFor {
                            seq,
                            target: target.to_string(),
                        };
                        self.send(&helper, GossipBody::ProbeFor(body), now);
                    }
                }
            }
            ProbeStep::Failed { target } => {
                let is_dead = |view: &HostView| view.state == HostState::Dead;
                if self.roster.get(&target).is_none_or(is_dead) {
                    return;
                }
                self.suspicion(&target, now).confirm_by_self();
                self.set_state(&target, HostState::Suspect, now);
            }
        }
    }

    fn probe_next(&mut self, now: Instant) {
        loop {
            if self.ring.is_empty() {
                self.ring = self.neighbours(usize::MAX);
            }
            let Some(host) = self.ring.pop() else {
                return;
            };
            let is_gone = |view: &HostView| view.state == HostState::Dead;
            if !self.roster.get(&host).is_none_or(is_gone) {
                self.probe(&host, now);
                return;
            }
        }
    }

    fn probe(&mut self, host: &HostId, now: Instant) {
        if self.probes.is_probing(host) {
            return;
        }
        let seq = self.probes.begin(host.clone(), now);
        let view_hash = self.roster.view_hash();
        self.send(host, GossipBody::Probe(Probe { seq, view_hash }), now);
    }

    fn join_seeds(&mut self, now: Instant) {
        let (near, far): (Vec<&PeerSeed>, Vec<&PeerSeed>) = self
            .seeds
            .values()
            .partition(|seed| seed.failure_domain == self.me.domain);
        // Seeds of other failure domains only where none here may be left.
        self.join_tries += 1;
        let far_count = usize::from(near.is_empty() || self.join_tries > NEAR_JOIN_TRIES);
        let near = near.choose_multiple(&mut self.rng, 2);
        let mut chosen: Vec<HostId> = near.map(|seed| seed.host.clone()).collect();
        let far = far.choose_multiple(&mut self.rng, far_count);
        chosen.extend(far.map(|seed| seed.host.clone()));
        for host in chosen {
            self.send(&host, GossipBody::Join(to_record(&self.me)), now);
        }
    }

    /// Failure: a cut lasted so long that both sides declared each other dead; after it heals
    /// nobody would probe the other side. One try at a time finds it again.
    fn reach_one(&mut self, now: Instant) {
        let dead: Vec<HostId> = self
            .roster
            .iter()
            .filter(|view| view.state == HostState::Dead && view.domain == self.me.domain)
            .map(|view| view.id.clone())
            .collect();
        if let Some(host) = dead.choose(&mut self.rng) {
            self.probe(host, now);
        }
        let unknown: Vec<HostId> = self
            .seeds
            .keys()
            .filter(|host| self.roster.get(host).is_none())
            .cloned()
            .collect();
        if let Some(host) = unknown.choose(&mut self.rng).cloned() {
            self.send(&host, GossipBody::Join(to_record(&self.me)), now);
        }
    }

    fn forget_dead(&mut self, now: Instant) {
        let Some(before) = now.checked_sub(conf::DEAD_KEPT) else {
            return;
        };
        for host in self.roster.forget_dead(before) {
            self.outbox.act(MembershipAction::HostForgotten { host });
        }
    }

    fn spread_self(&mut self, now: Instant) {
        self.roster.set(self.me.clone(), now);
        self.outbox
            .set_sender(self.me.incarnation, self.me.generation);
        self.outbox.spread(News::Host(to_record(&self.me)));
        let id = self.me.id.clone();
        self.tell_changed(&id);
    }

    /// Sets a host's state within its incarnation; whether that was news.
    fn set_state(&mut self, host: &HostId, state: HostState, now: Instant) -> bool {
        let Some(view) = self.roster.get(host).cloned() else {
            return false;
        };
        if self.roster.apply(HostView { state, ..view }, now) != Applied::Changed {
            return false;
        }
        self.tell_changed(host);
        if let Some(record) = self.roster.record(host, now) {
            self.outbox.spread(News::Host(record));
        }
        true
    }

    fn tell_changed(&mut self, host: &HostId) {
        self.outbox.set_host_count(self.neighbour_count());
        if let Some(view) = self.roster.get(host).cloned() {
            self.outbox.act(MembershipAction::HostChanged { view });
        }
    }

    /// Sends one step. A host that is taken for gone hears so, and can refute at once.
    fn send(&mut self, to: &HostId, body: GossipBody, now: Instant) {
        let is_doubted =
            |view: &&HostView| matches!(view.state, HostState::Suspect | HostState::Dead);
        let doubt = self.roster.get(to).filter(is_doubted).map(to_record);
        self.outbox.send(to, body, doubt, now);
    }

    fn suspicion(&mut self, host: &HostId, now: Instant) -> &mut Suspicion {
        self.suspicions
            .entry(host.clone())
            .or_insert_with(|| Suspicion::new(now))
    }

    fn neighbour_count(&self) -> usize {
        self.roster.present(&self.me.domain).count()
    }

    /// Up to `count` other hosts of the failure domain that are not dead, in random order.
    fn neighbours(&mut self, count: usize) -> Vec<HostId> {
        let mut hosts: Vec<HostId> = self
            .roster
            .present(&self.me.domain)
            .filter(|view| view.id != self.me.id)
            .map(|view| view.id.clone())
            .collect();
        hosts.shuffle(&mut self.rng);
        hosts.truncate(count);
        hosts
    }
}

/// Whether something is due, and when next: never twice to catch up.
fn is_due(next: &mut Instant, interval: Duration, now: Instant) -> bool {
    if now < *next {
        return false;
    }
    *next = (*next + interval).max(now);
    true
}
