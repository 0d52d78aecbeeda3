//! Which upstreams are left alone for a while after they failed.
//!
//! Load it answers: an upstream that has died stays on the platform's list for seconds, and one
//! behind a cut does not even refuse connections. Without this every request would try it first and
//! lose its time there.
//!
//! What could not be reached is tried again by a connection of the host's own, not by a caller's
//! request, and hosts of one failure domain tell each other: of a fleet of sixty each one would else
//! find it out at the cost of a few callers, and again after every pause.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;

use crate::units::FailureDomainId;
use crate::units::UpstreamId;

/// The first pause after a failed connection; a process that restarts takes longer than this.
const PAUSE_BASE: Duration = Duration::from_millis(500);
/// The longest pause, about three heartbeats of an upstream, after which it is off the list.
const PAUSE_MAX: Duration = Duration::from_secs(4);
/// After a connection broke in the middle: long enough that requests which broke together do not all
/// come back to the same upstream, short because the next connection will tell.
const PAUSE_BROKEN: Duration = Duration::from_millis(400);
/// After an upstream turned a request away, which says that it is full or about to leave.
const PAUSE_TURNED_AWAY: Duration = Duration::from_millis(150);
/// Upstreams of one failure domain that must time out, with no answer from the domain in between,
/// before the whole domain is taken as cut off. One alone may have died.
const DOMAIN_TIMEOUTS: u32 = 2;
/// How long a domain is left alone before it is tried again.
const DOMAIN_PAUSE: Duration = Duration::from_millis(600);
/// An upstream or a domain that answered this host this lately is reachable from here, whatever
/// others say.
const ANSWER_COUNTS_FOR: Duration = Duration::from_millis(500);
/// How long a host tells others of what it could not reach: several messages.
const TOLD_FOR: Duration = Duration::from_millis(600);
/// The weight of the newest answer in the share of failed answers: about the last ten count.
const FAILED_PART_GAIN: f64 = 0.1;
/// An upstream that fails more than this part of its requests gets only what others have no room
/// for. Plain services of the users fail up to a seventh when they are sound.
const FAILED_PART_MAX: f64 = 0.35;

/// What went wrong at an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpstreamFault {
    /// No connection came about in time.
    ConnectTimeout,
    /// The connection was refused.
    ConnectRefused,
    /// The connection broke while a request was there.
    Broken,
    /// Nothing came for far longer than the work takes.
    Silent,
    /// It refused the request as not run.
    TurnedAway,
    /// It answered with a failure of its own.
    Failed,
}

impl UpstreamFault {
    /// Whether no connection came about.
    pub fn is_unreachable(self) -> bool {
        matches!(self, Self::ConnectTimeout | Self::ConnectRefused)
    }

    /// The fault as one word for logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::ConnectTimeout => "connect_timeout",
            Self::ConnectRefused => "connect_refused",
            Self::Broken => "broken",
            Self::Silent => "silent",
            Self::TurnedAway => "turned_away",
            Self::Failed => "failed",
        }
    }
}

/// What is known of one upstream.
#[derive(Clone, Debug)]
struct Record {
    domain: FailureDomainId,
    failures: u32,
    paused_until: Option<Instant>,
    /// Whether no connection came about; it gets no requests until one does.
    is_unreachable: bool,
    /// When this host itself could not reach it.
    failed_at: Option<Instant>,
    answered_at: Option<Instant>,
    /// When it was last out of reach or broke a connection off; kept when it is reached again.
    lost_at: Option<Instant>,
    failed_part: f64,
}

impl Record {
    fn new(domain: &FailureDomainId) -> Self {
        Self {
            domain: domain.clone(),
            failures: 0,
            paused_until: None,
            is_unreachable: false,
            failed_at: None,
            answered_at: None,
            lost_at: None,
            failed_part: 0.0,
        }
    }

    fn pause(&mut self, pause: Duration, now: Instant) {
        self.paused_until = self.paused_until.max(Some(now + pause));
    }

    fn is_paused(&self, now: Instant) -> bool {
        self.paused_until.is_some_and(|until| until > now)
    }

    fn on_reached(&mut self) {
        self.failures = 0;
        self.paused_until = None;
        self.is_unreachable = false;
        self.failed_at = None;
    }
}

