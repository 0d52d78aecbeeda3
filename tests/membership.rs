//! Membership: deaths are seen, the living refute, news spreads, and the budget holds.
//!
//! A plain loop hands messages over at the next step of 50 ms; there is no model of a network.

use std::time::Duration;
use std::time::Instant;

use banyanarch::cluster_view::HostState;
use banyanarch::control::membership::Membership;
use banyanarch::control::membership::MembershipAction;
use banyanarch::control::membership::MembershipConf;
use banyanarch::peer::Message;
use banyanarch::peer::message::Gossip;
use banyanarch::peer::message::GossipBody;
use banyanarch::peer::message::HostRecord;
use banyanarch::peer::message::PoisonNotice;
use banyanarch::peer::wire_len;
use banyanarch::settings::PeerSeed;
use banyanarch::units::FailureDomainId;
use banyanarch::units::Generation;
use banyanarch::units::HostId;
use banyanarch::units::Incarnation;
use banyanarch::units::ObjectVersion;
use indexmap::IndexMap;
use rand::SeedableRng;
use rand::rngs::StdRng;
use yare::parameterized;

const STEP: Duration = Duration::from_millis(50);
const BYTES_PER_SECOND: u64 = 2_048;

struct Fleet {
    now: Instant,
    hosts: IndexMap<HostId, Membership>,
    seeds: Vec<PeerSeed>,
    /// Hosts whose process is gone or frozen.
    stopped: Vec<HostId>,
    /// Hosts whose messages are lost on the way.
    mute: Vec<HostId>,
    /// Two hosts whose messages to each other are lost.
    parted: Option<[HostId; 2]>,
    /// Failure domains that can't talk to others.
    cut: Vec<FailureDomainId>,
    in_flight: Vec<(HostId, HostId, Gossip)>,
    seen: Vec<(HostId, MembershipAction)>,
    sent_bytes: IndexMap<HostId, u64>,
}

impl Fleet {
    fn new(domains: usize, hosts_a_domain: usize) -> Self {
        let mut seeds = Vec::new();
        for domain in 0..domains {
            for n in 0..hosts_a_domain {
                seeds.push(PeerSeed {
                    host: format!("d{domain}-h{n}").parse().unwrap(),
                    failure_domain: format!("d{domain}").parse().unwrap(),
                    address: format!("127.0.{domain}.{}:7000", n + 1).parse().unwrap(),
                });
            }
        }
        let mut fleet = Self {
            now: Instant::now() + Duration::from_secs(3_600),
            hosts: IndexMap::new(),
            seeds,
            stopped: Vec::new(),
            mute: Vec::new(),
            parted: None,
            cut: Vec::new(),
            in_flight: Vec::new(),
            seen: Vec::new(),
            sent_bytes: IndexMap::new(),
        };
        for seed in fleet.seeds.clone() {
            fleet.start(&seed, 1);
        }
        fleet
    }

    fn start(&mut self, seed: &PeerSeed, incarnation: u64) {
        let first_of_each = |other: &&PeerSeed| other.host.as_str().ends_with("-h0");
        let conf = MembershipConf {
            host: seed.host.clone(),
            domain: seed.failure_domain.clone(),
            peer_addr: seed.address,
            incarnation: Incarnation(incarnation),
            bytes_per_second: BYTES_PER_SECOND,
            seeds: self.seeds.iter().filter(first_of_each).cloned().collect(),
        };
        let rng = StdRng::seed_from_u64(self.hosts.len() as u64);
        let membership = Membership::new(conf, rng, self.now);
        self.hosts.insert(seed.host.clone(), membership);
    }

