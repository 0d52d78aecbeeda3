//! A simulated fleet that exchanges updates under a manual clock: hosts, the links between them,
//! and what each host knows of the load of the others.

#![allow(dead_code, unreachable_pub)]

#[path = "../event_queue/mod.rs"]
mod event_queue;
mod measurements;
mod node;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use banyanarch::decide::HostLoad;
use banyanarch::exchange::HostUpdate;
use banyanarch::exchange::ListedHost;
use banyanarch::exchange::OutgoingUpdate;
use banyanarch::exchange::SendReason;
use banyanarch::exchange::UpstreamHash;
use banyanarch::units::Millicores;
use banyanarch::units::UpstreamId;
use banyanarch::units::seconds;
use indexmap::IndexMap;
use prost::Message;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

use event_queue::EventQueue;
pub use measurements::Measurements;
pub use node::Node;

/// The latency of the link between two hosts.
const LINK_DELAY: Duration = Duration::from_millis(1);
/// Changes of load per second and host in the users' largest fleet.
pub const CHANGES_PER_S: f64 = 3.6;

#[derive(Clone, Debug)]
enum Event {
    Wake(usize),
    Deliver {
        to: usize,
        incarnation: u64,
        update: Arc<HostUpdate>,
    },
    Change(usize),
}

/// A simulated fleet and its clock.
pub struct World {
    pub nodes: Vec<Node>,
    pub measurements: Measurements,
    /// The fraction of messages that are lost.
    pub loss_rate: f64,
    base: Instant,
    now: Duration,
    rng: StdRng,
    events: EventQueue<Event>,
    changes_per_s: f64,
    upstreams: Vec<UpstreamId>,
    names: IndexMap<UpstreamHash, UpstreamId>,
    probes: Vec<Probe>,
}

/// A change of load, and the hosts that do not know of it yet.
struct Probe {
    upstream: UpstreamId,
    host: usize,
    at: Duration,
    waiting_hosts: Vec<usize>,
}

impl World {
    /// Creates hosts spread over failure domains; every seventh is strong. The last `legacy` of
    /// them run a version without support for collectors.
    pub fn new(hosts: usize, domains: usize, legacy: usize, seed: u64) -> Self {
        let base = Instant::now();
        let mut world = Self {
            nodes: Vec::new(),
            measurements: Measurements::new(hosts),
            loss_rate: 0.0,
            base,
            now: Duration::ZERO,
            rng: StdRng::seed_from_u64(seed),
            events: EventQueue::default(),
            changes_per_s: 0.0,
            upstreams: (0..hosts)
                .map(|i| upstream(&format!("engine-{i}")))
                .collect(),
            names: IndexMap::new(),
            probes: Vec::new(),
        };
        for id in world.upstreams.clone() {
            world.names.insert(UpstreamHash::from(&id), id);
        }
        for index in 0..hosts {
            let is_legacy = index >= hosts - legacy;
            let strength = if is_strong(index) { 500 } else { 120 };
            let listed = ListedHost {
                host: format!("host-{index:03}").parse().unwrap(),
                domain: format!("domain-{}", index % domains).parse().unwrap(),
                exchange_addr: addr(index),
                processors: (!is_legacy).then_some(Millicores(strength)),
            };
            world.nodes.push(Node::new(listed, base));
        }
        world.publish_hosts();
        for index in 0..hosts {
            // Hosts start within half a second.
            let at = Duration::from_millis(world.rng.random_range(0..500));
            world.push(at, Event::Wake(index));
        }
        world
    }

    /// Gives all hosts the current list of hosts.
    pub fn publish_hosts(&mut self) {
        let all: Vec<ListedHost> = self.nodes.iter().map(|node| node.listed.clone()).collect();
        let all = Arc::new(all);
        for node in &mut self.nodes {
            node.hosts = Arc::clone(&all);
        }
    }

    /// Sets how often each host changes its load.
    pub fn set_changes(&mut self, per_s: f64) {
        let was_idle = self.changes_per_s == 0.0;
        self.changes_per_s = per_s;
        if was_idle && per_s > 0.0 {
            for index in 0..self.nodes.len() {
                let at = self.now + self.change_gap();
                self.push(at, Event::Change(index));
            }
        }
    }