/// What is known of the way to one failure domain.
#[derive(Clone, Copy, Debug, Default)]
struct Way {
    /// Timeouts with no answer from there in between.
    timeouts: u32,
    last_timeout_at: Option<Instant>,
    /// The last of them that this host itself has seen.
    failed_at: Option<Instant>,
    answered_at: Option<Instant>,
}

impl Way {
    fn is_cut_off(&self) -> bool {
        self.timeouts >= DOMAIN_TIMEOUTS
    }

    /// When it is tried again.
    fn tried_at(&self) -> Option<Instant> {
        let last = self.last_timeout_at.filter(|_| self.is_cut_off())?;
        Some(last + DOMAIN_PAUSE)
    }
}

fn is_within(at: Option<Instant>, within: Duration, now: Instant) -> bool {
    at.is_some_and(|at| now.saturating_duration_since(at) < within)
}

/// What this host has seen of upstreams' faults, and heard of its neighbours.
#[derive(Debug, Default)]
pub struct HealthTracker {
    upstreams: IndexMap<UpstreamId, Record>,
    ways: IndexMap<FailureDomainId, Way>,
}

impl HealthTracker {
    /// Takes in a fault.
    pub fn on_fault(
        &mut self,
        upstream: &UpstreamId,
        domain: &FailureDomainId,
        fault: UpstreamFault,
        now: Instant,
    ) {
        let record = self.record(upstream, domain);
        record.failed_part += (1.0 - record.failed_part) * FAILED_PART_GAIN;
        let pause = match fault {
            UpstreamFault::ConnectTimeout
            | UpstreamFault::ConnectRefused
            | UpstreamFault::Silent => {
                let pause = PAUSE_BASE.saturating_mul(1 << record.failures.min(8));
                record.failures += 1;
                pause.min(PAUSE_MAX)
            }
            UpstreamFault::Broken => PAUSE_BROKEN,
            UpstreamFault::TurnedAway => PAUSE_TURNED_AWAY,
            UpstreamFault::Failed => Duration::ZERO,
        };
        record.pause(pause, now);
        if fault.is_unreachable() || fault == UpstreamFault::Broken {
            record.lost_at = Some(now);
        }
        if fault.is_unreachable() {
            record.is_unreachable = true;
            record.failed_at = Some(now);
        }
        if fault == UpstreamFault::ConnectTimeout {
            let way = self.ways.entry(domain.clone()).or_default();
            way.timeouts += 1;
            way.last_timeout_at = Some(now);
            way.failed_at = Some(now);
        }
    }

    /// Takes in that an upstream answered.
    pub fn on_answer(&mut self, upstream: &UpstreamId, domain: &FailureDomainId, now: Instant) {
        let record = self.record(upstream, domain);
        record.on_reached();
        record.answered_at = Some(now);
        record.failed_part -= record.failed_part * FAILED_PART_GAIN;
        self.reached(domain, now);
    }

    /// Takes in that a connection to an upstream came about.
    pub fn on_connected(&mut self, upstream: &UpstreamId, now: Instant) {
        let Some(record) = self.upstreams.get_mut(upstream) else {
            return;
        };
        record.on_reached();
        let domain = record.domain.clone();
        self.reached(&domain, now);
    }

    /// Takes in that a host of this failure domain could not reach an upstream.
    pub fn on_unreachable_report(
        &mut self,
        upstream: &UpstreamId,
        domain: &FailureDomainId,
        now: Instant,
    ) {
        let record = self.record(upstream, domain);
        if is_within(record.answered_at, ANSWER_COUNTS_FOR, now) || record.is_unreachable {
            return;
        }
        record.is_unreachable = true;
        record.lost_at = Some(now);
        record.pause(PAUSE_BASE, now);
    }

    /// When an upstream was last out of reach, or broke a connection off, as far as this host knows.
    pub fn lost_at(&self, upstream: &UpstreamId) -> Option<Instant> {
        self.upstreams.get(upstream)?.lost_at
    }

    /// Takes in that a host of this failure domain takes another domain for cut off.
    pub fn on_partition_report(&mut self, domain: &FailureDomainId, now: Instant) {
        let way = self.ways.entry(domain.clone()).or_default();
        if is_within(way.answered_at, ANSWER_COUNTS_FOR, now) || way.is_cut_off() {
            return;
        }
        way.timeouts = DOMAIN_TIMEOUTS;
        way.last_timeout_at = Some(now);
    }

