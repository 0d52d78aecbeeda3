//! Dispatches, resumes and follows attempts.

use std::time::Duration;
use std::time::Instant;

use statig::prelude::*;
use tokio::time::sleep;
use tokio::time::sleep_until;

use crate::control::claims::Claim;
use crate::control::claims::ClaimState;
use crate::decide::AttemptOutcome;
use crate::decide::RetryBudget;
use crate::decide::engine_priority;
use crate::entry::Attempt;
use crate::entry::AttemptFailure;
use crate::entry::HeldGrant;
use crate::entry::LifecycleEvent;
use crate::entry::RequestLifecycle;
use crate::entry::advance;
use crate::entry::classify_failure;
use crate::entry::driver::Driver;
use crate::entry::driver::caller_gone;
use crate::entry::driver::unresponsive::unresponsive_error;
use crate::entry::driver::unresponsive::wait_until_unresponsive;
use crate::observe::StepKind;
use crate::settings::PolicyName;
use crate::units::Priority;
use crate::units::UpstreamId;
use crate::upstream::Dispatch;
use crate::upstream::RequestBody;
use crate::upstream::ResponseStream;
use crate::upstream::UpstreamClient;
use crate::upstream::UpstreamError;

/// How long to wait before an answer is read on: long enough for an upstream to notice that the
/// connection broke, short against the time between tokens that a caller notices.
const RESUME_PAUSE: Duration = Duration::from_millis(20);

/// From the record of a claim to the engine's knowledge of its attempt, at most; a host that is
/// slower than this is taken for dead.
const DISPATCH_TIMEOUT: Duration = Duration::from_secs(2);

