//! The protocol of the exchange as a state machine without I/O: which host sends what to whom, and
//! when.
//!
//! In a small fleet each host sends its updates to every other host. In a large fleet each host
//! sends them to the hosts of its failure domain. The strongest of these hosts, the collector,
//! sends the aggregated load of the domain to the collectors of the other domains, which relay it
//! to their own hosts.
//!
//! With a full mesh, 195 hosts would send 78,000 messages a second. Since the number of messages
//! that a host can receive is limited, updates would be half a second old, and in that time hosts
//! place a hundred prompts that the others do not know of. Hosts that prefer the engines of their
//! own domain need recent updates of their neighbours only.

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
use crate::exchange::sent_outcomes::SentOutcomes;
use crate::exchange::sent_part_evidence::SentPartEvidence;
use crate::exchange::sent_uses::SentUses;
use crate::exchange::update_interval;
use crate::units::FailureDomainId;
use crate::units::HostId;

/// The largest fleet in which each host sends to every other one. At twice this size, full-mesh
/// updates would take a megabyte a second between failure domains at the usual load, and each host
/// would receive more messages than through a collector.
const DIRECT_HOSTS_MAX: usize = 32;
/// The minimum interval between two messages of a collector that has changes to relay. Each round
/// costs one send for each host of the domain; with 40 hosts, a hundredth of a core.
const RELAY_INTERVAL: Duration = Duration::from_millis(36);
/// Upper bound, in ms, of the offset added to [`RELAY_INTERVAL`], derived from the collector's
/// name. Collectors that send in lockstep delay each other's updates by a whole interval, which
/// makes the median latency a third longer.
const RELAY_STAGGER_MS: u64 = 8;
/// The interval between two messages of a collector that has nothing to relay. Its silence makes
/// other hosts elect another collector.
const RELAY_IDLE_INTERVAL: Duration = Duration::from_millis(100);
/// The maximum age of updates of other failure domains if no message is lost: one send and two
/// relays.
const REMOTE_AGE_MAX: Duration = Duration::from_millis(100);
/// Time for which a host that has just started only listens before it acts as a collector; two
/// heartbeats of each neighbour.
const STARTUP_LISTEN_TIME: Duration = Duration::from_millis(600);
/// The maximum number of load entries in one relay message. 400 entries take 12 KB, which a
/// recipient processes within a millisecond.
const RELAY_LOADS_MAX: usize = 400;

/// The state of one host in the exchange.
#[derive(Debug)]
pub struct ExchangeState {
    host: HostId,
    domain: FailureDomainId,
    started_at: Instant,
    hosts: Arc<Vec<ListedHost>>,
    /// The failure domain of each host that can be a collector.
    domains: IndexMap<HostId, FailureDomainId>,
    other_domains: Vec<FailureDomainId>,
    /// The hosts to which this host sends its own updates.
    direct_peers: Vec<SocketAddr>,
    /// The direct peers that run a version without support for collectors.
    legacy_peers: Vec<SocketAddr>,
    /// The other hosts of the same failure domain that understand relayed updates.
    domain_peers: Vec<SocketAddr>,
    collector_tracker: CollectorTracker,
    aggregate: Aggregate,
    /// The collector of this host's failure domain; none if it is this host or the fleet is small.
    collector: Option<ListedHost>,
    /// The hosts of other failure domains to which this host sends updates as a collector.
    remote_collectors: Vec<ListedHost>,
    active_collectors: ActiveCollectors,
    pacer: SendPacer,
    relay_interval: Duration,
    relay_sent_at: Instant,
    /// Whether there are changes to relay.
    has_relay_data: bool,
    /// The rate limits in the last updates of this host.
    sent_limits: SentLimits,
    /// What the last updates of this host contained of the customers' use.
    sent_uses: SentUses,
    /// The outcomes of calls in the last updates of this host.
    sent_outcomes: SentOutcomes,
    /// What the last updates of this host contained about parts of prompts.
    sent_part_evidence: SentPartEvidence,
}

