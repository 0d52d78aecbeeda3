//! Capacity of one engine for a length class, computed in virtual time with the engine's own batch
//! model.

use std::time::Instant;

use banyanarch::decide::LengthClass;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::engine::EngineOptions;
use crate::engine::processing_time;
use crate::load::arrivals::RequestShape;

/// Number of requests from which the rate of a class is computed.
const REQUESTS: u64 = 60;
/// Engine time over which a mix is evaluated, in seconds.
const MIX_ENGINE_TIME_S: f64 = 8.0;

/// Returns the requests of a class that one engine completes in a second when it serves only that
/// class and its queue never becomes empty.
pub(crate) fn requests_per_second(
    options: &EngineOptions,
    class: LengthClass,
    rng: &mut StdRng,
) -> f64 {
    let shape = RequestShape::of(class);
    let sizes: Vec<(u64, u64)> = (0..REQUESTS)
        .map(|_| (shape.prompt_tokens(rng), shape.max_tokens))
        .collect();
    let duration = processing_time(options, &sizes, Instant::now());
    REQUESTS as f64 / duration.as_secs_f64()
}

/// Returns how many times faster one engine completes a mix than it would complete the classes one
/// after the other: a step that prefills one prompt also generates tokens for others.
pub(crate) fn mix_speedup(options: &EngineOptions, mix: &[(LengthClass, f64)], seed: u64) -> f64 {
    let mut rng = StdRng::seed_from_u64(seed);
    let total_share: f64 = mix.iter().map(|(_, share)| share).sum();
    let mut sizes: Vec<(u32, (u64, u64))> = Vec::new();
    let mut separate_s = 0.0;
    for (class, share) in mix {
        let rate = requests_per_second(options, *class, &mut rng);
        let shape = RequestShape::of(*class);
        let until_s = separate_s + MIX_ENGINE_TIME_S * share / total_share;
        while separate_s < until_s {
            separate_s += 1.0 / rate;
            let size = (shape.prompt_tokens(&mut rng), shape.max_tokens);
            sizes.push((rng.random(), size));
        }
    }
    sizes.sort_unstable();
    let sizes: Vec<(u64, u64)> = sizes.into_iter().map(|(_, size)| size).collect();
    separate_s / processing_time(options, &sizes, Instant::now()).as_secs_f64()
}
