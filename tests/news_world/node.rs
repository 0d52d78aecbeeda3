//! One host of the fleet.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use banyanarch::decide::LoadLedger;
use banyanarch::decide::LoadSource;
use banyanarch::decide::LoadUpdateKind;
use banyanarch::exchange::Fleet;
use banyanarch::exchange::HostNews;
use banyanarch::exchange::LimitNews;
use banyanarch::exchange::ListedHost;
use banyanarch::exchange::LoadNews;
use banyanarch::exchange::Outgoing;
use banyanarch::exchange::UpstreamHash;
use banyanarch::exchange::Voice;
use banyanarch::units::UpstreamId;
use indexmap::IndexMap;

use super::requests;

pub struct Node {
    pub listed: ListedHost,
    pub hosts: Arc<Vec<ListedHost>>,
    pub fleet: Fleet,
    pub ledger: LoadLedger,
    pub is_up: bool,
    pub is_paused: bool,
    pub is_cut: bool,
    pub missed: Vec<Arc<HostNews>>,
    pub wakes_at: Option<Duration>,
    /// Its starts so far.
    pub life: u64,
    own: IndexMap<UpstreamId, u32>,
    /// What it has sent to an upstream that has named a limit.
    pub sent: Option<LimitNews>,
    sent_heard: IndexMap<LoadSource, u32>,
}

impl Node {
    pub fn new(listed: ListedHost, now: Instant) -> Self {
        Self {
            fleet: Fleet::new(listed.host.clone(), listed.domain.clone(), now),
            listed,
            hosts: Arc::default(),
            ledger: LoadLedger::default(),
            is_up: true,
            is_paused: false,
            is_cut: false,
            missed: Vec::new(),
            wakes_at: None,
            life: 0,
            own: IndexMap::new(),
            sent: None,
            sent_heard: IndexMap::new(),
        }
    }

    pub fn restart(&mut self, now: Instant) {
        let listed = self.listed.clone();
        let next = Self {
            hosts: Arc::clone(&self.hosts),
            life: self.life + 1,
            is_cut: self.is_cut,
            ..Self::new(listed, now)
        };
        *self = next;
    }

    /// Its work at an upstream is now so many requests.
    pub fn start(&mut self, upstream: &UpstreamId, requests: u32) {
        self.own.insert(upstream.clone(), requests);
    }

    pub fn in_flight(&self, upstream: &UpstreamId) -> u32 {
        self.own.get(upstream).copied().unwrap_or(0)
    }

    /// Requests of all hosts at the upstream that has named a limit, as far as this one knows.
    pub fn sent_by_all(&self) -> u32 {
        let own = self.sent.map_or(0, |news| news.sent_in_window);
        own + self.sent_heard.values().sum::<u32>()
    }

    pub fn speak(&mut self, now: Instant) -> Vec<Outgoing> {
        let own = &self.own;
        let (host, life) = (&self.listed.host, self.life);
        let sent = self.sent;
        let news = || {
            let busy = own.iter().filter(|(_, in_flight)| **in_flight > 0);
            let loads = busy.map(|(upstream, in_flight)| LoadNews {
                upstream: upstream.to_string(),
                in_flight: *in_flight,
                ..LoadNews::default()
            });
            HostNews {
                host: host.to_string(),
                incarnation: life + 1,
                loads: loads.collect(),
                limits: sent.into_iter().collect(),
                ..HostNews::default()
            }
        };
        self.fleet.speak(news, now)
    }

    pub fn hear(
        &mut self,
        news: HostNews,
        names: &IndexMap<UpstreamHash, UpstreamId>,
        now: Instant,
    ) -> Option<Outgoing> {
        let (heard, on) = self.fleet.hear(news, now);
        for news in heard {
            let host = news.host.parse().unwrap();
            let source = match news.voice() {
                Voice::Domain => LoadSource::Collector(host),
                _ => LoadSource::Host(host),
            };
            for limit in &news.limits {
                self.sent_heard.insert(source.clone(), limit.sent_in_window);
            }
            let extent = if news.is_partial {
                LoadUpdateKind::Delta
            } else {
                LoadUpdateKind::Snapshot
            };
            let id = |load: &LoadNews| names[&load.hash()].clone();
            let loads = news.loads.iter();
            let loads = loads.map(|load| (id(load), requests(load.in_flight)));
            self.ledger
                .hear_part(source, news.incarnation, extent, loads, now);
        }
        self.ledger.forget_silent(now);
        on
    }
}
