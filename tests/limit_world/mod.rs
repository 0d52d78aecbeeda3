//! A simulated fleet with one upstream that has named a rate limit, under a manual clock: requests
//! for the upstream arrive at any host, and reports of sends arrive late.

#![allow(dead_code, unreachable_pub)]

#[path = "../event_queue/mod.rs"]
mod event_queue;

use std::time::Duration;
use std::time::Instant;

use banyanarch::decide::HostCoverage;
use banyanarch::decide::LimitReport;
use banyanarch::decide::LoadSource;
use banyanarch::decide::RateLimitTracker;
use banyanarch::units::RequestsPerSecond;
use banyanarch::units::UpstreamId;
use banyanarch::units::seconds;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

use event_queue::EventQueue;

/// The interval between two reports of a host without changes.
const REPEAT_INTERVAL: Duration = Duration::from_millis(250);
/// The delay of reports between hosts.
const REPORT_DELAY_MS: std::ops::Range<u64> = 20..200;
/// The delay from a send to the head of its answer.
const ANSWER_DELAY: Duration = Duration::from_millis(80);

/// How long the fleet has been running when a test begins; longer than a limit window.
const WARM_UP: Duration = Duration::from_secs(60);

/// The fleet, the limit and the load of a scenario.
#[derive(Clone, Copy, Debug)]
pub struct Site {
    pub hosts: usize,
    pub limit: RequestsPerSecond,
    /// The requests for the upstream per second, at all hosts together.
    pub request_rate: f64,
}

#[derive(Clone, Copy, Debug)]
enum Event {
    Request,
    Answer(usize),
    Report(usize),
    Receive {
        to: usize,
        from: usize,
        report: LimitReport,
    },
}

struct Host {
    tracker: RateLimitTracker,
    domain: usize,
}

/// The simulated fleet, its clock and its upstream.
pub struct World {
    site: Site,
    hosts: Vec<Host>,
    upstream: UpstreamId,
    base: Instant,
    now: Duration,
    rng: StdRng,
    events: EventQueue<Event>,
    /// When each request was sent to the upstream.
    sent_at: Vec<Duration>,
    /// The time from which on answers of the upstream name the limit.
    limit_start: Duration,
    is_partitioned: bool,
}

impl World {
    /// Creates a fleet that has been running for a minute and knows of the limit.
    pub fn new(site: Site, seed: u64) -> Self {
        let base = Instant::now();
        let host = |_| Host {
            tracker: RateLimitTracker::new(base),
            domain: 0,
        };
        let mut world = Self {
            site,
            hosts: (0..site.hosts).map(host).collect(),
            upstream: "engine-1".parse().unwrap(),
            base,
            now: WARM_UP,
            rng: StdRng::seed_from_u64(seed),
            events: EventQueue::default(),
            sent_at: Vec::new(),
            limit_start: Duration::ZERO,
            is_partitioned: false,
        };
        for index in 0..site.hosts {
            let after = Duration::from_millis(world.rng.random_range(0..250));
            world.push(world.now + after, Event::Report(index));
        }
        world.push(world.now, Event::Request);
        world
    }

    /// Makes the upstream name its limit only from `after` the start on.
    pub fn limit_starts_at(&mut self, after: Duration) {
        self.limit_start = WARM_UP + after;
    }

    /// Makes the upstream cold for this time, as all hosts read on the list.
    pub fn make_cold(&mut self, time: Duration) {
        let (now, limit) = (self.instant(), Some(self.site.limit));
        for host in &mut self.hosts {
            host.tracker.set_cold(&self.upstream, time, limit, now);
        }
    }

    pub fn set_request_rate(&mut self, per_s: f64) {
        self.site.request_rate = per_s;
    }

    /// Partitions the hosts into domains that do not hear each other.
    pub fn partition(&mut self, domains: usize) {
        for (index, host) in self.hosts.iter_mut().enumerate() {
            host.domain = index % domains;
        }
        self.is_partitioned = true;
    }

    pub fn end_partition(&mut self) {
        self.is_partitioned = false;
    }

