//! The prefill speed of one upstream, as seen.
//!
//! Load it answers: an upstream that is five times slower than its settings say, or a setting that
//! is wrong for all. Without it the ledger believes prefill done that still runs, or leaves engines
//! idle that are done.

use std::time::Duration;

use crate::units::Tokens;
use crate::units::TokensPerSecond;

/// Shorter prefills measure the overhead only.
const SAMPLE_TOKENS_MIN: Tokens = Tokens(256);
/// What came before is only reckoned, so it must be little beside the prompt itself: a wrong
/// reckoning would confirm itself.
const AHEAD_PART_MAX: f64 = 0.25;
/// The weight of one sample: ten corrections close two thirds of a gap.
const GAIN: f64 = 0.1;
/// What older samples count for after each new one.
const KEPT: f64 = 0.95;
/// The overhead before it is known.
const OVERHEAD_FIRST: f64 = 0.005;
/// No overhead is more: engines make many steps a second.
const OVERHEAD_MAX: f64 = 0.5;
/// How much prefills must differ in length, as a squared ratio, before overhead and speed can be
/// told apart.
const SPREAD_MIN: f64 = 0.05;
/// No engine is outside of these, whatever a clock or a report says.
const SPEED_MIN: f64 = 1.0;
const SPEED_MAX: f64 = 10_000_000.0;

/// An estimate of tokens a second, by a line through what first tokens took: an overhead (the step
/// that was under way, the round trip), and a time for each token read. With the overhead taken for
/// prefill, engines would look slower than they are and be left idle under load.
#[derive(Clone, Copy, Debug)]
pub struct SpeedEstimate {
    tokens_per_second: f64,
    overhead: f64,
    samples: u32,
    line: Line,
}

/// Weighted sums of a least-squares line; x is work in tokens, y is seconds.
#[derive(Clone, Copy, Debug, Default)]
struct Line {
    weight: f64,
    x: f64,
    y: f64,
    xx: f64,
    xy: f64,
}

impl SpeedEstimate {
    /// Begins with what the settings say.
    pub fn new(speed: TokensPerSecond) -> Self {
        Self {
            tokens_per_second: speed.0.clamp(SPEED_MIN, SPEED_MAX),
            overhead: OVERHEAD_FIRST,
            samples: 0,
            line: Line::default(),
        }
    }

    /// Tokens a second.
    pub fn get(&self) -> f64 {
        self.tokens_per_second
    }

    /// What a first token takes beside the prefill.
    pub fn overhead(&self) -> Duration {
        Duration::from_secs_f64(self.overhead)
    }

    /// Takes in a first token that tells only how fast the engine is at least, since it read the
    /// prompt itself in that time, whatever came before.
    pub fn observe_lower_bound(&mut self, own: Tokens, took: Duration) {
        let seconds = took.as_secs_f64();
        if own < SAMPLE_TOKENS_MIN || seconds <= 0.0 {
            return;
        }
        let least = own.as_f64() / (seconds - self.overhead).max(seconds * 0.8);
        let target = least.max(self.tokens_per_second);
        self.approach(target, GAIN);
    }

    /// Lowers it to a bound.
    pub fn limit_to(&mut self, most: f64) {
        self.tokens_per_second = self.tokens_per_second.min(most.max(SPEED_MIN));
    }

    /// How many samples it rests on.
    pub fn samples(&self) -> u32 {
        self.samples
    }

    /// Takes in a first token: the prompt itself (`own`), what the engine read before it (`ahead`),
    /// and how long it took.
    pub fn observe(&mut self, own: Tokens, ahead: f64, took: Duration) {
        let seconds = took.as_secs_f64();
        let work = own.as_f64() + ahead;
        let is_mostly_own = own.as_f64() * AHEAD_PART_MAX >= ahead;
        if own < SAMPLE_TOKENS_MIN || !is_mostly_own || seconds <= 0.0 {
            return;
        }
        self.samples = self.samples.saturating_add(1);
        self.line.add(work, seconds);
        let slope = if let Some((overhead, slope)) = self.line.fit() {
            self.overhead = overhead;
            slope
        } else {
            (seconds - self.overhead).max(seconds * 0.1) / work
        };
        // It has read the prompt itself in that time, whatever came before.
        let least = own.as_f64() / seconds;
        let target = (1.0 / slope).max(least);
        // The first samples count for more, so that a wrong setting is left behind at once.
        let gain = GAIN.max(1.0 / f64::from(self.samples));
        self.approach(target, gain);
    }

    /// Averages ratios, not differences: too high and too low settings are alike.
    fn approach(&mut self, target: f64, gain: f64) {
        let step = (target / self.tokens_per_second).powf(gain);
        self.tokens_per_second = (self.tokens_per_second * step).clamp(SPEED_MIN, SPEED_MAX);
    }
}

impl Line {
    /// Adds a point. Long prefills tell more of the speed, short ones of the overhead.
    fn add(&mut self, x: f64, y: f64) {
        let weight = 1.0 / y;
        self.weight = self.weight * KEPT + weight;
        self.x = self.x * KEPT + weight * x;
        self.y = self.y * KEPT + weight * y;
        self.xx = self.xx * KEPT + weight * x * x;
        self.xy = self.xy * KEPT + weight * x * y;
    }

    /// The overhead and the time for a token, if the points differ enough to tell.
    fn fit(&self) -> Option<(f64, f64)> {
        let spread = self.weight * self.xx - self.x * self.x;
        if spread < SPREAD_MIN * self.x * self.x {
            return None;
        }
        let slope = (self.weight * self.xy - self.x * self.y) / spread;
        let overhead = ((self.y - slope * self.x) / self.weight).clamp(0.0, OVERHEAD_MAX);
        let slope = (self.y - overhead * self.weight) / self.x;
        (slope > 0.0).then_some((overhead, slope))
    }
}
