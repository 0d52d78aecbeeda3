//! The actions in the lifecycle of a request.

use crate::entry::RequestOutcome;

/// The next action for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LifecycleAction {
    /// No action, since the event changes nothing.
    Nothing,
    /// Request a grant from a home.
    RequestGrant,
    /// Record a claim.
    Claim,
    /// Dispatch the request under its grant.
    Dispatch,
    /// Go on with the silent attempt that was to be replaced, if there is one, else resume the
    /// response from the point of its interruption.
    Resume,
    /// Decide whether the retry budget and the remaining time allow another attempt.
    DecideRetry,
    /// Read the response of the attempt that holds the claim.
    FollowClaim,
    /// Tell the caller the outcome.
    Finish(RequestOutcome),
    /// Release everything, since no caller waits for the reply.
    Abandon,
}
