//! Claims as the entry asks for them.

use futures_util::FutureExt;
use futures_util::future::BoxFuture;

use crate::control::claims::Claim;
use crate::control::claims::ClaimKey;
use crate::control::claims::ClaimOutcome;
use crate::control::claims::ClaimState;
use crate::control::claims::ClaimStore;
use crate::units::AttemptId;

/// Whoever records claims.
pub trait ClaimRegistry: Send + Sync {
    /// Records a claim. Only [`ClaimOutcome::Claimed`] allows to dispatch.
    fn claim(&self, key: ClaimKey, claim: Claim) -> BoxFuture<'_, ClaimOutcome>;

    /// Gives a claim back, with the promise that its attempt is not dispatched any more.
    fn give_back(&self, key: ClaimKey, attempt: AttemptId);

    /// Notes how the attempt has ended, so that the claim can be collected in time.
    fn finish(&self, key: ClaimKey, attempt: AttemptId, state: ClaimState);

    /// How many claims the platform does not know the end of.
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
