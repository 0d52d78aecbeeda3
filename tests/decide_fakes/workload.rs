//! The requests of callers, generated from a seed.

use std::time::Duration;

use banyanarch::decide::CustomerShare;
use banyanarch::decide::PolicyConfig;
use banyanarch::decide::PoolKind;
use banyanarch::decide::Tuning;
use banyanarch::manifest::Objective;
use banyanarch::units;
use banyanarch::units::RequestsPerSecond;
use banyanarch::units::Tokens;
use banyanarch::units::TokensPerSecond;
use indexmap::IndexMap;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

/// One request of a caller, sent at the time `at`.
#[derive(Clone, Debug)]
pub struct RequestSpec {
    pub at: Duration,
    pub customer: &'static str,
    pub priority: u8,
    /// The length of the prompt in tokens.
    pub prompt: u64,
    /// The largest allowed length of the answer in tokens.
    pub output_max: u64,
    /// The actual length of the answer in tokens.
    pub output: u64,
    /// The time from `at` to the deadline.
    pub timeout: Duration,
    /// The hash and the length of the prompt's shared prefix.
    pub prefix: Option<(u128, u64)>,
}

impl RequestSpec {
    pub fn short() -> Self {
        Self {
            at: Duration::ZERO,
            customer: "desk",
            priority: 0,
            prompt: 1_000,
            output_max: 64,
            output: 32,
            timeout: Duration::from_secs(20),
            prefix: None,
        }
    }

    pub fn long(prompt: u64) -> Self {
        Self {
            prompt,
            timeout: Duration::from_secs(600),
            ..Self::short()
        }
    }
}

/// The requests of a simulation, in any order.
pub struct Workload {
    pub requests: Vec<RequestSpec>,
    rng: StdRng,
}

impl Workload {
    pub fn new(seed: u64) -> Self {
        Self {
            requests: Vec::new(),
            rng: StdRng::seed_from_u64(seed),
        }
    }

    /// Adds a Poisson stream of requests like `request` between two times in `seconds`, at `rate`
    /// requests a second. Prompt and answer lengths vary from 0.5 to 1.5 times the given length.
    pub fn stream(mut self, rate: f64, seconds: (f64, f64), request: &RequestSpec) -> Self {
        let mut at = seconds.0;
        loop {
            at += -self.rng.random_range(f64::MIN_POSITIVE..1.0_f64).ln() / rate;
            if at >= seconds.1 {
                return self;
            }
            let mut vary = |middle: u64| self.rng.random_range(middle / 2..=middle * 3 / 2);
            let (prompt, output) = (vary(request.prompt), vary(request.output));
            self.requests.push(RequestSpec {
                at: units::seconds(at),
                prompt: prompt.max(request.prefix.map_or(1, |(_, tokens)| tokens + 100)),
                output: output.clamp(1, request.output_max),
                ..request.clone()
            });
        }
    }
}

/// A configuration for model engines in which no customer reaches its rate.
pub fn config(objective: Objective, speed: f64) -> PolicyConfig {
    let share = CustomerShare {
        share: 1,
        rate: RequestsPerSecond(1_000.0),
        burst_requests: 1_000.0,
    };
    let names = ["desk", "studio", "agency", "karaoke", "branch", "app"];
    let customers: IndexMap<_, _> = names.iter().map(|n| (n.parse().unwrap(), share)).collect();
    PolicyConfig {
        objective,
        tuning: Tuning::of(objective),
        kind: PoolKind::Model {
            prefill_speed: TokensPerSecond(speed),
            context_tokens_max: Tokens(1_100_000),
        },
        customers,
        default_customer: share,
        default_account: "default".parse().unwrap(),
    }
}