    /// Kills and restarts one host in ten.
    pub fn restart_tenth(&mut self) {
        let now = self.instant();
        for index in 0..self.hosts.len() {
            if !self.rng.random_ratio(1, 10) {
                continue;
            }
            self.hosts[index].tracker = RateLimitTracker::new(now);
        }
    }

    pub fn run_for(&mut self, time: Duration) {
        let end = self.now + time;
        while let Some((at, event)) = self.events.pop_until(end) {
            self.now = at;
            self.handle(event);
        }
        self.now = end;
    }

    /// The maximum number of requests that the upstream received within `window`, over all windows
    /// that end at least `after` after the start.
    pub fn max_in_window(&self, after: Duration, window: Duration) -> u32 {
        let from = WARM_UP + after;
        let ends = self.sent_at.iter().filter(|at| **at >= from);
        let counts = ends.map(|end| {
            let in_window = |at: &&Duration| **at <= *end && **at + window > *end;
            self.sent_at.iter().filter(in_window).count()
        });
        u32::try_from(counts.max().unwrap_or(0)).unwrap()
    }

    /// The number of requests sent, as a fraction of what the limit allows.
    pub fn used_fraction(&self) -> f64 {
        let elapsed = self.now - WARM_UP;
        self.sent_at.len() as f64 / (self.site.limit.0 * elapsed.as_secs_f64())
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Request => self.on_request(),
            Event::Answer(host) => {
                let now = self.instant();
                let limit = (self.now >= self.limit_start).then_some(self.site.limit);
                let is_change = self.hosts[host]
                    .tracker
                    .on_answer(&self.upstream, limit, now);
                if is_change {
                    self.send_report(host);
                }
            }
            Event::Report(host) => {
                self.send_report(host);
                self.push(self.now + REPEAT_INTERVAL, Event::Report(host));
            }
            Event::Receive { to, from, report } => {
                if self.can_hear(to, from) {
                    let now = self.instant();
                    let source = LoadSource::Host(format!("host-{from}").parse().unwrap());
                    let tracker = &mut self.hosts[to].tracker;
                    if tracker.on_report(source, &self.upstream, &report, now) {
                        self.send_report(to);
                    }
                }
            }
        }
    }

    fn on_request(&mut self) {
        let draw: f64 = self.rng.random();
        let gap = -(1.0 - draw).ln() / self.site.request_rate;
        self.push(self.now + seconds(gap), Event::Request);
        let host = self.rng.random_range(0..self.hosts.len());
        if !self.admits(host) {
            return;
        }
        let now = self.instant();
        self.hosts[host].tracker.on_sent(&self.upstream, now);
        self.sent_at.push(self.now);
        self.push(self.now + ANSWER_DELAY, Event::Answer(host));
        self.send_report(host);
    }

    fn admits(&mut self, index: usize) -> bool {
        let now = self.instant();
        let heard = (0..self.hosts.len()).filter(|other| self.can_hear(index, *other));
        let hosts = HostCoverage {
            listed: self.hosts.len(),
            heard: heard.count(),
        };
        let draw = self.rng.random();
        let tracker = &mut self.hosts[index].tracker;
        tracker.set_hosts(hosts, Duration::from_millis(REPORT_DELAY_MS.end));
        let view = tracker.view(&self.upstream, now);
        view.is_none_or(|view| view.admits(draw))
    }

    fn send_report(&mut self, from: usize) {
        let now = self.instant();
        let report = self.hosts[from].tracker.reports(now).next();
        let Some((_, report)) = report else { return };
        for to in 0..self.hosts.len() {
            if to != from {
                let after = Duration::from_millis(self.rng.random_range(REPORT_DELAY_MS));
                self.push(self.now + after, Event::Receive { to, from, report });
            }
        }
    }

    fn can_hear(&self, to: usize, from: usize) -> bool {
        !self.is_partitioned || self.hosts[to].domain == self.hosts[from].domain
    }

    fn push(&mut self, at: Duration, event: Event) {
        self.events.push(at, event);
    }

    fn instant(&self) -> Instant {
        self.base + self.now
    }
}
