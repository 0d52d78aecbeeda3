//! Checks that requests that crash engines stop reaching engines, and that others are served.

use std::time::Duration;

use crate::call::CallClass;
use crate::checks::Violation;
use crate::crashing_request::CrashCause;
use crate::crashing_request::CrashingPart;
use crate::crashing_request::repeated_number;
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
    let by_part = observations.part_crashes.iter();
    let by_part = by_part.filter_map(|(number, crashes)| {
        let known_at = nth_time(crashes, PART_CRASHES_MAX);
        check_stop(observations, Crashing::Part(*number), known_at)
    });
    let by_repeat = observations.repeat_crashes.iter();
    let by_repeat = by_repeat.filter_map(|(number, crashes)| {
        let known_at = nth_time(crashes, REPEAT_CRASHES_MAX);
        check_stop(observations, Crashing::Repeat(*number), known_at)
    });
    let lost = check_others(observations);
    by_part.chain(by_repeat).chain(lost).collect()
}

/// The time of the crash with this number, counted from 1; none if there were fewer.
fn nth_time(crashes: &[Timestamp], number: usize) -> Option<Timestamp> {
    let mut crashes = crashes.to_vec();
    crashes.sort();
    crashes.get(number - 1).copied()
}

/// Requests that crash engines and are counted together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Crashing {
    /// Those with the part of this number.
    Part(u32),
    /// The repeats of the request with this number.
    Repeat(u32),
}

impl Crashing {
    fn contains(self, request: &str) -> bool {
        match self {
            Self::Part(number) => {
                CrashingPart::of(request).is_some_and(|part| part.number == number)
            }
            Self::Repeat(number) => repeated_number(request) == Some(number),
        }
    }
}

/// The violation by requests that reach engines long after this crash, by which they must be known.
fn check_stop(
    observations: &Observations,
    crashing: Crashing,
    known_at: Option<Timestamp>,
) -> Option<Violation> {
    let known_at = known_at?;
    let late = late_arrivals(observations, crashing, known_at + STABILITY_TIME);
    (late.len() > ARRIVALS_MAX).then(|| Violation {
        guarantee: match crashing {
            Crashing::Part(_) => "requests with a part that crashes engines stop reaching them",
            Crashing::Repeat(_) => "repeats of a request that crashes engines stop reaching them",
        },
        details: format!("{} arrivals, known at {known_at:?}: {late:?}", late.len()),
    })
}

/// The violation by sound requests that are not served.
fn check_others(observations: &Observations) -> Option<Violation> {
    let parts = || observations.part_crashes.values();
    let first_at = parts().filter_map(|crashes| nth_time(crashes, 1)).min()?;
    let known = parts().map(|crashes| nth_time(crashes, PART_CRASHES_MAX));
    let known_at = known.flatten().max()?;
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

/// The arrivals of these requests from this time on, of which the host was undisturbed.
fn late_arrivals(
    observations: &Observations,
    crashing: Crashing,
    from: Timestamp,
) -> Vec<(String, Timestamp)> {
    let runs = observations.runs.iter();
    let runs = runs.filter(|(request, _)| crashing.contains(request));
    let arrivals = runs.flat_map(|(request, runs)| runs.iter().map(move |run| (request, run)));
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
