//! Reachability and failure rates of upstreams, and when unreachable ones are probed.
//!
//! A dead upstream stays on the platform's list for seconds, and one behind a network partition does
//! not even refuse connections. Without this state every request would try that upstream first and
//! lose time.
//!
//! The host probes an unreachable upstream with a connection of its own and not with a caller's
//! request. Hosts of one failure domain report unreachable upstreams to each other, so that not each
//! host has to lose calls to detect the failure.
//!
//! Outcomes of calls that reached an upstream are added up over all hosts
//! ([`UpstreamOutcomes`]), and decide which upstreams are ejected ([`OutlierEjection`]).

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;

use crate::decide::CallOutcome;
use crate::decide::DomainHealthRecord;
use crate::decide::EjectionEvent;
use crate::decide::FleetOutcomes;
use crate::decide::LoadSource;
use crate::decide::OutcomeReport;
use crate::decide::OutcomeSubject;
use crate::decide::OutlierEjection;
use crate::decide::ServiceMember;
use crate::decide::UpstreamFault;
use crate::decide::UpstreamHealthRecord;
use crate::decide::UpstreamOutcomes;
use crate::units::FailureDomainId;
use crate::units::ServiceId;
use crate::units::Slowdown;
use crate::units::UpstreamId;

/// For this long after a response, reports of other hosts that an upstream or a domain is
/// unreachable are ignored.
pub(crate) const RESPONSE_VALID_FOR: Duration = Duration::from_millis(500);
/// How long a host reports an unreachable upstream or domain to others: the length of several
/// broadcast intervals.
pub(crate) const REPORTED_FOR: Duration = Duration::from_millis(600);

/// The health of upstreams and failure domains, from this host's own connections and from the
/// reports of hosts in its failure domain.
#[derive(Debug, Default)]
pub struct HealthTracker {
    upstreams: IndexMap<UpstreamId, UpstreamHealthRecord>,
    domains: IndexMap<FailureDomainId, DomainHealthRecord>,
    outcomes: UpstreamOutcomes,
    ejection: OutlierEjection,
}

impl HealthTracker {
    /// Counts the outcome of a call of this host.
    pub fn on_outcome(
        &mut self,
        upstream: &UpstreamId,
        service: &ServiceId,
        outcome: CallOutcome,
        now: Instant,
    ) {
        self.outcomes.on_outcome(upstream, service, outcome, now);
        self.ejection.on_outcome(upstream);
    }

    /// Whether a call that was sent at `sent_at` is from before the upstream was last ejected. Its
    /// outcome says nothing about the upstream now.
    pub fn is_from_before_ejection(&self, upstream: &UpstreamId, sent_at: Instant) -> bool {
        self.ejection.is_from_before_ejection(upstream, sent_at)
    }

    /// Records what another host or collector reports of the outcomes of its calls.
    pub fn on_outcome_report(
        &mut self,
        source: LoadSource,
        subject: OutcomeSubject,
        report: OutcomeReport,
        now: Instant,
    ) {
        self.outcomes.on_report(source, subject, report, now);
    }

    /// The outcomes of this host's own calls, for reports to other hosts.
    pub fn outcome_reports(&self, now: Instant) -> Vec<(OutcomeSubject, OutcomeReport)> {
        self.outcomes.reports(now)
    }

    /// Records that this host sends a call to an upstream, which is a probe if the upstream is
    /// being probed by `hosts` hosts.
    pub fn on_sent(&mut self, upstream: &UpstreamId, hosts: usize, now: Instant) {
        self.ejection.on_sent(upstream, hosts, now);
    }

    /// Compares the upstreams of a service by the outcomes of all hosts, and ejects, probes and
    /// reinstates them. Returns what has changed. `draw` is a random number from 0 to 1.
    pub fn evaluate_outcomes(
        &mut self,
        service: &ServiceId,
        upstreams: &[(UpstreamId, FailureDomainId)],
        hosts: usize,
        draw: f64,
        now: Instant,
    ) -> Vec<EjectionEvent> {
        let members = upstreams.iter().map(|(id, domain)| ServiceMember {
            id: id.clone(),
            outcomes: self.outcomes.of_upstream(id, now),
            is_usable: !self.is_unreachable(id, domain),
        });
        let members: Vec<ServiceMember> = members.collect();
        let sums = self.outcomes.of_service(service, now).sums;
        self.ejection.evaluate(&members, &sums, hosts, draw, now)
    }

