//! Membership: dead hosts are detected, live ones refute, changes spread, and the byte budget
//! holds.
//!
//! A plain loop delivers messages at the next step of 50 ms; there is no model of a network.

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

/// Simulates the hosts of several failure domains.
struct FleetSimulation {
    now: Instant,
    hosts: IndexMap<HostId, Membership>,
    seeds: Vec<PeerSeed>,
    /// Hosts whose process has exited or is paused.
    stopped: Vec<HostId>,
    /// Hosts whose outgoing messages are lost.
    muted: Vec<HostId>,
    /// Two hosts whose messages to each other are lost.
    disconnected: Option<[HostId; 2]>,
    /// Failure domains that cannot communicate with other domains.
    partitioned: Vec<FailureDomainId>,
    in_flight: Vec<(HostId, HostId, Gossip)>,
    /// The actions of the hosts other than messages, in order.
    observed: Vec<(HostId, MembershipAction)>,
    sent_bytes: IndexMap<HostId, u64>,
}

impl FleetSimulation {
    fn new(domains: usize, hosts_per_domain: usize) -> Self {
        let mut seeds = Vec::new();
        for domain in 0..domains {
            for n in 0..hosts_per_domain {
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
            muted: Vec::new(),
            disconnected: None,
            partitioned: Vec::new(),
            in_flight: Vec::new(),
            observed: Vec::new(),
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

    /// Runs until a condition holds, and returns the time that this took.
    fn run_until(&mut self, timeout: Duration, holds: impl Fn(&Self) -> bool) -> Duration {
        let start = self.now;
        while !holds(self) {
            assert!(self.now - start < timeout, "not within {timeout:?}");
            self.step();
        }
        self.now - start
    }

    fn step(&mut self) {
        self.now += STEP;
        for (from, to, gossip) in std::mem::take(&mut self.in_flight) {
            if self.reaches(&from, &to) {
                let actions = self.hosts[&to].handle(&from, gossip, self.now);
                self.perform(&to, actions);
            }
        }
        for host in self.hosts.keys().cloned().collect::<Vec<_>>() {
            if !self.stopped.contains(&host) {
                let actions = self.hosts[&host].tick(self.now);
                self.perform(&host, actions);
            }
        }
    }

    fn perform(&mut self, host: &HostId, actions: Vec<MembershipAction>) {
        for action in actions {
            if let MembershipAction::Send { to, message } = action {
                *self.sent_bytes.entry(host.clone()).or_default() += wire_len(&message) as u64;
                let Message::Gossip(gossip) = message else {
                    panic!("unexpected {message:?}");
                };
                self.in_flight.push((host.clone(), to, gossip));
            } else {
                self.observed.push((host.clone(), action));
            }
        }
    }

    fn reaches(&self, from: &HostId, to: &HostId) -> bool {
        let domain = |host: &HostId| {
            let seed = self.seeds.iter().find(|seed| seed.host == *host).unwrap();
            seed.failure_domain.clone()
        };
        let is_partitioned = domain(from) != domain(to)
            && (self.partitioned.contains(&domain(from)) || self.partitioned.contains(&domain(to)));
        let disconnected = self.disconnected.as_ref();
        let is_disconnected =
            disconnected.is_some_and(|pair| pair.contains(from) && pair.contains(to));
        let is_lost = is_partitioned || is_disconnected || self.muted.contains(from);
        self.hosts.contains_key(to) && !self.stopped.contains(to) && !is_lost
    }

    fn state(&self, at: &HostId, of: &HostId) -> Option<HostState> {
        let mut hosts = self.hosts[at].hosts();
        hosts.find(|view| view.id == *of).map(|view| view.state)
    }

    /// Whether all running hosts whose name starts with `prefix` see a host in a state.
    fn all_see(&self, prefix: &str, of: &HostId, state: HostState) -> bool {
        let running = self.hosts.keys().filter(|at| !self.stopped.contains(at));
        let mut observers = running.filter(|at| at.as_str().starts_with(prefix));
        observers.all(|at| self.state(at, of) == Some(state))
    }

    /// Whether all running hosts see all hosts as alive.
    fn has_settled(&self) -> bool {
        self.hosts
            .keys()
            .all(|of| self.all_see("", of, HostState::Alive))
    }

    fn hosts_that_observed(&self, is_match: impl Fn(&MembershipAction) -> bool) -> Vec<HostId> {
        let observed = self.observed.iter().filter(|(_, action)| is_match(action));
        observed.map(|(host, _)| host.clone()).collect()
    }
}

fn host(name: &str) -> HostId {
    name.parse().unwrap()
}

/// A fleet in which all hosts know each other, with nothing recorded yet.
fn settled_fleet(domains: usize, hosts_per_domain: usize) -> FleetSimulation {
    let mut fleet = FleetSimulation::new(domains, hosts_per_domain);
    fleet.run_until(Duration::from_secs(60), FleetSimulation::has_settled);
    fleet.run(Duration::from_secs(10));
    fleet.observed.clear();
    fleet.sent_bytes.clear();
    fleet
}

/// Guards against slow detection of a killed home: until the others declare it dead, its pools have
/// no queue and their callers wait. The first host whose call to it fails probes it at once.
#[parameterized(
    three = { 3 },
    seven = { 7 },
    target_size = { 67 },
)]
fn a_killed_host_is_soon_declared_dead(hosts: usize) {
    let mut fleet = settled_fleet(1, hosts);
    let (dead, caller) = (host("d0-h1"), host("d0-h2"));
    fleet.stopped.push(dead.clone());
    let now = fleet.now;
    let actions = fleet.hosts[&caller].probe_after_failed_call(&dead, now);
    fleet.perform(&caller, actions);
    let first = |fleet: &FleetSimulation| fleet.state(&caller, &dead) == Some(HostState::Dead);
    let detection_time = fleet.run_until(Duration::from_secs(3), first);
    assert!(
        detection_time <= Duration::from_millis(2_000),
        "{detection_time:?}"
    );
    let all = |fleet: &FleetSimulation| fleet.all_see("", &dead, HostState::Dead);
    fleet.run_until(Duration::from_secs(4), all);
    assert!(
        fleet
            .hosts
            .keys()
            .all(|of| *of == dead || fleet.all_see("", of, HostState::Alive))
    );
}

/// Guards against a paused host that goes on as the home of pools which others have taken over, and
/// would grant from an outdated ledger. The host must notice its pause, and the others must see it
/// as alive again.
#[test]
fn a_paused_host_is_notified_and_rejoins() {
    let mut fleet = settled_fleet(1, 7);
    let paused = host("d0-h3");
    fleet.stopped.push(paused.clone());
    fleet.run_until(Duration::from_secs(5), |fleet| {
        fleet.all_see("", &paused, HostState::Dead)
    });
    assert!(
        fleet
            .hosts_that_observed(|action| matches!(
                action,
                MembershipAction::ResumedAfterPause { .. }
            ))
            .is_empty()
    );
    fleet.stopped.clear();
    fleet.step();
    let resumed = fleet
        .hosts_that_observed(|action| matches!(action, MembershipAction::ResumedAfterPause { .. }));
    assert_eq!(resumed, std::slice::from_ref(&paused));
    fleet.run_until(Duration::from_secs(5), FleetSimulation::has_settled);
}

fn is_dead(action: &MembershipAction) -> bool {
    matches!(action, MembershipAction::HostChanged { view } if view.state == HostState::Dead)
}

/// Guards against a suspicion that is due to one broken connection between two hosts while all
/// others reach both; the pools of a suspect could move for a fault that concerns no other host.
#[test]
fn a_lost_connection_between_two_hosts_makes_no_suspect() {
    let mut fleet = settled_fleet(1, 7);
    fleet.disconnected = Some([host("d0-h1"), host("d0-h2")]);
    fleet.run(Duration::from_secs(30));
    assert!(fleet.has_settled());
    let suspect = |action: &MembershipAction| matches!(action, MembershipAction::HostChanged { view } if view.state == HostState::Suspect);
    assert_eq!(fleet.hosts_that_observed(suspect), []);
}

/// Guards against declaring a working host dead whose answers were lost for a moment. The host
/// learns of the suspicion and refutes it.
#[test]
fn a_live_suspect_refutes() {
    let mut fleet = settled_fleet(1, 7);
    let slow = host("d0-h4");
    fleet.muted.push(slow.clone());
    fleet.run_until(Duration::from_secs(5), |fleet| {
        let mut hosts = fleet.hosts.keys();
        hosts.any(|at| fleet.state(at, &slow) == Some(HostState::Suspect))
    });
    fleet.muted.clear();
    fleet.run(Duration::from_secs(5));
    assert!(fleet.has_settled());
    assert_eq!(fleet.hosts_that_observed(is_dead), []);
}

/// Guards against requests to an outdated address after a host was replaced under the same name on
/// another port.
#[test]
fn a_restarted_host_replaces_its_earlier_process() {
    let mut fleet = settled_fleet(2, 5);
    let mut seed = fleet.seeds[2].clone();
    seed.address.set_port(7_001);
    fleet.start(&seed, 2);
    fleet.run_until(Duration::from_secs(10), |fleet| {
        fleet.hosts.values().all(|at| {
            at.hosts()
                .any(|view| view.id == seed.host && view.peer_addr == seed.address)
        })
    });
    fleet.run_until(Duration::from_secs(10), FleetSimulation::has_settled);
}

/// Guards against a network partition that is not reported, or whose changes are not learned
/// afterwards. While a failure domain is cut off, a host in it dies.
#[test]
fn a_partition_is_reported_and_heals() {
    let mut fleet = settled_fleet(3, 5);
    fleet.partitioned.push("d1".parse().unwrap());
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
    fleet.partitioned.clear();
    fleet.run_until(Duration::from_secs(60), |fleet| {
        fleet.all_see("", &dead, HostState::Dead)
    });
}

/// Guards against a failure domain that stays divided after a partition lasted so long that both
/// sides declared each other dead.
#[test]
fn hosts_that_declared_each_other_dead_find_each_other() {
    let mut fleet = settled_fleet(1, 4);
    let half = [host("d0-h0"), host("d0-h1")];
    // Each half runs alone for a while, as on its own side of a network switch.
    for _ in 0..200 {
        fleet.now += STEP;
        let in_flight = std::mem::take(&mut fleet.in_flight);
        for (from, to, gossip) in in_flight {
            if half.contains(&from) == half.contains(&to) {
                let actions = fleet.hosts[&to].handle(&from, gossip, fleet.now);
                fleet.perform(&to, actions);
            }
        }
        for at in fleet.hosts.keys().cloned().collect::<Vec<_>>() {
            let actions = fleet.hosts[&at].tick(fleet.now);
            fleet.perform(&at, actions);
        }
    }
    assert_eq!(fleet.state(&half[0], &host("d0-h3")), Some(HostState::Dead));
    assert_eq!(fleet.state(&host("d0-h3"), &half[0]), Some(HostState::Dead));
    fleet.run_until(Duration::from_secs(60), FleetSimulation::has_settled);
    assert!(
        !fleet
            .hosts_that_observed(|action| *action == MembershipAction::DeclaredDead)
            .is_empty()
    );
}

/// Guards against work sent to a leaving upstream or host, or repeated for a poison request,
/// because only one host knows. The list of the platform reaches the other hosts later.
#[test]
fn leaving_upstreams_poison_and_draining_hosts_are_broadcast() {
    let mut fleet = settled_fleet(1, 20);
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
    fleet.perform(&first, actions);
    fleet.run(Duration::from_secs(4));
    let leaving = |action: &MembershipAction| matches!(action, MembershipAction::UpstreamLeaving { version, .. } if version.0 == 9);
    assert_eq!(fleet.hosts_that_observed(leaving).len(), 19);
    let poison = |action: &MembershipAction| matches!(action, MembershipAction::Poison { .. });
    assert_eq!(fleet.hosts_that_observed(poison).len(), 19);
    assert!(fleet.all_see("", &first, HostState::Leaving));
    let domain = "d0".parse().unwrap();
    let members = fleet.hosts[&host("d0-h9")].members(&domain);
    let eligible = members.iter().filter(|member| member.is_eligible);
    assert_eq!(eligible.count(), 19);
}

/// Guards against traffic beyond the byte budget, and against live hosts that are declared dead
/// because their budget is used up. Half of a failure domain dies at once, a thousand notices are
/// sent, and one host joins ten times per second.
#[test]
fn the_byte_budget_holds_under_a_flood() {
    let mut fleet = settled_fleet(1, 40);
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
