//! Open-loop arrivals from a seeded generator.

use std::time::Duration;

use banyanarch::decide::LengthClass;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::caller::Ask;
use crate::caller::Target;
use crate::load::capacity;
use crate::load::scenario::Pattern;
use crate::load::scenario::Scenario;

/// The shape of the requests of a length class.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ClassShape {
    prompt_tokens: (u64, u64),
    pub(crate) max_tokens: u64,
    limit_ms: u64,
}

impl ClassShape {
    pub(crate) fn of(class: LengthClass) -> Self {
        let (prompt_tokens, max_tokens, limit_ms) = match class {
            LengthClass::Short => ((1_000, 3_000), 48, 3_000),
            LengthClass::Medium => ((6_000, 24_000), 64, 6_000),
            LengthClass::Long => ((40_000, 90_000), 64, 12_000),
            LengthClass::Huge => ((105_000, 150_000), 64, 15_000),
        };
        Self {
            prompt_tokens,
            max_tokens,
            limit_ms,
        }
    }

    pub(crate) fn prompt_tokens(&self, rng: &mut StdRng) -> u64 {
        rng.random_range(self.prompt_tokens.0..=self.prompt_tokens.1)
    }
}

/// Generates all requests of a scenario, in order of arrival. `times` multiplies the load.
pub(crate) fn arrivals(scenario: &Scenario, times: f64, seed: u64) -> Vec<Ask> {
    let mut asks = Vec::new();
    let engine = &scenario.plan.engine;
    let gain = match scenario.is_of_capacity {
        true => capacity::mix_gain(engine, &scenario.mix, seed),
        false => 1.0,
    };
    for (class, engine_share) in &scenario.mix {
        // Each class has its own generator, so that a class played alone gets the same requests as
        // in the mix.
        let mut rng = StdRng::seed_from_u64(seed.wrapping_mul(16) + *class as u64);
        let one = capacity::requests_per_second(engine, *class, &mut rng);
        let engines = scenario.plan.engine_domains.len() as f64;
        let rate = one * engines * engine_share * times * gain;
        class_arrivals(scenario, *class, rate, &mut rng, &mut asks);
    }
    asks.sort_by_key(|ask| ask.at);
    for (number, ask) in asks.iter_mut().enumerate() {
        ask.number = number as u64;
    }
    asks
}

fn class_arrivals(
    scenario: &Scenario,
    class: LengthClass,
    rate: f64,
    rng: &mut StdRng,
    asks: &mut Vec<Ask>,
) {
    let mut at_s = 0.0;
    loop {
        let now_rate = rate * scenario.pattern.times_at(at_s);
        let gap_s = -(1.0 - rng.random::<f64>()).ln() / now_rate;
        at_s += gap_s;
        if at_s >= scenario.lasts_s {
            return;
        }
        let at = Duration::from_secs_f64(scenario.pattern.shifted(at_s));
        asks.push(ask(scenario, class, at, rng));
    }
}

fn ask(scenario: &Scenario, class: LengthClass, at: Duration, rng: &mut StdRng) -> Ask {
    let shape = ClassShape::of(class);
    let prompt_tokens = shape.prompt_tokens(rng);
    let is_hot = rng.random::<f64>() < scenario.hot_share;
    Ask {
        number: 0,
        at,
        target: Target::Completion,
        customer: scenario.customer(rng.random()),
        prompt_tokens,
        prefix_group: if is_hot {
            0
        } else {
            rng.random_range(1..1_000_000)
        },
        prefix_tokens: prompt_tokens * 3 / 4,
        max_tokens: shape.max_tokens,
        limit: Duration::from_millis(shape.limit_ms),
        repeatable: true,
        key: None,
    }
}

impl Pattern {
    /// Returns the factor on the average rate at `at_s` seconds into the run.
    pub(crate) fn times_at(&self, at_s: f64) -> f64 {
        match self {
            Self::Burst {
                from_s,
                until_s,
                times,
            } if (*from_s..*until_s).contains(&at_s) => *times,
            _ => 1.0,
        }
    }

    /// Moves arrivals of the synchronized pattern to the next common instant.
    pub(crate) fn shifted(&self, at_s: f64) -> f64 {
        match self {
            Self::Together { each_s } => (at_s / each_s).ceil() * each_s,
            _ => at_s,
        }
    }
}
