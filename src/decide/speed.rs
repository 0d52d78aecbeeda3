//! The prefill speed of one upstream, as seen.
//!
//! Load it answers: an upstream that is five times slower than its settings say, or a setting that
//! is wrong for all. Without it the ledger believes prefill done that still runs.

use std::time::Duration;

use crate::units::Tokens;
use crate::units::TokensPerSecond;

/// The weight of one sample: five corrections close two thirds of a gap.
const GAIN: f64 = 0.2;
/// Shorter prompts measure the round trip, not the prefill.
const SAMPLE_TOKENS_MIN: f64 = 256.0;
/// What the round trip and one engine step add to a first token.
const OVERHEAD: Duration = Duration::from_millis(5);
/// No engine is outside of these, whatever a clock or a report says.
const SPEED_MIN: f64 = 1.0;
const SPEED_MAX: f64 = 10_000_000.0;

/// An estimate of tokens a second.
#[derive(Clone, Copy, Debug)]
pub struct SpeedEstimate {
    tokens_per_second: f64,
    samples: u32,
}

impl SpeedEstimate {
    /// Begins with what the settings say.
    pub fn new(speed: TokensPerSecond) -> Self {
        Self {
            tokens_per_second: speed.0.clamp(SPEED_MIN, SPEED_MAX),
            samples: 0,
        }
    }

    /// Tokens a second.
    pub fn get(&self) -> f64 {
        self.tokens_per_second
    }

    /// How many samples it rests on.
    pub fn samples(&self) -> u32 {
        self.samples
    }

    /// Takes in a first token. In the time that it took, the engine read at least the prompt itself
    /// (`own`), and at most that and what came before it (`ahead`): its speed lies between these
    /// two, and only what lies outside is corrected.
    pub fn observe(&mut self, own: Tokens, ahead: f64, took: Duration) {
        let seconds = took.saturating_sub(OVERHEAD).as_secs_f64();
        if own.as_f64() < SAMPLE_TOKENS_MIN || seconds <= 0.0 {
            return;
        }
        self.samples = self.samples.saturating_add(1);
        // The first samples count for more, so that a wrong setting is left behind at once.
        let gain = GAIN.max(1.0 / f64::from(self.samples));
        let least = own.as_f64() / seconds;
        let most = (own.as_f64() + ahead) / seconds;
        let target = self.tokens_per_second.clamp(least, most);
        // Ratios are averaged, not differences: too high and too low settings are alike.
        let step = (target / self.tokens_per_second).powf(gain);
        self.tokens_per_second = (self.tokens_per_second * step).clamp(SPEED_MIN, SPEED_MAX);
    }
}
