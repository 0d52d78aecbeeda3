//! Claims before the dispatch.

use crate::control::claims::Claim;
use crate::control::claims::ClaimKey;
use crate::control::claims::ClaimOutcome;
use crate::control::claims::ClaimState;
use crate::decide::AttemptOutcome;
use crate::decide::RefuseReason;
use crate::entry::FailReason;
use crate::entry::LifeEvent;
use crate::entry::driver::Driver;
use crate::observe::StepKind;

impl Driver<'_> {
    pub(super) async fn claim(&mut self) -> LifeEvent {
        let Some((key, claim)) = self.claim_wanted() else {
            return LifeEvent::ClaimFailed(FailReason::Refused(RefuseReason::NoClaim));
        };
        // Not raced against the deadline or the caller: the store bounds its own time, and what it
        // says of a claim has to be heard.
        match self.parts.claims.claim(key, claim.clone()).await {
            ClaimOutcome::Claimed => {
                self.note(
                    StepKind::Claimed,
                    self.leader(),
                    "recorded for this attempt",
                );
                self.claimed = Some((key, claim.attempt));
                LifeEvent::Claimed
            }
            ClaimOutcome::HeldBy(held) => self.claim_held(held),
            ClaimOutcome::DifferentContent => {
                self.end_attempt(AttemptOutcome::NotSent);
                "the Idempotency-Key was used for another request".clone_into(&mut self.message);
                LifeEvent::ClaimFailed(FailReason::KeyReused)
            }
            ClaimOutcome::Unavailable { why, retry_after } => {
                self.end_attempt(AttemptOutcome::NotSent);
                self.retry_after = Some(retry_after);
                self.message = format!("the claim could not be recorded: {why}");
                LifeEvent::ClaimFailed(FailReason::Refused(RefuseReason::NoClaim))
            }
        }
    }

    fn claim_held(&mut self, held: Claim) -> LifeEvent {
        let why = format!(
            "attempt {} of {} has it: {:?}",
            held.attempt, held.holder, held.state
        );
        self.note(StepKind::Claimed, held.upstream.as_str(), why);
        self.end_attempt(AttemptOutcome::NotSent);
        self.followed = Some(held);
        LifeEvent::ClaimHeld
    }

    fn claim_wanted(&self) -> Option<(ClaimKey, Claim)> {
        let attempt = self.attempt.as_ref()?;
        let key = ClaimKey::new(&self.job.work.customer, self.job.key.as_ref()?);
        let claim = Claim {
            attempt: attempt.id(),
            holder: self.parts.host.clone(),
            upstream: attempt.leader()?.clone(),
            content: self.job.content,
            state: ClaimState::Held,
        };
        Some((key, claim))
    }
}
