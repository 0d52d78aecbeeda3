//! Who tells whom, and when: all of the exchange but the socket.
//!
//! In a small fleet each host tells every other one. In a larger one the hosts of a failure domain
//! tell one of them, the collector; it passes on to them what each has said, and tells the collectors
//! of the other domains what all of them have together.
//!
//! Load it answers: told by each to each, news of 195 hosts were 78,000 messages a second and half a
//! second old, since a host can receive only so many; in that time hosts place a hundred prompts that
//! the others don't know of.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use log::warn;
use xxhash_rust::xxh3::xxh3_64;

use crate::exchange::HostNews;
use crate::exchange::ListedHost;
use crate::exchange::Need;
use crate::exchange::NewsRoute;
use crate::exchange::Pace;
use crate::exchange::Voice;
use crate::exchange::collectors::Collectors;
use crate::exchange::gathered::Gathered;
use crate::exchange::news_interval;
use crate::exchange::place::Place;
use crate::units::FailureDomainId;
use crate::units::HostId;

/// Up to so many hosts each tells every other one: news are 40 ms old at most, as they are by way of a
/// collector, and nothing depends on a single host.
const DIRECT_HOSTS_MAX: usize = 16;
/// Between two messages of a host to its collector, which so gets at most 50 a second from each.
const MEMBER_INTERVAL: Duration = Duration::from_millis(20);
/// The shortest time between two messages of a collector that has something to pass on. Each costs it a
/// send for each host of its domain: with 40 of them a hundredth of a core.
const RELAY_INTERVAL: Duration = Duration::from_millis(36);
/// What is added to it at most, by the collector's name. Collectors that send in step make what they
/// tell each other wait for a whole interval: 62 ms from a host to all others at the median, and with
/// this 50.
const RELAY_SPREAD_MS: u64 = 8;
/// Between two messages of a collector that has nothing to pass on; its silence makes the others choose
/// another one.
const RELAY_IDLE_INTERVAL: Duration = Duration::from_millis(100);
/// How old news by way of collectors are at most when nothing is lost: told, passed on twice.
const RELAYED_AGE: Duration = Duration::from_millis(100);
/// How long a host looks for a collector: three messages from each other host that looks for one too,
/// so that one may be lost.
const SEARCH_TIME: Duration = Duration::from_millis(150);
/// Between two messages of a host that looks for a collector.
const SEARCH_INTERVAL: Duration = Duration::from_millis(50);
/// Between two messages of a collector to those hosts of its domain that don't tell it: they may have
/// another collector that has not heard of it.
const HELLO_INTERVAL: Duration = Duration::from_secs(1);
/// Work in one message of a collector. 400 entries are 12 KB, which a receiver takes in within a
/// millisecond.
const LOADS_MAX: usize = 400;

/// A message and where it goes.
#[derive(Clone, Debug, PartialEq)]
pub struct Outgoing {
    /// The receivers.
    pub to: Vec<SocketAddr>,
    /// The message.
    pub news: HostNews,
}

/// One host's place in the exchange.
#[derive(Debug)]
pub struct Fleet {
    host: HostId,
    domain: FailureDomainId,
    hosts: Arc<Vec<ListedHost>>,
    domains: Vec<FailureDomainId>,
    /// Whether there are hosts that no collector may tell.
    has_former: bool,
    collectors: Collectors,
    gathered: Gathered,
    place: Place,
    /// The other collectors that this one tells.
    partners: Vec<ListedHost>,
    direct_pace: Pace,
    member_pace: Pace,
    relay_interval: Duration,
    relayed_at: Instant,
    hello_at: Option<Instant>,
    searched_at: Option<Instant>,
    /// Whether there is something to pass on.
    has_gathered: bool,
}

impl Fleet {
    /// A host that knows of no other one yet.
    pub fn new(host: HostId, domain: FailureDomainId, now: Instant) -> Self {
        let spread = xxh3_64(host.as_str().as_bytes()) % RELAY_SPREAD_MS;
        let spread = Duration::from_millis(spread);
        Self {
            host,
            domain,
            hosts: Arc::default(),
            domains: Vec::new(),
            has_former: false,
            collectors: Collectors::default(),
            gathered: Gathered::new(now),
            place: Place::Direct,
            partners: Vec::new(),
            direct_pace: Pace::new(now),
            member_pace: Pace::new(now),
            relay_interval: RELAY_INTERVAL + spread,
            relayed_at: now,
            hello_at: None,
            searched_at: None,
            has_gathered: false,
        }
    }

