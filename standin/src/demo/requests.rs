//! Generator of the demo's requests.

use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::caller::CallerRequest;
use crate::caller::RequestKind;

use banyanarch::units::BoundedTime;

/// Duration in seconds for which the counts of `REQUEST_GROUPS` are given.
const REFERENCE_DURATION_S: u64 = 15;
const CUSTOMERS: [&str; 4] = ["film-studio", "ad-agency", "karaoke-app", "radio"];

/// A number of requests of one kind. `prompt_tokens` are the bounds of the prompt lengths.
struct RequestGroup {
    count: u64,
    prompt_tokens: (u64, u64),
    max_tokens: u64,
    timeout_ms: u64,
    kind: RequestKind,
    /// Every n-th request must not run twice; 0 for none.
    run_once_one_in: u64,
}

/// Clause lookups, histories, archives, one archive larger than the memory of an engine, and
/// grants, which must not run twice.
const REQUEST_GROUPS: [RequestGroup; 6] = [
    RequestGroup {
        count: 300,
        prompt_tokens: (1_000, 3_000),
        max_tokens: 48,
        timeout_ms: 10_000,
        kind: RequestKind::Completion,
        run_once_one_in: 10,
    },
    RequestGroup {
        count: 40,
        prompt_tokens: (8_000, 30_000),
        max_tokens: 64,
        timeout_ms: 12_000,
        kind: RequestKind::Chat,
        run_once_one_in: 10,
    },
    RequestGroup {
        count: 8,
        prompt_tokens: (40_000, 90_000),
        max_tokens: 64,
        timeout_ms: 15_000,
        kind: RequestKind::Chat,
        run_once_one_in: 0,
    },
    RequestGroup {
        count: 4,
        prompt_tokens: (105_000, 150_000),
        max_tokens: 64,
        timeout_ms: 18_000,
        kind: RequestKind::Completion,
        run_once_one_in: 0,
    },
    RequestGroup {
        count: 1,
        prompt_tokens: (300_000, 310_000),
        max_tokens: 64,
        timeout_ms: 20_000,
        kind: RequestKind::Completion,
        run_once_one_in: 0,
    },
    RequestGroup {
        count: 60,
        prompt_tokens: (20, 60),
        max_tokens: 0,
        timeout_ms: 5_000,
        kind: RequestKind::Service,
        run_once_one_in: 1,
    },
];

/// Generates all requests, each with an idempotency key.
pub(crate) fn generate_requests(seed: u64, duration: Duration) -> Vec<CallerRequest> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut requests = Vec::new();
    for group in &REQUEST_GROUPS {
        let count = (group.count * duration.as_secs()).div_ceil(REFERENCE_DURATION_S);
        for nth in 0..count {
            let number = requests.len() as u64;
            let arrival = duration.scaled(rng.random());
            requests.push(new_request(group, nth, (number, arrival), &mut rng));
        }
    }
    requests
}

fn new_request(
    group: &RequestGroup,
    nth: u64,
    (number, arrival): (u64, Duration),
    rng: &mut StdRng,
) -> CallerRequest {
    let (min, max) = group.prompt_tokens;
    let prompt_tokens = rng.random_range(min..=max);
    let must_run_once = group.run_once_one_in > 0 && nth.is_multiple_of(group.run_once_one_in);
    CallerRequest {
        number,
        arrival,
        kind: group.kind,
        customer: CUSTOMERS[rng.random_range(0..CUSTOMERS.len())].to_owned(),
        prompt_tokens,
        prefix_group: rng.random_range(0..20),
        prefix_tokens: prompt_tokens / 4,
        max_tokens: group.max_tokens,
        timeout: Duration::from_millis(group.timeout_ms),
        repeatable: !must_run_once,
        key: Some(format!("demo-{number}-{:016x}", rng.random::<u64>())),
    }
}
