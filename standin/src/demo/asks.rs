//! Generator of the demo's requests.

use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::caller::Ask;
use crate::caller::Target;

/// Duration in seconds for which the counts of `BATCHES` are given.
const USUAL_S: u64 = 15;
const CUSTOMERS: [&str; 4] = ["film-studio", "ad-agency", "karaoke-app", "radio"];

/// A number of requests of one kind. `prompt_tokens` are the bounds of the prompt lengths.
struct Batch {
    count: u64,
    prompt_tokens: (u64, u64),
    max_tokens: u64,
    limit_ms: u64,
    target: Target,
    /// Every n-th request must not run twice; 0 for none.
    once_one_in: u64,
}

/// Clause lookups, histories, archives, one archive larger than the memory of an engine, and
/// grants, which must not run twice.
const BATCHES: [Batch; 6] = [
    Batch {
        count: 300,
        prompt_tokens: (1_000, 3_000),
        max_tokens: 48,
        limit_ms: 10_000,
        target: Target::Completion,
        once_one_in: 10,
    },
    Batch {
        count: 40,
        prompt_tokens: (8_000, 30_000),
        max_tokens: 64,
        limit_ms: 12_000,
        target: Target::Chat,
        once_one_in: 10,
    },
    Batch {
        count: 8,
        prompt_tokens: (40_000, 90_000),
        max_tokens: 64,
        limit_ms: 15_000,
        target: Target::Chat,
        once_one_in: 0,
    },
    Batch {
        count: 4,
        prompt_tokens: (105_000, 150_000),
        max_tokens: 64,
        limit_ms: 18_000,
        target: Target::Completion,
        once_one_in: 0,
    },
    Batch {
        count: 1,
        prompt_tokens: (300_000, 310_000),
        max_tokens: 64,
        limit_ms: 20_000,
        target: Target::Completion,
        once_one_in: 0,
    },
    Batch {
        count: 60,
        prompt_tokens: (20, 60),
        max_tokens: 0,
        limit_ms: 5_000,
        target: Target::Service,
        once_one_in: 1,
    },
];

/// Generates all requests, each with an idempotency key.
pub(crate) fn asks(seed: u64, lasts: Duration) -> Vec<Ask> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut asks = Vec::new();
    for batch in &BATCHES {
        let count = (batch.count * lasts.as_secs()).div_ceil(USUAL_S);
        for nth in 0..count {
            let number = asks.len() as u64;
            let at = lasts.mul_f64(rng.random());
            asks.push(ask(batch, nth, (number, at), &mut rng));
        }
    }
    asks
}

fn ask(batch: &Batch, nth: u64, (number, at): (u64, Duration), rng: &mut StdRng) -> Ask {
    let (least, most) = batch.prompt_tokens;
    let prompt_tokens = rng.random_range(least..=most);
    let must_run_once = batch.once_one_in > 0 && nth.is_multiple_of(batch.once_one_in);
    Ask {
        number,
        at,
        target: batch.target,
        customer: CUSTOMERS[rng.random_range(0..CUSTOMERS.len())].to_owned(),
        prompt_tokens,
        prefix_group: rng.random_range(0..20),
        prefix_tokens: prompt_tokens / 4,
        max_tokens: batch.max_tokens,
        limit: Duration::from_millis(batch.limit_ms),
        repeatable: !must_run_once,
        key: Some(format!("demo-{number}-{:016x}", rng.random::<u64>())),
    }
}