    /// Takes in the list of hosts, this one included.
    pub fn set_hosts(&mut self, hosts: &Arc<Vec<ListedHost>>, now: Instant) {
        if Arc::ptr_eq(&self.hosts, hosts) {
            return;
        }
        self.hosts = Arc::clone(hosts);
        self.has_former = hosts.iter().any(|listed| !listed.can_relay());
        self.domains = hosts.iter().map(|listed| listed.domain.clone()).collect();
        self.domains.sort_unstable();
        self.domains.dedup();
        self.choose(now);
    }

    /// Takes in that there is something to tell.
    pub fn on_need(&mut self, need: Need) {
        self.direct_pace.on_need(need);
        self.member_pace.on_need(need);
        self.has_gathered = true;
    }

    /// By which way news come to this host now.
    pub fn route(&self, now: Instant) -> NewsRoute {
        let direct = news_interval(self.hosts.len().saturating_sub(1));
        let collector = self.place.collector().map(|listed| &listed.host);
        let is_relayed = match collector {
            Some(collector) => self.collectors.has_spoken(collector, now),
            None => self.collects(),
        };
        NewsRoute {
            collector: collector.filter(|_| is_relayed).cloned(),
            age: if is_relayed { RELAYED_AGE } else { direct },
        }
    }

    /// When [`Fleet::speak`] has something to do.
    pub fn due_at(&self, now: Instant) -> Instant {
        let due = [
            self.direct_due_at(),
            self.member_due_at(),
            self.search_due_at(),
            self.collects().then(|| self.relay_due_at()),
            self.collectors.silent_at(),
        ];
        // Nobody is known yet.
        due.into_iter()
            .flatten()
            .min()
            .unwrap_or(now + RELAY_IDLE_INTERVAL)
    }

    /// The messages that are due; `own` makes what this host says of itself.
    pub fn speak(&mut self, own: impl Fn() -> HostNews, now: Instant) -> Vec<Outgoing> {
        self.gathered.forget_silent(now);
        self.choose(now);
        let mut outgoing = Vec::new();
        let is_due = |at: Option<Instant>| at.is_some_and(|at| at <= now);
        if is_due(self.direct_due_at()) {
            self.direct_pace.on_told(self.direct_interval(), now);
            outgoing.extend(self.direct(&own));
        }
        if is_due(self.search_due_at()) {
            self.searched_at = Some(now);
            let to = self.neighbours();
            outgoing.push(Outgoing { to, news: own() });
        }
        if let Some(collector) = self.place.collector()
            && is_due(self.member_due_at())
        {
            self.member_pace.on_told(MEMBER_INTERVAL, now);
            outgoing.push(Outgoing {
                to: vec![collector.exchange_addr],
                news: HostNews {
                    voice: Voice::Member.into(),
                    ..own()
                },
            });
        }
        if self.collects() && self.relay_due_at() <= now {
            self.relayed_at = now;
            self.has_gathered = false;
            outgoing.extend(self.relay(own(), now));
        }
        outgoing
    }

    /// Takes in a message. Returns what it says of work, and what is to be passed on at once.
    pub fn hear(
        &mut self,
        news: HostNews,
        from: SocketAddr,
        now: Instant,
    ) -> (Vec<HostNews>, Option<Outgoing>) {
        let Ok(host) = news.host.parse::<HostId>() else {
            warn!("exchange: news without a host name");
            return (Vec::new(), None);
        };
        if host == self.host {
            return (Vec::new(), None);
        }
        match news.voice() {
            Voice::Own => {
                self.collectors.on_seen(&host, now);
                if self.collects() {
                    // It may be looking for this one.
                    self.hello_at = None;
                    self.has_gathered = true;
                }
                (vec![news], None)
            }
            Voice::Member => {
                self.collectors.on_seen(&host, now);
                self.has_gathered = true;
                self.gathered.hear_member(host, from, news.clone(), now);
                (vec![news], None)
            }
            Voice::Collected => self.hear_collected(host, news, now),
            Voice::Relay => (self.hear_relay(&host, news, now), None),
        }
    }

