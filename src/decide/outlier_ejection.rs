//! Ejects upstreams that fail far more calls than the rest of their service, probes them with few
//! calls, and reinstates them when these go well.
//!
//! Load condition: an upstream that fails a part of its calls at once is free again at once, looks
//! idle and draws calls. Only the outcomes of calls count, whatever the upstream says about its
//! health. What ails all upstreams of a service is no ground to eject any, and at least half of a
//! service stays in use.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;

use crate::decide::FleetOutcomes;
use crate::decide::OutcomeSums;
use crate::units::Slowdown;
use crate::units::UpstreamId;

/// The failure rate that healthy upstreams may have: plain services of the users fail up to one
/// seventh of their requests.
const HEALTHY_FAILURE_RATE: f64 = 1.0 / 7.0;
/// The lowest failure rate of an upstream that is ejected.
const EJECTED_FAILURE_RATE_MIN: f64 = 0.35;
/// The number of calls from which an upstream may be ejected.
const EJECTED_CALLS_MIN: u32 = 10;
/// The number of calls to the rest of the service from which an upstream may be ejected.
const REST_CALLS_MIN: u32 = 10;
/// How many standard deviations the failures must be above those at the healthy rate.
const HEALTHY_DEVIATIONS_MIN: f64 = 3.0;
/// How many standard deviations the failures must be above those at the rate of the rest of the
/// service, with which each upstream is compared several times a second.
const REST_DEVIATIONS_MIN: f64 = 4.0;
/// How long the failures must be too many: hosts whose calls went well report them only after
/// they have heard of the failures.
const SUSPICION_TIME: Duration = Duration::from_millis(500);
/// The first pause of an ejected upstream: longer than the window of the outcomes and the time that
/// reports take, so that the outcomes from before the ejection no longer count when it ends.
const PAUSE_BASE: Duration = Duration::from_secs(3);
/// The longest pause.
const PAUSE_MAX: Duration = Duration::from_secs(30);
/// The time in use after which an earlier ejection no longer makes the next pause longer.
const RECORD_RETENTION: Duration = Duration::from_secs(60);
/// The time between two probes of an upstream by all hosts together.
const PROBE_SPACING: Duration = Duration::from_millis(50);
/// The time after which a probe without an outcome no longer keeps the host from the next one.
const PROBE_TIMEOUT: Duration = Duration::from_secs(2);
/// The probes that must have ended before an upstream is reinstated.
const PROBES_MIN: u32 = 8;
/// The failed probes from which an upstream is ejected again.
const PROBE_FAILURES_MIN: u32 = 3;
/// The highest failure rate of the probes of an upstream that is reinstated.
const REINSTATED_FAILURE_RATE_MAX: f64 = 0.2;
/// The time after which an upstream is reinstated although too few calls came to probe it.
const PROBING_MAX: Duration = Duration::from_secs(10);
/// The pace from which an engine that reports no slowdown counts as slow. Forecasts of single calls
/// are off by less.
const SLOW_PACE_MIN: f64 = 2.5;
/// The timed calls from which a slowdown is learned.
const SLOW_CALLS_MIN: u32 = 8;
/// The largest slowdown that is learned.
const SLOWDOWN_MAX: f64 = 10.0;
/// How long a learned slowdown counts after it was last seen. A slow engine gets few calls.
const SLOWDOWN_RETENTION: Duration = Duration::from_secs(4);

/// An upstream of a service, as the evaluation sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceMember {
    /// The id of the upstream.
    pub id: UpstreamId,
    /// The outcomes of its recent calls.
    pub outcomes: FleetOutcomes,
    /// Whether it may be used apart from its outcomes.
    pub is_usable: bool,
}

/// A change in the use of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EjectionChange {
    /// The upstream gets no calls for this time.
    Ejected {
        /// The pause.
        pause: Duration,
        /// The ejections so far that count, this one included.
        ejections: u32,
    },
    /// The upstream gets a few calls as probes.
    Probed,
    /// The upstream gets calls like any other.
    Reinstated,
}

impl EjectionChange {
    /// The name of the change in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Ejected { .. } => "ejected",
            Self::Probed => "probed",
            Self::Reinstated => "reinstated",
        }
    }
}

