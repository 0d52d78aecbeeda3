//! Checks that services get no more retries than the bound for all hosts together.

use std::time::Duration;

use banyanarch::decide::RetryBound;
use banyanarch_platform::stand_in::RETRY_BOUND;
use indexmap::IndexMap;

use crate::call::CallClass;
use crate::call::ENGINE_SERVICE;
use crate::call::PLAIN_SERVICES;
use crate::checks::Violation;
use crate::history::Observations;
use crate::history::Timestamp;

/// The services that may receive calls of a class.
fn services(class: CallClass) -> &'static [&'static str] {
    match class {
        CallClass::Idempotent | CallClass::AtMostOnce => &PLAIN_SERVICES[..1],
        CallClass::Moving => &PLAIN_SERVICES,
        CallClass::ShortPrompt | CallClass::LongPrompt => &[ENGINE_SERVICE],
    }
}

/// Returns the services that received too many retries within a window, the first such window each.
/// No fault of hosts, links or the store is an excuse.
pub(crate) fn check(observations: &Observations) -> Vec<Violation> {
    let retries = retries_by_service(observations);
    let bound = observations.retry_bound.unwrap_or(RETRY_BOUND);
    let violations = retries.iter().filter_map(|(service, retries)| {
        let requests = requests_for(observations, service);
        check_service(service, &bound, &requests, retries)
    });
    violations.collect()
}

/// The times at which each service received a request again that had reached it before, whether it
/// ran or was refused, in order.
fn retries_by_service(observations: &Observations) -> IndexMap<String, Vec<Timestamp>> {
    let mut arrivals: IndexMap<(&str, &str), Vec<Timestamp>> = IndexMap::new();
    for (request, runs) in &observations.runs {
        for run in runs {
            let of_request = arrivals.entry((&run.service, request)).or_default();
            of_request.push(run.arrived_at);
        }
    }
    for (request, refusals) in &observations.refusals {
        for refusal in refusals {
            let of_request = arrivals.entry((&refusal.service, request)).or_default();
            of_request.push(refusal.arrived_at);
        }
    }
    let mut retries: IndexMap<String, Vec<Timestamp>> = IndexMap::new();
    for ((service, _), mut times) in arrivals {
        times.sort();
        let of_service = retries.entry(service.to_owned()).or_default();
        of_service.extend(times.into_iter().skip(1));
    }
    for times in retries.values_mut() {
        times.sort();
    }
    retries
}

/// When callers sent requests that the service may have received, in order.
fn requests_for(observations: &Observations, service: &str) -> Vec<Timestamp> {
    let attempts = observations.attempts.values();
    let sent = attempts.filter(|attempt| services(attempt.class).contains(&service));
    let mut times: Vec<Timestamp> = sent.map(|attempt| attempt.sent_at).collect();
    times.sort();
    times
}

fn check_service(
    service: &str,
    bound: &RetryBound,
    requests: &[Timestamp],
    retries: &[Timestamp],
) -> Option<Violation> {
    let window = bound.window;
    retries.iter().find_map(|end| {
        // Requests shortly before the window have earned retries in it.
        let shifts = [Duration::ZERO, window / 2, window];
        let counts = shifts.map(|shift| count_until(requests, end.saturating_sub(shift), window));
        let requests = counts.into_iter().max().unwrap_or_default();
        let retries = count_until(retries, *end, window);
        let allowed = bound.allowance + bound.per_request * requests as f64;
        (retries as f64 > allowed).then(|| Violation {
            guarantee: "a service gets no more retries than all hosts together may send",
            details: format!(
                "{retries} at {service} in the window until {end:?} for {requests} requests, \
                 {allowed} allowed"
            ),
        })
    })
}

/// The number of times within the window that ends at `end`. The times must be sorted.
fn count_until(times: &[Timestamp], end: Timestamp, window: Duration) -> usize {
    let from = end.saturating_sub(window);
    times.partition_point(|at| *at <= end) - times.partition_point(|at| *at <= from)
}