impl ExchangeState {
    /// Creates the state of a host that knows no other host yet.
    pub fn new(host: HostId, domain: FailureDomainId, now: Instant) -> Self {
        let stagger = xxh3_64(host.as_str().as_bytes()) % RELAY_STAGGER_MS;
        Self {
            sent_part_evidence: SentPartEvidence::new(&host),
            aggregate: Aggregate::new(&host, now),
            host,
            domain,
            started_at: now,
            hosts: Arc::default(),
            domains: IndexMap::new(),
            other_domains: Vec::new(),
            direct_peers: Vec::new(),
            legacy_peers: Vec::new(),
            domain_peers: Vec::new(),
            collector_tracker: CollectorTracker::default(),
            collector: None,
            remote_collectors: Vec::new(),
            active_collectors: ActiveCollectors::default(),
            pacer: SendPacer::new(now),
            relay_interval: RELAY_INTERVAL + Duration::from_millis(stagger),
            relay_sent_at: now,
            has_relay_data: false,
            sent_limits: SentLimits::default(),
            sent_uses: SentUses::default(),
            sent_outcomes: SentOutcomes::default(),
        }
    }

    /// Replaces the list of hosts, which includes this one.
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

    /// Requests that a message with the current state is sent for the given reason.
    pub fn request_send(&mut self, reason: SendReason) {
        self.pacer.request_send(reason);
        self.has_relay_data = true;
    }

