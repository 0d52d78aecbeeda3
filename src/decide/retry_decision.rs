//! What comes of a failed attempt.

use std::time::Duration;
use std::time::Instant;

use crate::decide::RefuseReason;

/// A failed attempt, as the entry host that made it knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FailedAttempt {
    /// How many attempts the request has had, this one included.
    pub attempts: u32,
    /// Whether it is certain that the upstream did not run it.
    pub did_not_run: bool,
    /// Whether the request may run twice.
    pub is_repeatable: bool,
    /// Whether a part of the answer has reached the caller already.
    pub response_started: bool,
    /// When the upstream wants to be asked again, if it said so.
    pub retry_after: Option<Duration>,
    /// When the request must have ended.
    pub deadline: Instant,
}

/// What to do after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Ask for another grant after a pause, with the upstream that failed in [`crate::decide::Work::avoid`].
    Retry {
        /// The pause, jittered.
        after: Duration,
    },
    /// Tell the caller.
    GiveUp(GiveUpReason),
}

/// Why there is no further attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GiveUpReason {
    /// It may have run and must not run twice.
    NotRepeatable,
    /// The caller has seen a part of the answer, which another attempt would not continue.
    ResponseStarted,
    /// It has had its number of attempts.
    Attempts,
    /// The time that remains is too short.
    Deadline,
    /// Too much of the service's traffic is retries already.
    Budget,
}

impl GiveUpReason {
    /// The reason to tell a caller whose request provably did not run.
    pub fn refuse_reason(self) -> RefuseReason {
        match self {
            Self::Deadline => RefuseReason::Deadline,
            Self::NotRepeatable | Self::ResponseStarted | Self::Attempts => {
                RefuseReason::NoUpstream
            }
            Self::Budget => RefuseReason::RetryBudget,
        }
    }
}