impl Driver<'_> {
    pub(super) async fn dispatch(
        &mut self,
        lifecycle: &mut StateMachine<RequestLifecycle>,
    ) -> LifecycleEvent {
        self.attempts += 1;
        if self.attempts == 1 {
            self.context
                .with_retry_budget(&self.job.target, RetryBudget::on_first_attempt);
        }
        let now = self.context.clock.now();
        // Checked again right before the dispatch: the host may have been paused since the grant.
        if now >= self.job.work.deadline {
            self.release_unsent(AttemptOutcome::NotSent);
            advance(
                lifecycle,
                LifecycleEvent::AttemptFailed(AttemptFailure::DidNotRun),
            );
            return LifecycleEvent::DeadlineExceeded;
        }
        let Some(grant) = self.attempt.as_ref().map(|attempt| attempt.grant.clone()) else {
            return LifecycleEvent::AttemptFailed(AttemptFailure::DidNotRun);
        };
        if let Err(err) = self.reserve_gang(&grant).await {
            return self.on_attempt_failure(err).await;
        }
        let leader = grant
            .upstreams
            .first()
            .and_then(|id| self.context.upstreams.upstream(id));
        let Some(upstream) = leader else {
            let why = format!("{:?} is not known here", grant.upstreams);
            return self.on_attempt_failure(UpstreamError::NotSent(why)).await;
        };
        let dispatch = self.build_dispatch(&grant, now);
        self.record_step(
            StepKind::Dispatched,
            self.leader(),
            format!("attempt {}", grant.attempt()),
        );
        let deadline = self.job.work.deadline;
        let started = tokio::select! {
            started = upstream.start(dispatch) => started,
            () = caller_gone(self.reply, self.is_detached) => return LifecycleEvent::CallerGone,
            () = sleep_until(deadline.into()) => return LifecycleEvent::DeadlineExceeded,
            () = wait_until_unresponsive(self.job.is_model().then_some(&*upstream)) => Err(unresponsive_error()),
        };
        match started {
            Ok(answer) => self.forward_response(answer, lifecycle).await,
            Err(err) => self.on_attempt_failure(err).await,
        }
    }

    /// Ranks by length are one of the shipped decisions: a baseline that had them would be stronger
    /// than what it stands for.
    fn dispatch_priority(&self) -> Priority {
        match self.context.policy {
            PolicyName::Shipped => engine_priority(&self.job.work),
            _ => self.job.work.priority,
        }
    }

    pub(super) fn build_dispatch(&self, grant: &HeldGrant, now: Instant) -> Dispatch {
        let is_gang = grant.upstreams.len() > 1;
        Dispatch {
            attempt: grant.attempt(),
            host: self.context.host.clone(),
            method: self.job.method.to_string(),
            path: self.job.path.clone(),
            content_type: self.job.content_type.clone(),
            body: RequestBody {
                chunks: vec![self.job.body.clone()],
            },
            priority: self.dispatch_priority(),
            remaining: self.job.work.deadline.saturating_duration_since(now),
            gang: if is_gang {
                grant.upstreams.clone()
            } else {
                Vec::new()
            },
            is_model: self.job.is_model(),
        }
    }

    /// Holds the memory of the gang's members, the leader's own excepted. They are asked in the
    /// order of their names: two gangs that want the same engines meet at the first of them, and
    /// neither waits while it holds what the other needs.
    pub(super) async fn reserve_gang(&self, grant: &HeldGrant) -> Result<(), UpstreamError> {
        let mut members: Vec<&UpstreamId> = grant.upstreams.iter().skip(1).collect();
        members.sort();
        if members.is_empty() {
            return Ok(());
        }
        let now = self.context.clock.now();
        let hold = self.job.work.deadline.saturating_duration_since(now);
        let tokens = self
            .job
            .work
            .memory_tokens()
            .0
            .div_ceil(grant.upstreams.len() as u64);
        for id in members {
            let unknown = || UpstreamError::NotSent(format!("{id} is not known here"));
            let upstream = self.context.upstreams.upstream(id).ok_or_else(unknown)?;
            let host = self.context.host.clone();
            let tokens = crate::units::Tokens(tokens);
            let taken = upstream
                .hold_gang(grant.attempt(), host, tokens, hold)
                .await;
            // A hold is no run: whatever became of it, the request itself has not left.
            taken.map_err(|err| UpstreamError::NotSent(format!("gang member {id}: {err}")))?;
        }
        Ok(())
    }

    pub(super) async fn resume(
        &mut self,
        lifecycle: &mut StateMachine<RequestLifecycle>,
    ) -> LifecycleEvent {
        sleep(RESUME_PAUSE).await;
        let Some(attempt) = &self.attempt else {
            return LifecycleEvent::AttemptFailed(AttemptFailure::Lost);
        };
        let leader = attempt
            .leader()
            .and_then(|id| self.context.upstreams.upstream(id));
        let Some(upstream) = leader.filter(|_| self.job.is_model()) else {
            return self.on_attempt_failure(UpstreamError::UnknownAttempt).await;
        };
        match upstream.resume(attempt.id(), attempt.offset_tokens()).await {
            Ok(answer) => {
                let why = format!("from token {}", attempt.offset_tokens());
                self.record_step(StepKind::Resumed, self.leader(), why);
                self.forward_response(answer, lifecycle).await
            }
            Err(UpstreamError::NotSent(why)) => {
                // The attempt had started, its connection broke, and now nobody listens there: the
                // upstream died with it.
                self.report_crash();
                self.on_attempt_failure(UpstreamError::Failed(why)).await
            }
            Err(err) => self.on_attempt_failure(err).await,
        }
    }

    /// Reads the answer of an earlier sending of the same key.
    pub(super) async fn follow_claim(
        &mut self,
        lifecycle: &mut StateMachine<RequestLifecycle>,
    ) -> LifecycleEvent {
        let Some(claim) = self.followed_claim.clone() else {
            return LifecycleEvent::AttemptFailed(AttemptFailure::Lost);
        };
        "an earlier sending of this key may have run".clone_into(&mut self.message);
        let Some(upstream) = self.context.upstreams.upstream(&claim.upstream) else {
            return LifecycleEvent::AttemptFailed(AttemptFailure::Lost);
        };
        if self.attempt.is_none() {
            let grant = HeldGrant::of_claim(&claim, &self.job.work);
            self.attempt = Some(Attempt::new(
                grant,
                self.job.is_model(),
                self.context.clock.now(),
            ));
        } else {
            sleep(RESUME_PAUSE).await;
        }
        let offset_tokens = self.attempt.as_ref().map_or(0, Attempt::offset_tokens);
        match self.resume_claimed(&*upstream, &claim, offset_tokens).await {
            Ok(answer) => self.forward_response(answer, lifecycle).await,
            Err(err) => LifecycleEvent::AttemptFailed(classify_follow_failure(&err)),
        }
    }

    /// Resumes the answer of another sending. Its claim is recorded a moment before it is
    /// dispatched; the engine does not know it until then, and never will if its host died in
    /// between.
    async fn resume_claimed(
        &self,
        upstream: &dyn UpstreamClient,
        claim: &Claim,
        offset_tokens: u64,
    ) -> Result<ResponseStream, UpstreamError> {
        let clock = &self.context.clock;
        let give_up = (clock.now() + DISPATCH_TIMEOUT).min(self.job.work.deadline);
        loop {
            match upstream.resume(claim.attempt, offset_tokens).await {
                Err(UpstreamError::UnknownAttempt)
                    if claim.state == ClaimState::Held && clock.now() < give_up =>
                {
                    sleep(RESUME_PAUSE).await;
                }
                resumed => return resumed,
            }
        }
    }
}

fn classify_follow_failure(err: &UpstreamError) -> AttemptFailure {
    match classify_failure(err) {
        AttemptFailure::DidNotRun | AttemptFailure::Interrupted => AttemptFailure::Interrupted,
        other => other,
    }
}