/// A change with what decided it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EjectionEvent {
    /// The id of the upstream.
    pub upstream: UpstreamId,
    /// The change.
    pub change: EjectionChange,
    /// The outcomes of the upstream.
    pub outcomes: FleetOutcomes,
    /// The outcomes of the rest of the service, without the upstreams that fail too many calls.
    pub rest: OutcomeSums,
}

/// How an upstream may be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Use {
    /// Like any other. The time since which it has failed too many calls, if it has.
    Full { suspected_since: Option<Instant> },
    /// Not at all until this time.
    Ejected { until: Instant },
    /// For probes.
    Probing {
        since: Instant,
        /// When this host may send the next probe.
        next_probe_at: Instant,
        /// When this host has sent the probe that is in flight.
        sent_at: Option<Instant>,
    },
}

/// The state of one upstream that has been suspected, ejected or slow.
#[derive(Clone, Copy, Debug)]
struct EjectionRecord {
    usage: Use,
    /// The ejections that count for the next pause.
    ejections: u32,
    ejected_at: Option<Instant>,
    reinstated_at: Option<Instant>,
    /// The learned slowdown, and when it was last seen.
    slowdown: Option<(Slowdown, Instant)>,
}

impl EjectionRecord {
    const FULL: Use = Use::Full {
        suspected_since: None,
    };

    fn new() -> Self {
        Self {
            usage: Self::FULL,
            ejections: 0,
            ejected_at: None,
            reinstated_at: None,
            slowdown: None,
        }
    }

    fn is_full(&self) -> bool {
        matches!(self.usage, Use::Full { .. })
    }

    fn eject(&mut self, now: Instant) -> EjectionChange {
        let is_forgotten = self
            .reinstated_at
            .is_some_and(|at| now.saturating_duration_since(at) >= RECORD_RETENTION);
        if is_forgotten {
            self.ejections = 0;
        }
        let pause = PAUSE_BASE.saturating_mul(1 << self.ejections.min(8));
        let pause = pause.min(PAUSE_MAX);
        self.ejections += 1;
        self.ejected_at = Some(now);
        self.usage = Use::Ejected { until: now + pause };
        EjectionChange::Ejected {
            pause,
            ejections: self.ejections,
        }
    }

    fn reinstate(&mut self, now: Instant) -> EjectionChange {
        self.usage = Self::FULL;
        self.reinstated_at = Some(now);
        EjectionChange::Reinstated
    }

    /// Whether the record still matters.
    fn is_retained(&self, now: Instant) -> bool {
        let is_within = |at: Instant, time| now.saturating_duration_since(at) < time;
        self.usage != Self::FULL
            || self
                .reinstated_at
                .is_some_and(|at| is_within(at, RECORD_RETENTION))
            || self
                .slowdown
                .is_some_and(|(_, at)| is_within(at, SLOWDOWN_RETENTION))
    }
}

/// Which upstreams are ejected or probed, and which engines are slow without saying so.
///
/// Each host decides alone, from sums that are about the same on all hosts.
#[derive(Clone, Debug, Default)]
pub struct OutlierEjection {
    records: IndexMap<UpstreamId, EjectionRecord>,
}

impl OutlierEjection {
    /// Compares the upstreams of a service and returns what has changed. `service` holds the sums
    /// over all upstreams. `hosts` is the number of hosts that send probes, and `draw`, from 0 to 1,
    /// spreads those of different hosts over time.
    pub fn evaluate(
        &mut self,
        members: &[ServiceMember],
        service: &OutcomeSums,
        hosts: usize,
        draw: f64,
        now: Instant,
    ) -> Vec<EjectionEvent> {
        let rest = rest_of_service(members, service);
        self.learn_slowdowns(members, service, now);
        let spacing = PROBE_SPACING.saturating_mul(u32::try_from(hosts.max(1)).unwrap_or(u32::MAX));
        let mut events = Vec::new();
        for member in members {
            let Some(record) = self.records.get_mut(&member.id) else {
                continue;
            };
            let change = advance(record, &member.outcomes.sums, spacing.mul_f64(draw), now);
            events.extend(change.map(|change| event(member, change, rest)));
        }
        events.extend(self.eject_outliers(members, &rest, now));
        self.records.retain(|_, record| record.is_retained(now));
        events
    }

