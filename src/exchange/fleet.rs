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
use crate::exchange::Need;
use crate::exchange::Outgoing;
use crate::exchange::Pace;
use crate::exchange::UpdateRoute;
use crate::exchange::UpstreamHash;
use crate::exchange::collectors::Collectors;
use crate::exchange::gathered::Gathered;
use crate::exchange::limits_told::LimitsTold;
use crate::exchange::news_interval;
use crate::exchange::speakers::Speakers;
use crate::units::FailureDomainId;
use crate::units::HostId;

/// Up to so many hosts each tells every other one. Twice as many would send a megabyte a second between
/// domains at their usual load, and each host would receive more messages than by way of a collector.
const DIRECT_HOSTS_MAX: usize = 32;
/// The shortest time between two messages of a collector that has something to pass on. Each costs it a
/// send for each host of its domain: with 40 of them a hundredth of a core.
const RELAY_INTERVAL: Duration = Duration::from_millis(36);
/// What is added to it at most, by the collector's name. Collectors that send in step make what they
/// tell each other wait for a whole interval, a third longer on the way at the median.
const RELAY_SPREAD_MS: u64 = 8;
/// Between two messages of a collector that has nothing to pass on; its silence makes the others choose
/// another one.
const RELAY_IDLE_INTERVAL: Duration = Duration::from_millis(100);
/// How old news of other domains are at most when nothing is lost: told, and passed on twice.
const FAR_AGE: Duration = Duration::from_millis(100);
/// A host that has just started listens for this long before it collects: two messages of each
/// neighbour that has nothing to tell.
const LISTENS_FOR: Duration = Duration::from_millis(600);
/// Work in one message of a collector. 400 entries are 12 KB, which a receiver takes in within a
/// millisecond.
const LOADS_MAX: usize = 400;

/// One host's place in the exchange.
#[derive(Debug)]
pub struct Fleet {
    host: HostId,
    domain: FailureDomainId,
    started_at: Instant,
    hosts: Arc<Vec<ListedHost>>,
    /// The domain of each host that may collect.
    domains: IndexMap<HostId, FailureDomainId>,
    other_domains: Vec<FailureDomainId>,
    /// Those that this host tells of its own work.
    told: Vec<SocketAddr>,
    /// Those of them that are of a former version.
    former: Vec<SocketAddr>,
    /// The other hosts of its domain that understand what a collector passes on.
    neighbours: Vec<SocketAddr>,
    collectors: Collectors,
    gathered: Gathered,
    /// The host that collects for this domain, if it is another one.
    collector: Option<ListedHost>,
    /// The other collectors that this one tells.
    partners: Vec<ListedHost>,
    speakers: Speakers,
    pace: Pace,
    relay_interval: Duration,
    relayed_at: Instant,
    /// Whether there is something to pass on.
    has_gathered: bool,
    /// What this host has told of limits.
    limits_told: LimitsTold,
}

impl Fleet {
    /// A host that knows of no other one yet.
    pub fn new(host: HostId, domain: FailureDomainId, now: Instant) -> Self {
        let spread = xxh3_64(host.as_str().as_bytes()) % RELAY_SPREAD_MS;
        Self {
            host,
            domain,
            started_at: now,
            hosts: Arc::default(),
            domains: IndexMap::new(),
            other_domains: Vec::new(),
            told: Vec::new(),
            former: Vec::new(),
            neighbours: Vec::new(),
            collectors: Collectors::default(),
            gathered: Gathered::new(now),
            collector: None,
            partners: Vec::new(),
            speakers: Speakers::default(),
            pace: Pace::new(now),
            relay_interval: RELAY_INTERVAL + Duration::from_millis(spread),
            relayed_at: now,
            has_gathered: false,
            limits_told: LimitsTold::default(),
        }
    }

    /// Takes in the list of hosts, this one included.
    pub fn set_hosts(&mut self, hosts: &Arc<Vec<ListedHost>>, now: Instant) {
        if Arc::ptr_eq(&self.hosts, hosts) {
            return;
        }
        self.hosts = Arc::clone(hosts);
        let able = hosts.iter().filter(|listed| listed.can_relay());
        let domains = able.map(|listed| (listed.host.clone(), listed.domain.clone()));
        self.domains = domains.collect();
        let other_domains = self
            .domains
            .values()
            .filter(|domain| **domain != self.domain);
        self.other_domains = other_domains.cloned().collect();
        self.other_domains.sort_unstable();
        self.other_domains.dedup();
        let others = hosts.iter().filter(|listed| listed.host != self.host);
        let is_near = |listed: &&ListedHost| listed.domain == self.domain;
        let tells_all = !self.is_large();
        let is_told = |listed: &&ListedHost| tells_all || is_near(listed) || !listed.can_relay();
        let addr = |listed: &ListedHost| listed.exchange_addr;
        let told = others.clone().filter(is_told).map(addr).collect();
        let former = others.clone().filter(|listed| !listed.can_relay());
        let former = former.map(addr).collect();
        let near = others.filter(is_near).filter(|listed| listed.can_relay());
        self.neighbours = near.map(addr).collect();
        self.told = told;
        self.former = former;
        self.choose(now);
    }

