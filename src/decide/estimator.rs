//! Estimates of what requests need, learned from requests that ended.
//!
//! The estimates correct for prompts in scripts where a token is not four bytes, for answers much
//! shorter than their limit, and for engines slower than their settings. Without them, memory and
//! deadlines are computed from guesses: too many requests are refused, or too many admitted.

use std::time::Duration;

use indexmap::IndexMap;

use crate::decide::AttemptOutcome;
use crate::decide::AttemptSummary;
use crate::decide::Work;
use crate::units::CustomerId;
use crate::units::Tokens;
use crate::units::seconds;

/// The least weight of one sample: an estimate is renewed by about twenty requests.
const SAMPLE_WEIGHT_MIN: f64 = 0.05;
/// The initial estimate of the time between two tokens, in seconds.
const TOKEN_GAP_INITIAL_SECONDS: f64 = 0.03;
/// Answers with fewer tokens give no sample of the time between tokens, because they measure the
/// network more than the engine: a two-token answer with one late token would make the forecast for
/// a long answer an hour.
const GAP_SAMPLE_TOKENS_MIN: f64 = 8.0;
/// Bounds of the ratio of the real to the estimated prompt length. A token has one to twelve bytes
/// in any script in use, and the estimate assumes four.
const PROMPT_RATIO_MIN: f64 = 0.33;
const PROMPT_RATIO_MAX: f64 = 4.0;
/// The least fraction of the allowed answer length that is expected, as a guard against a run of
/// short answers.
const OUTPUT_FRACTION_MIN: f64 = 0.1;

/// The estimates for one pool.
#[derive(Debug)]
pub struct Estimator {
    /// The ratio of the real to the estimated prompt length, by account.
    prompt_ratios: IndexMap<CustomerId, f64>,
    /// The mean length of completed answers as a fraction of the allowed length.
    output_fraction: f64,
    output_samples: u32,
    /// The mean time between two tokens of an answer.
    token_gap_seconds: f64,
    gap_samples: u32,
}

impl Estimator {
    /// Creates an estimator without observations: prompts are as long as estimated by the caller,
    /// answers as long as allowed.
    pub fn new() -> Self {
        Self {
            prompt_ratios: IndexMap::new(),
            output_fraction: 1.0,
            output_samples: 0,
            token_gap_seconds: TOKEN_GAP_INITIAL_SECONDS,
            gap_samples: 0,
        }
    }

    /// The prompt length, corrected by the ratio observed for the account.
    pub fn prompt_tokens(&self, work: &Work, account: &CustomerId) -> Tokens {
        let ratio = self.prompt_ratios.get(account).copied().unwrap_or(1.0);
        scaled(work.prompt_tokens, ratio)
    }

    /// The expected length of the answer.
    pub fn output_tokens(&self, work: &Work) -> Tokens {
        scaled(work.output_tokens, self.output_fraction)
    }

    /// The time that an engine takes to generate `tokens` of an answer.
    pub fn output_time(&self, tokens: Tokens) -> Duration {
        seconds(tokens.as_f64() * self.token_gap_seconds)
    }

    /// Corrects the estimates by an ended attempt. Only completed attempts give a sample of the
    /// answer length.
    pub fn observe(&mut self, work: &Work, account: &CustomerId, done: &AttemptSummary) {
        if done.prompt_tokens > Tokens::ZERO && work.prompt_tokens > Tokens::ZERO {
            let observed = done.prompt_tokens.as_f64() / work.prompt_tokens.as_f64();
            let ratio = self.prompt_ratios.entry(account.clone()).or_insert(1.0);
            move_average(
                ratio,
                observed.clamp(PROMPT_RATIO_MIN, PROMPT_RATIO_MAX),
                SAMPLE_WEIGHT_MIN,
            );
        }
        // Attempts that were cancelled at their deadline count as well. Completed attempts alone
        // are the fast ones and would make forecasts too short under load.
        if let Some(gap) = token_gap_seconds(done) {
            self.gap_samples = self.gap_samples.saturating_add(1);
            move_average(
                &mut self.token_gap_seconds,
                gap,
                sample_weight(self.gap_samples),
            );
        }
        if done.ended == AttemptOutcome::Completed && work.output_tokens > Tokens::ZERO {
            let fraction = done.output_tokens.as_f64() / work.output_tokens.as_f64();
            self.output_samples = self.output_samples.saturating_add(1);
            let fraction = fraction.clamp(OUTPUT_FRACTION_MIN, 1.0);
            move_average(
                &mut self.output_fraction,
                fraction,
                sample_weight(self.output_samples),
            );
        }
    }
}

impl Default for Estimator {
    fn default() -> Self {
        Self::new()
    }
}

/// The mean time between two tokens of an answer in seconds, if the answer has enough tokens.
pub(crate) fn token_gap_seconds(done: &AttemptSummary) -> Option<f64> {
    let output = done.output_tokens.as_f64();
    let first_token = done.first_token?;
    let seconds = done.total.saturating_sub(first_token).as_secs_f64();
    (output >= GAP_SAMPLE_TOKENS_MIN).then(|| seconds / (output - 1.0))
}

/// The weight of the latest of `samples` samples. The first samples count for more.
fn sample_weight(samples: u32) -> f64 {
    SAMPLE_WEIGHT_MIN.max(1.0 / f64::from(samples.max(1)))
}

/// Moves an average towards a sample.
fn move_average(average: &mut f64, sample: f64, weight: f64) {
    *average += weight * (sample - *average);
}

/// A number of tokens times a ratio, rounded up.
#[allow(
    clippy::cast_possible_truncation,
    reason = "the cast from a float saturates"
)]
#[allow(clippy::cast_sign_loss, reason = "ratios are positive")]
fn scaled(tokens: Tokens, ratio: f64) -> Tokens {
    Tokens((tokens.as_f64() * ratio).ceil() as u64)
}
