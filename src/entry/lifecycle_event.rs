//! The events in the lifecycle of a request.

use crate::decide::RefuseReason;
use crate::entry::AttemptFailure;
use crate::entry::FailureReason;

/// An event in the lifecycle of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LifecycleEvent {
    /// The request passed the admission check.
    Admitted,
    /// The request failed the admission check.
    Rejected(FailureReason),
    /// A home granted one dispatch.
    Granted,
    /// A home refused the request.
    Refused(RefuseReason),
    /// The claim is recorded for this request.
    Claimed,
    /// An earlier request with the same key holds the claim, and its response can be read.
    ClaimHeld,
    /// The claim was not recorded, and will not be.
    ClaimFailed(FailureReason),
    /// The upstream has accepted the attempt.
    AttemptAccepted,
    /// A silent attempt goes on and needs no replacement.
    SilenceEnded,
    /// The first byte of the reply went to the caller.
    ReplyStarted,
    /// The response was received completely.
    ResponseCompleted,
    /// The attempt ended without a complete response.
    AttemptFailed(AttemptFailure),
    /// The retry budget and the remaining time allow another attempt.
    RetryAllowed,
    /// The retry budget or the remaining time does not allow another attempt.
    RetryDenied,
    /// The time limit has passed.
    DeadlineExceeded,
    /// The caller has disconnected, or reads too slowly.
    CallerGone,
}
