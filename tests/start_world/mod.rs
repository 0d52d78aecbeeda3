//! A simulated fleet whose hosts all start at the same moment, under a manual clock, and a platform
//! with a rate of calls.

#![allow(dead_code, unreachable_pub)]

#[path = "../event_queue/mod.rs"]
mod event_queue;

use std::net::SocketAddr;
use std::time::Duration;

use banyanarch::decide::ReaderEntry;
use banyanarch::decide::ReaderSearch;
use banyanarch::decide::SearchStep;
use banyanarch::decide::StartingReader;
use banyanarch::units::BoundedTime;
use banyanarch::units::Millicores;
use banyanarch::units::ObjectVersion;
use indexmap::IndexMap;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

use event_queue::EventQueue;

/// The time within which all hosts start.
const START_SPREAD: Duration = Duration::from_millis(300);
/// The time of a call to the platform, from the host and back.
const CALL_TIME: Duration = Duration::from_millis(6);
/// The age of what a read that may be stale returns.
const STALENESS: Duration = Duration::from_secs(2);
/// The time of a request to another host of the domain.
const REQUEST_TIME: Duration = Duration::from_millis(2);
/// The time after which a request to a dead host fails.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(200);
/// The writes that the platform accepts in a second.
const WRITES_PER_S: usize = 3_200;
/// One host in this number has a whole core, the others an eighth.
const STRONG_EVERY: usize = 20;

/// The size of a fleet.
#[derive(Clone, Copy, Debug)]
pub struct Fleet {
    pub hosts: usize,
    pub domains: usize,
}

/// The calls that all hosts have made to the platform.
#[derive(Clone, Copy, Debug, Default)]
pub struct CallCounts {
    /// Reads of entries, which may be stale.
    pub looks: usize,
    /// Writes of entries.
    pub claims: usize,
    /// Writes beyond the rate of the platform.
    pub rejected: usize,
}

/// One version of the entry of a domain.
struct Written {
    at: Duration,
    entry: ReaderEntry,
}

/// The fleet, its clock and its platform.
pub struct StartWorld {
    fleet: Fleet,
    searches: Vec<ReaderSearch>,
    found: IndexMap<usize, (StartingReader, Duration)>,
    /// All versions of the entry of each domain.
    entries: Vec<Vec<Written>>,
    counts: CallCounts,
    /// The times of the writes.
    writes: Vec<Duration>,
    away_until: Duration,
    now: Duration,
    rng: StdRng,
    /// The hosts that take their next step.
    events: EventQueue<usize>,
}

impl StartWorld {
    /// Creates a fleet whose hosts start within [`START_SPREAD`].
    pub fn new(fleet: Fleet, seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut events = EventQueue::default();
        for host in 0..fleet.hosts {
            events.push(START_SPREAD.scaled(rng.random()), host);
        }
        let search = |host: usize| {
            let is_strong = (host / fleet.domains).is_multiple_of(STRONG_EVERY);
            let processors = Millicores(if is_strong { 1_000 } else { 120 });
            ReaderSearch::new(name(host).parse().unwrap(), addr(host), processors)
        };
        Self {
            fleet,
            searches: (0..fleet.hosts).map(search).collect(),
            found: IndexMap::new(),
            entries: (0..fleet.domains).map(|_| Vec::new()).collect(),
            counts: CallCounts::default(),
            writes: Vec::new(),
            away_until: Duration::ZERO,
            now: Duration::ZERO,
            rng,
            events,
        }
    }

    /// Writes entries of hosts that no longer exist, as an earlier fleet has left them.
    pub fn name_missing_readers(&mut self) {
        for (domain, versions) in self.entries.iter_mut().enumerate() {
            versions.push(Written {
                at: Duration::ZERO,
                entry: ReaderEntry {
                    host: format!("missing-{domain}").parse().unwrap(),
                    addr: addr(usize::from(u16::MAX)),
                    version: ObjectVersion(1),
                },
            });
        }
    }

