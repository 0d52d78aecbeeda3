//! The interface through which request handling records claims.

use futures_util::FutureExt;
use futures_util::future::BoxFuture;

use crate::control::claims::Claim;
use crate::control::claims::ClaimKey;
use crate::control::claims::ClaimOutcome;
use crate::control::claims::ClaimState;
use crate::control::claims::ClaimStore;
use crate::units::AttemptId;

/// Records claims, which keep requests with the same idempotency key from running twice.
pub trait ClaimRegistry: Send + Sync {
    /// Records a claim. Only [`ClaimOutcome::Claimed`] permits a dispatch.
    fn claim(&self, key: ClaimKey, claim: Claim) -> BoxFuture<'_, ClaimOutcome>;

    /// Gives a claim back. The caller of this method guarantees that the claim's attempt is not
    /// dispatched afterwards.
    fn give_back(&self, key: ClaimKey, attempt: AttemptId);

    /// Records how the claim's attempt ended, so that the claim can be garbage-collected later.
    fn finish(&self, key: ClaimKey, attempt: AttemptId, state: ClaimState);

    /// The number of claims of this host whose end has not been stored on the platform yet. A
    /// draining host waits for these claims.
    fn pending(&self) -> usize;
}

impl ClaimRegistry for ClaimStore {
    fn claim(&self, key: ClaimKey, claim: Claim) -> BoxFuture<'_, ClaimOutcome> {
        self.claim(key, claim).boxed()
    }

    fn give_back(&self, key: ClaimKey, attempt: AttemptId) {
        self.give_back(key, attempt);
    }

    fn finish(&self, key: ClaimKey, attempt: AttemptId, state: ClaimState) {
        self.finish(key, attempt, state);
    }

    fn pending(&self) -> usize {
        self.pending()
    }
}
