//! What requests take, learned from those that ended.
//!
//! Load it answers: prompts in scripts where a token is not four bytes, answers much shorter than
//! their limit, engines slower than their settings. Without it, memory and deadlines are worked out
//! from guesses: too much is turned away, or too much is let in.

use std::time::Duration;

use indexmap::IndexMap;

use crate::decide::AttemptOutcome;
use crate::decide::AttemptSummary;
use crate::decide::Work;
use crate::units::CustomerId;
use crate::units::Tokens;

/// The weight of one sample. Twenty requests renew an estimate.
const GAIN: f64 = 0.05;
/// A first estimate of the time between two tokens.
const TOKEN_GAP_FIRST: f64 = 0.03;
/// Shorter answers tell more of the network than of the engine: one late piece of two would forecast
/// an hour for a long answer.
const GAP_TOKENS_MIN: f64 = 8.0;
/// Estimates of prompt lengths are off by at most this factor: a token of any script in use has one
/// to twelve bytes, and four are assumed.
const PROMPT_RATIO_MIN: f64 = 0.33;
const PROMPT_RATIO_MAX: f64 = 4.0;
/// The part of the allowed answer that is expected at least, as a guard against a run of short ones.
const OUTPUT_PART_MIN: f64 = 0.1;

/// Estimates for one pool.
#[derive(Debug)]
pub struct Estimator {
    prompt_ratios: IndexMap<CustomerId, f64>,
    output_part: f64,
    output_samples: u32,
    token_gap_seconds: f64,
    gap_samples: u32,
}

impl Estimator {
    /// Without any observation: prompts as estimated, answers as long as allowed.
    pub fn new() -> Self {
        Self {
            prompt_ratios: IndexMap::new(),
            output_part: 1.0,
            output_samples: 0,
            token_gap_seconds: TOKEN_GAP_FIRST,
            gap_samples: 0,
        }
    }

    /// The prompt's length, corrected for the account.
    pub fn prompt_tokens(&self, work: &Work, account: &CustomerId) -> Tokens {
        let ratio = self.prompt_ratios.get(account).copied().unwrap_or(1.0);
        scaled(work.prompt_tokens, ratio)
    }

    /// The answer's length that is to be expected.
    pub fn output_tokens(&self, work: &Work) -> Tokens {
        scaled(work.output_tokens, self.output_part)
    }

    /// How long this many tokens of an answer take.
    pub fn output_time(&self, tokens: Tokens) -> Duration {
        let seconds = tokens.as_f64() * self.token_gap_seconds;
        Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
    }

    /// Takes in a request that ended.
    pub fn observe(&mut self, work: &Work, account: &CustomerId, done: &AttemptSummary) {
        if done.prompt_tokens > Tokens::ZERO && work.prompt_tokens > Tokens::ZERO {
            let seen = done.prompt_tokens.as_f64() / work.prompt_tokens.as_f64();
            let ratio = self.prompt_ratios.entry(account.clone()).or_insert(1.0);
            blend(ratio, seen.clamp(PROMPT_RATIO_MIN, PROMPT_RATIO_MAX), GAIN);
        }
        // Attempts that were cut at their deadline count as well: those that completed are the
        // quick ones, and alone they would make each forecast too short just when it matters.
        if let Some(gap) = token_gap_seconds(done) {
            self.gap_samples = self.gap_samples.saturating_add(1);
            blend(&mut self.token_gap_seconds, gap, gain(self.gap_samples));
        }
        if done.ended == AttemptOutcome::Completed && work.output_tokens > Tokens::ZERO {
            let part = done.output_tokens.as_f64() / work.output_tokens.as_f64();
            self.output_samples = self.output_samples.saturating_add(1);
            let part = part.clamp(OUTPUT_PART_MIN, 1.0);
            blend(&mut self.output_part, part, gain(self.output_samples));
        }
    }
}

impl Default for Estimator {
    fn default() -> Self {
        Self::new()
    }
}

/// The time between two tokens of an answer, if it had enough of them.
pub(crate) fn token_gap_seconds(done: &AttemptSummary) -> Option<f64> {
    let output = done.output_tokens.as_f64();
    let first_token = done.first_token?;
    let seconds = done.total.saturating_sub(first_token).as_secs_f64();
    (output >= GAP_TOKENS_MIN).then(|| seconds / (output - 1.0))
}

/// The weight of a sample; the first ones count for more.
fn gain(samples: u32) -> f64 {
    GAIN.max(1.0 / f64::from(samples.max(1)))
}

/// Moves an average towards a sample.
fn blend(average: &mut f64, sample: f64, gain: f64) {
    *average += gain * (sample - *average);
}

#[allow(
    clippy::cast_possible_truncation,
    reason = "a float saturates when it becomes a whole number"
)]
#[allow(clippy::cast_sign_loss, reason = "ratios are positive")]
fn scaled(tokens: Tokens, ratio: f64) -> Tokens {
    Tokens((tokens.as_f64() * ratio).ceil() as u64)
}