    /// Makes the platform refuse all calls for this time.
    pub fn set_away_for(&mut self, time: Duration) {
        self.away_until = time;
    }

    /// Runs until each host has found its reader.
    pub fn run(&mut self) {
        while let Some((at, host)) = self.events.pop_until(Duration::from_secs(60)) {
            self.now = at;
            self.step(host);
        }
        assert_eq!(
            self.found.len(),
            self.fleet.hosts,
            "each host finds a reader"
        );
    }

    pub fn counts(&self) -> CallCounts {
        self.counts
    }

    /// The number of hosts that read the platform.
    pub fn readers(&self) -> usize {
        let found = self.found.values();
        let own = found.filter(|(reader, _)| *reader == StartingReader::Own);
        own.count()
    }

    /// The time from the start until the last host has found its reader.
    pub fn last_found_after(&self) -> Duration {
        let found = self.found.values();
        found.map(|(_, at)| *at).max().unwrap_or_default()
    }

    fn step(&mut self, host: usize) {
        let domain = host % self.fleet.domains;
        let step = self.searches[host].next_step();
        let took = match step {
            SearchStep::Found(reader) => {
                self.found.insert(host, (reader, self.now));
                return;
            }
            SearchStep::Wait(wait) => wait.scaled(self.rng.random_range(0.75..1.25)),
            SearchStep::Look => {
                self.counts.looks += 1;
                let is_away = self.now < self.away_until;
                let seen = self.entries[domain].iter().rev();
                let mut seen = seen.filter(|written| self.is_visible(written));
                let entry = seen.next().map(|written| written.entry.clone());
                if is_away {
                    self.searches[host].on_failed();
                } else {
                    self.searches[host].on_looked(entry);
                }
                CALL_TIME
            }
            SearchStep::Claim(replaces) => {
                self.counts.claims += 1;
                if self.now < self.away_until || !self.take_write() {
                    self.searches[host].on_failed();
                } else {
                    let entry = self.claim(host, domain, replaces);
                    self.searches[host].on_claimed(entry);
                }
                CALL_TIME
            }
            SearchStep::Request(entry) => {
                let is_alive = !entry.host.as_str().starts_with("missing");
                self.searches[host].on_requested(entry, is_alive);
                if is_alive {
                    REQUEST_TIME
                } else {
                    REQUEST_TIMEOUT
                }
            }
        };
        self.events.push(self.now + took, host);
    }

    /// Whether a read that may be stale returns what was written. Entries of an earlier fleet are
    /// old enough.
    fn is_visible(&self, written: &Written) -> bool {
        written.at.is_zero() || written.at + STALENESS <= self.now
    }

    /// Counts one write. Returns whether it is within the rate of the platform.
    fn take_write(&mut self) -> bool {
        let from = self.now.saturating_sub(Duration::from_secs(1));
        let recent = self.writes.iter().rev().take_while(|at| **at >= from);
        let is_accepted = recent.count() < WRITES_PER_S;
        self.writes.push(self.now);
        self.counts.rejected += usize::from(!is_accepted);
        is_accepted
    }

    fn claim(
        &mut self,
        host: usize,
        domain: usize,
        replaces: Option<ObjectVersion>,
    ) -> ReaderEntry {
        let versions = &mut self.entries[domain];
        if let Some(last) = versions.last()
            && Some(last.entry.version) != replaces
        {
            return last.entry.clone();
        }
        let entry = ReaderEntry {
            host: name(host).parse().unwrap(),
            addr: addr(host),
            version: ObjectVersion(versions.len() as u64 + 1),
        };
        versions.push(Written {
            at: self.now,
            entry: entry.clone(),
        });
        entry
    }
}

fn name(host: usize) -> String {
    format!("host-{host}")
}

fn addr(host: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], u16::try_from(host).unwrap()))
}
