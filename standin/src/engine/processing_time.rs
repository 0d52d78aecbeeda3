//! Processing time of a batch of requests on an engine, computed in virtual time.

use std::time::Duration;
use std::time::Instant;

use banyanarch::units::ContentHash;

use crate::engine::EngineOptions;
use crate::engine::attempt::AttemptSpec;
use crate::engine::batch::Batch;

/// Returns how long an engine takes for prompts of these lengths, each with the longest answer,
/// when all of them are queued at the start. Sizes are pairs of prompt and answer tokens.
pub fn processing_time(options: &EngineOptions, sizes: &[(u64, u64)], start: Instant) -> Duration {
    let options = EngineOptions {
        queue_max: sizes.len(),
        record_file: None,
        ..options.clone()
    };
    let Ok(mut batch) = Batch::new(options) else {
        return Duration::MAX;
    };
    for (index, size) in sizes.iter().enumerate() {
        let _ = batch.submit(attempt_spec(index, *size));
    }
    let mut now = start;
    while let Some(step) = batch.plan_step(now) {
        now += step.duration;
        batch.apply_step(&step, now);
    }
    now - start
}

fn attempt_spec(index: usize, (prompt_tokens, max_tokens): (u64, u64)) -> AttemptSpec {
    AttemptSpec {
        id: index.to_string(),
        host: String::new(),
        key: None,
        path: String::new(),
        priority: 0,
        body_hash: ContentHash::of(&index.to_le_bytes()),
        prompt_tokens,
        max_tokens,
        segments: Vec::new(),
        gang_len: 1,
        deadline: None,
        crashes: false,
    }
}