    /// Ejects the upstreams that have failed too many calls for some time, the worst first, as long
    /// as half of the service stays in use.
    fn eject_outliers(
        &mut self,
        members: &[ServiceMember],
        rest: &OutcomeSums,
        now: Instant,
    ) -> Vec<EjectionEvent> {
        let mut outliers: Vec<&ServiceMember> = Vec::new();
        for member in members {
            let is_outlier = is_outlier(&member.outcomes.sums, rest);
            if self.is_suspected_long(&member.id, is_outlier, now) {
                outliers.push(member);
            }
        }
        let rate = |member: &&ServiceMember| member.outcomes.sums.failure_rate();
        outliers.sort_by(|a, b| rate(b).total_cmp(&rate(a)));
        let unused = members.iter().filter(|m| !self.is_in_use(m)).count();
        let allowed = (members.len() / 2).saturating_sub(unused);
        let mut events = Vec::new();
        for member in outliers.into_iter().take(allowed) {
            if let Some(record) = self.records.get_mut(&member.id) {
                events.push(event(member, record.eject(now), *rest));
            }
        }
        events
    }

    /// Records whether an upstream in full use fails too many calls. Returns whether it has for
    /// [`SUSPICION_TIME`].
    fn is_suspected_long(&mut self, id: &UpstreamId, is_outlier: bool, now: Instant) -> bool {
        if !is_outlier && !self.records.contains_key(id) {
            return false;
        }
        let record = self.records.entry(id.clone());
        let record = record.or_insert_with(EjectionRecord::new);
        let Use::Full { suspected_since } = &mut record.usage else {
            return false;
        };
        if !is_outlier {
            *suspected_since = None;
            return false;
        }
        let since = *suspected_since.get_or_insert(now);
        now.saturating_duration_since(since) >= SUSPICION_TIME
    }

    fn is_in_use(&self, member: &ServiceMember) -> bool {
        let record = self.records.get(&member.id);
        member.is_usable && record.is_none_or(EjectionRecord::is_full)
    }

    /// Records the slowdowns of engines whose first events take far longer than forecast, and than
    /// those of the rest of the service.
    fn learn_slowdowns(&mut self, members: &[ServiceMember], service: &OutcomeSums, now: Instant) {
        let is_slow =
            |sums: &OutcomeSums| sums.timed_calls >= SLOW_CALLS_MIN && sums.pace() >= SLOW_PACE_MIN;
        let slow = members.iter().filter(|m| is_slow(&m.outcomes.sums));
        let slow: Vec<&ServiceMember> = slow.collect();
        if slow.len() > members.len() / 2 {
            return;
        }
        let slow_sums = slow.iter().map(|member| &member.outcomes.sums);
        let rest = slow_sums.fold(*service, OutcomeSums::without);
        if rest.timed_calls < SLOW_CALLS_MIN {
            return;
        }
        for member in slow {
            let factor = member.outcomes.sums.pace() / rest.pace().max(1.0);
            if factor >= SLOW_PACE_MIN {
                let record = self.records.entry(member.id.clone());
                let record = record.or_insert_with(EjectionRecord::new);
                record.slowdown = Some((Slowdown::new(factor.min(SLOWDOWN_MAX)), now));
            }
        }
    }

    /// The engines that are slow according to their outcomes, with their slowdowns.
    pub fn slowdowns(&self, now: Instant) -> impl Iterator<Item = (&UpstreamId, Slowdown)> {
        self.records.iter().filter_map(move |(id, record)| {
            let (slowdown, at) = record.slowdown?;
            let is_valid = now.saturating_duration_since(at) < SLOWDOWN_RETENTION;
            is_valid.then_some((id, slowdown))
        })
    }

    /// Whether an upstream may get a call now: it is in full use, or this host may send it a probe.
    pub fn may_send(&self, upstream: &UpstreamId, now: Instant) -> bool {
        match self.records.get(upstream).map(|record| record.usage) {
            None | Some(Use::Full { .. }) => true,
            Some(Use::Ejected { .. }) => false,
            Some(Use::Probing {
                next_probe_at,
                sent_at,
                ..
            }) => {
                let is_pending = |at| now.saturating_duration_since(at) < PROBE_TIMEOUT;
                now >= next_probe_at && !sent_at.is_some_and(is_pending)
            }
        }
    }

