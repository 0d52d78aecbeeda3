//! Throughput of an engine, computed in virtual time.

use std::time::Duration;
use std::time::Instant;

use banyanarch::units::ContentHash;

use crate::engine::EngineOptions;
use crate::engine::attempt::Offer;
use crate::engine::batch::Batch;

/// Returns how long an engine takes for prompts of these lengths, each with the longest answer,
/// when all of them are queued at the start. Sizes are pairs of prompt and answer tokens.
pub fn throughput(options: &EngineOptions, sizes: &[(u64, u64)], start: Instant) -> Duration {
    let options = EngineOptions {
        queue_max: sizes.len(),
        record_file: None,
        ..options.clone()
    };
    let Ok(mut batch) = Batch::new(options) else {
        return Duration::MAX;
    };
    for (number, size) in sizes.iter().enumerate() {
        let _ = batch.offer(offer(number, *size));
    }
    let mut now = start;
    while let Some(step) = batch.plan(now) {
        now += step.takes;
        batch.apply(&step, now);
    }
    now - start
}

fn offer(number: usize, (prompt_tokens, max_tokens): (u64, u64)) -> Offer {
    Offer {
        id: number.to_string(),
        host: String::new(),
        key: None,
        path: String::new(),
        priority: 0,
        body_hash: ContentHash::of(&number.to_le_bytes()),
        prompt_tokens,
        max_tokens,
        segments: Vec::new(),
        gang_len: 1,
        deadline: None,
        crashes: false,
    }
}
