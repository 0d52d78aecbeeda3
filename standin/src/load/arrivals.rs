//! Arrivals from a seeded generator. The load is open-loop: arrivals do not depend on responses.

use std::time::Duration;

use banyanarch::decide::LengthClass;
use banyanarch::units::seconds;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::caller::CallerRequest;
use crate::caller::RequestKind;
use crate::load::capacity;
use crate::load::scenario::ArrivalPattern;
use crate::load::scenario::Scenario;

/// Bounds of the prompt length, answer limit and timeout of the requests of a length class.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RequestShape {
    prompt_tokens: (u64, u64),
    pub(crate) max_tokens: u64,
    timeout_ms: u64,
}

impl RequestShape {
    pub(crate) fn of(class: LengthClass) -> Self {
        let (prompt_tokens, max_tokens, timeout_ms) = match class {
            LengthClass::Short => ((1_000, 3_000), 48, 3_000),
            LengthClass::Medium => ((6_000, 24_000), 64, 6_000),
            LengthClass::Long => ((40_000, 90_000), 64, 12_000),
            LengthClass::Huge => ((105_000, 150_000), 64, 15_000),
        };
        Self {
            prompt_tokens,
            max_tokens,
            timeout_ms,
        }
    }

    /// Draws a prompt length between the bounds, in tokens.
    pub(crate) fn prompt_tokens(&self, rng: &mut StdRng) -> u64 {
        rng.random_range(self.prompt_tokens.0..=self.prompt_tokens.1)
    }
}

/// Generates all requests of a scenario, in order of arrival. `load_factor` multiplies the load.
pub(crate) fn generate_arrivals(
    scenario: &Scenario,
    load_factor: f64,
    seed: u64,
) -> Vec<CallerRequest> {
    let mut requests = Vec::new();
    let engine = &scenario.plan.engine;
    let speedup = match scenario.is_relative_to_mix_capacity {
        true => capacity::mix_speedup(engine, &scenario.mix, seed),
        false => 1.0,
    };
    for (class, engine_share) in &scenario.mix {
        // Each class has its own generator, so that a class played alone gets the same requests as
        // in the mix.
        let mut rng = StdRng::seed_from_u64(seed.wrapping_mul(16) + *class as u64);
        let engine_rate = capacity::requests_per_second(engine, *class, &mut rng);
        let engines = scenario.plan.engine_domains.len() as f64;
        let rate = engine_rate * engines * engine_share * load_factor * speedup;
        push_class_arrivals(scenario, *class, rate, &mut rng, &mut requests);
    }
    requests.sort_by_key(|request| request.arrival);
    for (number, request) in requests.iter_mut().enumerate() {
        request.number = number as u64;
    }
    requests
}

/// Appends the arrivals of one class; `rate` is the average number of requests a second.
fn push_class_arrivals(
    scenario: &Scenario,
    class: LengthClass,
    rate: f64,
    rng: &mut StdRng,
    requests: &mut Vec<CallerRequest>,
) {
    let mut at_s = 0.0;
    loop {
        let current_rate = rate * scenario.pattern.rate_factor_at(at_s);
        let gap_s = -(1.0 - rng.random::<f64>()).ln() / current_rate;
        at_s += gap_s;
        if at_s >= scenario.duration_s {
            return;
        }
        let arrival = seconds(scenario.pattern.align(at_s));
        requests.push(new_request(scenario, class, arrival, rng));
    }
}

fn new_request(
    scenario: &Scenario,
    class: LengthClass,
    arrival: Duration,
    rng: &mut StdRng,
) -> CallerRequest {
    let shape = RequestShape::of(class);
    let prompt_tokens = shape.prompt_tokens(rng);
    let is_hot = rng.random::<f64>() < scenario.hot_fraction;
    CallerRequest {
        number: 0,
        arrival,
        kind: RequestKind::Completion,
        customer: scenario.customer(rng.random()),
        prompt_tokens,
        prefix_group: if is_hot {
            0
        } else {
            rng.random_range(1..1_000_000)
        },
        prefix_tokens: prompt_tokens * 3 / 4,
        max_tokens: shape.max_tokens,
        timeout: Duration::from_millis(shape.timeout_ms),
        repeatable: true,
        key: None,
    }
}

impl ArrivalPattern {
    /// Returns the factor on the average rate at `at_s` seconds into the run.
    pub(crate) fn rate_factor_at(&self, at_s: f64) -> f64 {
        match self {
            Self::Burst {
                from_s,
                until_s,
                rate_factor,
            } if (*from_s..*until_s).contains(&at_s) => *rate_factor,
            _ => 1.0,
        }
    }

    /// Moves arrivals of the synchronized pattern to the next common instant.
    pub(crate) fn align(&self, at_s: f64) -> f64 {
        match self {
            Self::Synchronized { period_s } => (at_s / period_s).ceil() * period_s,
            _ => at_s,
        }
    }
}
