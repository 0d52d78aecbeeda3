//! The speed model of an engine, as given in the manifest.
//!
//! An engine works in passes. A pass that writes answers consists of `stride` token steps, and
//! every prompt that is read (prefill) in the same pass lengthens it. A long prompt therefore
//! causes a pause in each answer that the engine is writing (decode).

use std::time::Duration;

use crate::units::Tokens;
use crate::units::milliseconds;

/// The speed model of the engines of one service. All times are those of one engine at full speed.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineModel {
    /// Number of requests that an engine processes at once; further requests wait inside the
    /// engine.
    pub slots: u32,
    /// Capacity of the engine's memory, in tokens.
    pub memory_tokens: Tokens,
    /// Token steps of one pass, equal to the number of tokens in one event.
    pub stride: u32,
    /// Base time of a step, in ms.
    pub step_ms: f64,
    /// Time that each answer that is being written adds to a step, in ms.
    pub step_per_sequence_ms: f64,
    /// Time that each 1,000 tokens of context add to a step, in ms. The context is that of all
    /// answers that are being written: their prompts and the tokens written so far.
    pub step_per_kilotoken_ms: f64,
    /// Prompt tokens read per millisecond.
    pub prefill_tokens_per_ms: f64,
    /// Time that each million pairs of a prompt token and an earlier one add to the prefill, in ms.
    pub prefill_per_megapair_ms: f64,
}

impl EngineModel {
    /// Engine time to read a whole prompt. Several engines that read equal parts divide this time.
    pub fn prefill_time(&self, prompt: Tokens) -> Duration {
        let tokens = prompt.as_f64();
        let megapairs = tokens * tokens / 2.0 / 1e6;
        milliseconds(tokens / self.prefill_tokens_per_ms + megapairs * self.prefill_per_megapair_ms)
    }

    /// Time of a pass that writes `writers` answers and reads no prompt. The prompts and answers
    /// together have `context` tokens.
    pub fn pass_time(&self, writers: u32, context: Tokens) -> Duration {
        let step_ms = self.step_ms
            + f64::from(writers) * self.step_per_sequence_ms
            + context.as_f64() / 1e3 * self.step_per_kilotoken_ms;
        milliseconds(step_ms * f64::from(self.stride.max(1)))
    }

    /// Time to write an answer of `output` tokens on an engine that writes `writers` answers, this
    /// one included. Their prompts and answers together have `context` tokens.
    pub fn write_time(&self, output: Tokens, writers: u32, context: Tokens) -> Duration {
        let passes = output.0.div_ceil(u64::from(self.stride.max(1)));
        let passes = u32::try_from(passes).unwrap_or(u32::MAX);
        self.pass_time(writers, context).saturating_mul(passes)
    }

    /// The engine time that a request takes: that to read its prompt, and its part of the time to
    /// write half of its largest answer while all slots are in use.
    pub fn engine_time(&self, prompt: Tokens, output_max: Tokens) -> Duration {
        let slots = self.slots.max(1);
        let output = Tokens(output_max.0 / 2);
        let context = prompt.0.saturating_add(output.0 / 2);
        let context = Tokens(context.saturating_mul(slots.into())).min(self.memory_tokens);
        self.prefill_time(prompt) + self.write_time(output, slots, context) / slots
    }
}
