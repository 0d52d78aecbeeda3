//! How much of a class one engine can do, counted on the engine's own model in virtual time.

use std::time::Instant;

use banyanarch::decide::LengthClass;
use rand::rngs::StdRng;

use crate::engine::EngineOptions;
use crate::engine::throughput;
use crate::load::arrivals::ClassShape;

const ASKS: u64 = 60;

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