    fn run(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.step();
        }
    }

    /// Runs until something holds, and tells how long that took.
    fn run_until(&mut self, limit: Duration, holds: impl Fn(&Self) -> bool) -> Duration {
        let start = self.now;
        while !holds(self) {
            assert!(self.now - start < limit, "not within {limit:?}");
            self.step();
        }
        self.now - start
    }

    fn step(&mut self) {
        self.now += STEP;
        for (from, to, gossip) in std::mem::take(&mut self.in_flight) {
            if self.reaches(&from, &to) {
                let actions = self.hosts[&to].handle(&from, gossip, self.now);
                self.act(&to, actions);
            }
        }
        for host in self.hosts.keys().cloned().collect::<Vec<_>>() {
            if !self.stopped.contains(&host) {
                let actions = self.hosts[&host].tick(self.now);
                self.act(&host, actions);
            }
        }
    }

    fn act(&mut self, host: &HostId, actions: Vec<MembershipAction>) {
        for action in actions {
            if let MembershipAction::Send { to, message } = action {
                *self.sent_bytes.entry(host.clone()).or_default() += wire_len(&message) as u64;
                let Message::Gossip(gossip) = message else {
                    panic!("unexpected {message:?}");
                };
                self.in_flight.push((host.clone(), to, gossip));
            } else {
                self.seen.push((host.clone(), action));
            }
        }
    }

    fn reaches(&self, from: &HostId, to: &HostId) -> bool {
        let domain = |host: &HostId| {
            let seed = self.seeds.iter().find(|seed| seed.host == *host).unwrap();
            seed.failure_domain.clone()
        };
        let is_cut = domain(from) != domain(to)
            && (self.cut.contains(&domain(from)) || self.cut.contains(&domain(to)));
        let parted = self.parted.as_ref();
        let is_parted = parted.is_some_and(|pair| pair.contains(from) && pair.contains(to));
        let is_lost = is_cut || is_parted || self.mute.contains(from);
        self.hosts.contains_key(to) && !self.stopped.contains(to) && !is_lost
    }

    fn state(&self, at: &HostId, of: &HostId) -> Option<HostState> {
        let mut hosts = self.hosts[at].hosts();
        hosts.find(|view| view.id == *of).map(|view| view.state)
    }

    /// Whether all running hosts, or those of one failure domain, see a host in a state.
    fn all_see(&self, domain: &str, of: &HostId, state: HostState) -> bool {
        let running = self.hosts.keys().filter(|at| !self.stopped.contains(at));
        let mut asked = running.filter(|at| at.as_str().starts_with(domain));
        asked.all(|at| self.state(at, of) == Some(state))
    }

    fn has_settled(&self) -> bool {
        self.hosts
            .keys()
            .all(|of| self.all_see("", of, HostState::Alive))
    }

    fn saw(&self, wanted: impl Fn(&MembershipAction) -> bool) -> Vec<HostId> {
        let seen = self.seen.iter().filter(|(_, action)| wanted(action));
        seen.map(|(host, _)| host.clone()).collect()
    }
}

fn host(name: &str) -> HostId {
    name.parse().unwrap()
}

fn settled(domains: usize, hosts_a_domain: usize) -> Fleet {
    let mut fleet = Fleet::new(domains, hosts_a_domain);
    fleet.run_until(Duration::from_secs(60), Fleet::has_settled);
    fleet.run(Duration::from_secs(10));
    fleet.seen.clear();
    fleet.sent_bytes.clear();
    fleet
}

/// A home is killed. Until the others declare it dead its pools have no queue, so callers wait. The
/// first one to call it in vain gives a hint.
#[parameterized(
    three = { 3 },
    seven = { 7 },
    target_size = { 67 },
)]
fn a_killed_host_is_seen_as_dead_soon(hosts: usize) {
    let mut fleet = settled(1, hosts);
    let (dead, caller) = (host("d0-h1"), host("d0-h2"));
    fleet.stopped.push(dead.clone());
    let now = fleet.now;
    let actions = fleet.hosts[&caller].probe_after_failed_call(&dead, now);
    fleet.act(&caller, actions);
    let first = |fleet: &Fleet| fleet.state(&caller, &dead) == Some(HostState::Dead);
    let caller_saw = fleet.run_until(Duration::from_secs(3), first);
    assert!(caller_saw <= Duration::from_millis(2_000), "{caller_saw:?}");
    let all = |fleet: &Fleet| fleet.all_see("", &dead, HostState::Dead);
    fleet.run_until(Duration::from_secs(4), all);
    assert!(
        fleet
            .hosts
            .keys()
            .all(|of| *of == dead || fleet.all_see("", of, HostState::Alive))
    );
}

