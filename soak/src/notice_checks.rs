//! Checks that upstreams that say that they leave, or that want no requests for a time, get none.

use std::time::Duration;

use indexmap::IndexMap;

use crate::checks::Violation;
use crate::history::CallerOutcome;
use crate::history::Observations;
use crate::history::Timestamp;

/// Time after a host has passed on a response that says that the upstream leaves until requests
/// from its callers must no longer reach the upstream.
const LEAVING_REACTION_TIME: Duration = Duration::from_secs(2);
/// Time after a refusal until its backoff must be in force at the host.
const BACKOFF_REACTION_TIME: Duration = Duration::from_millis(500);
/// Number of requests that may reach an upstream from one host during a backoff.
const BACKOFF_REQUESTS_MAX: usize = 2;

/// A request that reached an upstream, whether it ran or was refused.
struct Arrival {
    request: String,
    /// When the caller started the attempt.
    sent_at: Timestamp,
    /// When the caller had the response; none if it got none that an upstream had sent.
    passed_on_at: Option<Timestamp>,
    arrived_at: Timestamp,
    /// When the request was refused; for a run when it arrived.
    refused_at: Timestamp,
    says_leaving: bool,
    /// The backoff of a refusal; none if the upstream wants none.
    backoff: Option<Duration>,
}

/// The arrivals by host and upstream.
type Arrivals = IndexMap<(usize, String), Vec<Arrival>>;

/// Returns the upstreams that got requests from hosts that had to know that the upstream wanted
/// none.
pub(crate) fn check(observations: &Observations) -> Vec<Violation> {
    let arrivals = arrivals(observations);
    let by_pair = arrivals.iter().flat_map(|((host, upstream), arrivals)| {
        let leaving = check_leaving(observations, *host, upstream, arrivals);
        let backoff = check_backoff(observations, *host, upstream, arrivals);
        leaving.into_iter().chain(backoff)
    });
    by_pair.collect()
}

fn arrivals(observations: &Observations) -> Arrivals {
    let mut arrivals = Arrivals::new();
    for (request, runs) in &observations.runs {
        let Some(attempt) = observations.attempts.get(request) else {
            continue;
        };
        for run in runs {
            let was_passed_on = matches!(
                &attempt.outcome,
                CallerOutcome::Success { signature, .. }
                    | CallerOutcome::Failure(_, Some(signature)) if *signature == run.upstream
            );
            let key = (attempt.host, run.upstream.clone());
            arrivals.entry(key).or_default().push(Arrival {
                request: request.clone(),
                sent_at: attempt.sent_at,
                passed_on_at: was_passed_on.then_some(attempt.ended_at),
                arrived_at: run.arrived_at,
                refused_at: run.arrived_at,
                says_leaving: run.says_leaving,
                backoff: None,
            });
        }
    }
    for (request, refusals) in &observations.refusals {
        let Some(attempt) = observations.attempts.get(request) else {
            continue;
        };
        for refusal in refusals {
            let key = (attempt.host, refusal.upstream.clone());
            arrivals.entry(key).or_default().push(Arrival {
                request: request.clone(),
                sent_at: attempt.sent_at,
                passed_on_at: None,
                arrived_at: refusal.arrived_at,
                refused_at: refusal.refused_at,
                says_leaving: false,
                backoff: refusal.backoff,
            });
        }
    }
    arrivals
}

/// Returns a violation if a request was sent to the host too long after it had passed on a response
/// that says that the upstream leaves, and reached the upstream. A host that was restarted or
/// paused since then may have forgotten or missed it.
fn check_leaving(
    observations: &Observations,
    host: usize,
    upstream: &str,
    arrivals: &[Arrival],
) -> Option<Violation> {
    let said = arrivals.iter().filter(|arrival| arrival.says_leaving);
    let passed_on_at = said.filter_map(|arrival| arrival.passed_on_at).min()?;
    let is_late = |arrival: &&Arrival| {
        arrival.sent_at > passed_on_at + LEAVING_REACTION_TIME
            && !observations.is_process_disturbed(host, passed_on_at, arrival.arrived_at)
    };
    let late = arrivals.iter().find(is_late)?;
    Some(Violation {
        guarantee: "an upstream that says that it leaves gets no new requests",
        details: format!(
            "{} at {upstream} from host {host} at {:?}, passed on at {passed_on_at:?}",
            late.request, late.arrived_at
        ),
    })
}

/// Returns a violation if too many requests reached the upstream during a backoff. A host that was
/// disturbed meanwhile may have missed the refusal.
fn check_backoff(
    observations: &Observations,
    host: usize,
    upstream: &str,
    arrivals: &[Arrival],
) -> Option<Violation> {
    arrivals.iter().find_map(|refusal| {
        let backoff = refusal.backoff?;
        let from = refusal.refused_at + BACKOFF_REACTION_TIME;
        let to = refusal.refused_at + backoff;
        let is_within = |arrival: &&Arrival| arrival.arrived_at > from && arrival.arrived_at < to;
        let count = arrivals.iter().filter(is_within).count();
        let is_broken = count > BACKOFF_REQUESTS_MAX
            && !observations.is_host_disturbed(host, refusal.refused_at, to);
        is_broken.then(|| Violation {
            guarantee: "an upstream gets no requests while it wants none",
            details: format!(
                "{count} at {upstream} from host {host} in {backoff:?} after {:?}",
                refusal.refused_at
            ),
        })
    })
}
