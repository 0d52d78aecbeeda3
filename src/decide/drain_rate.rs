//! How fast a queue drains, as seen while it was never empty.

use std::time::Duration;
use std::time::Instant;

/// One sample covers at least this long: several dispatches even at a handful of requests a second.
const WINDOW: Duration = Duration::from_millis(500);
/// The weight of a new sample: a few seconds of memory.
const GAIN: f64 = 0.2;
/// A rate that was seen longer ago says nothing of now.
const STALE: Duration = Duration::from_secs(10);

/// A queue's drain rate in cost units a second.
#[derive(Debug, Default)]
pub struct DrainRate {
    window_start: Option<Instant>,
    served: f64,
    rate: Option<f64>,
    seen_at: Option<Instant>,
}

impl DrainRate {
    /// Takes in what was served just now, and whether requests still wait.
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
        if elapsed < WINDOW {
            return;
        }
        let sample = self.served / elapsed.as_secs_f64();
        let old = self.rate.filter(|_| !self.is_stale(now));
        self.rate = Some(old.map_or(sample, |old| old + GAIN * (sample - old)));
        self.seen_at = Some(now);
        self.window_start = Some(now);
        self.served = 0.0;
    }

    /// The rate, or `nominal` if none was seen lately.
    pub fn per_second(&self, nominal: f64, now: Instant) -> f64 {
        let seen = self.rate.filter(|rate| *rate > 0.0 && !self.is_stale(now));
        seen.unwrap_or(nominal)
    }

    fn is_stale(&self, now: Instant) -> bool {
        let age = |seen_at| now.saturating_duration_since(seen_at);
        self.seen_at.is_none_or(|seen_at| age(seen_at) > STALE)
    }
}
