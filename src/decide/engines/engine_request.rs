//! A request that needs engines, with what the choice depends on.

use std::time::Duration;

use crate::decide::EngineModel;
use crate::decide::engines::view::PLANNED_PAUSE_FRACTION;
use crate::units::Tokens;

/// Longest reading time of a short prompt where no caller states which pause it accepts.
const SHORT_PREFILL_TIME_DEFAULT: Duration = Duration::from_millis(120);
/// Lower bound of the longest reading time of a short prompt. Where a pass of a full engine is
/// longer than the accepted pause, no prompt would be short without it, and all of them would wait
/// for engines like long ones.
const SHORT_PREFILL_TIME_MIN: Duration = Duration::from_millis(60);
/// Fraction of an engine's memory beyond which a prompt is long. Few such prompts fit beside short
/// ones, so their answers are written on the engines for long prompts.
const LONG_MEMORY_FRACTION: f64 = 0.25;

/// The class of a prompt, which determines the engines that read and answer it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PromptClass {
    /// Read by one or two engines for short prompts, and answered there.
    Short,
    /// Read by several engines, and answered by an engine for short prompts.
    Medium,
    /// Read and answered by the engines for long prompts.
    Long,
}

/// A request that needs engines.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineRequest {
    /// Length of the prompt.
    pub prompt: Tokens,
    /// Length of the longest answer.
    pub output: Tokens,
    /// Whether the choice is among the engines of all failure domains, so that the hosts that
    /// choose know of each other's work late.
    pub spans_domains: bool,
    /// Remaining time in which the first event is on time.
    pub objective_left: Duration,
    /// How much longer the caller waits for a first event.
    pub patience_left: Duration,
    /// Remaining time until the deadline of the whole answer.
    pub time_left: Duration,
    /// The shortest pause between two events that any caller of the service accepts; none if no
    /// caller states one.
    pub strictest_pause: Option<Duration>,
    /// Greatest age of what this host knows of the work of other hosts in its failure domain.
    pub local_load_age_max: Duration,
    /// Greatest age of what this host knows of the work of hosts in other domains.
    pub remote_load_age_max: Duration,
    /// Random number of this choice, uniform over all `u32`, that decides between engines that are
    /// about equally good. Hosts know of each other's work with a delay; if all of them chose the
    /// very best engine, that engine would get the work of all hosts.
    pub shuffle_seed: u32,
}

impl EngineRequest {
    /// The class of the prompt on engines of `model`.
    pub fn class(&self, model: &EngineModel) -> PromptClass {
        if model.prefill_time(self.prompt) <= self.short_prefill_time(model) {
            PromptClass::Short
        } else if self.prompt.as_f64() <= model.memory_tokens.as_f64() * LONG_MEMORY_FRACTION {
            PromptClass::Medium
        } else {
            PromptClass::Long
        }
    }

    /// The longest reading time of a short prompt. A prompt that takes this long can be read on a
    /// full engine without exceeding the shortest accepted pause.
    fn short_prefill_time(&self, model: &EngineModel) -> Duration {
        let full_pass = model.pass_time(model.slots, Tokens::ZERO);
        self.strictest_pause
            .map_or(SHORT_PREFILL_TIME_DEFAULT, |pause| {
                let left = pause
                    .mul_f64(PLANNED_PAUSE_FRACTION)
                    .saturating_sub(full_pass);
                left.max(SHORT_PREFILL_TIME_MIN)
            })
    }

    /// Sort key of the engine at index `engine` among equally good ones; it differs for each
    /// choice.
    pub(super) fn shuffle_key(&self, engine: usize) -> u32 {
        let index = u32::try_from(engine).unwrap_or(u32::MAX);
        // Multiplication by an odd number permutes all u32, so the resulting order is uniform.
        (index ^ self.shuffle_seed).wrapping_mul(0x9E37_79B1)
    }

    /// Expected number of short prompts that other hosts have sent and not yet reported.
    ///
    /// `short_in_flight` short prompts are in flight; in a steady state as many start in a period
    /// as end in it.
    pub(super) fn unreported_short_prompts(
        &self,
        model: &EngineModel,
        short_in_flight: u32,
    ) -> f64 {
        let write_time = model.write_time(self.output, model.slots, Tokens::ZERO) / 2;
        let answer_time = write_time
            .max(self.local_load_age_max)
            .as_secs_f64()
            .max(f64::EPSILON);
        f64::from(short_in_flight) * self.local_load_age_max.as_secs_f64() / answer_time
    }

    /// Memory for the prompt and the longest answer.
    pub fn memory_needed(&self) -> Tokens {
        self.prompt + self.output
    }
}
