//! Checks that requests that crash engines stop reaching engines, and that others are served.

use std::time::Duration;

use crate::call::CallClass;
use crate::checks::Violation;
use crate::crashing_request::CrashCause;
use crate::history::CallerAttempt;
use crate::history::CallerOutcome;
use crate::history::Observations;
use crate::history::Timestamp;

/// The number of crashes after which requests with a part that crashes engines must stop.
const PART_CRASHES_MAX: usize = 5;
/// The same for the repeats of one request.
const REPEAT_CRASHES_MAX: usize = 3;
/// How long after the last of these crashes they may still arrive, and how long a host must have been
/// undisturbed.
const STABILITY_TIME: Duration = Duration::from_secs(3);
/// The number of such requests that may arrive later.
const ARRIVALS_MAX: usize = 3;
/// Number of attempts below which the served shares are not compared.
const ATTEMPTS_MIN: usize = 20;

/// Returns the violations by requests that crash engines and by others.
pub(crate) fn check(observations: &Observations) -> Vec<Violation> {
    let crashes = &observations.part_crashes;
    let by_part = check_stop(
        observations,
        CrashCause::Part,
        nth_time(crashes, PART_CRASHES_MAX),
    );
    let by_repeat = check_stop(
        observations,
        CrashCause::Repeat,
        nth_time(&observations.repeat_crashes, REPEAT_CRASHES_MAX),
    );
    let lost = check_others(observations);
    by_part.into_iter().chain(by_repeat).chain(lost).collect()
}

/// The time of the crash with this number, counted from 1; none if there were fewer.
fn nth_time(crashes: &[Timestamp], number: usize) -> Option<Timestamp> {
    let mut crashes = crashes.to_vec();
    crashes.sort();
    crashes.get(number - 1).copied()
}

/// The violation by requests that reach engines long after this crash, by which they must be known.
fn check_stop(
    observations: &Observations,
    cause: CrashCause,
    known_at: Option<Timestamp>,
) -> Option<Violation> {
    let known_at = known_at?;
    let late = late_arrivals(observations, cause, known_at + STABILITY_TIME);
    (late.len() > ARRIVALS_MAX).then(|| Violation {
        guarantee: match cause {
            CrashCause::Part => "requests with a part that crashes engines stop reaching them",
            CrashCause::Repeat => "repeats of a request that crashes engines stop reaching them",
        },
        details: format!("{} arrivals, known at {known_at:?}: {late:?}", late.len()),
    })
}

/// The violation by sound requests that are not served.
fn check_others(observations: &Observations) -> Option<Violation> {
    let first_at = nth_time(&observations.part_crashes, 1)?;
    let known_at = nth_time(&observations.part_crashes, PART_CRASHES_MAX)?;
    let from = known_at + 2 * STABILITY_TIME;
    let before = served(observations, |sent_at| sent_at < first_at);
    let after = served(observations, |sent_at| sent_at >= from);
    let is_comparable = before.1 >= ATTEMPTS_MIN && after.1 >= ATTEMPTS_MIN;
    let is_lost = is_comparable && after.0 * 2 * before.1 < before.0 * after.1;
    is_lost.then(|| Violation {
        guarantee: "requests without a part that crashes engines are served",
        details: format!("{before:?} before the first crash, {after:?} from {from:?} on"),
    })
}

/// The arrivals of requests that crash engines for this cause, from this time on, of which the host
/// was undisturbed.
fn late_arrivals(
    observations: &Observations,
    cause: CrashCause,
    from: Timestamp,
) -> Vec<(String, Timestamp)> {
    let crashing = observations.runs.iter();
    let crashing = crashing.filter(|(request, _)| CrashCause::of(request) == Some(cause));
    let arrivals = crashing.flat_map(|(request, runs)| runs.iter().map(move |run| (request, run)));
    let late = arrivals.filter(|(request, run)| {
        let attempt = observations.attempts.get(*request);
        let is_disturbed = |host| {
            let since = run.arrived_at.saturating_sub(STABILITY_TIME);
            observations.is_process_disturbed(host, since, run.arrived_at)
        };
        run.arrived_at >= from && attempt.is_some_and(|attempt| !is_disturbed(attempt.host))
    });
    late.map(|(request, run)| (request.clone(), run.arrived_at))
        .collect()
}

/// The served and all attempts with short prompts without the part, at hosts that were undisturbed.
fn served(observations: &Observations, is_counted: impl Fn(Timestamp) -> bool) -> (usize, usize) {
    let attempts = observations.attempts.iter().filter(|(request, attempt)| {
        let since = attempt.sent_at.saturating_sub(STABILITY_TIME);
        attempt.class == CallClass::ShortPrompt
            && CrashCause::of(request).is_none()
            && is_counted(attempt.sent_at)
            && attempt.is_owed()
            && !observations.is_process_disturbed(attempt.host, since, attempt.ended_at)
    });
    let attempts: Vec<&CallerAttempt> = attempts.map(|(_, attempt)| attempt).collect();
    let is_served =
        |attempt: &&&CallerAttempt| matches!(attempt.outcome, CallerOutcome::Success { .. });
    (attempts.iter().filter(is_served).count(), attempts.len())
}