/// A host is stopped for a while and goes on. The others have taken over its pools; it still
/// believes to be their home and would grant from an old ledger. It must be told, and the others
/// must take it back.
#[test]
fn a_paused_host_is_told_and_comes_back() {
    let mut fleet = settled(1, 7);
    let paused = host("d0-h3");
    fleet.stopped.push(paused.clone());
    fleet.run_until(Duration::from_secs(5), |fleet| {
        fleet.all_see("", &paused, HostState::Dead)
    });
    assert!(
        fleet
            .saw(|action| matches!(action, MembershipAction::ResumedAfterPause { .. }))
            .is_empty()
    );
    fleet.stopped.clear();
    fleet.step();
    let woke = fleet.saw(|action| matches!(action, MembershipAction::ResumedAfterPause { .. }));
    assert_eq!(woke, std::slice::from_ref(&paused));
    fleet.run_until(Duration::from_secs(5), Fleet::has_settled);
}

fn is_dead(action: &MembershipAction) -> bool {
    matches!(action, MembershipAction::HostChanged { view } if view.state == HostState::Dead)
}

/// The connection between two hosts hangs; all others reach both. If either were suspected for
/// that, its pools could move for a fault that concerns nobody else.
#[test]
fn a_lost_connection_between_two_hosts_makes_no_suspect() {
    let mut fleet = settled(1, 7);
    fleet.parted = Some([host("d0-h1"), host("d0-h2")]);
    fleet.run(Duration::from_secs(30));
    assert!(fleet.has_settled());
    let suspect = |action: &MembershipAction| matches!(action, MembershipAction::HostChanged { view } if view.state == HostState::Suspect);
    assert_eq!(fleet.saw(suspect), []);
}

/// A host's answers are lost for a moment, and the others suspect it. It hears so and refutes; if
/// its word did not count, it would be declared dead while it works.
#[test]
fn a_suspect_that_lives_refutes() {
    let mut fleet = settled(1, 7);
    let slow = host("d0-h4");
    fleet.mute.push(slow.clone());
    fleet.run_until(Duration::from_secs(5), |fleet| {
        let mut hosts = fleet.hosts.keys();
        hosts.any(|at| fleet.state(at, &slow) == Some(HostState::Suspect))
    });
    fleet.mute.clear();
    fleet.run(Duration::from_secs(5));
    assert!(fleet.has_settled());
    assert_eq!(fleet.saw(is_dead), []);
}

/// A host is replaced under its name, on another port, while the others still know the old one.
/// Requests for its pools would go to an address where nobody listens.
#[test]
fn a_restarted_host_replaces_its_earlier_self() {
    let mut fleet = settled(2, 5);
    let mut seed = fleet.seeds[2].clone();
    seed.address.set_port(7_001);
    fleet.start(&seed, 2);
    fleet.run_until(Duration::from_secs(10), |fleet| {
        fleet.hosts.values().all(|at| {
            at.hosts()
                .any(|view| view.id == seed.host && view.peer_addr == seed.address)
        })
    });
    fleet.run_until(Duration::from_secs(10), Fleet::has_settled);
}

/// A failure domain is cut off and heals. Meanwhile a host died there and another came; the others
/// must learn of it, and the cut must show while it lasts.
#[test]
fn a_cut_shows_and_heals() {
    let mut fleet = settled(3, 5);
    fleet.cut.push("d1".parse().unwrap());
    let dead = host("d1-h4");
    fleet.stopped.push(dead.clone());
    fleet.run(Duration::from_secs(60));
    assert!(fleet.all_see("d1", &dead, HostState::Dead));
    assert!(fleet.all_see("d0", &dead, HostState::Alive));
    let now = fleet.now;
    let silent = |at: &Membership| at.silent_domains(now);
    let d0_sees: Vec<_> = fleet.hosts.values().take(5).flat_map(silent).collect();
    assert!(d0_sees.contains(&"d1".parse().unwrap()), "{d0_sees:?}");
    assert!(!d0_sees.contains(&"d2".parse().unwrap()), "{d0_sees:?}");
    fleet.cut.clear();
    fleet.run_until(Duration::from_secs(60), |fleet| {
        fleet.all_see("", &dead, HostState::Dead)
    });
}

