//! Ejects upstreams that fail far more calls than the rest of their service, probes them with few
//! calls, and reinstates them when these go well.
//!
//! An upstream that fails calls immediately looks idle, so load balancing sends it more calls. Only
//! the outcomes of calls count, not what the upstream states about its health. A fault that all
//! upstreams of a service have in common ejects none of them, and at least half of a service stays in
//! use.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;

use crate::decide::EjectionEvent;
use crate::decide::EjectionRecord;
use crate::decide::OutcomeSums;
use crate::decide::ServiceMember;
use crate::units::BoundedTime;
use crate::units::Slowdown;
use crate::units::UpstreamId;

/// The failure rate that healthy upstreams may have.
const HEALTHY_FAILURE_RATE: f64 = 1.0 / 7.0;
/// The lowest failure rate of an upstream that is ejected.
pub(crate) const EJECTED_FAILURE_RATE_MIN: f64 = 0.35;
/// The number of calls from which an upstream may be ejected.
const EJECTED_CALLS_MIN: u32 = 10;
/// The number of calls to the rest of the service from which an upstream may be ejected.
const REST_CALLS_MIN: u32 = 10;
/// How many standard deviations the failures must be above those at the healthy rate.
const HEALTHY_DEVIATIONS_MIN: f64 = 3.0;
/// How many standard deviations the failures must be above those at the rate of the rest of the
/// service.
const REST_DEVIATIONS_MIN: f64 = 4.0;
/// The time between two probes of an upstream by all hosts together.
const PROBE_SPACING: Duration = Duration::from_millis(50);
/// The ratio of taken to forecast time from which an engine that reports no slowdown counts as slow.
const SLOW_PACE_MIN: f64 = 2.5;
/// The timed calls from which a slowdown is learned.
const SLOW_CALLS_MIN: u32 = 8;
/// The largest slowdown that is learned.
const SLOWDOWN_MAX: f64 = 10.0;

/// Which upstreams are ejected or probed, and which engines are slow without reporting it.
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
        let first_probe_in = probe_spacing(hosts).scaled(draw);
        let mut events = Vec::new();
        for member in members {
            let Some(record) = self.records.get_mut(&member.id) else {
                continue;
            };
            let change = record.advance(&member.outcomes.sums, first_probe_in, now);
            events.extend(change.map(|change| EjectionEvent::new(member, change, rest)));
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
                events.push(EjectionEvent::new(member, record.eject(now), *rest));
            }
        }
        events
    }

    /// Records whether an upstream in full use fails too many calls. Returns whether it has for
    /// so long that it is ejected.
    fn is_suspected_long(&mut self, id: &UpstreamId, is_outlier: bool, now: Instant) -> bool {
        if !is_outlier && !self.records.contains_key(id) {
            return false;
        }
        let record = self.records.entry(id.clone());
        let record = record.or_insert_with(EjectionRecord::new);
        record.is_suspected_long(is_outlier, now)
    }

    /// Whether an upstream is usable and in full use.
    fn is_in_use(&self, member: &ServiceMember) -> bool {
        let record = self.records.get(&member.id);
        member.is_usable && record.is_none_or(|record| record.usage().is_full())
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
                record.on_slow(Slowdown::new(factor.min(SLOWDOWN_MAX)), now);
            }
        }
    }

    /// The engines that are slow according to their outcomes, with their slowdowns.
    pub fn slowdowns(&self, now: Instant) -> impl Iterator<Item = (&UpstreamId, Slowdown)> {
        let records = self.records.iter();
        records.filter_map(move |(id, record)| Some((id, record.slowdown(now)?)))
    }

    /// Whether an upstream may get a call now: it is in full use, or this host may send it a probe.
    pub fn may_send(&self, upstream: &UpstreamId, now: Instant) -> bool {
        let record = self.records.get(upstream);
        record.is_none_or(|record| record.usage().may_send(now))
    }

    /// Records that this host sends a call to an upstream, which is a probe if the upstream is
    /// being probed by `hosts` hosts.
    pub fn on_sent(&mut self, upstream: &UpstreamId, hosts: usize, now: Instant) {
        if let Some(record) = self.records.get_mut(upstream) {
            record.usage_mut().on_sent(probe_spacing(hosts), now);
        }
    }

    /// Whether a call that was sent at `sent_at` is from before the upstream was last ejected.
    pub fn is_from_before_ejection(&self, upstream: &UpstreamId, sent_at: Instant) -> bool {
        let record = self.records.get(upstream);
        record.is_some_and(|record| record.is_from_before_ejection(sent_at))
    }

    /// Records that a call of this host to an upstream has ended.
    pub fn on_outcome(&mut self, upstream: &UpstreamId) {
        if let Some(record) = self.records.get_mut(upstream) {
            record.usage_mut().on_outcome();
        }
    }

    /// Forgets the upstreams that are off the list.
    pub fn retain(&mut self, is_listed: impl Fn(&UpstreamId) -> bool) {
        self.records.retain(|id, _| is_listed(id));
    }
}

/// The time between two probes of an upstream by each of this many hosts.
fn probe_spacing(hosts: usize) -> Duration {
    PROBE_SPACING.saturating_mul(u32::try_from(hosts.max(1)).unwrap_or(u32::MAX))
}

/// The outcomes of a service without the upstreams that may be outliers; zero if these are more
/// than half of the service, which then has a common fault.
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
