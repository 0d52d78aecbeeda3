//! The properties of a request that the choice of its engines depends on.

use std::time::Duration;

use crate::decide::EngineModel;
use crate::decide::engines::view::PLANNED_PAUSE_FRACTION;
use crate::units::BoundedTime;
use crate::units::Tokens;

/// Longest prefill time of a short prompt where no caller states which pause it accepts.
const SHORT_PREFILL_TIME_DEFAULT: Duration = Duration::from_millis(120);
/// Lower bound of the longest prefill time of a short prompt. Where a pass of a full engine is
/// longer than the accepted pause, no prompt would be short without it, and all of them would wait
/// for engines like long ones.
const SHORT_PREFILL_TIME_MIN: Duration = Duration::from_millis(60);
/// Fraction of an engine's memory beyond which a prompt is long. Few such prompts fit beside short
/// ones, so their answers are written on the engines for long prompts.
const LONG_MEMORY_FRACTION: f64 = 0.25;

/// The class of a prompt by its prefill time and memory, which determines the engines that read and
/// answer it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PromptClass {
    /// The prompt can be read on a full engine without exceeding the shortest accepted pause. It is
    /// read by one or two engines for short prompts, and answered by one of them.
    Short,
    /// The prompt takes longer to read, but not much memory. It is read by several engines, and
    /// answered by an engine for short prompts.
    Medium,
    /// The prompt needs a large fraction of an engine's memory. It is read and answered by the
    /// engines for long prompts.
    Long,
}

/// The properties of a request that the choice of its engines depends on.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineRequest {
    /// Length of the prompt, in tokens.
    pub prompt: Tokens,
    /// Length of the longest answer that the caller allows, in tokens.
    pub output: Tokens,
    /// Whether the choice is among the engines of several failure domains, whose hosts learn late
    /// of each other's requests. Callers of the choice set false; the choice itself sets it as
    /// needed.
    pub spans_domains: bool,
    /// Remaining time until the first event is due; zero once it is late.
    pub objective_left: Duration,
    /// Remaining time until the caller stops waiting for a first event.
    pub patience_left: Duration,
    /// Remaining time until the deadline of the whole answer.
    pub time_left: Duration,
    /// How long a short prompt may still wait for a slot; zero once it is to be refused.
    pub slot_wait_left: Duration,
    /// The shortest pause between two events that any caller of the service accepts; none if no
    /// caller states one.
    pub strictest_pause: Option<Duration>,
    /// Greatest age of what this host knows of the load of other hosts in its failure domain.
    pub local_load_age_max: Duration,
    /// Greatest age of what this host knows of the load of hosts in other domains.
    pub remote_load_age_max: Duration,
    /// Random number of this choice, uniform over all `u32`, that decides between engines that are
    /// about equally good. Hosts learn of each other's requests with a delay; if all of them chose
    /// the very best engine, that engine would get the requests of all hosts.
    pub shuffle_seed: u32,
}

impl PromptClass {
    /// The class of a prompt on engines of `model`, where `strictest_pause` is the shortest pause
    /// that any caller of the service accepts. A prompt is short if its prefill time fits into that
    /// pause, and otherwise medium or long by its memory. Cached prefixes do not count.
    pub fn of(model: &EngineModel, prompt: Tokens, strictest_pause: Option<Duration>) -> Self {
        if model.prefill_time(prompt) <= short_prefill_time(model, strictest_pause) {
            Self::Short
        } else if prompt.as_f64() <= model.memory_tokens.as_f64() * LONG_MEMORY_FRACTION {
            Self::Medium
        } else {
            Self::Long
        }
    }
}

/// The longest prefill time of a short prompt. A prompt that takes this long can be read on a full
/// engine without exceeding the shortest accepted pause.
fn short_prefill_time(model: &EngineModel, strictest_pause: Option<Duration>) -> Duration {
    let full_pass = model.pass_time(model.slots, Tokens::ZERO);
    strictest_pause.map_or(SHORT_PREFILL_TIME_DEFAULT, |pause| {
        let left = pause
            .scaled(PLANNED_PAUSE_FRACTION)
            .saturating_sub(full_pass);
        left.max(SHORT_PREFILL_TIME_MIN)
    })
}

impl EngineRequest {
    /// The class of the prompt on engines of `model`.
    pub fn class(&self, model: &EngineModel) -> PromptClass {
        PromptClass::of(model, self.prompt, self.strictest_pause)
    }

    /// Sort key that puts equally good engines into a random order, different for each choice.
    /// `engine` is the index of the engine among them.
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

    /// Time to write half of the longest answer on a full engine, since most answers are shorter.
    pub fn answer_time(&self, model: &EngineModel) -> Duration {
        model.write_time(self.output, model.slots, self.prompt) / 2
    }

    /// Memory for the prompt and the longest answer, in tokens.
    pub fn memory_needed(&self) -> Tokens {
        self.prompt + self.output
    }
}