    /// The outcomes of an upstream's recent calls over all hosts.
    pub fn outcomes(&self, upstream: &UpstreamId, now: Instant) -> FleetOutcomes {
        self.outcomes.of_upstream(upstream, now)
    }

    /// The mean service time of an instance over all hosts; none if too few calls are known.
    pub fn service_time(&self, upstream: &UpstreamId, now: Instant) -> Option<Duration> {
        self.outcomes.service_time(upstream, now)
    }

    /// The engines that are slow according to the outcomes of calls.
    pub fn learned_slowdowns(&self, now: Instant) -> impl Iterator<Item = (&UpstreamId, Slowdown)> {
        self.ejection.slowdowns(now)
    }

    /// Records a fault of an upstream, which raises the failure rate and may start a pause. If a
    /// connection failed, the upstream counts as unreachable; after several connection timeouts its domain
    /// does.
    pub fn on_fault(
        &mut self,
        upstream: &UpstreamId,
        domain: &FailureDomainId,
        fault: UpstreamFault,
        now: Instant,
    ) {
        self.record(upstream, domain).on_fault(fault, now);
        if fault == UpstreamFault::ConnectTimeout {
            self.domains
                .entry(domain.clone())
                .or_default()
                .on_timeout(now);
        }
    }

    /// Records that an upstream responded. The upstream and its domain count as reachable again.
    pub fn on_response(&mut self, upstream: &UpstreamId, domain: &FailureDomainId, now: Instant) {
        self.record(upstream, domain).on_response(now);
        self.on_domain_reached(domain, now);
    }

    /// Records that a connection to an upstream was established. The upstream and its domain count
    /// as reachable again; the failure rate stays.
    pub fn on_connected(&mut self, upstream: &UpstreamId, now: Instant) {
        let Some(record) = self.upstreams.get_mut(upstream) else {
            return;
        };
        record.on_reached();
        let domain = record.domain.clone();
        self.on_domain_reached(&domain, now);
    }

    /// Records the report of a host of the same failure domain that an upstream is unreachable. The
    /// report is ignored if the upstream has responded to this host recently. Returns whether the
    /// upstream counts as unreachable because of this report.
    pub fn on_unreachable_report(
        &mut self,
        upstream: &UpstreamId,
        domain: &FailureDomainId,
        now: Instant,
    ) -> bool {
        self.record(upstream, domain).on_unreachable_report(now)
    }

    /// When the upstream was last unreachable or broke a connection, as far as this host knows;
    /// none if that never happened. The time is kept after the upstream is reached again.
    pub fn lost_at(&self, upstream: &UpstreamId) -> Option<Instant> {
        self.upstreams.get(upstream)?.lost_at()
    }

    /// Records the report of a host of the same failure domain that another domain is unreachable.
    /// The report is ignored if the domain has responded to this host recently. Returns whether the
    /// domain counts as unreachable because of this report.
    pub fn on_unreachable_domain_report(&mut self, domain: &FailureDomainId, now: Instant) -> bool {
        let domain_record = self.domains.entry(domain.clone()).or_default();
        domain_record.on_unreachable_report(now)
    }

    /// The upstreams that this host itself recently failed to connect to, for reports to other
    /// hosts.
    pub fn unreachable_upstreams(&self, now: Instant) -> impl Iterator<Item = &UpstreamId> {
        let reported = self.upstreams.iter();
        let reported = reported.filter(move |(_, record)| record.is_reported(now));
        reported.map(|(id, _)| id)
    }

    /// The failure domains that this host itself recently found unreachable, for reports to other
    /// hosts.
    pub fn unreachable_domains(&self, now: Instant) -> impl Iterator<Item = &FailureDomainId> {
        let reported = self.domains.iter();
        let reported = reported.filter(move |(_, domain_record)| domain_record.is_reported(now));
        reported.map(|(domain, _)| domain)
    }

