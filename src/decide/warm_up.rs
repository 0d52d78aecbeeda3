//! Slow start: the steps by which a new or reinstated upstream receives its full load.
//!
//! Load condition: a cold upstream beside loaded ones looks the emptiest. Without these steps the
//! whole queue is sent there at once, before its cache is filled and before it is known to work.

use std::time::Duration;
use std::time::Instant;

/// The fraction of the slots available in each step.
const STEPS: [f64; 4] = [0.125, 0.25, 0.5, 1.0];
/// The number of successful attempts that complete a step.
const SUCCESSES_PER_STEP: u32 = 4;
/// The time without a failure after which a step also completes, so that an upstream with little
/// traffic warms up too.
const STEP_DURATION_MAX: Duration = Duration::from_secs(10);

/// The warm-up state of one upstream.
#[derive(Clone, Copy, Debug)]
pub struct WarmUp {
    step: usize,
    /// The number of successful attempts since `since`.
    successes: u32,
    /// When the warm-up began or successful attempts last completed a step.
    since: Instant,
}

impl WarmUp {
    /// The state of an upstream that has completed its warm-up.
    pub fn warm(now: Instant) -> Self {
        Self {
            step: STEPS.len() - 1,
            successes: 0,
            since: now,
        }
    }

    /// The state of an upstream at its first step.
    pub fn cold(now: Instant) -> Self {
        Self {
            step: 0,
            successes: 0,
            since: now,
        }
    }

    /// The number of concurrent attempts allowed at `now`, out of `slots`.
    #[allow(clippy::cast_possible_truncation, reason = "at most the slots")]
    #[allow(clippy::cast_sign_loss, reason = "never negative")]
    pub fn slots(&self, slots: u32, now: Instant) -> u32 {
        let fraction = STEPS[self.step_at(now)];
        ((f64::from(slots) * fraction).ceil() as u32).max(1)
    }

    /// Whether the upstream may run long prefill, which is allowed in the second half of the steps.
    pub fn accepts_long_prefill(&self, now: Instant) -> bool {
        self.step_at(now) * 2 >= STEPS.len()
    }

    /// Records a successful attempt.
    pub fn on_success(&mut self, now: Instant) {
        self.step = self.step_at(now);
        self.successes += 1;
        if self.successes >= SUCCESSES_PER_STEP && self.step + 1 < STEPS.len() {
            self.step += 1;
            self.successes = 0;
            self.since = now;
        }
    }

    /// The current step, by successes or by elapsed time, whichever is further.
    fn step_at(&self, now: Instant) -> usize {
        let elapsed = now.saturating_duration_since(self.since);
        let by_time = elapsed.as_secs() / STEP_DURATION_MAX.as_secs();
        let steps = usize::try_from(by_time).unwrap_or(STEPS.len());
        self.step.saturating_add(steps).min(STEPS.len() - 1)
    }
}