    /// The upstreams that this host itself could not reach lately, to be told to its neighbours.
    pub fn unreachable_upstreams(&self, now: Instant) -> impl Iterator<Item = &UpstreamId> {
        let told = self.upstreams.iter().filter(move |(_, record)| {
            record.is_unreachable && is_within(record.failed_at, TOLD_FOR, now)
        });
        told.map(|(id, _)| id)
    }

    /// The failure domains that this host itself takes for cut off, to be told to its neighbours.
    pub fn partitioned_domains(&self, now: Instant) -> impl Iterator<Item = &FailureDomainId> {
        let told = self
            .ways
            .iter()
            .filter(move |(_, way)| way.is_cut_off() && is_within(way.failed_at, TOLD_FOR, now));
        told.map(|(domain, _)| domain)
    }

    /// The upstreams to which a connection is to be tried now; each is named once until the result
    /// is in.
    pub fn take_due_probes(&mut self, now: Instant) -> Vec<UpstreamId> {
        let ways = &mut self.ways;
        let mut due: Vec<UpstreamId> = Vec::new();
        for (domain, way) in ways.iter_mut() {
            if way.tried_at().is_some_and(|at| at <= now) {
                way.last_timeout_at = Some(now);
                // One upstream stands for the whole domain: another one each time, as it may itself
                // be dead.
                let of_domain = self.upstreams.iter();
                let of_domain = of_domain.filter(|(_, record)| record.domain == *domain);
                let longest_ago = of_domain.min_by_key(|(_, record)| record.paused_until);
                due.extend(longest_ago.map(|(id, _)| id.clone()));
            }
        }
        let is_cut_off = |record: &Record| ways.get(&record.domain).is_some_and(Way::is_cut_off);
        let alone = self.upstreams.iter().filter(|(_, record)| {
            record.is_unreachable && !record.is_paused(now) && !is_cut_off(record)
        });
        due.extend(alone.map(|(id, _)| id.clone()));
        for id in &due {
            if let Some(record) = self.upstreams.get_mut(id) {
                record.pause(PAUSE_BASE, now);
            }
        }
        due
    }

    /// When the next connection is to be tried.
    pub fn next_probe_at(&self) -> Option<Instant> {
        let ways = self.ways.values().filter_map(Way::tried_at);
        let upstreams = self.upstreams.values().filter(|record| {
            let way = self.ways.get(&record.domain);
            record.is_unreachable && !way.is_some_and(Way::is_cut_off)
        });
        ways.chain(upstreams.filter_map(|record| record.paused_until))
            .min()
    }

    /// Whether it may get requests now.
    pub fn is_usable(&self, upstream: &UpstreamId, domain: &FailureDomainId, now: Instant) -> bool {
        let record = self.upstreams.get(upstream);
        let is_left_alone = record.is_some_and(|r| r.is_unreachable || r.is_paused(now));
        let is_cut_off = self.ways.get(domain).is_some_and(Way::is_cut_off);
        !is_left_alone && !is_cut_off
    }

    /// Whether it fails so many requests that others come first.
    pub fn is_failing(&self, upstream: &UpstreamId) -> bool {
        let record = self.upstreams.get(upstream);
        record.is_some_and(|record| record.failed_part > FAILED_PART_MAX)
    }

    /// Forgets upstreams that are off the list, and domains without any left.
    pub fn retain(&mut self, is_listed: impl Fn(&UpstreamId) -> bool) {
        self.upstreams.retain(|id, _| is_listed(id));
        let upstreams = &self.upstreams;
        self.ways
            .retain(|domain, _| upstreams.values().any(|record| record.domain == *domain));
    }

    fn reached(&mut self, domain: &FailureDomainId, now: Instant) {
        let way = self.ways.entry(domain.clone()).or_default();
        way.timeouts = 0;
        way.answered_at = Some(now);
    }

    fn record(&mut self, upstream: &UpstreamId, domain: &FailureDomainId) -> &mut Record {
        let new = || Record::new(domain);
        self.upstreams.entry(upstream.clone()).or_insert_with(new)
    }
}