    /// Records that this host sends a call to an upstream, which is a probe if the upstream is
    /// being probed by `hosts` hosts.
    pub fn on_sent(&mut self, upstream: &UpstreamId, hosts: usize, now: Instant) {
        let record = self.records.get_mut(upstream);
        if let Some(Use::Probing {
            next_probe_at,
            sent_at,
            ..
        }) = record.map(|record| &mut record.usage)
        {
            let hosts = u32::try_from(hosts.max(1)).unwrap_or(u32::MAX);
            *next_probe_at = now + PROBE_SPACING.saturating_mul(hosts);
            *sent_at = Some(now);
        }
    }

    /// Whether a call that was sent at `sent_at` is from before the upstream was last ejected.
    pub fn is_from_before_ejection(&self, upstream: &UpstreamId, sent_at: Instant) -> bool {
        let record = self.records.get(upstream);
        let ejected_at = record.and_then(|record| record.ejected_at);
        ejected_at.is_some_and(|ejected_at| sent_at < ejected_at)
    }

    /// Records that a call of this host to an upstream has ended.
    pub fn on_outcome(&mut self, upstream: &UpstreamId) {
        let record = self.records.get_mut(upstream);
        if let Some(Use::Probing { sent_at, .. }) = record.map(|record| &mut record.usage) {
            *sent_at = None;
        }
    }

    /// Forgets the upstreams that are off the list.
    pub fn retain(&mut self, is_listed: impl Fn(&UpstreamId) -> bool) {
        self.records.retain(|id, _| is_listed(id));
    }
}

/// Starts the probes of an upstream when its pause is over, and ends them by their outcomes.
fn advance(
    record: &mut EjectionRecord,
    sums: &OutcomeSums,
    first_probe_in: Duration,
    now: Instant,
) -> Option<EjectionChange> {
    match record.usage {
        Use::Full { .. } => None,
        Use::Ejected { until } if now < until => None,
        Use::Ejected { .. } => {
            record.usage = Use::Probing {
                since: now,
                next_probe_at: now + first_probe_in,
                sent_at: None,
            };
            Some(EjectionChange::Probed)
        }
        Use::Probing { since, .. } => {
            let rate = sums.failure_rate();
            if sums.failures >= PROBE_FAILURES_MIN && rate >= EJECTED_FAILURE_RATE_MIN {
                return Some(record.eject(now));
            }
            let is_probed = sums.calls >= PROBES_MIN && rate <= REINSTATED_FAILURE_RATE_MAX;
            let is_over = now.saturating_duration_since(since) >= PROBING_MAX;
            (is_probed || is_over).then(|| record.reinstate(now))
        }
    }
}

/// The outcomes of a service without the upstreams that may be outliers; zero if these are more
/// than half of the service, which then ails as a whole.
fn rest_of_service(members: &[ServiceMember], service: &OutcomeSums) -> OutcomeSums {
    let is_suspect = |member: &&ServiceMember| {
        let sums = &member.outcomes.sums;
        sums.failures > 0 && sums.failure_rate() >= EJECTED_FAILURE_RATE_MIN
    };
    let suspects: Vec<&ServiceMember> = members.iter().filter(is_suspect).collect();
    if suspects.len() > members.len() / 2 {
        return OutcomeSums::default();
    }
    let sums = suspects.iter().map(|member| &member.outcomes.sums);
    sums.fold(*service, OutcomeSums::without)
}

/// Whether an upstream fails far more of its calls than the rest of its service, and than healthy
/// upstreams may.
fn is_outlier(sums: &OutcomeSums, rest: &OutcomeSums) -> bool {
    if sums.calls < EJECTED_CALLS_MIN || rest.calls < REST_CALLS_MIN {
        return false;
    }
    sums.failure_rate() >= EJECTED_FAILURE_RATE_MIN
        && exceeds(sums, HEALTHY_FAILURE_RATE, HEALTHY_DEVIATIONS_MIN)
        && exceeds(sums, rest.failure_rate(), REST_DEVIATIONS_MIN)
}

/// Whether the failures are this many standard deviations above those that are expected at a
/// failure rate.
fn exceeds(sums: &OutcomeSums, rate: f64, deviations: f64) -> bool {
    let calls = f64::from(sums.calls);
    let deviation = (calls * rate * (1.0 - rate)).sqrt();
    f64::from(sums.failures) >= calls * rate + deviations * deviation
}

fn event(member: &ServiceMember, change: EjectionChange, rest: OutcomeSums) -> EjectionEvent {
    EjectionEvent {
        upstream: member.id.clone(),
        change,
        outcomes: member.outcomes,
        rest,
    }
}
