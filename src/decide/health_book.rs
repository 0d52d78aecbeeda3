//! Which upstreams are left alone for a while after they failed.
//!
//! Load it answers: an upstream that has died stays on the platform's list for seconds, and one
//! behind a cut does not even refuse connections. Without this every request would try it first and
//! lose its time there.

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
/// How long a domain is left alone before one request tries it again.
const DOMAIN_PAUSE: Duration = Duration::from_millis(600);
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

#[derive(Clone, Debug, Default)]
struct Record {
    failures: u32,
    paused_until: Option<Instant>,
    failed_part: f64,
}

#[derive(Clone, Copy, Debug)]
struct DomainTimeouts {
    count: u32,
    last_at: Instant,
}

/// What this host has seen of upstreams' faults.
#[derive(Debug, Default)]
pub struct HealthBook {
    upstreams: IndexMap<UpstreamId, Record>,
    domains: IndexMap<FailureDomainId, DomainTimeouts>,
}

impl HealthBook {
    /// Takes in a fault.
    pub fn on_fault(
        &mut self,
        upstream: &UpstreamId,
        domain: &FailureDomainId,
        fault: UpstreamFault,
        now: Instant,
    ) {
        let record = self.upstreams.entry(upstream.clone()).or_default();
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
        record.paused_until = record.paused_until.max(Some(now + pause));
        if fault == UpstreamFault::ConnectTimeout {
            self.on_domain_timeout(domain, now);
        }
    }

    /// Takes in that an upstream answered.
    pub fn on_answer(&mut self, upstream: &UpstreamId, domain: &FailureDomainId) {
        if let Some(record) = self.upstreams.get_mut(upstream) {
            record.failures = 0;
            record.paused_until = None;
            record.failed_part -= record.failed_part * FAILED_PART_GAIN;
        }
        self.domains.swap_remove(domain);
    }

    /// Whether it may get requests now.
    pub fn is_usable(&self, upstream: &UpstreamId, domain: &FailureDomainId, now: Instant) -> bool {
        let record = self.upstreams.get(upstream);
        let is_paused = record.is_some_and(|r| r.paused_until.is_some_and(|until| until > now));
        !is_paused && !self.is_cut_off(domain, now)
    }

    /// Whether it fails so many requests that others come first.
    pub fn is_failing(&self, upstream: &UpstreamId) -> bool {
        let record = self.upstreams.get(upstream);
        record.is_some_and(|record| record.failed_part > FAILED_PART_MAX)
    }

    /// Forgets upstreams that are off the list.
    pub fn keep(&mut self, is_listed: impl Fn(&UpstreamId) -> bool) {
        self.upstreams.retain(|id, _| is_listed(id));
    }

    fn is_cut_off(&self, domain: &FailureDomainId, now: Instant) -> bool {
        self.domains.get(domain).is_some_and(|timeouts| {
            timeouts.count >= DOMAIN_TIMEOUTS && now < timeouts.last_at + DOMAIN_PAUSE
        })
    }

    fn on_domain_timeout(&mut self, domain: &FailureDomainId, now: Instant) {
        let timeouts = self
            .domains
            .entry(domain.clone())
            .or_insert(DomainTimeouts {
                count: 0,
                last_at: now,
            });
        timeouts.count += 1;
        timeouts.last_at = now;
    }
}
