//! Tests of the checks on parts of prompts that crash engines, on constructed observations.

use std::time::Duration;

use indexmap::IndexMap;
use soak::call;
use soak::call::CallClass;
use soak::checks::GuaranteeSet;
use soak::checks::check;
use soak::history::CallerAttempt;
use soak::history::CallerOutcome;
use soak::history::FaultRecord;
use soak::history::FaultScope;
use soak::history::Observations;
use soak::history::UpstreamRun;
use yare::parameterized;

const STOPS: &str = "requests with a part that crashes engines stop reaching them";
const REPEATS_STOP: &str = "repeats of a request that crashes engines stop reaching them";
const SERVED: &str = "requests without a part that crashes engines are served";

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn attempt(sent_ms: u64, is_served: bool) -> CallerAttempt {
    CallerAttempt {
        class: CallClass::ShortPrompt,
        host: 0,
        key: "key-1-0".to_owned(),
        deadline: CallClass::ShortPrompt.timeout(),
        sent_at: at(sent_ms),
        first_data_after: is_served.then(|| at(50)),
        ended_at: at(sent_ms + 60),
        outcome: if is_served {
            CallerOutcome::Success {
                signature: "u001".to_owned(),
                body: Vec::new(),
            }
        } else {
            CallerOutcome::Failure(503, None)
        },
    }
}

fn run(arrived_ms: u64) -> UpstreamRun {
    UpstreamRun {
        upstream: "u001".to_owned(),
        domain: 0,
        service: call::ENGINE_SERVICE.to_owned(),
        arrived_at: at(arrived_ms),
        deadline: None,
        customer: None,
        is_unchanged: true,
        has_key: false,
        advertised_limit_per_s: None,
        says_leaving: false,
        is_sound: true,
    }
}

/// This number of crashes from second 10 on, one each 100 ms.
fn crash_times(crashes: u64) -> Vec<Duration> {
    (0..crashes).map(|crash| at(10_000 + crash * 100)).collect()
}

/// Arrivals of requests whose ids begin so, one each millisecond.
fn arrivals_of(prefix: &str, arrivals: u64, arrived_ms: u64) -> Observations {
    let mut observations = Observations::default();
    for arrival in 0..arrivals {
        let request = format!("{prefix}-{arrival}");
        let arrived_ms = arrived_ms + arrival;
        let runs = vec![run(arrived_ms)];
        observations.runs.insert(request.clone(), runs);
        observations
            .attempts
            .insert(request, attempt(arrived_ms, false));
    }
    observations
}

/// Whether a guarantee is violated after crashes from second 10 on, one each 100 ms.
fn is_violated(guarantee: &str, crashes: u64, mut observations: Observations) -> bool {
    observations.part_crashes = IndexMap::from([(0, crash_times(crashes))]);
    let violations = check(&observations, GuaranteeSet::All, at(60_000));
    violations
        .iter()
        .any(|violation| violation.guarantee == guarantee)
}

/// Guards against a check that never finds requests which go on crashing engines, or that counts
/// those of hosts that have just started.
#[parameterized(
    four_later = { 5, 4, 13_500, None, true },
    three_later = { 5, 3, 13_500, None, false },
    four_too_early = { 5, 4, 13_200, None, false },
    four_crashes = { 4, 4, 13_500, None, false },
    host_restarted = { 5, 4, 13_500, Some(11_000), false },
    host_restarted_long_ago = { 5, 4, 13_500, Some(9_000), true },
)]
fn requests_that_go_on_crashing_engines_are_found(
    crashes: u64,
    arrivals: u64,
    arrived_ms: u64,
    restarted_ms: Option<u64>,
    expected: bool,
) {
    let mut observations = arrivals_of("crash", arrivals, arrived_ms);
    let restarts = restarted_ms.map(|ms| FaultRecord {
        from: at(ms),
        to: at(ms),
        scope: FaultScope::Processes(vec![0]),
    });
    observations.faults.extend(restarts);
    assert_eq!(is_violated(STOPS, crashes, observations), expected);
}

/// Guards against a check that never finds a request which goes on crashing engines, or that counts the
/// repeats by which hosts learn of it.
#[parameterized(
    four_later = { 3, 4, 13_300, true },
    three_later = { 3, 3, 13_300, false },
    four_too_early = { 3, 4, 13_100, false },
    two_crashes = { 2, 4, 13_300, false },
)]
fn repeats_that_go_on_crashing_engines_are_found(
    crashes: u64,
    arrivals: u64,
    arrived_ms: u64,
    expected: bool,
) {
    let observations = Observations {
        repeat_crashes: IndexMap::from([(0, crash_times(crashes))]),
        ..arrivals_of("repeat", arrivals, arrived_ms)
    };
    assert_eq!(is_violated(REPEATS_STOP, 0, observations), expected);
}

/// Guards against a check that never finds sound requests which are refused with the others.
#[parameterized(
    half = { 2, false },
    a_third = { 3, true },
)]
fn sound_requests_that_are_refused_are_found(served_of: u64, expected: bool) {
    let mut observations = Observations::default();
    for index in 0..90 {
        let before = attempt(5_000 + index * 10, true);
        observations
            .attempts
            .insert(format!("before-{index}"), before);
        let after = attempt(20_000 + index * 10, index % served_of == 0);
        observations
            .attempts
            .insert(format!("after-{index}"), after);
    }
    assert_eq!(is_violated(SERVED, 5, observations), expected);
}