    fn hear_collected(
        &mut self,
        host: HostId,
        news: HostNews,
        now: Instant,
    ) -> (Vec<HostNews>, Option<Outgoing>) {
        if !self.collects() {
            self.collectors.on_active(&host, now);
            return match &self.place {
                // Sent here by a collector that does not know who collects in this domain.
                Place::Member(collector) => {
                    let to = vec![collector.exchange_addr];
                    (Vec::new(), Some(Outgoing { to, news }))
                }
                Place::Searching { .. } => (Vec::new(), None),
                Place::Direct | Place::Collector => (vec![news], None),
            };
        }
        if !self.collectors.has_spoken(&host, now) {
            self.gathered.tell_sum_again();
        }
        self.collectors.on_spoke(&host, now);
        self.has_gathered = true;
        self.gathered.hear_other(host, news.clone(), now);
        (vec![news], None)
    }

    fn hear_relay(&mut self, host: &HostId, mut news: HostNews, now: Instant) -> Vec<HostNews> {
        self.collectors.on_spoke(host, now);
        let is_own = self.place.collector().is_some_and(|own| own.host == *host);
        if !is_own || self.gathered.has_members() {
            // What it passes on comes here by another way too, and must not count twice.
            return Vec::new();
        }
        let mut heard = Vec::with_capacity(news.relayed.len() + 1);
        let relayed = std::mem::take(&mut news.relayed);
        heard.push(news);
        for news in relayed {
            let Ok(speaker) = news.host.parse::<HostId>() else {
                warn!("exchange: passed on without a host name");
                continue;
            };
            if speaker == self.host {
                continue;
            }
            if news.voice() == Voice::Collected {
                self.collectors.on_active(&speaker, now);
            } else {
                self.collectors.on_seen(&speaker, now);
            }
            heard.push(news);
        }
        heard
    }

    /// Whether this host collects: because nobody is better, or because others tell it to.
    fn collects(&self) -> bool {
        self.place == Place::Collector || self.gathered.has_members()
    }

    fn is_large(&self) -> bool {
        self.hosts.len() > DIRECT_HOSTS_MAX
    }

    fn choose(&mut self, now: Instant) {
        let next = self.next_place(now);
        if next.searches_since().is_some() && self.place.searches_since().is_none() {
            self.collectors.begin_search();
        }
        self.place = next;
        let collector = self.place.collector();
        let mut waits_for: Vec<HostId> = collector.map(|c| c.host.clone()).into_iter().collect();
        self.partners = if self.collects() {
            self.other_collectors(now)
        } else {
            Vec::new()
        };
        waits_for.extend(self.partners.iter().map(|listed| listed.host.clone()));
        self.collectors.wait_for(&waits_for, now);
    }

    fn next_place(&self, now: Instant) -> Place {
        if !self.is_large() {
            return Place::Direct;
        }
        match &self.place {
            Place::Direct => return Place::Searching { since: now },
            Place::Searching { since } if now.saturating_duration_since(*since) < SEARCH_TIME => {
                return self.place.clone();
            }
            Place::Member(collector) if self.collectors.is_unfit(&collector.host, now) => {
                return Place::Searching { since: now };
            }
            Place::Searching { .. } | Place::Member(_) | Place::Collector => {}
        }
        let own = (&self.host, self.collects());
        let best = self.collectors.best(&self.hosts, &self.domain, own, now);
        match best {
            // Those that tell this host would hear nothing more.
            Some(best) if best.host != self.host && !self.gathered.has_members() => {
                Place::Member(best.clone())
            }
            _ => Place::Collector,
        }
    }

    /// The other collectors, or hosts that may know them.
    fn other_collectors(&self, now: Instant) -> Vec<ListedHost> {
        let partners = self.domains.iter().flat_map(|domain| {
            if *domain == self.domain {
                self.collectors.spoken(&self.hosts, domain, now)
            } else {
                self.collectors.partners(&self.hosts, domain, now)
            }
        });
        let others = partners.filter(|listed| listed.host != self.host);
        others.cloned().collect()
    }

