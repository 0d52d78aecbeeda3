//! Claims before the dispatch.

use crate::decide::Ended;
use crate::decide::RefuseReason;
use crate::entry::ClaimAnswer;
use crate::entry::ClaimWanted;
use crate::entry::FailReason;
use crate::entry::LifeEvent;
use crate::entry::driver::Driver;
use crate::observe::StepKind;
use crate::units::IdempotencyKey;

impl Driver<'_> {
    pub(super) async fn claim(&mut self) -> LifeEvent {
        let Some(wanted) = self.claim_wanted() else {
            return LifeEvent::ClaimFailed(FailReason::Refused(RefuseReason::NoClaim));
        };
        // Not raced against the deadline or the caller: a claim that is dropped halfway may still
        // be recorded. The desk bounds its own time.
        let answer = self.parts.claims.claim(wanted.clone()).await;
        match answer {
            ClaimAnswer::Claimed => {
                self.note(
                    StepKind::Claimed,
                    self.leader(),
                    "recorded for this attempt",
                );
                self.claimed = Some(wanted);
                LifeEvent::Claimed
            }
            ClaimAnswer::Held { attempt, upstream } => {
                let why = format!("an earlier sending runs as attempt {attempt}");
                self.note(StepKind::Claimed, upstream.as_str(), why);
                self.end_attempt(Ended::NotSent);
                self.followed = Some((ClaimWanted { attempt, ..wanted }, upstream));
                LifeEvent::ClaimHeld
            }
            ClaimAnswer::KeyReused => {
                self.end_attempt(Ended::NotSent);
                "the Idempotency-Key was used for another request".clone_into(&mut self.message);
                LifeEvent::ClaimFailed(FailReason::KeyReused)
            }
            ClaimAnswer::Unavailable { retry_after } => {
                self.end_attempt(Ended::NotSent);
                self.retry_after = Some(retry_after);
                "the claim could not be recorded".clone_into(&mut self.message);
                LifeEvent::ClaimFailed(FailReason::Refused(RefuseReason::NoClaim))
            }
        }
    }

    pub(super) fn claim_wanted(&self) -> Option<ClaimWanted> {
        let attempt = self.attempt.as_ref()?;
        let key = self.job.key.as_ref()?;
        Some(ClaimWanted {
            key: customer_key(self.job.work.customer.as_str(), key)?,
            content: self.job.content,
            attempt: attempt.id(),
            upstream: attempt.leader()?.clone(),
            deadline: self.job.work.deadline,
        })
    }
}

/// Keys are the customer's own: two customers may use the same one.
fn customer_key(customer: &str, key: &IdempotencyKey) -> Option<IdempotencyKey> {
    let text = format!("{customer}/{key}");
    let hashed = || crate::units::ContentHash::of(text.as_bytes()).to_string();
    text.parse().or_else(|_| hashed().parse()).ok()
}
