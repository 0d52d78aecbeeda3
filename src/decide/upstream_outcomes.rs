//! The outcomes of the calls of all hosts, by upstream and by service.
//!
//! Each host sees few calls to an upstream. It therefore reports the outcomes of its recent calls
//! as state, not as running totals, and adds up the latest reports of all others: the report of a
//! host that dies expires, and a lost message is replaced by the next.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;

use crate::decide::CallOutcome;
use crate::decide::LoadSource;
use crate::decide::OutcomeSums;
use crate::decide::ServiceTimes;
use crate::decide::sliding_sums::SlidingSums;
use crate::units::ServiceId;
use crate::units::UpstreamId;

/// The window of the sums: long enough for some calls of a fleet, short enough to see a change
/// within a second or two.
const OUTCOME_WINDOW: Duration = Duration::from_secs(2);
const OUTCOME_BUCKETS: u32 = 8;
/// The window of the service times of plain services, which differ from call to call.
const SERVICE_TIME_WINDOW: Duration = Duration::from_secs(10);
const SERVICE_TIME_BUCKETS: u32 = 8;
/// The calls from which a mean service time counts.
const SERVICE_TIME_CALLS_MIN: u32 = 8;
/// How long a report counts: several of the intervals at which it is repeated.
const REPORT_EXPIRY: Duration = Duration::from_secs(1);
/// First events that take longer than forecast by this factor are worth a report.
const REPORTED_PACE_MIN: f64 = 2.0;
/// The largest number of upstreams in one report; the worst are reported.
const REPORTED_UPSTREAMS_MAX: usize = 32;

/// What outcomes are counted for.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum OutcomeSubject {
    /// One upstream.
    Upstream(UpstreamId),
    /// All upstreams of a service together, to compare one upstream with the rest.
    Service(ServiceId),
}

/// The outcomes of one host, or of several together, for one subject.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OutcomeReport {
    /// The sums of the outcome window.
    pub sums: OutcomeSums,
    /// The service times; zero for services and engines.
    pub times: ServiceTimes,
}

impl OutcomeReport {
    /// Whether the upstream fails calls, or is slower than forecast.
    fn is_suspicious(&self) -> bool {
        self.sums.failures > 0 || self.sums.pace() >= REPORTED_PACE_MIN
    }

    /// The order of reports, the worst first.
    fn rank(&self) -> (u32, Duration, Duration) {
        let late = self.sums.taken.saturating_sub(self.sums.forecast);
        (self.sums.failures, late, self.times.total)
    }
}

/// The outcomes of this host's own calls for one subject.
#[derive(Clone, Debug)]
struct OwnOutcomes {
    sums: SlidingSums<OutcomeSums>,
    times: SlidingSums<ServiceTimes>,
}

impl OwnOutcomes {
    fn new() -> Self {
        Self {
            sums: SlidingSums::new(OUTCOME_WINDOW, OUTCOME_BUCKETS),
            times: SlidingSums::new(SERVICE_TIME_WINDOW, SERVICE_TIME_BUCKETS),
        }
    }

    fn report(&self, now: Instant) -> OutcomeReport {
        let sums = self.sums.within_window(now);
        let times = self.times.within_window(now);
        OutcomeReport {
            sums: sums.fold(OutcomeSums::default(), OutcomeSums::plus),
            times: times.fold(ServiceTimes::default(), ServiceTimes::plus),
        }
    }
}

/// The latest report of one source for one subject.
#[derive(Clone, Copy, Debug)]
struct ReceivedReport {
    report: OutcomeReport,
    received_at: Instant,
}

impl ReceivedReport {
    fn is_valid(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.received_at) < REPORT_EXPIRY
    }
}

/// The outcomes for one subject, added up over hosts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FleetOutcomes {
    /// The sums over all hosts that are heard, this one included.
    pub sums: OutcomeSums,
    /// The sources that have reported, hosts or collectors, without this host.
    pub sources: usize,
}

/// The outcomes of the calls of this host and of the hosts that it hears.
#[derive(Clone, Debug, Default)]
pub struct UpstreamOutcomes {
    own: IndexMap<OutcomeSubject, OwnOutcomes>,
    /// The services that this host's own calls to each upstream were for.
    services: IndexMap<UpstreamId, ServiceId>,
    received: IndexMap<OutcomeSubject, IndexMap<LoadSource, ReceivedReport>>,
}

impl UpstreamOutcomes {
    /// Counts the outcome of a call of this host.
    pub fn on_outcome(
        &mut self,
        upstream: &UpstreamId,
        service: &ServiceId,
        outcome: CallOutcome,
        now: Instant,
    ) {
        self.services.insert(upstream.clone(), service.clone());
        let own = self.own_mut(OutcomeSubject::Upstream(upstream.clone()));
        own.sums.current(now).count(outcome);
        if let CallOutcome::Answered(took) = outcome {
            own.times.current(now).count(took);
        }
        let own = self.own_mut(OutcomeSubject::Service(service.clone()));
        own.sums.current(now).count(outcome);
    }

