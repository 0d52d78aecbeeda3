//! Who tells whom, and when: all of the exchange but the socket.
//!
//! In a small fleet each host tells every other one. In a larger one each tells the hosts
//! of its failure domain, and the strongest of them, the collector, tells the collectors of the other
//! domains what all of its domain have together; these pass it on.
//!
//! Load it answers: told by each to each, news of 195 hosts were 78,000 messages a second and half a
//! second old, since a host can receive only so many; in that time hosts place a hundred prompts that
//! the others don't know of. Hosts that choose among the engines of their own domain first need young
//! news of their neighbours alone.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;
use log::warn;
use xxhash_rust::xxh3::xxh3_64;

use crate::exchange::HostUpdate;
use crate::exchange::ListedHost;
use crate::exchange::MessageScope;
use crate::exchange::OutgoingUpdate;
use crate::exchange::SendPacer;
use crate::exchange::SendReason;
use crate::exchange::UpdateRoute;
use crate::exchange::UpstreamHash;
use crate::exchange::active_collectors::ActiveCollectors;
use crate::exchange::aggregate::Aggregate;
use crate::exchange::collector_tracker::CollectorTracker;
use crate::exchange::sent_limits::SentLimits;
use crate::exchange::update_interval;
use crate::units::FailureDomainId;
use crate::units::HostId;

/// Up to so many hosts each tells every other one. Twice as many would send a megabyte a second between
/// domains at their usual load, and each host would receive more messages than by way of a collector.
const DIRECT_HOSTS_MAX: usize = 32;
/// The shortest time between two messages of a collector that has something to pass on. Each costs it a
/// send for each host of its domain: with 40 of them a hundredth of a core.
const RELAY_INTERVAL: Duration = Duration::from_millis(36);
/// What is added to it at most, by the collector's name. CollectorTracker that send in step make what they
/// tell each other wait for a whole interval, a third longer on the way at the median.
const RELAY_STAGGER_MS: u64 = 8;
/// Between two messages of a collector that has nothing to pass on; its silence makes the others choose
/// another one.
const RELAY_IDLE_INTERVAL: Duration = Duration::from_millis(100);
/// How old news of other domains are at most when nothing is lost: told, and passed on twice.
const REMOTE_AGE_MAX: Duration = Duration::from_millis(100);
/// A host that has just started listens for this long before it collects: two messages of each
/// neighbour that has nothing to tell.
const STARTUP_LISTEN_TIME: Duration = Duration::from_millis(600);
/// Work in one message of a collector. 400 entries are 12 KB, which a receiver takes in within a
/// millisecond.
const RELAY_LOADS_MAX: usize = 400;

/// One host's place in the exchange.
#[derive(Debug)]
pub struct ExchangeState {
    host: HostId,
    domain: FailureDomainId,
    started_at: Instant,
    hosts: Arc<Vec<ListedHost>>,
    /// The domain of each host that may collect.
    domains: IndexMap<HostId, FailureDomainId>,
    other_domains: Vec<FailureDomainId>,
    /// Those that this host tells of its own work.
    direct_peers: Vec<SocketAddr>,
    /// Those of them that are of a former version.
    legacy_peers: Vec<SocketAddr>,
    /// The other hosts of its domain that understand what a collector passes on.
    domain_peers: Vec<SocketAddr>,
    collectors: CollectorTracker,
    aggregate: Aggregate,
    /// The host that collects for this domain, if it is another one.
    collector: Option<ListedHost>,
    /// The other collectors that this one tells.
    remote_collectors: Vec<ListedHost>,
    active_collectors: ActiveCollectors,
    pacer: SendPacer,
    relay_interval: Duration,
    relay_sent_at: Instant,
    /// Whether there is something to pass on.
    has_relay_data: bool,
    /// What this host has told of limits.
    sent_limits: SentLimits,
}