/// All hosts of a failure domain lose each other for minutes and declare each other dead. When they
/// are back, nobody probes the dead; without a try at them the domain would stay in pieces.
#[test]
fn hosts_that_declared_each_other_dead_find_each_other() {
    let mut fleet = settled(1, 4);
    let half = [host("d0-h0"), host("d0-h1")];
    // Each half runs alone for a while, as on its own side of a switch.
    for _ in 0..200 {
        fleet.now += STEP;
        let in_flight = std::mem::take(&mut fleet.in_flight);
        for (from, to, gossip) in in_flight {
            if half.contains(&from) == half.contains(&to) {
                let actions = fleet.hosts[&to].handle(&from, gossip, fleet.now);
                fleet.act(&to, actions);
            }
        }
        for at in fleet.hosts.keys().cloned().collect::<Vec<_>>() {
            let actions = fleet.hosts[&at].tick(fleet.now);
            fleet.act(&at, actions);
        }
    }
    assert_eq!(fleet.state(&half[0], &host("d0-h3")), Some(HostState::Dead));
    assert_eq!(fleet.state(&host("d0-h3"), &half[0]), Some(HostState::Dead));
    fleet.run_until(Duration::from_secs(60), Fleet::has_settled);
    assert!(
        !fleet
            .saw(|action| *action == MembershipAction::DeclaredDead)
            .is_empty()
    );
}

/// The platform tells one host first that an upstream leaves; its list lags for the others. Work
/// that they still send there would be cut off when it goes.
#[test]
fn leaving_upstreams_poison_and_draining_hosts_are_spread() {
    let mut fleet = settled(1, 20);
    let (first, now) = (host("d0-h5"), fleet.now);
    let notice = PoisonNotice {
        content: vec![1; 16],
        attempts: vec![vec![2; 16]],
    };
    let membership = &mut fleet.hosts[&first];
    membership.announce_leaving_upstream(&"engine-7".parse().unwrap(), ObjectVersion(9));
    membership.announce_poison(notice);
    membership.set_generation(Generation(4), now);
    let actions = membership.leave(now);
    fleet.act(&first, actions);
    fleet.run(Duration::from_secs(4));
    let leaving = |action: &MembershipAction| matches!(action, MembershipAction::UpstreamLeaving { version, .. } if version.0 == 9);
    assert_eq!(fleet.saw(leaving).len(), 19);
    let poison = |action: &MembershipAction| matches!(action, MembershipAction::Poison { .. });
    assert_eq!(fleet.saw(poison).len(), 19);
    assert!(fleet.all_see("", &first, HostState::Leaving));
    let domain = "d0".parse().unwrap();
    let members = fleet.hosts[&host("d0-h9")].members(&domain);
    let eligible = members.iter().filter(|member| member.is_eligible);
    assert_eq!(eligible.count(), 19);
}

/// Half of a failure domain dies at once, a thousand notices come, and a host that can't remember
/// whom it asked joins ten times a second. A host that sent all that is asked for would take the
/// share of the network that callers need; one that sent nothing more would be declared dead.
#[test]
fn the_byte_budget_holds_under_a_flood() {
    let mut fleet = settled(1, 40);
    for n in 20..40 {
        fleet.stopped.push(host(&format!("d0-h{n}")));
    }
    let start = fleet.now;
    for n in 0..1_000_u64 {
        let first = &mut fleet.hosts[0];
        first.announce_leaving_upstream(&format!("engine-{n}").parse().unwrap(), ObjectVersion(n));
    }
    let record = HostRecord {
        host: "d0-h1".to_owned(),
        ..HostRecord::default()
    };
    for _ in 0..1_200 {
        fleet.run(Duration::from_millis(100));
        let join = Gossip {
            body: Some(GossipBody::Join(record.clone())),
            ..Gossip::default()
        };
        let message = (host("d0-h1"), host("d0-h0"), join);
        fleet.in_flight.push(message);
    }
    let seconds = (fleet.now - start).as_secs();
    for (host, bytes) in &fleet.sent_bytes {
        let bound = BYTES_PER_SECOND * seconds + 32_768;
        assert!(*bytes <= bound, "{host} sent {bytes} of {bound}");
    }
    for n in 20..40 {
        assert!(fleet.all_see("", &host(&format!("d0-h{n}")), HostState::Dead));
    }
    for n in 0..20 {
        assert!(fleet.all_see("", &host(&format!("d0-h{n}")), HostState::Alive));
    }
}
