//! Claims as the entry asks for them.

use std::time::Duration;
use std::time::Instant;

use futures_util::future::BoxFuture;

use crate::units::AttemptId;
use crate::units::ContentHash;
use crate::units::IdempotencyKey;
use crate::units::UpstreamId;

/// The claim that a request needs before its dispatch.
#[derive(Clone, Debug, PartialEq)]
pub struct ClaimWanted {
    /// The caller's key, made unique for its customer.
    pub key: IdempotencyKey,
    /// The hash of what the key stands for.
    pub content: ContentHash,
    /// The attempt that is to be dispatched.
    pub attempt: AttemptId,
    /// Where it is to be dispatched.
    pub upstream: UpstreamId,
    /// When the request must have been answered.
    pub deadline: Instant,
}

/// What came of asking for a claim.
#[derive(Clone, Debug, PartialEq)]
pub enum ClaimAnswer {
    /// It is recorded as this attempt's.
    Claimed,
    /// An earlier sending has it; its answer may still be there.
    Held {
        /// The attempt of that sending.
        attempt: AttemptId,
        /// Where it was dispatched.
        upstream: UpstreamId,
    },
    /// The key stands for another request.
    KeyReused,
    /// It could not be recorded and never will be: the request was not run.
    Unavailable {
        /// When to come back.
        retry_after: Duration,
    },
}

/// Whoever records claims.
pub trait ClaimDesk: Send + Sync {
    /// Records a claim.
    fn claim(&self, wanted: ClaimWanted) -> BoxFuture<'_, ClaimAnswer>;

    /// Gives a claim back, with the promise that its attempt is not dispatched any more.
    fn give_back(&self, wanted: ClaimWanted) -> BoxFuture<'_, ()>;

    /// Notes that the attempt has ended, so that the claim can be collected in time.
    fn finish(&self, wanted: ClaimWanted);
}