    /// The route on which updates reach this host now.
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
        let has_reported = |host: &&HostId| self.collector_tracker.has_reported(host, now);
        UpdateRoute {
            collector: collector.filter(has_reported).cloned(),
            local_age_max,
            remote_age_max: REMOTE_AGE_MAX,
        }
    }

    /// The time at which [`ExchangeState::due_messages`] has to be called next.
    pub fn due_at(&self) -> Instant {
        let own = self.pacer.due_at(update_interval(self.direct_peers.len()));
        let relay = self.is_collector().then(|| self.relay_due_at());
        let timeout = self.collector_tracker.next_timeout();
        [relay, timeout]
            .into_iter()
            .flatten()
            .fold(own, Instant::min)
    }

    /// Returns the messages that are due now and records them as sent. `own` builds the update of
    /// this host alone. Each call also forgets the load of hosts and domains that have timed out,
    /// and elects the collector anew.
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
            let uses = own.customer_uses.into_iter().collect();
            own.customer_uses = self.sent_uses.take_due(uses, now);
            own.outcomes = self.sent_outcomes.take_due(own.outcomes, now);
            own.part_evidence =
                self.sent_part_evidence
                    .take_due(own.part_evidence, self.direct_peers.len(), now);
            outgoing.extend(self.own_messages(own));
        }
        if self.is_collector() && self.relay_due_at() <= now {
            self.relay_sent_at = now;
            self.has_relay_data = false;
            outgoing.extend(self.collector_messages(own(), now));
        }
        outgoing
    }

    /// Handles a received message. Returns the updates to apply, and a message to forward at once,
    /// if any.
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
                    self.collector_tracker.on_neighbour_heard(&host, now);
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

    /// Handles the update of another failure domain's collector. If this host is not the collector
    /// of its own domain, the update is only forwarded to that collector.
    fn on_domain_message(
        &mut self,
        host: HostId,
        update: HostUpdate,
        now: Instant,
    ) -> (Vec<HostUpdate>, Option<OutgoingUpdate>) {
        if let Some(collector) = &self.collector {
            return (Vec::new(), redirect(collector, update));
        }
        if !self.collector_tracker.has_reported(&host, now) {
            self.aggregate.resend_all();
        }
        self.collector_tracker.on_collector_heard(&host, now);
        self.has_relay_data = true;
        let accepted = self.accept_domain_update(&host, update, now);
        if let Some(update) = accepted.last() {
            self.aggregate.on_domain_update(host, update.clone(), now);
        }
        // An update that only removes the load of a former collector is not relayed: the hosts of
        // this domain remove that load on their own.
        self.aggregate
            .retain_remote(|host| self.active_collectors.is_active(host));
        (accepted, None)
    }

    /// Handles updates of other failure domains that the collector of this domain relays.
    fn on_relay_message(
        &mut self,
        host: &HostId,
        mut update: HostUpdate,
        now: Instant,
    ) -> Vec<HostUpdate> {
        self.collector_tracker.on_neighbour_heard(host, now);
        self.collector_tracker.on_collector_heard(host, now);
        let relayed = std::mem::take(&mut update.relayed);
        let mut accepted = vec![update];
        if self.is_collector() {
            // The other collectors send their updates to this collector as well.
            return accepted;
        }
        for update in relayed {
            match update.host.parse::<HostId>() {
                Ok(collector) => {
                    accepted.extend(self.accept_domain_update(&collector, update, now));
                }
                Err(err) => warn!("exchange: relayed update without a valid host name: {err}"),
            }
        }
        accepted
    }

    /// Returns the updates to apply for an update of a collector; none unless the collector is a
    /// listed host of another failure domain.
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

    /// Whether this host acts as the collector of its failure domain. A small fleet has no
    /// collector; in a large one this host is the collector if no other host is elected.
    fn is_collector(&self) -> bool {
        self.is_large() && self.collector.is_none()
    }

    /// Whether the fleet is too large for a full mesh of updates.
    fn is_large(&self) -> bool {
        is_large_fleet(self.hosts.len())
    }

    /// Elects the collector of this host's failure domain, and monitors it. If it is this host,
    /// chooses and monitors the collectors of the other domains as well, and after taking over from
    /// another host marks its whole aggregate to be sent again. In a small fleet there is no
    /// collector, and nothing is monitored.
    fn elect_collector(&mut self, now: Instant) {
        if !self.is_large() {
            self.collector = None;
            self.remote_collectors.clear();
            self.collector_tracker.monitor(&[], now);
            return;
        }
        let was_collector = self.is_collector();
        let in_domain = |listed: &&ListedHost| listed.domain == self.domain && listed.can_relay();
        let neighbours = self.hosts.iter().filter(in_domain);
        let best = self.collector_tracker.elect(neighbours, &self.host, now);
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
        self.collector_tracker.monitor(&monitored, now);
    }

    /// The hosts of other failure domains to which this collector sends updates: their collectors
    /// where known, otherwise hosts that forward to them.
    fn choose_remote_collectors(&self, now: Instant) -> Vec<ListedHost> {
        let domains = self.other_domains.iter();
        let remote = domains.flat_map(|domain| {
            self.collector_tracker
                .remote_collectors(&self.hosts, domain, now)
        });
        remote.collect()
    }

    /// The messages that carry the update of this host alone to its direct peers.
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

    /// When the next messages of this host as a collector are due.
    fn relay_due_at(&self) -> Instant {
        let interval = if self.has_relay_data {
            self.relay_interval
        } else {
            RELAY_IDLE_INTERVAL
        };
        (self.relay_sent_at + interval).max(self.started_at + STARTUP_LISTEN_TIME)
    }

    /// The messages that this host sends as a collector: relayed updates for the hosts of its own
    /// domain, and the load of its own domain for the other collectors.
    fn collector_messages(&mut self, own: HostUpdate, now: Instant) -> Vec<OutgoingUpdate> {
        let collectors = self.remote_collectors.len();
        let messages = self.aggregate.next_messages(own, collectors, now);
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

/// The message that forwards an update of another failure domain to the collector of this domain,
/// which the sender does not know; none if the update has already been forwarded. Two hosts that
/// take each other for the collector would otherwise forward the update in a loop.
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

/// Whether a fleet of `hosts` hosts is too large for a full mesh of updates.
pub fn is_large_fleet(hosts: usize) -> bool {
    hosts > DIRECT_HOSTS_MAX
}

/// Replaces the ids of upstreams by their hashes. The recipient looks up a hash instead of copying
/// a name.
fn with_upstream_hashes(mut update: HostUpdate) -> HostUpdate {
    for load in &mut update.loads {
        load.upstream_hash = UpstreamHash::of(&load.upstream).0;
        load.upstream.clear();
    }
    update
}

/// Splits a relay message into messages of at most [`RELAY_LOADS_MAX`] load entries each. An update
/// that exceeds the maximum on its own is not split.
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
