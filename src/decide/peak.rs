//! The most that a ledger showed within the time that reports lag.

use std::time::Duration;
use std::time::Instant;

use crate::units::Tokens;

/// Two windows of this length cover the lag of a report.
const WINDOW: Duration = Duration::from_secs(1);

/// The most prefill and memory within one to two windows.
#[derive(Debug)]
pub struct Peak {
    since: Instant,
    current: (f64, Tokens),
    before: (f64, Tokens),
}

impl Peak {
    /// Nothing yet.
    pub fn new(now: Instant) -> Self {
        Self {
            since: now,
            current: (0.0, Tokens::ZERO),
            before: (0.0, Tokens::ZERO),
        }
    }

    /// Takes in what the ledger shows now.
    pub fn note(&mut self, prefill: f64, memory: Tokens, now: Instant) {
        if now.saturating_duration_since(self.since) >= WINDOW {
            self.before = self.current;
            self.current = (prefill, memory);
            self.since = now;
        }
        self.current.0 = self.current.0.max(prefill);
        self.current.1 = self.current.1.max(memory);
    }

    /// The most of each.
    pub fn most(&self) -> (f64, Tokens) {
        let prefill = self.current.0.max(self.before.0);
        (prefill, self.current.1.max(self.before.1))
    }
}