    fn member_due_at(&self) -> Option<Instant> {
        let pace = &self.member_pace;
        self.place.collector().map(|_| pace.due_at(MEMBER_INTERVAL))
    }

    /// When the search has something to do: to tell the neighbours, or to end.
    fn search_due_at(&self) -> Option<Instant> {
        let since = self.place.searches_since()?;
        let next = self.searched_at.filter(|at| *at >= since);
        let next = next.map_or(since, |at| at + SEARCH_INTERVAL);
        Some(next.min(since + SEARCH_TIME))
    }

    /// The other hosts of this domain.
    fn neighbours(&self) -> Vec<SocketAddr> {
        let is_neighbour = |listed: &&ListedHost| {
            listed.domain == self.domain && listed.host != self.host && listed.can_relay()
        };
        let neighbours = self.hosts.iter().filter(is_neighbour);
        neighbours.map(|listed| listed.exchange_addr).collect()
    }

    fn relay_due_at(&self) -> Instant {
        let interval = if self.has_gathered {
            self.relay_interval
        } else {
            RELAY_IDLE_INTERVAL
        };
        self.relayed_at + interval
    }

    fn relay(&mut self, own: HostNews, now: Instant) -> Vec<Outgoing> {
        let is_hello_due = |at: Instant| now.saturating_duration_since(at) >= HELLO_INTERVAL;
        let strangers = if self.hello_at.is_none_or(is_hello_due) {
            self.hello_at = Some(now);
            self.strangers()
        } else {
            Vec::new()
        };
        if !strangers.is_empty() {
            self.gathered.tell_sum_again();
        }
        let turn = self.gathered.turn(own, now);
        let members = self.gathered.member_addrs();
        let mut outgoing = Vec::new();
        if !members.is_empty() {
            let parts = split(turn.relay).into_iter();
            outgoing.extend(parts.map(|news| Outgoing {
                to: members.clone(),
                news,
            }));
        }
        let partners = self.partners.iter().map(|listed| listed.exchange_addr);
        let to: Vec<SocketAddr> = partners.chain(strangers).collect();
        if let Some(news) = turn.collected
            && !to.is_empty()
        {
            outgoing.push(Outgoing { to, news });
        }
        outgoing
    }

    /// Hosts of this domain that neither tell this one nor are told by it.
    fn strangers(&self) -> Vec<SocketAddr> {
        let members = self.gathered.member_addrs();
        let is_known = |addr: &SocketAddr| {
            members.contains(addr) || self.partners.iter().any(|p| p.exchange_addr == *addr)
        };
        let mut strangers = self.neighbours();
        strangers.retain(|addr| !is_known(addr));
        strangers
    }

    fn direct_interval(&self) -> Duration {
        news_interval(self.hosts.len().saturating_sub(1))
    }

    fn direct_due_at(&self) -> Option<Instant> {
        let tells = !self.is_large() || self.has_former;
        tells.then(|| self.direct_pace.due_at(self.direct_interval()))
    }

    /// What goes to hosts that no collector tells: all in a small fleet, else those of a former version.
    fn direct(&self, own: impl Fn() -> HostNews) -> Option<Outgoing> {
        let others = self.hosts.iter().filter(|listed| listed.host != self.host);
        let told = others.filter(|listed| !self.is_large() || !listed.can_relay());
        let to: Vec<SocketAddr> = told.map(|listed| listed.exchange_addr).collect();
        (!to.is_empty()).then(|| Outgoing { to, news: own() })
    }
}

/// Splits what a collector passes on into messages of a bounded size.
fn split(mut relay: HostNews) -> Vec<HostNews> {
    let head = HostNews {
        loads: Vec::new(),
        relayed: Vec::new(),
        poisons: Vec::new(),
        unreachable: Vec::new(),
        cut_off: Vec::new(),
        is_partial: true,
        ..relay.clone()
    };
    let relayed = std::mem::take(&mut relay.relayed);
    let mut loads = relay.loads.len();
    let mut parts = vec![relay];
    for news in relayed {
        let len = news.loads.len();
        if loads + len > LOADS_MAX && loads > 0 {
            parts.push(head.clone());
            loads = 0;
        }
        loads += len;
        if let Some(part) = parts.last_mut() {
            part.relayed.push(news);
        }
    }
    parts
}