    /// Lets time pass.
    pub fn run_for(&mut self, time: Duration) {
        let end = self.now + time;
        while let Some((at, event)) = self.events.pop_until(end) {
            self.now = at;
            self.handle(event);
        }
        self.now = end;
    }

    /// Lets time pass until a condition holds. Returns how long that took, at most `timeout`.
    pub fn run_until(
        &mut self,
        timeout: Duration,
        mut is_true: impl FnMut(&mut Self) -> bool,
    ) -> Duration {
        let start = self.now;
        while !is_true(self) && self.now - start < timeout {
            self.run_for(Duration::from_millis(10));
        }
        self.now - start
    }

    /// Stops a host without a shutdown.
    pub fn kill(&mut self, index: usize) {
        self.nodes[index].is_up = false;
    }

    /// Restarts a host without any state.
    pub fn restart(&mut self, index: usize) {
        let now = self.instant();
        self.nodes[index].restart(now);
        self.push(self.now, Event::Wake(index));
    }

    /// Pauses a host. It receives what was sent to it meanwhile when it is woken.
    pub fn pause(&mut self, index: usize) {
        self.nodes[index].is_paused = true;
    }

    /// Resumes a paused host, which receives the updates that arrived meanwhile.
    pub fn wake(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        node.is_paused = false;
        let missed = std::mem::take(&mut node.missed);
        for update in missed {
            self.deliver(index, &update);
        }
        self.push(self.now, Event::Wake(index));
    }

    /// Starts or ends a partition between a failure domain and the others.
    pub fn set_partitioned(&mut self, domain: &str, is_partitioned: bool) {
        for node in &mut self.nodes {
            if node.listed.domain.as_str() == domain {
                node.is_partitioned = is_partitioned;
            }
        }
    }

    /// The collector that the host `index` listens to, or the host itself.
    pub fn collector_of(&self, index: usize) -> usize {
        let now = self.instant();
        let route = self.nodes[index].exchange.current_route(now);
        let Some(collector) = route.collector else {
            return index;
        };
        let is_collector = |node: &Node| node.listed.host == collector;
        self.nodes.iter().position(is_collector).unwrap()
    }

    /// Adds one request of a host at an upstream that no other host uses, and tracks when the other
    /// hosts know of it.
    pub fn probe(&mut self, host: usize) {
        let name = format!("probe-{}", self.probes.len());
        let upstream = upstream(&name);
        self.names
            .insert(UpstreamHash::from(&upstream), upstream.clone());
        self.nodes[host].set_requests(&upstream, 1);
        let is_live = |index: &usize| *index != host && self.nodes[*index].is_up;
        let waiting_hosts = (0..self.nodes.len()).filter(is_live).collect();
        self.probes.push(Probe {
            upstream,
            host,
            at: self.now,
            waiting_hosts,
        });
        self.on_load_changed(host);
    }

    /// The number of hosts that have not heard of a probe yet, over all probes.
    pub fn undelivered_probes(&self) -> usize {
        self.probes
            .iter()
            .map(|probe| probe.waiting_hosts.len())
            .sum()
    }

