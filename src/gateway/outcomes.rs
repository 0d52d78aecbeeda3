//! The outcomes of calls: where they are counted, reported to other hosts and evaluated.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;
use tokio::time::sleep;

use crate::decide::CallOutcome;
use crate::decide::EjectionChange;
use crate::decide::EjectionEvent;
use crate::decide::LoadSource;
use crate::decide::OutcomeReport;
use crate::decide::OutcomeSubject;
use crate::decide::OutcomeSums;
use crate::decide::ServiceTimes;
use crate::exchange::UpstreamHash;
use crate::exchange::UpstreamOutcomeEntry;
use crate::gateway::DecisionEvent;
use crate::gateway::Gateway;
use crate::gateway::ListedUpstream;
use crate::units::FailureDomainId;
use crate::units::ServiceHash;
use crate::units::ServiceId;
use crate::units::Slowdown;
use crate::units::UpstreamId;
use crate::units::whole_micros;
use crate::units::whole_millis;

/// The interval at which the upstreams of each service are compared.
const EVALUATION_INTERVAL: Duration = Duration::from_millis(250);

/// Compares the upstreams of each service for as long as the process runs.
pub(crate) async fn evaluate_outcomes(gateway: Arc<Gateway>) {
    loop {
        sleep(EVALUATION_INTERVAL).await;
        gateway.evaluate_outcomes();
    }
}

impl Gateway {
    /// Counts the outcome of a call that this host sent at `sent_at`, unless the upstream was ejected
    /// since then.
    pub(crate) fn record_outcome(
        &self,
        upstream: &ListedUpstream,
        outcome: CallOutcome,
        sent_at: Instant,
    ) {
        let now = self.clock.now();
        let mut health = self.health();
        if health.is_from_before_ejection(&upstream.id, sent_at) {
            return;
        }
        health.on_outcome(&upstream.id, &upstream.service, outcome, now);
    }

    /// Applies the outcomes that another host or collector reports.
    pub(crate) fn apply_outcomes(
        &self,
        source: &LoadSource,
        outcomes: &[UpstreamOutcomeEntry],
        now: Instant,
    ) {
        if outcomes.is_empty() {
            return;
        }
        let by_hash = self.platform_view.upstreams_by_hash();
        let services = self.services_by_hash();
        let mut health = self.health();
        for entry in outcomes {
            let hash = entry.upstream_hash;
            let subject = if entry.is_service {
                let service = services.get(&ServiceHash(hash));
                service.cloned().map(OutcomeSubject::Service)
            } else {
                let upstream = by_hash.get(&UpstreamHash(hash));
                upstream.cloned().map(OutcomeSubject::Upstream)
            };
            if let Some(subject) = subject {
                health.on_outcome_report(source.clone(), subject, decode_outcome(entry), now);
            }
        }
    }

    /// The services that have upstreams, by the hashes of their names.
    fn services_by_hash(&self) -> IndexMap<ServiceHash, ServiceId> {
        let upstreams = self.platform_view.upstreams();
        let services = upstreams.iter().flat_map(|by_service| by_service.keys());
        services
            .map(|id| (ServiceHash::from(id), id.clone()))
            .collect()
    }

    /// Compares the upstreams of each service, logs what has changed, and applies the slowdowns
    /// that were learned.
    fn evaluate_outcomes(&self) {
        let Some(by_service) = self.platform_view.upstreams() else {
            return;
        };
        let now = self.clock.now();
        let hosts = self.probing_hosts();
        let mut health = self.health();
        let mut events = Vec::new();
        for (service, listed) in by_service.iter() {
            let upstreams = listed.iter().map(|u| (u.id.clone(), u.domain.clone()));
            let upstreams: Vec<(UpstreamId, FailureDomainId)> = upstreams.collect();
            let draw = rand::random_range(0.0..1.0);
            events.extend(health.evaluate_outcomes(service, &upstreams, hosts, draw, now));
        }
        let learned = health.learned_slowdowns(now);
        let learned: IndexMap<UpstreamId, Slowdown> = learned
            .map(|(id, slowdown)| (id.clone(), slowdown))
            .collect();
        drop(health);
        self.slowdowns.set_learned(learned);
        for event in &events {
            self.log_ejection(event);
        }
    }

    /// The number of hosts that send probes to an upstream that is reinstated.
    pub(crate) fn probing_hosts(&self) -> usize {
        self.platform_view.sharing_hosts().unwrap_or(1)
    }

    fn log_ejection(&self, event: &EjectionEvent) {
        let (pause, ejections) = match event.change {
            EjectionChange::Ejected { pause, ejections } => (pause, ejections),
            EjectionChange::Probed | EjectionChange::Reinstated => (Duration::ZERO, 0),
        };
        self.metrics.record_ejection(event.change.name());
        self.log.record(DecisionEvent::UpstreamEjection {
            upstream: event.upstream.to_string(),
            change: event.change.name().into(),
            calls: event.outcomes.sums.calls,
            failures: event.outcomes.sums.failures,
            rest_calls: event.rest.calls,
            rest_failures: event.rest.failures,
            hosts_heard: event.outcomes.sources,
            pause_ms: whole_millis(pause),
            ejections,
        });
    }
}

/// The entry of an update for the outcomes of one upstream or service.
pub(crate) fn outcome_entry(
    (subject, report): &(OutcomeSubject, OutcomeReport),
) -> UpstreamOutcomeEntry {
    let (hash, is_service) = match subject {
        OutcomeSubject::Upstream(upstream) => (UpstreamHash::from(upstream).0, false),
        OutcomeSubject::Service(service) => (ServiceHash::from(service).0, true),
    };
    UpstreamOutcomeEntry {
        upstream_hash: hash,
        is_service,
        calls: report.sums.calls,
        failures: report.sums.failures,
        refusals: report.sums.refusals,
        timed_calls: report.sums.timed_calls,
        forecast_us: whole_micros(report.sums.forecast),
        taken_us: whole_micros(report.sums.taken),
        service_calls: report.times.calls,
        service_time_us: whole_micros(report.times.total),
    }
}

fn decode_outcome(entry: &UpstreamOutcomeEntry) -> OutcomeReport {
    OutcomeReport {
        sums: OutcomeSums {
            calls: entry.calls,
            failures: entry.failures,
            refusals: entry.refusals,
            timed_calls: entry.timed_calls,
            forecast: Duration::from_micros(entry.forecast_us),
            taken: Duration::from_micros(entry.taken_us),
        },
        times: ServiceTimes {
            calls: entry.service_calls,
            total: Duration::from_micros(entry.service_time_us),
        },
    }
}
