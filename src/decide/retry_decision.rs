//! Failed attempts and the decision whether to retry them.

use std::time::Duration;
use std::time::Instant;

use crate::decide::RefuseReason;

/// A failed attempt as known to the host that made it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FailedAttempt {
    /// The number of attempts of the request so far, including this one.
    pub attempts: u32,
    /// Whether the upstream certainly did not run the request.
    pub did_not_run: bool,
    /// Whether the request may run more than once.
    pub is_repeatable: bool,
    /// Whether a part of the response has already reached the caller.
    pub response_started: bool,
    /// The pause that the upstream asked for, if any.
    pub retry_after: Option<Duration>,
    /// The deadline of the request.
    pub deadline: Instant,
}

/// Whether a failed attempt is retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Request another grant after a pause, with the failed upstream in
    /// [`crate::decide::Work::avoid`].
    Retry {
        /// The jittered pause.
        after: Duration,
    },
    /// Return an error to the caller.
    GiveUp(GiveUpReason),
}

/// Why a failed attempt is not retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GiveUpReason {
    /// The request may have run and must not run twice.
    NotRepeatable,
    /// The caller has received a part of the response, which another attempt would not continue.
    ResponseStarted,
    /// The request has used all its attempts.
    Attempts,
    /// Too little time remains before the deadline.
    Deadline,
    /// The retry budget of the service is used up.
    Budget,
}

impl GiveUpReason {
    /// The reason to return to a caller whose request certainly did not run.
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
