//! Checks that customers at their usual load are served while another one floods the deployment.

use indexmap::IndexSet;

use crate::checks::SETTLING_TIME;
use crate::checks::Violation;
use crate::history::CallerAttempt;
use crate::history::CallerOutcome;
use crate::history::FaultRecord;
use crate::history::FaultScope;
use crate::history::Observations;
use crate::history::StoreChange;

/// The share of the attempts of customers at their usual load that must be served, in percent.
const SERVED_MIN_PERCENT: usize = 95;
/// The share of these attempts that must be served on time, in percent.
const ON_TIME_MIN_PERCENT: usize = 80;
/// Number of attempts below which the shares are not checked.
const ATTEMPTS_MIN: usize = 40;

/// Attempts that were served, those on time among them, and all attempts.
#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    served: usize,
    on_time: usize,
    all: usize,
}

impl Counts {
    /// Counts attempts. Those that were abandoned or had a revoked key are left out.
    fn of<'a>(attempts: impl Iterator<Item = &'a CallerAttempt>) -> Self {
        let mut counts = Self::default();
        for attempt in attempts.filter(|attempt| attempt.is_owed()) {
            if let CallerOutcome::Success { .. } = &attempt.outcome {
                let first_data_after = attempt.first_data_after;
                let is_on_time =
                    first_data_after.is_some_and(|after| after <= attempt.class.objective());
                counts.served += 1;
                counts.on_time += usize::from(is_on_time);
            }
            counts.all += 1;
        }
        counts
    }

    /// Whether there are enough attempts, of which enough were served and on time.
    fn is_isolated(self) -> bool {
        self.served * 100 >= self.all * SERVED_MIN_PERCENT
            && self.on_time * 100 >= self.all * ON_TIME_MIN_PERCENT
    }
}

/// Returns a violation for each flood during which the other customers were served too rarely or too
/// late.
pub(crate) fn check(observations: &Observations) -> Vec<Violation> {
    let floods = observations.faults.iter();
    let floods = floods.filter_map(|fault| match fault.scope {
        FaultScope::Flood(customer) => Some((fault, customer)),
        _ => None,
    });
    let violations =
        floods.filter_map(|(flood, customer)| check_flood(observations, flood, customer));
    violations.collect()
}

fn check_flood(
    observations: &Observations,
    flood: &FaultRecord,
    customer: usize,
) -> Option<Violation> {
    if !is_comparable(observations, flood) {
        return None;
    }
    let key_prefix = format!("key-{customer}-");
    let of_others = |from, to| {
        let attempts = observations.attempts.values();
        Counts::of(attempts.filter(|attempt| {
            !attempt.key.starts_with(&key_prefix) && attempt.sent_at >= from && attempt.sent_at < to
        }))
    };
    // What the customers lose is due to the flood only if they were served before it.
    let before = of_others(flood.from.saturating_sub(SETTLING_TIME), flood.from);
    let during = of_others(flood.from, flood.to);
    let is_counted =
        before.all >= ATTEMPTS_MIN && during.all >= ATTEMPTS_MIN && before.is_isolated();
    (is_counted && !during.is_isolated()).then(|| Violation {
        guarantee: "customers at their usual load are served whatever another one sends",
        details: format!("{flood:?}: the others before {before:?}, meanwhile {during:?}"),
    })
}

/// Whether enough upstreams were left for the other customers: during a flood and shortly before, at
/// most one in three upstreams of the smallest service was disturbed, and nothing else was.
fn is_comparable(observations: &Observations, flood: &FaultRecord) -> bool {
    let from = flood.from.saturating_sub(SETTLING_TIME);
    let mut disturbed_upstreams = 0;
    for fault in &observations.faults {
        if std::ptr::eq(fault, flood) || !fault.overlaps(from, flood.to) {
            continue;
        }
        if fault.scope != FaultScope::Upstream {
            return false;
        }
        disturbed_upstreams += 1;
    }
    let mut changes = observations.changes.iter();
    let is_evacuated = changes.any(|(_, change)| matches!(change, StoreChange::DomainEvacuated(_)));
    !is_evacuated && disturbed_upstreams * 3 <= smallest_service(observations)
}

/// The number of upstreams that have run requests of the service with the fewest; 0 if none has.
fn smallest_service(observations: &Observations) -> usize {
    let runs = observations.runs.values().flatten();
    let upstreams: IndexSet<(&str, &str)> = runs
        .map(|run| (run.service.as_str(), run.upstream.as_str()))
        .collect();
    let services: IndexSet<&str> = upstreams.iter().map(|(service, _)| *service).collect();
    let sizes = services
        .iter()
        .map(|service| upstreams.iter().filter(|(of, _)| of == service).count());
    sizes.min().unwrap_or(0)
}
