//! A fleet before one upstream that has named a limit, under a clock moved by hand: requests that want to go
//! there at any host, and news of what was sent that come late.

#![allow(dead_code, unreachable_pub)]

#[path = "../event_queue/mod.rs"]
mod event_queue;

use std::time::Duration;
use std::time::Instant;

use banyanarch::decide::HostCoverage;
use banyanarch::decide::LimitReport;
use banyanarch::decide::LoadSource;
use banyanarch::decide::RateLimitBook;
use banyanarch::units::RequestsPerSecond;
use banyanarch::units::UpstreamId;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

use event_queue::EventQueue;

/// Between two messages of a host that has nothing new.
const REPEAT_INTERVAL: Duration = Duration::from_millis(250);
/// How late news come.
const NEWS_MS: std::ops::Range<u64> = 20..200;
/// From a send to the head of its answer.
const ANSWER_TIME: Duration = Duration::from_millis(80);

/// How long a fleet has been running before a test begins; longer than a window.
const RAN_FOR: Duration = Duration::from_secs(60);

/// A fleet and what it wants of the upstream.
#[derive(Clone, Copy, Debug)]
pub struct Site {
    pub hosts: usize,
    pub limit: RequestsPerSecond,
    /// Requests a second that want to go to the upstream, at all hosts together.
    pub wanted_per_s: f64,
}

#[derive(Clone, Copy, Debug)]
enum Event {
    Want,
    Answer(usize),
    Tell(usize),
    Hear {
        to: usize,
        from: usize,
        report: LimitReport,
    },
}

struct Host {
    book: RateLimitBook,
    domain: usize,
}

/// The fleet, its clock and its upstream.
pub struct World {
    site: Site,
    hosts: Vec<Host>,
    upstream: UpstreamId,
    base: Instant,
    now: Duration,
    rng: StdRng,
    events: EventQueue<Event>,
    sent_at: Vec<Duration>,
    limit_from: Duration,
    is_split: bool,
}

impl World {
    /// A fleet that has been running for a minute and knows of the limit.
    pub fn new(site: Site, seed: u64) -> Self {
        let base = Instant::now();
        let host = |_| Host {
            book: RateLimitBook::new(base),
            domain: 0,
        };
        let mut world = Self {
            site,
            hosts: (0..site.hosts).map(host).collect(),
            upstream: "engine-1".parse().unwrap(),
            base,
            now: RAN_FOR,
            rng: StdRng::seed_from_u64(seed),
            events: EventQueue::default(),
            sent_at: Vec::new(),
            limit_from: Duration::ZERO,
            is_split: false,
        };
        for index in 0..site.hosts {
            let after = Duration::from_millis(world.rng.random_range(0..250));
            world.push(world.now + after, Event::Tell(index));
        }
        world.push(world.now, Event::Want);
        world
    }

    /// The upstream names its limit so long after the beginning.
    pub fn name_limit_at(&mut self, after: Duration) {
        self.limit_from = RAN_FOR + after;
    }

    pub fn set_wanted(&mut self, per_s: f64) {
        self.site.wanted_per_s = per_s;
    }

    /// Hosts hear only those of their own domain.
    pub fn split(&mut self, domains: usize) {
        for (index, host) in self.hosts.iter_mut().enumerate() {
            host.domain = index % domains;
        }
        self.is_split = true;
    }

    pub fn heal(&mut self) {
        self.is_split = false;
    }

    /// One host in ten is killed and started again.
    pub fn restart_some(&mut self) {
        let now = self.instant();
        for index in 0..self.hosts.len() {
            if !self.rng.random_ratio(1, 10) {
                continue;
            }
            self.hosts[index].book = RateLimitBook::new(now);
        }
    }

    pub fn run_for(&mut self, time: Duration) {
        let end = self.now + time;
        while let Some((at, event)) = self.events.pop_until(end) {
            self.now = at;
            self.on(event);
        }
        self.now = end;
    }

    /// The most requests that the upstream got in such a time, of those that end so long after the beginning or later.
    pub fn most_after(&self, after: Duration, window: Duration) -> u32 {
        let from = RAN_FOR + after;
        let ends = self.sent_at.iter().filter(|at| **at >= from);
        let counts = ends.map(|end| {
            let in_window = |at: &&Duration| **at <= *end && **at + window > *end;
            self.sent_at.iter().filter(in_window).count()
        });
        u32::try_from(counts.max().unwrap_or(0)).unwrap()
    }

    /// What was sent, as a part of what the limit allows.
    pub fn used_part(&self) -> f64 {
        let ran_for = self.now - RAN_FOR;
        self.sent_at.len() as f64 / (self.site.limit.0 * ran_for.as_secs_f64())
    }

    fn on(&mut self, event: Event) {
        match event {
            Event::Want => self.on_want(),
            Event::Answer(host) => {
                let now = self.instant();
                let limit = (self.now >= self.limit_from).then_some(self.site.limit);
                let is_news = self.hosts[host].book.on_answer(&self.upstream, limit, now);
                if is_news {
                    self.tell(host);
                }
            }
            Event::Tell(host) => {
                self.tell(host);
                self.push(self.now + REPEAT_INTERVAL, Event::Tell(host));
            }
            Event::Hear { to, from, report } => {
                if self.hears(to, from) {
                    let now = self.instant();
                    let source = LoadSource::Host(format!("host-{from}").parse().unwrap());
                    let book = &mut self.hosts[to].book;
                    if book.hear(source, &self.upstream, &report, now) {
                        self.tell(to);
                    }
                }
            }
        }
    }

    fn on_want(&mut self) {
        let draw: f64 = self.rng.random();
        let gap = -(1.0 - draw).ln() / self.site.wanted_per_s;
        self.push(self.now + Duration::from_secs_f64(gap), Event::Want);
        let host = self.rng.random_range(0..self.hosts.len());
        if !self.admits(host) {
            return;
        }
        let now = self.instant();
        self.hosts[host].book.on_sent(&self.upstream, now);
        self.sent_at.push(self.now);
        self.push(self.now + ANSWER_TIME, Event::Answer(host));
        self.tell(host);
    }

    fn admits(&mut self, index: usize) -> bool {
        let now = self.instant();
        let heard = (0..self.hosts.len()).filter(|other| self.hears(index, *other));
        let hosts = HostCoverage {
            listed: self.hosts.len(),
            heard: heard.count(),
        };
        let draw = self.rng.random();
        let book = &mut self.hosts[index].book;
        book.set_fleet(hosts, Duration::from_millis(NEWS_MS.end));
        let view = book.view(&self.upstream, now);
        view.is_none_or(|view| view.admits(draw))
    }

    fn tell(&mut self, from: usize) {
        let now = self.instant();
        let report = self.hosts[from].book.reports(now).next();
        let Some((_, report)) = report else { return };
        for to in 0..self.hosts.len() {
            if to != from {
                let after = Duration::from_millis(self.rng.random_range(NEWS_MS));
                self.push(self.now + after, Event::Hear { to, from, report });
            }
        }
    }

    fn hears(&self, to: usize, from: usize) -> bool {
        !self.is_split || self.hosts[to].domain == self.hosts[from].domain
    }

    fn push(&mut self, at: Duration, event: Event) {
        self.events.push(at, event);
    }

    fn instant(&self) -> Instant {
        self.base + self.now
    }
}
