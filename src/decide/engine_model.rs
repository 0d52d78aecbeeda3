//! How long an engine takes for its work, by the model that the manifest gives.
//!
//! An engine works in passes. A pass with writers is `stride` token steps long, and everything that
//! is read in meanwhile lengthens it; so a long prompt shows as a pause in every answer that the
//! same engine is writing.

use std::time::Duration;

use crate::units::Tokens;

/// The speed of the engines of one service. All times are of one engine that works at full speed.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineModel {
    /// Requests that it works on at once; more wait inside the engine.
    pub slots: u32,
    /// Tokens that its memory holds.
    pub memory_tokens: Tokens,
    /// Token steps of one pass, which is also the tokens of one event.
    pub stride: u32,
    /// A step without anything in it, in ms.
    pub step_ms: f64,
    /// What each request that is being written adds to a step, in ms.
    pub step_per_writer_ms: f64,
    /// What each 1,000 tokens of context of the requests being written add to a step, in ms.
    pub step_per_kilotoken_ms: f64,
    /// Prompt tokens read in a millisecond.
    pub read_tokens_per_ms: f64,
    /// What a million pairs of a prompt token and an earlier one add to reading, in ms.
    pub read_per_megapair_ms: f64,
}

impl EngineModel {
    /// The engine time to read a whole prompt in, split over however many engines.
    pub fn read_time(&self, prompt: Tokens) -> Duration {
        let tokens = prompt.as_f64();
        let megapairs = tokens * tokens / 2.0 / 1e6;
        millis(tokens / self.read_tokens_per_ms + megapairs * self.read_per_megapair_ms)
    }

    /// How long a pass takes with this many writers, whose prompts and answers together have
    /// `context` tokens, when nothing is read in.
    pub fn pass_time(&self, writers: u32, context: Tokens) -> Duration {
        let step_ms = self.step_ms
            + f64::from(writers) * self.step_per_writer_ms
            + context.as_f64() / 1e3 * self.step_per_kilotoken_ms;
        millis(step_ms * f64::from(self.stride.max(1)))
    }

    /// How long it takes to write an answer among `writers`, whose prompts and answers together have
    /// `context` tokens.
    pub fn write_time(&self, output: Tokens, writers: u32, context: Tokens) -> Duration {
        let passes = output.0.div_ceil(u64::from(self.stride.max(1)));
        let passes = u32::try_from(passes).unwrap_or(u32::MAX);
        self.pass_time(writers, context).saturating_mul(passes)
    }
}

fn millis(ms: f64) -> Duration {
    Duration::try_from_secs_f64(ms / 1e3).unwrap_or(Duration::MAX)
}
