//! How many calls one instance of a plain service gets at once, by the latency that is seen.
//!
//! Load it answers: a service that slows down under load. Without a limit its calls pile up inside
//! it, all of them become slow, and callers give up on work that is still being done.

use std::time::Duration;
use std::time::Instant;

/// Calls in one sample.
const SAMPLE_CALLS: u32 = 16;
/// Latency may grow by this factor over its floor before the limit goes down: queueing of one call
/// behind another is still useful work.
const TOLERANCE: f64 = 1.5;
/// The limit is never cut by more than this at once.
const CUT_MIN: f64 = 0.7;
/// The floor rises by this a second, so that a service that has become slower for good is not held
/// to what it once did. It is far slower than the limit, which thus finds the floor again first.
const FLOOR_RISE: f64 = 1.01;
/// Where the limit begins: low, since the latency that is seen first is taken for the floor. It
/// doubles within some dozens of calls.
const FIRST_LIMIT: f64 = 2.0;

/// The limit of one instance.
#[derive(Debug)]
pub struct ConcurrencyLimit {
    limit: f64,
    bound: f64,
    floor_seconds: Option<f64>,
    floor_at: Option<Instant>,
    sum_seconds: f64,
    calls: u32,
    was_full: bool,
}

impl ConcurrencyLimit {
    /// A limit that is never above `bound`.
    pub fn new(bound: u32) -> Self {
        let bound = f64::from(bound.max(1));
        Self {
            limit: FIRST_LIMIT.min(bound),
            bound,
            floor_seconds: None,
            floor_at: None,
            sum_seconds: 0.0,
            calls: 0,
            was_full: false,
        }
    }

    /// Calls at once.
    #[allow(clippy::cast_possible_truncation, reason = "at most the bound")]
    #[allow(clippy::cast_sign_loss, reason = "at least 1")]
    pub fn get(&self) -> u32 {
        self.limit as u32
    }

    /// The latency that is to be expected, if any was seen.
    pub fn latency(&self) -> Option<Duration> {
        self.floor_seconds
            .map(|floor| Duration::from_secs_f64(floor * TOLERANCE))
    }

    /// Takes in a call that ended, and how many were running with it.
    pub fn observe(&mut self, took: Duration, running: u32, now: Instant) {
        self.sum_seconds += took.as_secs_f64();
        self.calls += 1;
        self.was_full |= f64::from(running) >= self.limit.floor();
        if self.calls >= SAMPLE_CALLS {
            self.adapt(now);
        }
    }

    /// Lowers the limit after a failure or a refusal for load.
    pub fn on_overload(&mut self) {
        self.limit = (self.limit * CUT_MIN).max(1.0);
    }

    fn adapt(&mut self, now: Instant) {
        let mean = (self.sum_seconds / f64::from(self.calls)).max(1.0e-6);
        let since = |at| now.saturating_duration_since(at).as_secs_f64();
        let rise = FLOOR_RISE.powf(self.floor_at.map_or(0.0, since));
        self.floor_at = Some(now);
        let risen = self.floor_seconds.map_or(mean, |floor| floor * rise);
        let floor = risen.min(mean);
        let ratio = floor * TOLERANCE / mean;
        if ratio < 1.0 {
            self.limit *= ratio.max(CUT_MIN);
        } else if self.was_full {
            self.limit += self.limit.sqrt();
        }
        self.limit = self.limit.clamp(1.0, self.bound);
        self.floor_seconds = Some(floor);
        self.sum_seconds = 0.0;
        self.calls = 0;
        self.was_full = false;
    }
}
