//! Records a claim before the dispatch.

use crate::control::claims::Claim;
use crate::control::claims::ClaimKey;
use crate::control::claims::ClaimOutcome;
use crate::control::claims::ClaimState;
use crate::decide::AttemptOutcome;
use crate::decide::RefuseReason;
use crate::entry::FailureReason;
use crate::entry::LifecycleEvent;
use crate::entry::driver::Driver;
use crate::observe::StepKind;

impl Driver<'_> {
    /// Records a claim on the request's idempotency key for the current attempt.
    pub(super) async fn claim(&mut self) -> LifecycleEvent {
        let Some((key, claim)) = self.new_claim() else {
            return LifecycleEvent::ClaimFailed(FailureReason::Refused(RefuseReason::NoClaim));
        };
        // Not raced against the deadline or the caller: the store limits its own time, and its
        // answer on a claim must not be lost.
        match self.context.claims.claim(key, claim.clone()).await {
            ClaimOutcome::Claimed => {
                self.record_step(
                    StepKind::Claimed,
                    self.leader(),
                    "recorded for this attempt",
                );
                self.recorded_claim = Some((key, claim.attempt));
                LifecycleEvent::Claimed
            }
            ClaimOutcome::HeldBy(existing) => self.on_claim_held(existing),
            ClaimOutcome::DifferentContent => {
                self.end_attempt(AttemptOutcome::NotSent);
                "the Idempotency-Key was used for another request".clone_into(&mut self.message);
                LifecycleEvent::ClaimFailed(FailureReason::KeyReused)
            }
            ClaimOutcome::Unavailable { why, retry_after } => {
                self.end_attempt(AttemptOutcome::NotSent);
                self.retry_after = Some(retry_after);
                self.message = format!("the claim could not be recorded: {why}");
                LifecycleEvent::ClaimFailed(FailureReason::Refused(RefuseReason::NoClaim))
            }
        }
    }

    /// Gives the grant back unused, since the response of the attempt that holds the claim is read
    /// instead.
    fn on_claim_held(&mut self, existing: Claim) -> LifecycleEvent {
        let why = format!(
            "held by attempt {} of host {}: {:?}",
            existing.attempt, existing.holder, existing.state
        );
        self.record_step(StepKind::Claimed, existing.upstream.as_str(), why);
        self.end_attempt(AttemptOutcome::NotSent);
        self.followed_claim = Some(existing);
        LifecycleEvent::ClaimHeld
    }

    fn new_claim(&self) -> Option<(ClaimKey, Claim)> {
        let attempt = self.attempt.as_ref()?;
        let key = ClaimKey::new(&self.job.work.customer, self.job.key.as_ref()?);
        let claim = Claim {
            attempt: attempt.id(),
            holder: self.context.host.clone(),
            upstream: attempt.leader()?.clone(),
            content: self.job.content,
            state: ClaimState::Held,
        };
        Some((key, claim))
    }
}
