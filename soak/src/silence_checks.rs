//! Checks that a request which an upstream has begun does not end early because upstreams are
//! silent.

use crate::checks::SETTLING_TIME;
use crate::checks::Violation;
use crate::history::CallerAttempt;
use crate::history::CallerOutcome;
use crate::history::Observations;
use crate::history::UpstreamRun;

/// Returns a violation for each request that a host has ended before its deadline although all
/// upstreams that had begun it were sound. No silence and no fault of the store is an excuse.
pub(crate) fn check(observations: &Observations) -> Vec<Violation> {
    let attempts = observations.attempts.iter();
    let ended_early = attempts.filter(|(_, attempt)| is_ended_early(attempt));
    let violations = ended_early.filter_map(|(request, attempt)| {
        let runs = observations.runs.get(request)?;
        let is_begun = !runs.is_empty();
        let is_sound = runs.iter().all(|run| is_sound(observations, attempt, run));
        (is_begun && is_sound && is_undisturbed(observations, attempt)).then(|| Violation {
            guarantee: "the silence of upstreams ends no request before its deadline",
            details: format!("{request} {attempt:?} runs {runs:?}"),
        })
    });
    violations.collect()
}

/// Whether the host has closed the connection or has responded with an error of its own before the
/// deadline and before the timeout of the route.
fn is_ended_early(attempt: &CallerAttempt) -> bool {
    let is_ended_by_host = match &attempt.outcome {
        CallerOutcome::ConnectionBroken(_) => true,
        CallerOutcome::Failure(status, signature) => *status >= 500 && signature.is_none(),
        _ => false,
    };
    let due_after = attempt.deadline.min(attempt.class.timeout());
    is_ended_by_host && attempt.ended_at < attempt.sent_at + due_after
}

/// Whether the upstream of a run breaks no connection and does not fail before the attempt ends.
fn is_sound(observations: &Observations, attempt: &CallerAttempt, run: &UpstreamRun) -> bool {
    let ended_at = observations.upstream_ends.get(&run.upstream);
    run.is_sound && ended_at.is_none_or(|at| *at > attempt.ended_at)
}

/// Whether neither the host nor its links were disturbed from `SETTLING_TIME` before the attempt until
/// its end.
fn is_undisturbed(observations: &Observations, attempt: &CallerAttempt) -> bool {
    let from = attempt.sent_at.saturating_sub(SETTLING_TIME);
    let (host, to) = (attempt.host, attempt.ended_at);
    !observations.is_host_disturbed(host, from, to) && !observations.is_path_cut(host, from, to)
}
