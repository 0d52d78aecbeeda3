//! An adaptive limit on the concurrent calls to one instance of a plain service.
//!
//! The limit follows the observed latency and protects a service that slows down under load.
//! Without a limit, calls pile up inside the service, all of them become slow, and callers give up
//! on work that is still being done.

use std::time::Duration;
use std::time::Instant;

use crate::units::seconds;

/// The number of calls that make up one latency sample.
const SAMPLE_CALLS: u32 = 16;
/// The limit is lowered when the mean latency exceeds the latency floor by more than this factor.
/// Some queueing of one call behind another is still useful work.
const LATENCY_TOLERANCE: f64 = 1.5;
/// One adjustment multiplies the limit by no less than this.
const DECREASE_FACTOR_MIN: f64 = 0.7;
/// The latency floor grows by this factor each second, so that a service that has become slower for
/// good is not measured against its former latency. The limit adapts much faster than the floor
/// grows, so the true floor is found again first.
const FLOOR_GROWTH_PER_SECOND: f64 = 1.01;
/// The limit of a new instance. It starts low because the first latency that is observed becomes
/// the floor, and it doubles within some dozens of calls.
const INITIAL_LIMIT: f64 = 2.0;

/// The limit on concurrent calls to one instance.
#[derive(Debug)]
pub struct ConcurrencyLimit {
    limit: f64,
    /// The largest value of `limit`.
    bound: f64,
    /// The latency floor: the least mean latency of a sample, with its growth since then.
    floor_seconds: Option<f64>,
    /// The time of the last sample, from which the floor grows.
    floor_at: Option<Instant>,
    /// The sum of the latencies in the current sample.
    sum_seconds: f64,
    /// The number of calls in the current sample.
    calls: u32,
    /// Whether the limit was reached during the current sample.
    was_full: bool,
}

impl ConcurrencyLimit {
    /// Creates a limit that never exceeds `bound`.
    pub fn new(bound: u32) -> Self {
        let bound = f64::from(bound.max(1));
        Self {
            limit: INITIAL_LIMIT.min(bound),
            bound,
            floor_seconds: None,
            floor_at: None,
            sum_seconds: 0.0,
            calls: 0,
            was_full: false,
        }
    }

    /// The number of calls that may run concurrently.
    #[allow(clippy::cast_possible_truncation, reason = "at most the bound")]
    #[allow(clippy::cast_sign_loss, reason = "at least 1")]
    pub fn get(&self) -> u32 {
        self.limit as u32
    }

    /// The expected latency of one call, which is the latency floor with its tolerance; `None`
    /// before the first sample is complete.
    pub fn latency(&self) -> Option<Duration> {
        self.floor_seconds
            .map(|floor| seconds(floor * LATENCY_TOLERANCE))
    }

    /// Records the latency of a completed call and how many calls were running at its end.
    pub fn observe(&mut self, latency: Duration, running: u32, now: Instant) {
        self.sum_seconds += latency.as_secs_f64();
        self.calls += 1;
        self.was_full |= f64::from(running) >= self.limit.floor();
        if self.calls >= SAMPLE_CALLS {
            self.adapt(now);
        }
    }

    /// Lowers the limit after a call failed or was refused for overload.
    pub fn on_overload(&mut self) {
        self.limit = (self.limit * DECREASE_FACTOR_MIN).max(1.0);
    }

    /// Adjusts the limit and the latency floor by the sample that is now complete.
    fn adapt(&mut self, now: Instant) {
        let mean = (self.sum_seconds / f64::from(self.calls)).max(1.0e-6);
        let since = |at| now.saturating_duration_since(at).as_secs_f64();
        let growth = FLOOR_GROWTH_PER_SECOND.powf(self.floor_at.map_or(0.0, since));
        self.floor_at = Some(now);
        let grown = self.floor_seconds.map_or(mean, |floor| floor * growth);
        let floor = grown.min(mean);
        let ratio = floor * LATENCY_TOLERANCE / mean;
        if ratio < 1.0 {
            self.limit *= ratio.max(DECREASE_FACTOR_MIN);
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