impl ExchangeState {
    /// A host that knows of no other one yet.
    pub fn new(host: HostId, domain: FailureDomainId, now: Instant) -> Self {
        let stagger = xxh3_64(host.as_str().as_bytes()) % RELAY_STAGGER_MS;
        Self {
            host,
            domain,
            started_at: now,
            hosts: Arc::default(),
            domains: IndexMap::new(),
            other_domains: Vec::new(),
            direct_peers: Vec::new(),
            legacy_peers: Vec::new(),
            domain_peers: Vec::new(),
            collectors: CollectorTracker::default(),
            aggregate: Aggregate::new(now),
            collector: None,
            remote_collectors: Vec::new(),
            active_collectors: ActiveCollectors::default(),
            pacer: SendPacer::new(now),
            relay_interval: RELAY_INTERVAL + Duration::from_millis(stagger),
            relay_sent_at: now,
            has_relay_data: false,
            sent_limits: SentLimits::default(),
        }
    }

    /// Takes in the list of hosts, this one included.
    pub fn set_hosts(&mut self, hosts: &Arc<Vec<ListedHost>>, now: Instant) {
        if Arc::ptr_eq(&self.hosts, hosts) {
            return;
        }
        self.hosts = Arc::clone(hosts);
        let capable = hosts.iter().filter(|listed| listed.can_relay());
        let domains = capable.map(|listed| (listed.host.clone(), listed.domain.clone()));
        self.domains = domains.collect();
        let other_domains = self
            .domains
            .values()
            .filter(|domain| **domain != self.domain);
        self.other_domains = other_domains.cloned().collect();
        self.other_domains.sort_unstable();
        self.other_domains.dedup();
        let others = hosts.iter().filter(|listed| listed.host != self.host);
        let is_same_domain = |listed: &&ListedHost| listed.domain == self.domain;
        let is_full_mesh = !self.is_large();
        let is_direct_peer =
            |listed: &&ListedHost| is_full_mesh || is_same_domain(listed) || !listed.can_relay();
        let addr = |listed: &ListedHost| listed.exchange_addr;
        let direct_peers = others.clone().filter(is_direct_peer).map(addr).collect();
        let legacy_peers = others.clone().filter(|listed| !listed.can_relay());
        let legacy_peers = legacy_peers.map(addr).collect();
        let capable_neighbours = others
            .filter(is_same_domain)
            .filter(|listed| listed.can_relay());
        self.domain_peers = capable_neighbours.map(addr).collect();
        self.direct_peers = direct_peers;
        self.legacy_peers = legacy_peers;
        self.elect_collector(now);
    }

    /// Takes in that there is something to tell.
    pub fn request_send(&mut self, reason: SendReason) {
        self.pacer.request_send(reason);
        self.has_relay_data = true;
    }

    /// By which way news come to this host now.
    pub fn current_route(&self, now: Instant) -> UpdateRoute {
        let local_age_max = update_interval(self.direct_peers.len());
        if !self.is_large() {
            return UpdateRoute {
                collector: None,
                local_age_max,
                remote_age_max: local_age_max,
            };
        }
        let collector = self.collector.as_ref().map(|listed| &listed.host);
        let has_reported = |host: &&HostId| self.collectors.has_reported(host, now);
        UpdateRoute {
            collector: collector.filter(has_reported).cloned(),
            local_age_max,
            remote_age_max: REMOTE_AGE_MAX,
        }
    }

    /// When [`ExchangeState::speak`] has something to do.
    pub fn due_at(&self) -> Instant {
        let own = self.pacer.due_at(update_interval(self.direct_peers.len()));
        let relay = self.is_collector().then(|| self.relay_due_at());
        let timeout = self.collectors.next_timeout();
        [relay, timeout]
            .into_iter()
            .flatten()
            .fold(own, Instant::min)
    }

    /// The messages that are due; `own` makes what this host says of itself.
    pub fn due_messages(
        &mut self,
        own: impl Fn() -> HostUpdate,
        now: Instant,
    ) -> Vec<OutgoingUpdate> {
        self.aggregate.expire_sources(now);
        self.elect_collector(now);
        let mut outgoing = Vec::new();
        let interval = update_interval(self.direct_peers.len());
        if self.pacer.due_at(interval) <= now {
            self.pacer.on_sent(interval, now);
            let mut own = own();
            own.limits = self.sent_limits.take_due(own.limits, now);
            outgoing.extend(self.own_messages(own));
        }
        if self.is_collector() && self.relay_due_at() <= now {
            self.relay_sent_at = now;
            self.has_relay_data = false;
            outgoing.extend(self.collector_messages(own(), now));
        }
        outgoing
    }