    /// Records the report of another host or collector, which replaces its last one for the same
    /// subject.
    pub fn on_report(
        &mut self,
        source: LoadSource,
        subject: OutcomeSubject,
        report: OutcomeReport,
        now: Instant,
    ) {
        let sources = self.received.entry(subject).or_default();
        sources.retain(|_, received| received.is_valid(now));
        let received_at = now;
        sources.insert(
            source,
            ReceivedReport {
                report,
                received_at,
            },
        );
    }

    /// The outcomes of an upstream's recent calls.
    pub fn of_upstream(&self, upstream: &UpstreamId, now: Instant) -> FleetOutcomes {
        self.fleet_outcomes(&OutcomeSubject::Upstream(upstream.clone()), now)
    }

    /// The outcomes of the recent calls to all upstreams of a service.
    pub fn of_service(&self, service: &ServiceId, now: Instant) -> FleetOutcomes {
        self.fleet_outcomes(&OutcomeSubject::Service(service.clone()), now)
    }

    /// The mean service time of an upstream over all hosts that are heard; none if too few calls
    /// are known.
    pub fn service_time(&self, upstream: &UpstreamId, now: Instant) -> Option<Duration> {
        let subject = OutcomeSubject::Upstream(upstream.clone());
        let received = self.received(&subject, now).map(|report| report.times);
        let own = self.own_report(&subject, now).times;
        let times = received.fold(own, |sum, times| sum.plus(&times));
        times.mean(SERVICE_TIME_CALLS_MIN)
    }

    /// The outcomes of this host's own calls that are worth a report to others, the worst first: of
    /// upstreams that fail calls or are slow here or at another host, or have a service time, and of
    /// the services of these upstreams. Few calls of a host say nothing alone; so the calls that
    /// went well are reported as soon as any host has seen one that did not.
    pub fn reports(&self, now: Instant) -> Vec<(OutcomeSubject, OutcomeReport)> {
        let own = self.services.keys().map(|upstream| {
            let subject = OutcomeSubject::Upstream(upstream.clone());
            let report = self.own_report(&subject, now);
            (subject, report)
        });
        let reported = own.filter(|(subject, report)| {
            let is_heard_of = || {
                self.received(subject, now)
                    .any(OutcomeReport::is_suspicious)
            };
            let has_calls = !report.sums.is_empty() && (report.is_suspicious() || is_heard_of());
            has_calls || report.times.calls > 0
        });
        let mut reports: Vec<(OutcomeSubject, OutcomeReport)> = reported.collect();
        reports.sort_by_key(|(_, report)| std::cmp::Reverse(report.rank()));
        reports.truncate(REPORTED_UPSTREAMS_MAX);
        reports.extend(self.service_reports(now));
        reports
    }

    /// The outcomes of this host's own calls by service, while any upstream is suspicious.
    fn service_reports(&self, now: Instant) -> Vec<(OutcomeSubject, OutcomeReport)> {
        if !self.has_suspicion(now) {
            return Vec::new();
        }
        let is_service = |subject: &&OutcomeSubject| matches!(subject, OutcomeSubject::Service(_));
        let services = self.own.keys().filter(is_service);
        let reports = services.map(|service| (service.clone(), self.own_report(service, now)));
        reports
            .filter(|(_, report)| !report.sums.is_empty())
            .collect()
    }

    /// Whether any host that is heard, or this one, has found an upstream suspicious.
    fn has_suspicion(&self, now: Instant) -> bool {
        let own = self.own.values().any(|own| own.report(now).is_suspicious());
        let mut subjects = self.received.keys();
        own || subjects.any(|subject| {
            self.received(subject, now)
                .any(OutcomeReport::is_suspicious)
        })
    }

    /// Forgets the upstreams that are off the list.
    pub fn retain(&mut self, is_listed: impl Fn(&UpstreamId) -> bool) {
        let is_kept = |subject: &OutcomeSubject| match subject {
            OutcomeSubject::Upstream(upstream) => is_listed(upstream),
            OutcomeSubject::Service(_) => true,
        };
        self.own.retain(|subject, _| is_kept(subject));
        self.received.retain(|subject, _| is_kept(subject));
        self.services.retain(|upstream, _| is_listed(upstream));
    }

    fn fleet_outcomes(&self, subject: &OutcomeSubject, now: Instant) -> FleetOutcomes {
        let mut outcomes = FleetOutcomes {
            sums: self.own_report(subject, now).sums,
            sources: 0,
        };
        for report in self.received(subject, now) {
            outcomes.sums = outcomes.sums.plus(&report.sums);
            outcomes.sources += 1;
        }
        outcomes
    }

    fn own_report(&self, subject: &OutcomeSubject, now: Instant) -> OutcomeReport {
        let own = self.own.get(subject);
        own.map_or_else(OutcomeReport::default, |own| own.report(now))
    }

    /// The valid reports of other hosts.
    fn received(
        &self,
        subject: &OutcomeSubject,
        now: Instant,
    ) -> impl Iterator<Item = &OutcomeReport> {
        let sources = self.received.get(subject).into_iter();
        let received = sources.flat_map(IndexMap::values);
        let valid = received.filter(move |received| received.is_valid(now));
        valid.map(|received| &received.report)
    }

    fn own_mut(&mut self, subject: OutcomeSubject) -> &mut OwnOutcomes {
        self.own.entry(subject).or_insert_with(OwnOutcomes::new)
    }
}
