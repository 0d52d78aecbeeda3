//! Counts the control traffic of many hosts with a plain loop over the state machines of
//! membership, homes and manifests. Messages arrive after 10 ms; the network is not modelled
//! further. Bytes are those of the encoded messages with their frames, without TCP and IP headers.
//!
//! While bytes are counted, the load is that of a day of the target deployment: one place in a
//! manifest of a megabyte changes every 78 s, and hosts restart at a rate of 490 a day for 400
//! hosts. The parts of the sum are printed to standard error.
//!
//! `cargo bench --locked --bench control -- daemons 3 12 30 60` counts with these numbers of real
//! daemons.

mod daemons;

use std::time::Duration;
use std::time::Instant;

use banyanarch::cluster_view::HostState;
use banyanarch::control::home_assignment::HomeTable;
use banyanarch::control::home_assignment::partition_upstreams;
use banyanarch::control::manifests::ManifestAction;
use banyanarch::control::manifests::ManifestController;
use banyanarch::control::manifests::ManifestRead;
use banyanarch::control::manifests::watchers;
use banyanarch::control::membership::Membership;
use banyanarch::control::membership::MembershipAction;
use banyanarch::control::membership::MembershipConf;
use banyanarch::manifest::Manifest;
use banyanarch::manifest::PublishedManifest;
use banyanarch::peer::Message;
use banyanarch::peer::wire_len;
use banyanarch::settings::PeerSeed;
use banyanarch::units::FailureDomainId;
use banyanarch::units::Generation;
use banyanarch::units::HostId;
use banyanarch::units::Incarnation;
use banyanarch::units::PoolId;
use indexmap::IndexMap;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

const HOST_COUNTS: [usize; 4] = [50, 100, 200, 400];
const DOMAINS: usize = 6;
const MODELS: usize = 5;
/// Runners and hosts of the target deployment.
const RUNNERS: usize = 910;
const HOSTS: usize = 400;
const STEP: Duration = Duration::from_millis(100);
/// Latency of a message: hosts respond at once, not at their next tick.
const MESSAGE_LATENCY: Duration = Duration::from_millis(10);
/// Number of message latencies in a step.
const HOPS_PER_STEP: u32 = 10;
/// Duration of the rounds in which results are given.
const ROUND: Duration = Duration::from_millis(500);
const COUNT_DURATION: Duration = Duration::from_secs(780);
const CHANGE_INTERVAL: Duration = Duration::from_secs(78);
const RESTARTS_PER_HOST_DAY: f64 = 490.0 / 400.0;
const KILLS: usize = 5;
const CONVERGENCE_TIMEOUT: Duration = Duration::from_secs(120);
/// Half of the control budget of a host, for each of membership and manifests.
const BYTES_PER_SECOND: u64 = 2_048;

struct Host {
    seed: PeerSeed,
    membership: Membership,
    manifests: ManifestController,
    is_running: bool,
}

struct Fleet {
    now: Instant,
    rng: StdRng,
    manifest: Manifest,
    hosts: IndexMap<HostId, Host>,
    in_flight: Vec<(HostId, HostId, Message)>,
    published: Option<PublishedManifest>,
    bytes: IndexMap<&'static str, u64>,
    bytes_by_host: IndexMap<HostId, u64>,
}

impl Fleet {
    fn new(host_count: usize) -> Self {
        let example = include_str!("../examples/desai/manifest.yaml");
        let mut fleet = Self {
            now: Instant::now() + Duration::from_secs(3_600),
            rng: StdRng::seed_from_u64(1),
            manifest: Manifest::parse(example, "example").unwrap(),
            hosts: IndexMap::new(),
            in_flight: Vec::new(),
            published: None,
            bytes: IndexMap::new(),
            bytes_by_host: IndexMap::new(),
        };
        let seeds: Vec<PeerSeed> = (0..host_count)
            .map(|n| PeerSeed {
                host: format!("domain-{}-{n:03}", n % DOMAINS).parse().unwrap(),
                failure_domain: format!("domain-{}", n % DOMAINS).parse().unwrap(),
                address: format!("127.0.{}.{}:7000", n % DOMAINS, 1 + n / DOMAINS)
                    .parse()
                    .unwrap(),
            })
            .collect();
        let known: Vec<PeerSeed> = seeds.iter().take(3 * DOMAINS).cloned().collect();
        for seed in seeds {
            fleet.start(seed, &known, 1);
        }
        fleet
    }

