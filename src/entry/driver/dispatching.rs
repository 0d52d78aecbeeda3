//! Dispatches and resumes attempts, and reads the responses of claimed attempts.

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
use crate::entry::driver::hang_detection::hang_error;
use crate::entry::driver::hang_detection::wait_for_hang;
use crate::observe::StepKind;
use crate::settings::PolicyName;
use crate::units::Priority;
use crate::units::UpstreamId;
use crate::upstream::Dispatch;
use crate::upstream::RequestBody;
use crate::upstream::ResponseStream;
use crate::upstream::UpstreamClient;
use crate::upstream::UpstreamError;

/// The pause before a response is resumed: long enough for an upstream to notice that the
/// connection broke, and shorter than a gap between tokens that a caller would notice.
const RESUME_PAUSE: Duration = Duration::from_millis(20);

/// The longest time from the recording of a claim until the engine knows its attempt. A host that
/// takes longer is considered dead.
const DISPATCH_TIMEOUT: Duration = Duration::from_secs(2);

impl Driver<'_> {
    /// Sends the request to the upstreams of its grant and forwards the response.
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
        // Checked again right before the dispatch, since the process may have been paused after the
        // grant.
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
            let why = format!(
                "the leader of {:?} is unknown to this host",
                grant.upstreams
            );
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
            () = wait_for_hang(self.job.is_model().then_some(&*upstream)) => Err(hang_error()),
        };
        match started {
            Ok(response) => self.forward_response(response, lifecycle).await,
            Err(err) => self.on_attempt_failure(err).await,
        }
    }

    /// The priority for the engine's queue. Only the shipped policy derives it from the request's
    /// length; a baseline with such priorities would perform better than the policy it represents.
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
            path: self.job.path_and_query.clone(),
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

    /// Reserves memory at all members of the gang except the leader: an equal share at each, until
    /// the deadline. At the first failure this stops and returns `NotSent`; members that have
    /// already reserved keep the memory until the reservation expires.
    ///
    /// Members are asked in the order of their ids, which prevents deadlock: two gangs that need
    /// the same engines compete at the first common one, and neither waits while it holds memory
    /// that the other needs.
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
            let unknown =
                || UpstreamError::NotSent(format!("upstream {id} is unknown to this host"));
            let upstream = self.context.upstreams.upstream(id).ok_or_else(unknown)?;
            let host = self.context.host.clone();
            let tokens = crate::units::Tokens(tokens);
            let reserved = upstream
                .hold_gang(grant.attempt(), host, tokens, hold)
                .await;
            // A reservation runs nothing: whether or not it succeeded, the request was not sent.
            reserved.map_err(|err| UpstreamError::NotSent(format!("gang member {id}: {err}")))?;
        }
        Ok(())
    }

    /// Reads the interrupted response of the current attempt from the first token that the caller
    /// does not have.
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
            Ok(response) => {
                let why = format!("from token {}", attempt.offset_tokens());
                self.record_step(StepKind::Resumed, self.leader(), why);
                self.forward_response(response, lifecycle).await
            }
            Err(UpstreamError::NotSent(why)) => {
                // The attempt had started, its connection broke, and the upstream now refuses
                // connections: the upstream crashed while it ran the attempt.
                self.report_crash();
                self.on_attempt_failure(UpstreamError::Failed(why)).await
            }
            Err(err) => self.on_attempt_failure(err).await,
        }
    }

    /// Reads the response of the attempt that holds the claim on the request's key.
    pub(super) async fn follow_claim(
        &mut self,
        lifecycle: &mut StateMachine<RequestLifecycle>,
    ) -> LifecycleEvent {
        let Some(claim) = self.followed_claim.clone() else {
            return LifecycleEvent::AttemptFailed(AttemptFailure::Lost);
        };
        "an earlier request with this key may have run".clone_into(&mut self.message);
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
            Ok(response) => self.forward_response(response, lifecycle).await,
            Err(err) => LifecycleEvent::AttemptFailed(classify_follow_failure(&err)),
        }
    }

    /// Resumes the response of a claimed attempt. A claim is recorded shortly before its attempt is
    /// dispatched, so the engine may not know the attempt yet, and never will if the host that
    /// holds the claim died in between.
    async fn resume_claimed(
        &self,
        upstream: &dyn UpstreamClient,
        claim: &Claim,
        offset_tokens: u64,
    ) -> Result<ResponseStream, UpstreamError> {
        let clock = &self.context.clock;
        let give_up_at = (clock.now() + DISPATCH_TIMEOUT).min(self.job.work.deadline);
        loop {
            match upstream.resume(claim.attempt, offset_tokens).await {
                Err(UpstreamError::UnknownAttempt)
                    if claim.state == ClaimState::Held && clock.now() < give_up_at =>
                {
                    sleep(RESUME_PAUSE).await;
                }
                resumed => return resumed,
            }
        }
    }
}

/// Classifies an error while another attempt's response is read. That attempt has run or is
/// running, so a failure to connect counts as an interruption.
fn classify_follow_failure(err: &UpstreamError) -> AttemptFailure {
    match classify_failure(err) {
        AttemptFailure::DidNotRun | AttemptFailure::Interrupted => AttemptFailure::Interrupted,
        other => other,
    }
}