    /// Returns the upstreams to probe now and starts their next pause, so that each is returned
    /// once per pause. Of an unreachable domain only one upstream is returned.
    pub fn take_due_probes(&mut self, now: Instant) -> Vec<UpstreamId> {
        let domains = &mut self.domains;
        let mut due: Vec<UpstreamId> = Vec::new();
        for (domain, domain_record) in domains.iter_mut() {
            if domain_record.probe_at().is_some_and(|at| at <= now) {
                domain_record.on_probe(now);
                // One upstream is probed for the whole domain, a different one each time, since a
                // single upstream may be dead.
                let of_domain = self.upstreams.iter();
                let of_domain = of_domain.filter(|(_, record)| record.domain == *domain);
                let least_recent = of_domain.min_by_key(|(_, record)| record.paused_until());
                due.extend(least_recent.map(|(id, _)| id.clone()));
            }
        }
        let is_domain_unreachable = |record: &UpstreamHealthRecord| {
            domains
                .get(&record.domain)
                .is_some_and(DomainHealthRecord::is_unreachable)
        };
        let single = self.upstreams.iter().filter(|(_, record)| {
            record.is_unreachable() && !record.is_paused(now) && !is_domain_unreachable(record)
        });
        due.extend(single.map(|(id, _)| id.clone()));
        for id in &due {
            if let Some(record) = self.upstreams.get_mut(id) {
                record.on_probe(now);
            }
        }
        due
    }

    /// When the next probe is due; none if all upstreams are reachable.
    pub fn next_probe_at(&self) -> Option<Instant> {
        let domains = self
            .domains
            .values()
            .filter_map(DomainHealthRecord::probe_at);
        let upstreams = self.upstreams.values().filter(|record| {
            record.is_unreachable() && !self.is_domain_unreachable(&record.domain)
        });
        domains
            .chain(upstreams.filter_map(UpstreamHealthRecord::paused_until))
            .min()
    }

    /// Whether the upstream may receive requests at `now`: it is reachable, not paused and not
    /// ejected, and its domain is reachable.
    pub fn is_usable(&self, upstream: &UpstreamId, domain: &FailureDomainId, now: Instant) -> bool {
        let record = self.upstreams.get(upstream);
        let is_suspended =
            record.is_some_and(|record| record.is_unreachable() || record.is_paused(now));
        !is_suspended
            && !self.is_domain_unreachable(domain)
            && self.ejection.may_send(upstream, now)
    }

    /// Whether the last connection to the upstream, or to its domain, failed.
    fn is_unreachable(&self, upstream: &UpstreamId, domain: &FailureDomainId) -> bool {
        let record = self.upstreams.get(upstream);
        record.is_some_and(UpstreamHealthRecord::is_unreachable)
            || self.is_domain_unreachable(domain)
    }

    fn is_domain_unreachable(&self, domain: &FailureDomainId) -> bool {
        let domain_record = self.domains.get(domain);
        domain_record.is_some_and(DomainHealthRecord::is_unreachable)
    }

    /// Whether connections to the upstream are expected to succeed at `now`.
    pub fn is_reachable(
        &self,
        upstream: &UpstreamId,
        domain: &FailureDomainId,
        now: Instant,
    ) -> bool {
        let record = self.upstreams.get(upstream);
        let is_unreachable =
            record.is_some_and(|record| record.is_unreachable() && record.is_paused(now));
        !is_unreachable && !self.is_domain_unreachable(domain)
    }

    /// Whether the upstream's failure rate is so high that other upstreams are preferred.
    pub fn is_failing(&self, upstream: &UpstreamId) -> bool {
        let record = self.upstreams.get(upstream);
        record.is_some_and(UpstreamHealthRecord::is_failing)
    }

    /// Drops the state of upstreams that are off the list, and of failure domains with no upstream
    /// left.
    pub fn retain(&mut self, is_listed: impl Fn(&UpstreamId) -> bool) {
        self.upstreams.retain(|id, _| is_listed(id));
        self.outcomes.retain(&is_listed);
        self.ejection.retain(&is_listed);
        let upstreams = &self.upstreams;
        self.domains
            .retain(|domain, _| upstreams.values().any(|record| record.domain == *domain));
    }

    /// Marks a failure domain as reachable.
    fn on_domain_reached(&mut self, domain: &FailureDomainId, now: Instant) {
        let domain_record = self.domains.entry(domain.clone()).or_default();
        domain_record.on_reached(now);
    }

    /// The record of an upstream, created if there is none yet.
    fn record(
        &mut self,
        upstream: &UpstreamId,
        domain: &FailureDomainId,
    ) -> &mut UpstreamHealthRecord {
        let new = || UpstreamHealthRecord::new(domain);
        self.upstreams.entry(upstream.clone()).or_insert_with(new)
    }
}

/// Whether `at` is less than `within` before `now`; false if there is no such time.
pub(crate) fn is_within(at: Option<Instant>, within: Duration, now: Instant) -> bool {
    at.is_some_and(|at| now.saturating_duration_since(at) < within)
}
