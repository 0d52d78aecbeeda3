//! The recent peak of a ledger, over the time by which load reports lag.

use std::time::Duration;
use std::time::Instant;

use crate::units::Tokens;

/// The length of one window. Two windows cover the lag of a report.
const WINDOW_LENGTH: Duration = Duration::from_secs(1);

/// The peaks of an upstream's pending prefill and held memory over the last one to two windows.
/// Both are in tokens, and each peak is taken on its own.
#[derive(Debug)]
pub struct RecentPeak {
    window_start: Instant,
    current: (f64, Tokens),
    previous: (f64, Tokens),
}

impl RecentPeak {
    /// Creates peaks of zero.
    pub fn new(now: Instant) -> Self {
        Self {
            window_start: now,
            current: (0.0, Tokens::ZERO),
            previous: (0.0, Tokens::ZERO),
        }
    }

    /// Records the ledger's current prefill and memory, in tokens.
    pub fn record(&mut self, prefill: f64, memory: Tokens, now: Instant) {
        if now.saturating_duration_since(self.window_start) >= WINDOW_LENGTH {
            self.previous = self.current;
            self.current = (prefill, memory);
            self.window_start = now;
        }
        self.current.0 = self.current.0.max(prefill);
        self.current.1 = self.current.1.max(memory);
    }

    /// The peak prefill and the peak memory, in tokens, up to the last record.
    pub fn get(&self) -> (f64, Tokens) {
        let prefill = self.current.0.max(self.previous.0);
        (prefill, self.current.1.max(self.previous.1))
    }
}
