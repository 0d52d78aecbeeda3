//! The drain rate of a queue, measured while the queue is not empty.

use std::time::Duration;
use std::time::Instant;

/// The least time that one sample covers: several dispatches even at a few requests a second.
const SAMPLE_WINDOW: Duration = Duration::from_millis(500);
/// The weight of a new sample in the moving average, which averages over a few seconds.
const SAMPLE_WEIGHT: f64 = 0.2;
/// A rate that is older than this no longer describes the queue.
const STALE_AFTER: Duration = Duration::from_secs(10);

/// The drain rate of a queue in cost units a second.
#[derive(Debug, Default)]
pub struct DrainRate {
    /// The start of the current sample; `None` while the queue is empty.
    window_start: Option<Instant>,
    /// The cost served in the current sample.
    served: f64,
    rate: Option<f64>,
    /// The time of the last change of `rate`.
    observed_at: Option<Instant>,
}

impl DrainRate {
    /// Records the cost that was served just now and whether requests are still waiting. A queue
    /// that is empty ends the current sample without a result.
    pub fn observe(&mut self, served: f64, is_waiting: bool, now: Instant) {
        if !is_waiting {
            self.window_start = None;
            return;
        }
        let Some(start) = self.window_start else {
            self.window_start = Some(now);
            self.served = 0.0;
            return;
        };
        self.served += served;
        let elapsed = now.saturating_duration_since(start);
        if elapsed < SAMPLE_WINDOW {
            return;
        }
        let sample = self.served / elapsed.as_secs_f64();
        let old = self.rate.filter(|_| !self.is_stale(now));
        self.rate = Some(old.map_or(sample, |old| old + SAMPLE_WEIGHT * (sample - old)));
        self.observed_at = Some(now);
        self.window_start = Some(now);
        self.served = 0.0;
    }

    /// The measured rate, or `nominal` if there is no recent measurement.
    pub fn per_second(&self, nominal: f64, now: Instant) -> f64 {
        let recent = self.rate.filter(|rate| *rate > 0.0 && !self.is_stale(now));
        recent.unwrap_or(nominal)
    }

    fn is_stale(&self, now: Instant) -> bool {
        let age = |observed_at| now.saturating_duration_since(observed_at);
        self.observed_at
            .is_none_or(|observed_at| age(observed_at) > STALE_AFTER)
    }
}
