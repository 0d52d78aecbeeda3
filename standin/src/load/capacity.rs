//! How much of a class one engine can do, counted on the engine's own model in virtual time.

use std::time::Instant;

use banyanarch::decide::LengthClass;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::engine::EngineOptions;
use crate::engine::throughput;
use crate::load::arrivals::ClassShape;

const ASKS: u64 = 60;
/// The time of one engine that a mix is counted over.
const MIX_S: f64 = 8.0;

/// Requests of a class that one engine completes in a second when it has nothing else to do and
/// there are always more.
pub(crate) fn requests_per_second(
    options: &EngineOptions,
    class: LengthClass,
    rng: &mut StdRng,
) -> f64 {
    let shape = ClassShape::of(class);
    let sizes: Vec<(u64, u64)> = (0..ASKS)
        .map(|_| (shape.prompt_tokens(rng), shape.max_tokens))
        .collect();
    let takes = throughput(options, &sizes, Instant::now());
    ASKS as f64 / takes.as_secs_f64()
}

/// How many times faster one engine works off a mix than it would class after class: a step that
/// reads in one prompt makes tokens for others.
pub(crate) fn mix_gain(options: &EngineOptions, mix: &[(LengthClass, f64)], seed: u64) -> f64 {
    let mut rng = StdRng::seed_from_u64(seed);
    let in_all: f64 = mix.iter().map(|(_, share)| share).sum();
    let mut sizes: Vec<(u32, (u64, u64))> = Vec::new();
    let mut apart_s = 0.0;
    for (class, share) in mix {
        let rate = requests_per_second(options, *class, &mut rng);
        let shape = ClassShape::of(*class);
        let until_s = apart_s + MIX_S * share / in_all;
        while apart_s < until_s {
            apart_s += 1.0 / rate;
            let size = (shape.prompt_tokens(&mut rng), shape.max_tokens);
            sizes.push((rng.random(), size));
        }
    }
    sizes.sort_unstable();
    let sizes: Vec<(u64, u64)> = sizes.into_iter().map(|(_, size)| size).collect();
    apart_s / throughput(options, &sizes, Instant::now()).as_secs_f64()
}
