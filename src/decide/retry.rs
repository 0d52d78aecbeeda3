//! Retries: which failed attempts are made again, when, and how many in all.
//!
//! Load it answers: upstreams fail or refuse, and each failure asks for another attempt. Without a
//! budget an outage multiplies the load on what is left by the number of attempts, and the outage
//! outlasts its cause.

use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::decide::FailedAttempt;
use crate::decide::GiveUpReason;
use crate::decide::RetryDecision;

/// A request's attempts in all: the second finds another upstream, the third covers a second
/// failure; more only delay the truth.
const ATTEMPTS_MAX: u32 = 3;
/// Retries add at most this part to a service's traffic in the long run.
const RETRY_PART: f64 = 0.2;
/// Retries that may be made at once, so that the loss of one upstream with its batch is covered.
const SAVED_MAX: f64 = 32.0;
/// Retries a second that are always allowed, for services with little traffic.
const SAVED_PER_SECOND: f64 = 0.5;
const BACKOFF_BASE: Duration = Duration::from_millis(20);
const BACKOFF_MAX: Duration = Duration::from_secs(2);
/// Below this much time an attempt only wastes the upstream's work.
const REMAINING_MIN: Duration = Duration::from_millis(100);

/// One host's budget of retries for one service or model.
#[derive(Debug)]
pub struct RetryBudget {
    saved: f64,
    refilled_at: Instant,
    rng: StdRng,
}

impl RetryBudget {
    /// A full budget.
    pub fn new(seed: u64, now: Instant) -> Self {
        Self {
            saved: SAVED_MAX,
            refilled_at: now,
            rng: StdRng::seed_from_u64(seed),
        }
    }

    /// Takes in that a request was dispatched for the first time, which earns a part of a retry.
    pub fn on_first_attempt(&mut self) {
        self.save(RETRY_PART);
    }

    /// What to do after a failed attempt. [`RetryDecision::Retry`] has been paid for.
    pub fn decide(&mut self, failed: &FailedAttempt, now: Instant) -> RetryDecision {
        self.refill(now);
        if let Some(stop) = stop_by_promise(failed) {
            return RetryDecision::GiveUp(stop);
        }
        let after = self.backoff(failed);
        if now + after + REMAINING_MIN > failed.deadline {
            return RetryDecision::GiveUp(GiveUpReason::Deadline);
        }
        if self.saved < 1.0 {
            return RetryDecision::GiveUp(GiveUpReason::Budget);
        }
        self.saved -= 1.0;
        RetryDecision::Retry { after }
    }

    /// A pause between half of an exponentially growing bound and all of it, so that requests that
    /// failed together do not come back together; never less than the upstream asked for.
    fn backoff(&mut self, failed: &FailedAttempt) -> Duration {
        let exponent = failed.attempts.saturating_sub(1).min(16);
        let bound = BACKOFF_BASE.saturating_mul(1 << exponent).min(BACKOFF_MAX);
        let jittered = bound.mul_f64(self.rng.random_range(0.5..1.0));
        jittered.max(failed.retry_after.unwrap_or_default())
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.refilled_at);
        self.refilled_at = now;
        self.save(elapsed.as_secs_f64() * SAVED_PER_SECOND);
    }

    fn save(&mut self, retries: f64) {
        self.saved = (self.saved + retries).min(SAVED_MAX);
    }
}

fn stop_by_promise(failed: &FailedAttempt) -> Option<GiveUpReason> {
    if failed.response_started {
        return Some(GiveUpReason::ResponseStarted);
    }
    if !failed.did_not_run && !failed.is_repeatable {
        return Some(GiveUpReason::NotRepeatable);
    }
    (failed.attempts >= ATTEMPTS_MAX).then_some(GiveUpReason::Attempts)
}