    /// Takes in a message. Returns what it says of work, and what is to be passed on at once.
    pub fn on_message(
        &mut self,
        update: HostUpdate,
        now: Instant,
    ) -> (Vec<HostUpdate>, Option<OutgoingUpdate>) {
        let Ok(host) = update.host.parse::<HostId>() else {
            warn!("exchange: update without a valid host name");
            return (Vec::new(), None);
        };
        if host == self.host {
            return (Vec::new(), None);
        }
        match update.scope() {
            MessageScope::Host => {
                if self.domains.get(&host) == Some(&self.domain) && self.is_large() {
                    self.collectors.on_neighbour_heard(&host, now);
                    self.has_relay_data = true;
                    self.aggregate
                        .on_neighbour_update(host, update.clone(), now);
                }
                (vec![update], None)
            }
            MessageScope::Domain => self.on_domain_message(host, update, now),
            MessageScope::Relay => (self.on_relay_message(&host, update, now), None),
        }
    }

    fn on_domain_message(
        &mut self,
        host: HostId,
        update: HostUpdate,
        now: Instant,
    ) -> (Vec<HostUpdate>, Option<OutgoingUpdate>) {
        if let Some(collector) = &self.collector {
            return (Vec::new(), redirect(collector, update));
        }
        if !self.collectors.has_reported(&host, now) {
            self.aggregate.resend_all();
        }
        self.collectors.on_collector_heard(&host, now);
        self.has_relay_data = true;
        let accepted = self.accept_domain_update(&host, update, now);
        if let Some(update) = accepted.last() {
            self.aggregate.on_domain_update(host, update.clone(), now);
        }
        // What is taken back is not passed on: the hosts of this domain take it back by themselves.
        self.aggregate
            .retain_remote(|host| self.active_collectors.is_active(host));
        (accepted, None)
    }

    fn on_relay_message(
        &mut self,
        host: &HostId,
        mut update: HostUpdate,
        now: Instant,
    ) -> Vec<HostUpdate> {
        self.collectors.on_neighbour_heard(host, now);
        self.collectors.on_collector_heard(host, now);
        let relayed = std::mem::take(&mut update.relayed);
        let mut accepted = vec![update];
        if self.is_collector() {
            // The other collectors tell this one as well.
            return accepted;
        }
        for update in relayed {
            match update.host.parse::<HostId>() {
                Ok(collector) => {
                    accepted.extend(self.accept_domain_update(&collector, update, now))
                }
                Err(err) => warn!("exchange: relayed update without a valid host name: {err}"),
            }
        }
        accepted
    }

    /// What a collector of another domain says, if it is the one that this host listens to.
    fn accept_domain_update(
        &mut self,
        collector: &HostId,
        update: HostUpdate,
        now: Instant,
    ) -> Vec<HostUpdate> {
        match self.domains.get(collector) {
            Some(domain) if *domain != self.domain => {
                self.active_collectors
                    .accept(domain.clone(), collector, update, now)
            }
            _ => Vec::new(),
        }
    }

    /// Whether this host collects.
    fn is_collector(&self) -> bool {
        self.is_large() && self.collector.is_none()
    }

    fn is_large(&self) -> bool {
        is_large_fleet(self.hosts.len())
    }