    fn start(&mut self, seed: PeerSeed, known: &[PeerSeed], incarnation: u64) {
        let conf = MembershipConf {
            host: seed.host.clone(),
            domain: seed.failure_domain.clone(),
            peer_addr: seed.address,
            incarnation: Incarnation(incarnation),
            bytes_per_second: BYTES_PER_SECOND,
            seeds: known.to_vec(),
        };
        let rng = StdRng::seed_from_u64(self.rng.random());
        let manifest = self.manifest.clone();
        let check = Box::new(move |_: &str| Ok(manifest.clone()));
        let host = Host {
            membership: Membership::new(conf, rng.clone(), self.now),
            manifests: ManifestController::new(check, BYTES_PER_SECOND, rng, self.now),
            is_running: true,
            seed: seed.clone(),
        };
        self.hosts.insert(seed.host, host);
    }

    fn run(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.step();
        }
    }

    /// Runs until `condition` holds, and returns the time that this took in rounds of gossip.
    /// Panics after `CONVERGENCE_TIMEOUT`.
    fn rounds_until(&mut self, condition: impl Fn(&Self) -> bool) -> f64 {
        let start = self.now;
        while !condition(self) {
            assert!(
                self.now - start < CONVERGENCE_TIMEOUT,
                "no convergence before the timeout"
            );
            self.step();
        }
        (self.now - start).as_secs_f64() / ROUND.as_secs_f64()
    }

    /// Advances the clock by `STEP`: delivers messages every `MESSAGE_LATENCY`, then runs one tick
    /// of each host.
    fn step(&mut self) {
        for _ in 0..HOPS_PER_STEP {
            self.now += MESSAGE_LATENCY;
            for (from, to, message) in std::mem::take(&mut self.in_flight) {
                self.deliver(&from, &to, message);
            }
        }
        for index in 0..self.hosts.len() {
            let (id, host) = self.hosts.get_index_mut(index).unwrap();
            let id = id.clone();
            if host.is_running {
                let actions = host.membership.tick(self.now);
                self.apply_membership_actions(&id, actions);
                let actions = self.hosts[index].manifests.tick(self.now);
                self.apply_manifest_actions(&id, actions);
            }
        }
    }

    fn deliver(&mut self, from: &HostId, to: &HostId, message: Message) {
        let Some(host) = self.hosts.get_mut(to).filter(|host| host.is_running) else {
            return;
        };
        match message {
            Message::Gossip(gossip) => {
                let actions = host.membership.handle(from, gossip, self.now);
                self.apply_membership_actions(to, actions);
            }
            message => {
                let actions = host.manifests.handle(from, message, self.now);
                self.apply_manifest_actions(to, actions);
            }
        }
    }

    fn apply_membership_actions(&mut self, id: &HostId, actions: Vec<MembershipAction>) {
        let mut has_changed = false;
        for action in actions {
            match action {
                MembershipAction::Send { to, message } => {
                    self.send("membership", id, to, message);
                }
                _ => has_changed = true,
            }
        }
        if has_changed {
            self.update_manifest_hosts(id);
        }
    }

    fn apply_manifest_actions(&mut self, id: &HostId, actions: Vec<ManifestAction>) {
        for action in actions {
            match action {
                ManifestAction::Send { to, message } => self.send("manifests", id, to, message),
                ManifestAction::ReadPlatform => self.deliver_published(id),
                ManifestAction::PutInForce(in_force) => {
                    let host = &mut self.hosts[id];
                    host.membership
                        .set_generation(in_force.generation, self.now);
                }
            }
        }
    }

    fn send(&mut self, part: &'static str, from: &HostId, to: HostId, message: Message) {
        let bytes = wire_len(&message) as u64;
        *self.bytes.entry(part).or_default() += bytes;
        *self.bytes_by_host.entry(from.clone()).or_default() += bytes;
        self.in_flight.push((from.clone(), to, message));
    }

    /// Passes the hosts that membership knows to the manifest controller, as the daemon does.
    fn update_manifest_hosts(&mut self, id: &HostId) {
        let host = &mut self.hosts[id];
        let live = host.membership.hosts();
        let live = live.filter(|view| view.state != HostState::Dead && view.id != *id);
        let (near, far): (Vec<_>, Vec<_>) =
            live.partition(|view| view.domain == host.seed.failure_domain);
        let ids = |views: Vec<&banyanarch::cluster_view::HostView>| -> Vec<HostId> {
            views.into_iter().map(|view| view.id.clone()).collect()
        };
        let (near, far) = (ids(near), ids(far));
        host.manifests.set_hosts(near, far);
    }

    /// Delivers the manifest published on the platform to a host.
    fn deliver_published(&mut self, id: &HostId) {
        if let Some(published) = self.published.clone() {
            let read = ManifestRead::Published(published);
            let actions = self.hosts[id].manifests.on_platform_read(read, self.now);
            self.apply_manifest_actions(id, actions);
        }
    }

    /// Publishes a change of one customer in a manifest of a megabyte, and notifies the hosts that
    /// watch the platform.
    fn publish(&mut self) -> Generation {
        let last = self
            .published
            .as_ref()
            .map(|published| published.generation);
        let last = last.unwrap_or_default();
        let changed = self.rng.random_range(0..9_000);
        let customer = |n: u64| {
            let rate = if n == changed { 1_000 + last.0 } else { 10 };
            format!(
                "  - name: customer-{n:05}\n    share: {}\n    rate: {rate}req/s\n    \
                 burst_requests: 20\n    priority: caller-on-the-line\n",
                n % 7
            )
        };
        let text: String = (0..9_000).map(customer).collect();
        let published = PublishedManifest::next_after(last, 1, &text);
        self.published = Some(published.clone());
        for domain in self.domains() {
            let first = self
                .hosts
                .values()
                .find(|host| host.is_running && host.seed.failure_domain == domain);
            let members = first.unwrap().membership.members(&domain);
            for id in watchers(&domain, &members) {
                self.deliver_published(&id);
            }
        }
        published.generation
    }

    fn domains(&self) -> Vec<FailureDomainId> {
        (0..DOMAINS)
            .map(|n| format!("domain-{n}").parse().unwrap())
            .collect()
    }

    /// Returns whether each running host has this generation of the manifest or a later one.
    fn all_have(&self, generation: Generation) -> bool {
        let mut running = self.hosts.values().filter(|host| host.is_running);
        running.all(|host| host.manifests.generation() >= Some(generation))
    }

    /// Returns whether each running host sees as many alive hosts as are running.
    fn has_converged(&self) -> bool {
        let is_alive = |view: &&banyanarch::cluster_view::HostView| view.state == HostState::Alive;
        let running = self.hosts.values().filter(|host| host.is_running);
        let count = running.clone().count();
        running
            .map(|host| host.membership.hosts().filter(is_alive).count())
            .all(|seen| seen == count)
    }

    /// Returns whether all hosts of a failure domain agree on the homes, and none of the homes is
    /// `gone`.
    fn homes_exclude(&self, gone: &HostId, domain: &FailureDomainId, pools: &[PoolId]) -> bool {
        let neighbours = self.hosts.values();
        let neighbours =
            neighbours.filter(|host| host.is_running && host.seed.failure_domain == *domain);
        let mut members: Vec<_> = neighbours
            .map(|host| host.membership.members(domain))
            .collect();
        for members in &mut members {
            members.sort_by(|a, b| a.host.cmp(&b.host));
        }
        members.dedup();
        let [members] = &members[..] else {
            return false;
        };
        let table = HomeTable::new(pools, members);
        pools
            .iter()
            .all(|pool| table.home_of(pool).is_some_and(|home| home != gone))
    }

    /// Restarts a random host with a new incarnation.
    fn restart(&mut self, incarnation: u64) {
        let index = self.rng.random_range(0..self.hosts.len());
        let known: Vec<PeerSeed> = self
            .hosts
            .values()
            .take(3 * DOMAINS)
            .map(|host| host.seed.clone())
            .collect();
        let seed = self.hosts[index].seed.clone();
        self.start(seed.clone(), &known, incarnation);
        // A host reads the platform when it starts.
        self.deliver_published(&seed.host);
    }
}

