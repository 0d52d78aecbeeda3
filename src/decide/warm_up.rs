//! Steps by which an upstream that joins or comes back gets its full work.
//!
//! Load it answers: a cold upstream beside loaded ones. It looks the emptiest, so without the steps
//! all that waits goes there at once, before its cache is filled and before it is seen to work.

use std::time::Duration;
use std::time::Instant;

/// The part of its slots in each step.
const STEPS: [f64; 4] = [0.125, 0.25, 0.5, 1.0];
/// Successes that a step takes.
const SUCCESSES_PER_STEP: u32 = 4;
/// A step also ends after this long without failure, so that little traffic warms it as well.
const STEP_MAX: Duration = Duration::from_secs(10);

/// How warm an upstream is.
#[derive(Clone, Copy, Debug)]
pub struct WarmUp {
    step: usize,
    successes: u32,
    since: Instant,
}

impl WarmUp {
    /// In full work.
    pub fn warm(now: Instant) -> Self {
        Self {
            step: STEPS.len() - 1,
            successes: 0,
            since: now,
        }
    }

    /// At the first step.
    pub fn cold(now: Instant) -> Self {
        Self {
            step: 0,
            successes: 0,
            since: now,
        }
    }

    /// How many attempts it may have at once.
    #[allow(clippy::cast_possible_truncation, reason = "at most the slots")]
    #[allow(clippy::cast_sign_loss, reason = "never negative")]
    pub fn slots(&self, slots: u32, now: Instant) -> u32 {
        let part = STEPS[self.step_at(now)];
        ((f64::from(slots) * part).ceil() as u32).max(1)
    }

    /// Whether long prefill may go there: in the second half of the steps.
    pub fn accepts_long_prefill(&self, now: Instant) -> bool {
        self.step_at(now) * 2 >= STEPS.len()
    }

    /// Takes in a completed attempt.
    pub fn on_success(&mut self, now: Instant) {
        self.step = self.step_at(now);
        self.successes += 1;
        if self.successes >= SUCCESSES_PER_STEP && self.step + 1 < STEPS.len() {
            self.step += 1;
            self.successes = 0;
            self.since = now;
        }
    }

    /// The step by successes, or by time where that is further.
    fn step_at(&self, now: Instant) -> usize {
        let elapsed = now.saturating_duration_since(self.since);
        let by_time = elapsed.as_secs() / STEP_MAX.as_secs();
        let steps = usize::try_from(by_time).unwrap_or(STEPS.len());
        self.step.saturating_add(steps).min(STEPS.len() - 1)
    }
}