    fn elect_collector(&mut self, now: Instant) {
        if !self.is_large() {
            self.collector = None;
            self.remote_collectors.clear();
            self.collectors.monitor(&[], now);
            return;
        }
        let was_collector = self.is_collector();
        let in_domain = |listed: &&ListedHost| listed.domain == self.domain && listed.can_relay();
        let neighbours = self.hosts.iter().filter(in_domain);
        let best = self.collectors.elect(neighbours, &self.host, now);
        self.collector = best.filter(|best| best.host != self.host).cloned();
        if self.is_collector() && !was_collector {
            self.aggregate.resend_all();
        }
        self.remote_collectors = if self.is_collector() {
            self.choose_remote_collectors(now)
        } else {
            Vec::new()
        };
        let monitored = self.collector.iter().chain(&self.remote_collectors);
        let monitored: Vec<HostId> = monitored.map(|listed| listed.host.clone()).collect();
        self.collectors.monitor(&monitored, now);
    }

    /// The other collectors, or hosts that know them.
    fn choose_remote_collectors(&self, now: Instant) -> Vec<ListedHost> {
        let domains = self.other_domains.iter();
        let remote =
            domains.flat_map(|domain| self.collectors.remote_collectors(&self.hosts, domain, now));
        remote.collect()
    }

    /// What this host says of itself, to all that it tells.
    fn own_messages(&self, own: HostUpdate) -> Vec<OutgoingUpdate> {
        if !self.is_large() {
            let recipients = self.direct_peers.clone();
            return vec![OutgoingUpdate {
                recipients,
                update: own,
            }];
        }
        let hashed = OutgoingUpdate {
            recipients: self.domain_peers.clone(),
            update: with_upstream_hashes(own.clone()),
        };
        let named = (!self.legacy_peers.is_empty()).then(|| OutgoingUpdate {
            recipients: self.legacy_peers.clone(),
            update: own,
        });
        [hashed].into_iter().chain(named).collect()
    }

    fn relay_due_at(&self) -> Instant {
        let interval = if self.has_relay_data {
            self.relay_interval
        } else {
            RELAY_IDLE_INTERVAL
        };
        (self.relay_sent_at + interval).max(self.started_at + STARTUP_LISTEN_TIME)
    }

    fn collector_messages(&mut self, own: HostUpdate, now: Instant) -> Vec<OutgoingUpdate> {
        let messages = self.aggregate.next_messages(own, now);
        let relayed = split_relay(messages.relay)
            .into_iter()
            .map(|update| OutgoingUpdate {
                recipients: self.domain_peers.clone(),
                update,
            });
        let remote = self
            .remote_collectors
            .iter()
            .map(|listed| listed.exchange_addr);
        let recipients: Vec<SocketAddr> = remote.collect();
        let domain = messages
            .domain
            .map(|update| OutgoingUpdate { recipients, update });
        relayed.chain(domain).collect()
    }
}

/// Sends a domain's news, which came here because its collector does not know who collects in this one,
/// to the host that does. Once only: two hosts that take each other for the collector would send it to
/// and fro without end.
fn redirect(collector: &ListedHost, update: HostUpdate) -> Option<OutgoingUpdate> {
    if update.is_redirected {
        return None;
    }
    let update = HostUpdate {
        is_redirected: true,
        ..update
    };
    let recipients = vec![collector.exchange_addr];
    Some(OutgoingUpdate { recipients, update })
}

/// Whether so many hosts are too many for each to tell every other one.
pub fn is_large_fleet(hosts: usize) -> bool {
    hosts > DIRECT_HOSTS_MAX
}

/// Names upstreams by their hashes, which a receiver looks up where it would copy the names.
fn with_upstream_hashes(mut update: HostUpdate) -> HostUpdate {
    for load in &mut update.loads {
        load.upstream_hash = UpstreamHash::of(&load.upstream).0;
        load.upstream.clear();
    }
    update
}

/// Splits what a collector passes on into messages of a bounded size.
fn split_relay(mut relay: HostUpdate) -> Vec<HostUpdate> {
    let relayed = std::mem::take(&mut relay.relayed);
    let mut loads = 0;
    let mut parts = vec![relay.clone()];
    for update in relayed {
        let len = update.loads.len();
        if loads + len > RELAY_LOADS_MAX && loads > 0 {
            parts.push(relay.clone());
            loads = 0;
        }
        loads += len;
        if let Some(part) = parts.last_mut() {
            part.relayed.push(update);
        }
    }
    parts
}