/// Returns the pools of a failure domain, with runners in proportion to the number of hosts.
fn pools(domain: &FailureDomainId, host_count: usize) -> Vec<PoolId> {
    let runners = host_count * RUNNERS / HOSTS / DOMAINS / MODELS;
    let upstreams: Vec<_> = (0..runners.max(1))
        .map(|n| format!("{domain}-runner-{n}").parse().unwrap())
        .collect();
    (0..MODELS)
        .flat_map(|model| {
            let target = format!("model-{model}").parse().unwrap();
            partition_upstreams(domain, &target, &upstreams).into_keys()
        })
        .collect()
}

/// Returns the bytes a second and host while the load of the target deployment runs.
fn count_bytes(fleet: &mut Fleet) -> f64 {
    fleet.bytes.clear();
    fleet.bytes_by_host.clear();
    let host_count = fleet.hosts.len() as f64;
    let restarts_a_second = RESTARTS_PER_HOST_DAY * host_count / 86_400.0;
    let (mut restarts_due, mut restarts) = (0.0, 0);
    let start = fleet.now;
    let mut next_change = start;
    while fleet.now - start < COUNT_DURATION {
        if fleet.now >= next_change {
            fleet.publish();
            next_change += CHANGE_INTERVAL;
        }
        restarts_due += restarts_a_second * STEP.as_secs_f64();
        if restarts_due >= 1.0 {
            restarts_due -= 1.0;
            restarts += 1;
            fleet.restart(100 + restarts);
        }
        fleet.step();
    }
    let host_seconds = host_count * COUNT_DURATION.as_secs_f64();
    let most = fleet.bytes_by_host.values().max().copied().unwrap_or(0);
    eprintln!(
        "  {} hosts: membership {:.0} B/s, manifests {:.0} B/s, the busiest host {:.0} B/s, \
         {restarts} restarts",
        host_count,
        fleet.bytes["membership"] as f64 / host_seconds,
        fleet.bytes["manifests"] as f64 / host_seconds,
        most as f64 / COUNT_DURATION.as_secs_f64(),
    );
    fleet.bytes.values().sum::<u64>() as f64 / host_seconds
}

