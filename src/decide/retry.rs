//! Retries: which failed attempts are retried, when, and how many in total.
//!
//! Load condition: upstreams fail or refuse, and each failure leads to another attempt. Without a
//! budget an outage multiplies the load on the remaining upstreams by the number of attempts, and
//! the overload outlasts the outage.

use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::decide::FailedAttempt;
use crate::decide::GiveUpReason;
use crate::decide::RetryDecision;
use crate::units::BoundedTime;

/// The number of attempts of one request in total. The second finds another upstream, and the third
/// covers a second failure. More attempts only delay the error response.
const ATTEMPTS_MAX: u32 = 3;
/// The upper bound on retries as a fraction of a service's first attempts in the long run.
const RETRY_RATIO: f64 = 0.2;
/// The number of retries that may be made at once, which covers the loss of one upstream together
/// with its batch.
const TOKENS_MAX: f64 = 32.0;
/// The number of retries per second that are always allowed, for services with little traffic.
const TOKENS_PER_SECOND: f64 = 0.5;
/// The upper bound on the pause before the first retry, which doubles with each further retry.
const BACKOFF_BASE: Duration = Duration::from_millis(20);
/// The upper bound on the pause before any retry, unless the upstream asks for a longer one.
const BACKOFF_MAX: Duration = Duration::from_secs(2);
/// The minimum time before the deadline for another attempt. A shorter attempt would only waste the
/// work of the upstream.
const TIME_LEFT_MIN: Duration = Duration::from_millis(100);

/// One host's retry budget for one service or model, a token bucket.
#[derive(Debug)]
pub struct RetryBudget {
    /// The number of retries that may be made now.
    tokens: f64,
    refilled_at: Instant,
    rng: StdRng,
}

impl RetryBudget {
    /// A full budget.
    pub fn new(seed: u64, now: Instant) -> Self {
        Self {
            tokens: TOKENS_MAX,
            refilled_at: now,
            rng: StdRng::seed_from_u64(seed),
        }
    }

    /// Records the first attempt of a request, which adds `RETRY_RATIO` of a retry to the budget.
    pub fn on_first_attempt(&mut self) {
        self.add_tokens(RETRY_RATIO);
    }

    /// Decides whether a failed attempt is retried, and takes the retry from the budget if so.
    pub fn decide(&mut self, failed: &FailedAttempt, now: Instant) -> RetryDecision {
        self.refill(now);
        if let Some(reason) = give_up_reason(failed) {
            return RetryDecision::GiveUp(reason);
        }
        let after = self.backoff(failed);
        if now + after + TIME_LEFT_MIN > failed.deadline {
            return RetryDecision::GiveUp(GiveUpReason::Deadline);
        }
        if self.tokens < 1.0 {
            return RetryDecision::GiveUp(GiveUpReason::Budget);
        }
        self.tokens -= 1.0;
        RetryDecision::Retry { after }
    }

    /// The pause before a retry, jittered between half of an exponentially growing bound and the
    /// bound itself, so that requests that failed together do not return together. The pause is
    /// never shorter than the upstream asked for.
    fn backoff(&mut self, failed: &FailedAttempt) -> Duration {
        let exponent = failed.attempts.saturating_sub(1).min(16);
        let bound = BACKOFF_BASE.saturating_mul(1 << exponent).min(BACKOFF_MAX);
        let jittered = bound.scaled(self.rng.random_range(0.5..1.0));
        jittered.max(failed.retry_after.unwrap_or_default())
    }

    /// Adds the retries that are always allowed for the time since the last refill.
    fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.refilled_at);
        self.refilled_at = now;
        self.add_tokens(elapsed.as_secs_f64() * TOKENS_PER_SECOND);
    }

    fn add_tokens(&mut self, tokens: f64) {
        self.tokens = (self.tokens + tokens).min(TOKENS_MAX);
    }
}

/// Why the attempt must not be retried, whatever the budget and the deadline; none if it may be.
fn give_up_reason(failed: &FailedAttempt) -> Option<GiveUpReason> {
    if failed.response_started {
        return Some(GiveUpReason::ResponseStarted);
    }
    if !failed.did_not_run && !failed.is_repeatable {
        return Some(GiveUpReason::NotRepeatable);
    }
    (failed.attempts >= ATTEMPTS_MAX).then_some(GiveUpReason::Attempts)
}