    /// The number of pairs of a live host and an upstream for which the host's knowledge of the
    /// others' load is wrong.
    pub fn mismatches(&self) -> usize {
        let now = self.instant();
        let live: Vec<&Node> = self.nodes.iter().filter(|node| node.is_up).collect();
        let mut mismatches = 0;
        for upstream in &self.upstreams {
            let all: u32 = live.iter().map(|node| node.in_flight(upstream)).sum();
            for node in &live {
                let others = all - node.in_flight(upstream);
                mismatches += usize::from(node.ledger.load(upstream, now).in_flight != others);
            }
        }
        mismatches
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Wake(index) => self.on_wake(index),
            Event::Deliver {
                to,
                incarnation,
                update,
            } => {
                if self.nodes[to].incarnation == incarnation && self.nodes[to].is_up {
                    self.deliver(to, &update);
                }
            }
            Event::Change(index) => self.on_change(index),
        }
    }

    fn on_wake(&mut self, index: usize) {
        let now = self.instant();
        let node = &mut self.nodes[index];
        if !node.is_up || node.is_paused {
            return;
        }
        node.wakes_at = None;
        node.exchange.set_hosts(&node.hosts, now);
        if node.exchange.due_at() <= now {
            let sent = node.due_messages(now);
            self.send(index, sent);
        }
        self.schedule(index);
    }

    fn on_change(&mut self, index: usize) {
        if self.changes_per_s == 0.0 {
            return;
        }
        if self.nodes[index].is_up {
            let engine = self.rng.random_range(0..self.upstreams.len());
            let upstream = self.upstreams[engine].clone();
            let requests = self.rng.random_range(0..3);
            self.nodes[index].set_requests(&upstream, requests);
            self.on_load_changed(index);
        }
        let at = self.now + self.change_gap();
        self.push(at, Event::Change(index));
    }

    fn on_load_changed(&mut self, index: usize) {
        self.nodes[index]
            .exchange
            .request_send(SendReason::UrgentChange);
        self.schedule(index);
    }

    fn deliver(&mut self, to: usize, update: &Arc<HostUpdate>) {
        if self.nodes[to].is_paused {
            self.nodes[to].missed.push(Arc::clone(update));
            return;
        }
        self.measurements.on_received(to);
        let now = self.instant();
        let forwarded = self.nodes[to].on_message(HostUpdate::clone(update), &self.names, now);
        self.send(to, forwarded.into_iter().collect());
        let known = self.now;
        for probe in &mut self.probes {
            if !probe.waiting_hosts.contains(&to) {
                continue;
            }
            if self.nodes[to].ledger.load(&probe.upstream, now).in_flight > 0 {
                probe.waiting_hosts.retain(|waiting| *waiting != to);
                self.measurements.ages.push(known - probe.at);
            }
        }
        self.schedule(to);
    }

    fn send(&mut self, from: usize, outgoing: Vec<OutgoingUpdate>) {
        for outgoing in outgoing {
            let bytes = outgoing.update.encoded_len();
            assert!(bytes < 65_000, "{bytes} bytes do not fit into a datagram");
            let update = Arc::new(outgoing.update);
            for to in outgoing.recipients {
                let to = usize::from(to.port()) - 1;
                let crosses_domains =
                    self.nodes[from].listed.domain != self.nodes[to].listed.domain;
                if crosses_domains {
                    self.measurements.cross_domain_bytes += bytes;
                }
                self.measurements.sent_bytes[from] += bytes;
                let is_partitioned = crosses_domains
                    && (self.nodes[from].is_partitioned || self.nodes[to].is_partitioned);
                if is_partitioned || self.rng.random::<f64>() < self.loss_rate {
                    continue;
                }
                let event = Event::Deliver {
                    to,
                    incarnation: self.nodes[to].incarnation,
                    update: Arc::clone(&update),
                };
                self.push(self.now + LINK_DELAY, event);
            }
        }
    }

    fn schedule(&mut self, index: usize) {
        let due_at = self.nodes[index].exchange.due_at();
        let at = due_at.saturating_duration_since(self.base).max(self.now);
        if self.nodes[index]
            .wakes_at
            .is_none_or(|scheduled| at < scheduled)
        {
            self.nodes[index].wakes_at = Some(at);
            self.push(at, Event::Wake(index));
        }
    }

    fn change_gap(&mut self) -> Duration {
        let draw: f64 = self.rng.random();
        seconds(-(1.0 - draw).ln() / self.changes_per_s)
    }

    fn push(&mut self, at: Duration, event: Event) {
        self.events.push(at, event);
    }

    /// The current time.
    pub fn instant(&self) -> Instant {
        self.base + self.now
    }
}

/// Whether a host has a larger CPU share than most.
pub fn is_strong(index: usize) -> bool {
    index % 7 == 3
}

/// The address of the host `index`.
fn addr(index: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], u16::try_from(index + 1).unwrap()))
}

fn upstream(name: &str) -> UpstreamId {
    name.parse().unwrap()
}

/// A load of the given number of requests at one upstream.
pub fn requests(in_flight: u32) -> HostLoad {
    HostLoad {
        in_flight,
        ..HostLoad::default()
    }
}