/// Kills hosts one after the other, and returns the mean number of rounds until their domain sees
/// them dead and has new homes.
fn rounds_after_kill(fleet: &mut Fleet) -> f64 {
    let host_count = fleet.hosts.len();
    let mut rounds = 0.0;
    for kill in 0..KILLS {
        let index = host_count / 2 + kill;
        let seed = fleet.hosts[index].seed.clone();
        let pools = pools(&seed.failure_domain, host_count);
        fleet.hosts[index].is_running = false;
        rounds += fleet.rounds_until(|fleet| {
            fleet.homes_exclude(&seed.host, &seed.failure_domain, &pools)
                && is_seen_dead(fleet, &seed)
        });
        fleet.run(Duration::from_secs(5));
    }
    rounds / KILLS as f64
}

fn is_seen_dead(fleet: &Fleet, dead: &PeerSeed) -> bool {
    let neighbours = fleet.hosts.values();
    let mut neighbours = neighbours
        .filter(|host| host.is_running && host.seed.failure_domain == dead.failure_domain);
    neighbours.all(|host| {
        let mut views = host.membership.hosts();
        views.any(|view| view.id == dead.host && view.state == HostState::Dead)
    })
}

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    if args.first().is_some_and(|arg| arg == "daemons") {
        let counts = args.iter().filter_map(|arg| arg.parse().ok());
        counts.for_each(daemons::count);
        return;
    }
    for host_count in HOST_COUNTS {
        let mut fleet = Fleet::new(host_count);
        fleet.publish();
        for index in 0..host_count {
            let id = fleet.hosts.get_index(index).unwrap().0.clone();
            fleet.deliver_published(&id);
        }
        let convergence_rounds = fleet.rounds_until(Fleet::has_converged);
        eprintln!(
            "  {host_count} hosts: all started at once know each other after {convergence_rounds:.1} rounds"
        );
        fleet.run(Duration::from_secs(60));
        let bytes = count_bytes(&mut fleet);
        fleet.rounds_until(Fleet::has_converged);
        let mut spread_rounds: f64 = 0.0;
        for _ in 0..KILLS {
            let generation = fleet.publish();
            spread_rounds += fleet.rounds_until(|fleet| fleet.all_have(generation));
            fleet.run(Duration::from_secs(5));
        }
        let failover_rounds = rounds_after_kill(&mut fleet);
        println!(
            "hosts {host_count}, control {bytes:.0} B/s per host, rounds after kill {failover_rounds:.1}, \
             rounds to spread a manifest {:.1}",
            spread_rounds / KILLS as f64
        );
    }
}