    /// Takes in that there is something to tell.
    pub fn on_need(&mut self, need: Need) {
        self.pace.on_need(need);
        self.has_gathered = true;
    }

    /// By which way news come to this host now.
    pub fn route(&self, now: Instant) -> UpdateRoute {
        let local_age_max = news_interval(self.told.len());
        if !self.is_large() {
            return UpdateRoute {
                collector: None,
                local_age_max,
                remote_age_max: local_age_max,
            };
        }
        let collector = self.collector.as_ref().map(|listed| &listed.host);
        let has_spoken = |host: &&HostId| self.collectors.has_spoken(host, now);
        UpdateRoute {
            collector: collector.filter(has_spoken).cloned(),
            local_age_max,
            remote_age_max: FAR_AGE,
        }
    }

    /// When [`Fleet::speak`] has something to do.
    pub fn due_at(&self) -> Instant {
        let own = self.pace.due_at(news_interval(self.told.len()));
        let relay = self.collects().then(|| self.relay_due_at());
        let silent = self.collectors.silent_at();
        [relay, silent]
            .into_iter()
            .flatten()
            .fold(own, Instant::min)
    }

    /// The messages that are due; `own` makes what this host says of itself.
    pub fn speak(&mut self, own: impl Fn() -> HostUpdate, now: Instant) -> Vec<Outgoing> {
        self.gathered.forget_silent(now);
        self.choose(now);
        let mut outgoing = Vec::new();
        let interval = news_interval(self.told.len());
        if self.pace.due_at(interval) <= now {
            self.pace.on_told(interval, now);
            let mut own = own();
            own.limits = self.limits_told.part(own.limits, now);
            outgoing.extend(self.tell(own));
        }
        if self.collects() && self.relay_due_at() <= now {
            self.relayed_at = now;
            self.has_gathered = false;
            outgoing.extend(self.relay(own(), now));
        }
        outgoing
    }

    /// Takes in a message. Returns what it says of work, and what is to be passed on at once.
    pub fn hear(&mut self, news: HostUpdate, now: Instant) -> (Vec<HostUpdate>, Option<Outgoing>) {
        let Ok(host) = news.host.parse::<HostId>() else {
            warn!("exchange: news without a host name");
            return (Vec::new(), None);
        };
        if host == self.host {
            return (Vec::new(), None);
        }
        match news.scope() {
            MessageScope::Host => {
                if self.domains.get(&host) == Some(&self.domain) && self.is_large() {
                    self.collectors.on_seen(&host, now);
                    self.has_gathered = true;
                    self.gathered.hear_neighbour(host, news.clone(), now);
                }
                (vec![news], None)
            }
            MessageScope::Domain => self.hear_domain(host, news, now),
            MessageScope::Relay => (self.hear_relay(&host, news, now), None),
        }
    }

    fn hear_domain(
        &mut self,
        host: HostId,
        news: HostUpdate,
        now: Instant,
    ) -> (Vec<HostUpdate>, Option<Outgoing>) {
        if let Some(collector) = &self.collector {
            return (Vec::new(), redirect(collector, news));
        }
        if !self.collectors.has_spoken(&host, now) {
            self.gathered.tell_all_again();
        }
        self.collectors.on_spoke(&host, now);
        self.has_gathered = true;
        let heard = self.accept(&host, news, now);
        if let Some(news) = heard.last() {
            self.gathered.hear_other(host, news.clone(), now);
        }
        // What is taken back is not passed on: the hosts of this domain take it back by themselves.
        self.gathered.keep_others(|host| self.speakers.speaks(host));
        (heard, None)
    }

    fn hear_relay(&mut self, host: &HostId, mut news: HostUpdate, now: Instant) -> Vec<HostUpdate> {
        self.collectors.on_seen(host, now);
        self.collectors.on_spoke(host, now);
        let relayed = std::mem::take(&mut news.relayed);
        let mut heard = vec![news];
        if self.collects() {
            // The other collectors tell this one as well.
            return heard;
        }
        for news in relayed {
            match news.host.parse::<HostId>() {
                Ok(speaker) => heard.extend(self.accept(&speaker, news, now)),
                Err(err) => warn!("exchange: passed on without a host name: {err}"),
            }
        }
        heard
    }

