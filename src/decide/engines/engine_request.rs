//! A request that wants engines.

use std::time::Duration;

use crate::decide::EngineModel;
use crate::decide::engines::view::PAUSE_PART;
use crate::units::Tokens;

/// A prompt that one engine reads in less than this is short where no caller says what pause it accepts.
const SHORT_READ_TIME_DEFAULT: Duration = Duration::from_millis(120);
/// The least that is taken for it. Where a full engine's pass alone is longer than a caller's pause no prompt
/// would be short, and all of them would wait for engines as long ones do.
const SHORT_READ_TIME_MIN: Duration = Duration::from_millis(60);
/// A prompt that takes more than this part of an engine's memory is long: its answer is written
/// among those that read long prompts, since few of them fit beside short ones.
const LONG_MEMORY_PART: f64 = 0.25;

/// How a prompt's length matters to where it goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PromptClass {
    /// Read by one or two engines among short ones.
    Short,
    /// Read by several engines, answered among short ones.
    Medium,
    /// Read and answered among long ones.
    Long,
}

/// A request that wants engines.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineRequest {
    /// The prompt.
    pub prompt: Tokens,
    /// The longest answer.
    pub output: Tokens,
    /// Whether hosts that hear of each other late choose among these engines.
    pub spans_domains: bool,
    /// What is left of the time in which the first event is on time.
    pub objective_left: Duration,
    /// How long its caller still stays without a first event.
    pub patience_left: Duration,
    /// What is left of the time in which the whole answer has to be there.
    pub time_left: Duration,
    /// The shortest pause between two events that any caller of the service accepts; none if none says.
    pub strictest_pause: Option<Duration>,
    /// How old the news may be of what other hosts of this host's failure domain have sent.
    pub near_load_age: Duration,
    /// The same of hosts of other domains.
    pub far_load_age: Duration,
    /// Drawn for this choice, even over all `u32`. Engines that are about equally good are told
    /// apart by it: hosts know of each other's work a little late, and if all of them took the very
    /// best engine, that one would get what all have.
    pub shuffle_seed: u32,
}

impl EngineRequest {
    /// The class of the prompt on engines of this model.
    pub fn class(&self, model: &EngineModel) -> PromptClass {
        if model.read_time(self.prompt) <= self.short_read_time(model) {
            PromptClass::Short
        } else if self.prompt.as_f64() <= model.memory_tokens.as_f64() * LONG_MEMORY_PART {
            PromptClass::Medium
        } else {
            PromptClass::Long
        }
    }

    /// The longest reading of a short prompt: read beside a full engine's answers, it leaves the strictest
    /// of their pauses within what its caller accepts.
    fn short_read_time(&self, model: &EngineModel) -> Duration {
        let full_pass = model.pass_time(model.slots, Tokens::ZERO);
        self.strictest_pause
            .map_or(SHORT_READ_TIME_DEFAULT, |pause| {
                let left = pause.mul_f64(PAUSE_PART).saturating_sub(full_pass);
                left.max(SHORT_READ_TIME_MIN)
            })
    }

    /// A number that orders engines of the same rank, different for each choice.
    pub(super) fn shuffle(&self, engine: usize) -> u32 {
        let index = u32::try_from(engine).unwrap_or(u32::MAX);
        // Multiplication by an odd number permutes all u32, so equal ranks fall apart evenly.
        (index ^ self.shuffle_seed).wrapping_mul(0x9E37_79B1)
    }

    /// How many short prompts other hosts may have sent that this one has not heard of, where this many
    /// short answers are being written: as many begin in a time as end in it.
    pub(super) fn unseen(&self, model: &EngineModel, short_in_flight: u32) -> f64 {
        let write_time = model.write_time(self.output, model.slots, Tokens::ZERO) / 2;
        let lives = write_time
            .max(self.near_load_age)
            .as_secs_f64()
            .max(f64::EPSILON);
        f64::from(short_in_flight) * self.near_load_age.as_secs_f64() / lives
    }

    /// The memory that it takes from its first to its last token.
    pub fn needed(&self) -> Tokens {
        self.prompt + self.output
    }
}
