//! An estimate of the prefill speed of one upstream from observed first tokens.
//!
//! An upstream may be five times slower than its settings say, or the setting may be wrong for all
//! upstreams. Without a measured speed the ledger would count prefill as done that is still
//! running, or leave engines idle whose prefill is done.

use std::time::Duration;

use crate::units::Tokens;
use crate::units::TokensPerSecond;
use crate::units::seconds;

/// The least prompt length of a sample. Shorter prefills measure only the overhead.
const SAMPLE_TOKENS_MIN: Tokens = Tokens(256);
/// The largest ratio of the prefill ahead of a prompt to the prompt itself in a sample. The prefill
/// ahead is itself an estimate, and a wrong estimate would confirm itself.
const AHEAD_FRACTION_MAX: f64 = 0.25;
/// The least weight of one sample: ten samples close two thirds of a gap.
const SAMPLE_WEIGHT_MIN: f64 = 0.1;
/// The factor by which each new sample reduces the weight of the older ones.
const SAMPLE_DECAY: f64 = 0.95;
/// The overhead in seconds that is assumed before it has been measured.
const OVERHEAD_INITIAL_SECONDS: f64 = 0.005;
/// The largest plausible overhead in seconds: engines make many steps a second.
const OVERHEAD_MAX_SECONDS: f64 = 0.5;
/// The least variation of prefill lengths, as a squared ratio, at which overhead and speed
/// can be separated.
const SPREAD_MIN: f64 = 0.05;
/// Bounds of the speed in tokens a second, against wrong clocks and reports.
const SPEED_MIN: f64 = 1.0;
const SPEED_MAX: f64 = 10_000_000.0;

/// An estimate of the prefill speed, by a line fitted to the times to first token: an overhead (the
/// step under way and the round trip) plus a time for each prompt token. If the overhead counted as
/// prefill, engines would look slower than they are and would be left idle under load.
#[derive(Clone, Copy, Debug)]
pub struct SpeedEstimate {
    tokens_per_second: f64,
    overhead_seconds: f64,
    samples: u32,
    line: LineFit,
}

/// The weighted sums of a least-squares line fit, where x is work in tokens and y is seconds.
#[derive(Clone, Copy, Debug, Default)]
struct LineFit {
    weight: f64,
    x: f64,
    y: f64,
    xx: f64,
    xy: f64,
}

impl SpeedEstimate {
    /// Creates an estimate that starts from the configured speed.
    pub fn new(speed: TokensPerSecond) -> Self {
        Self {
            tokens_per_second: speed.0.clamp(SPEED_MIN, SPEED_MAX),
            overhead_seconds: OVERHEAD_INITIAL_SECONDS,
            samples: 0,
            line: LineFit::default(),
        }
    }

    /// The estimated speed in tokens a second.
    pub fn get(&self) -> f64 {
        self.tokens_per_second
    }

    /// The part of the time to first token that does not depend on the prompt length.
    pub fn overhead(&self) -> Duration {
        seconds(self.overhead_seconds)
    }

    /// Records a first token that gives only a lower bound of the speed, and raises the estimate
    /// towards that bound if it is lower: the engine processed at least the prompt itself in that
    /// time, whatever was ahead of it. Prompts that are too short are ignored.
    pub fn observe_lower_bound(&mut self, prompt: Tokens, elapsed: Duration) {
        let seconds = elapsed.as_secs_f64();
        if prompt < SAMPLE_TOKENS_MIN || seconds <= 0.0 {
            return;
        }
        let lower_bound = prompt.as_f64() / (seconds - self.overhead_seconds).max(seconds * 0.8);
        let target = lower_bound.max(self.tokens_per_second);
        self.move_towards(target, SAMPLE_WEIGHT_MIN);
    }

    /// Lowers the speed to `limit`, in tokens a second, if it is higher.
    pub fn limit_to(&mut self, limit: f64) {
        self.tokens_per_second = self.tokens_per_second.min(limit.max(SPEED_MIN));
    }

    /// The number of samples in the estimate.
    pub fn samples(&self) -> u32 {
        self.samples
    }

    /// Records a first token: the uncached prompt tokens (`prompt`), the tokens that the engine
    /// processed before them (`ahead`), and the time from dispatch to the first token (`elapsed`).
    /// Prompts that are too short or had too much prefill ahead of them are ignored.
    pub fn observe(&mut self, prompt: Tokens, ahead: f64, elapsed: Duration) {
        let seconds = elapsed.as_secs_f64();
        let work = prompt.as_f64() + ahead;
        let is_mostly_prompt = prompt.as_f64() * AHEAD_FRACTION_MAX >= ahead;
        if prompt < SAMPLE_TOKENS_MIN || !is_mostly_prompt || seconds <= 0.0 {
            return;
        }
        self.samples = self.samples.saturating_add(1);
        self.line.add(work, seconds);
        let slope = if let Some((overhead, slope)) = self.line.fit() {
            self.overhead_seconds = overhead;
            slope
        } else {
            (seconds - self.overhead_seconds).max(seconds * 0.1) / work
        };
        // The engine processed at least the prompt itself in that time, whatever was ahead of it.
        let lower_bound = prompt.as_f64() / seconds;
        let target = (1.0 / slope).max(lower_bound);
        // The first samples count for more, so that a wrong setting is corrected quickly.
        let weight = SAMPLE_WEIGHT_MIN.max(1.0 / f64::from(self.samples));
        self.move_towards(target, weight);
    }

    /// Moves the estimate towards `target` by averaging ratios rather than differences, so that
    /// settings that are too high and too low are corrected alike.
    fn move_towards(&mut self, target: f64, weight: f64) {
        let step = (target / self.tokens_per_second).powf(weight);
        self.tokens_per_second = (self.tokens_per_second * step).clamp(SPEED_MIN, SPEED_MAX);
    }
}

impl LineFit {
    /// Adds a point, weighted by the inverse of its time. Long prefills determine the speed, short
    /// ones the overhead.
    fn add(&mut self, x: f64, y: f64) {
        let weight = 1.0 / y;
        self.weight = self.weight * SAMPLE_DECAY + weight;
        self.x = self.x * SAMPLE_DECAY + weight * x;
        self.y = self.y * SAMPLE_DECAY + weight * y;
        self.xx = self.xx * SAMPLE_DECAY + weight * x * x;
        self.xy = self.xy * SAMPLE_DECAY + weight * x * y;
    }

    /// The overhead and the time for one token, both in seconds. The overhead is kept within its
    /// bounds. `None` if the prefill lengths differ too little or the time for one token would not
    /// be positive.
    fn fit(&self) -> Option<(f64, f64)> {
        let spread = self.weight * self.xx - self.x * self.x;
        if spread < SPREAD_MIN * self.x * self.x {
            return None;
        }
        let slope = (self.weight * self.xy - self.x * self.y) / spread;
        let overhead = ((self.y - slope * self.x) / self.weight).clamp(0.0, OVERHEAD_MAX_SECONDS);
        let slope = (self.y - overhead * self.weight) / self.x;
        (slope > 0.0).then_some((overhead, slope))
    }
}