    /// What a collector of another domain says, if it is the one that this host listens to.
    fn accept(&mut self, speaker: &HostId, news: HostUpdate, now: Instant) -> Vec<HostUpdate> {
        match self.domains.get(speaker) {
            Some(domain) if *domain != self.domain => {
                self.speakers.accept(domain.clone(), speaker, news, now)
            }
            _ => Vec::new(),
        }
    }

    /// Whether this host collects.
    fn collects(&self) -> bool {
        self.is_large() && self.collector.is_none()
    }

    fn is_large(&self) -> bool {
        is_large_fleet(self.hosts.len())
    }

    fn choose(&mut self, now: Instant) {
        if !self.is_large() {
            self.collector = None;
            self.partners.clear();
            self.collectors.wait_for(&[], now);
            return;
        }
        let collected = self.collects();
        let in_domain = |listed: &&ListedHost| listed.domain == self.domain && listed.can_relay();
        let neighbours = self.hosts.iter().filter(in_domain);
        let best = self.collectors.best(neighbours, &self.host, now);
        self.collector = best.filter(|best| best.host != self.host).cloned();
        if self.collects() && !collected {
            self.gathered.tell_all_again();
        }
        self.partners = if self.collects() {
            self.other_collectors(now)
        } else {
            Vec::new()
        };
        let waits_for = self.collector.iter().chain(&self.partners);
        let waits_for: Vec<HostId> = waits_for.map(|listed| listed.host.clone()).collect();
        self.collectors.wait_for(&waits_for, now);
    }

    /// The other collectors, or hosts that know them.
    fn other_collectors(&self, now: Instant) -> Vec<ListedHost> {
        let domains = self.other_domains.iter();
        let partners =
            domains.flat_map(|domain| self.collectors.partners(&self.hosts, domain, now));
        partners.collect()
    }

    /// What this host says of itself, to all that it tells.
    fn tell(&self, own: HostUpdate) -> Vec<Outgoing> {
        if !self.is_large() {
            let to = self.told.clone();
            return vec![Outgoing { to, news: own }];
        }
        let short = Outgoing {
            to: self.neighbours.clone(),
            news: with_short_names(own.clone()),
        };
        let long = (!self.former.is_empty()).then(|| Outgoing {
            to: self.former.clone(),
            news: own,
        });
        [short].into_iter().chain(long).collect()
    }

    fn relay_due_at(&self) -> Instant {
        let interval = if self.has_gathered {
            self.relay_interval
        } else {
            RELAY_IDLE_INTERVAL
        };
        (self.relayed_at + interval).max(self.started_at + LISTENS_FOR)
    }

    fn relay(&mut self, own: HostUpdate, now: Instant) -> Vec<Outgoing> {
        let turn = self.gathered.turn(own, now);
        let relayed = split(turn.relay).into_iter().map(|news| Outgoing {
            to: self.neighbours.clone(),
            news,
        });
        let partners = self.partners.iter().map(|listed| listed.exchange_addr);
        let to: Vec<SocketAddr> = partners.collect();
        let told = turn.domain.map(|news| Outgoing { to, news });
        relayed.chain(told).collect()
    }
}

/// Sends a domain's news, which came here because its collector does not know who collects in this one,
/// to the host that does. Once only: two hosts that take each other for the collector would send it to
/// and fro without end.
fn redirect(collector: &ListedHost, news: HostUpdate) -> Option<Outgoing> {
    if news.is_redirected {
        return None;
    }
    let news = HostUpdate {
        is_redirected: true,
        ..news
    };
    let to = vec![collector.exchange_addr];
    Some(Outgoing { to, news })
}

/// Whether so many hosts are too many for each to tell every other one.
pub fn is_large_fleet(hosts: usize) -> bool {
    hosts > DIRECT_HOSTS_MAX
}

/// Names upstreams by their hashes, which a receiver looks up where it would copy the names.
fn with_short_names(mut news: HostUpdate) -> HostUpdate {
    for load in &mut news.loads {
        load.upstream_hash = UpstreamHash::of(&load.upstream).0;
        load.upstream.clear();
    }
    news
}

/// Splits what a collector passes on into messages of a bounded size.
fn split(mut relay: HostUpdate) -> Vec<HostUpdate> {
    let relayed = std::mem::take(&mut relay.relayed);
    let mut loads = 0;
    let mut parts = vec![relay.clone()];
    for news in relayed {
        let len = news.loads.len();
        if loads + len > LOADS_MAX && loads > 0 {
            parts.push(relay.clone());
            loads = 0;
        }
        loads += len;
        if let Some(part) = parts.last_mut() {
            part.relayed.push(news);
        }
    }
    parts
}
