//! Capacity of one engine for a length class, computed in virtual time with the engine's own batch
//! model.

use std::time::Instant;

use banyanarch::decide::LengthClass;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::engine::EngineOptions;
use crate::engine::throughput;
use crate::load::arrivals::ClassShape;

const ASKS: u64 = 60;
/// Engine time over which a mix is evaluated, in seconds.
const MIX_S: f64 = 8.0;

/// Returns the requests of a class that one engine completes in a second when it serves only that
/// class and its queue never becomes empty.
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

/// Returns how many times faster one engine completes a mix than it would complete the classes one
/// after the other: a step that prefills one prompt also generates tokens for others.
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
