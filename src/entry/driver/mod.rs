//! Performs the actions of a request's lifecycle and reports the resulting events.

mod claiming;
mod dispatching;
mod forwarding;
mod hang_detection;

use std::borrow::Cow;
use std::sync::Arc;
use std::time::Duration;

use log::debug;
use log::info;
use log::warn;
use statig::prelude::*;
use tokio::time::sleep;
use tokio::time::sleep_until;

use crate::control::claims::Claim;
use crate::control::claims::ClaimKey;
use crate::control::claims::ClaimState;
use crate::decide::AttemptOutcome;
use crate::decide::FailedAttempt;
use crate::decide::RefuseReason;
use crate::decide::RequestFingerprint;
use crate::decide::RetryDecision;
use crate::entry::Attempt;
use crate::entry::AttemptFailure;
use crate::entry::EntryContext;
use crate::entry::FailureReason;
use crate::entry::FailureReply;
use crate::entry::GrantAnswer;
use crate::entry::HeldGrant;
use crate::entry::Job;
use crate::entry::LifecycleAction;
use crate::entry::LifecycleEvent;
use crate::entry::Reply;
use crate::entry::RequestLifecycle;
use crate::entry::RequestOutcome;
use crate::entry::advance;
use crate::entry::classify_failure;
use crate::entry::release::release_attempt;
use crate::observe::StepKind;
use crate::units::AttemptId;
use crate::units::RequestId;
use crate::units::UpstreamId;
use crate::upstream::UpstreamClient;
use crate::upstream::UpstreamError;

/// The retry time for a request that did not run, if no upstream or home gave one.
const RETRY_AFTER_DEFAULT: Duration = Duration::from_secs(1);

/// An attempt that fails this close to the deadline is considered to have failed because of it.
const NEAR_DEADLINE: Duration = Duration::from_millis(100);

/// Drives one request through its lifecycle: performs each action of the state machine and feeds
/// the resulting event back.
pub(crate) struct Driver<'a> {
    context: &'a Arc<EntryContext>,
    job: Job,
    reply: &'a mut Reply,
    attempt: Option<Attempt>,
    recorded_claim: Option<(ClaimKey, AttemptId)>,
    followed_claim: Option<Claim>,
    attempts: u32,
    last_error: Option<UpstreamError>,
    message: String,
    retry_after: Option<Duration>,
    is_detached: bool,
}

impl<'a> Driver<'a> {
    pub(crate) fn new(context: &'a Arc<EntryContext>, job: Job, reply: &'a mut Reply) -> Self {
        Self {
            context,
            job,
            reply,
            attempt: None,
            recorded_claim: None,
            followed_claim: None,
            attempts: 0,
            last_error: None,
            message: String::new(),
            retry_after: None,
            is_detached: false,
        }
    }

    /// Runs the request to its end, sends its reply and returns the outcome. Returns none if the
    /// caller disconnected or stalled; the current attempt is cancelled then.
    pub(crate) async fn run(&mut self) -> Option<RequestOutcome> {
        let mut lifecycle = RequestLifecycle::new(self.job.rules).state_machine();
        let mut event = self.admit();
        loop {
            let action = advance(&mut lifecycle, event);
            debug!(
                "entry: request {}: {event:?} leads to {action:?}",
                self.job.request
            );
            event = match action {
                LifecycleAction::RequestGrant => self.request_grant().await,
                LifecycleAction::Claim => self.claim().await,
                LifecycleAction::Dispatch => self.dispatch(&mut lifecycle).await,
                LifecycleAction::Resume => self.resume(&mut lifecycle).await,
                LifecycleAction::DecideRetry => self.decide_retry().await,
                LifecycleAction::FollowClaim => self.follow_claim(&mut lifecycle).await,
                LifecycleAction::Finish(outcome) => {
                    self.finish(outcome).await;
                    return Some(outcome);
                }
                LifecycleAction::Abandon => {
                    self.end_attempt(AttemptOutcome::Cancelled);
                    return None;
                }
                LifecycleAction::Nothing => {
                    // Every event that an action reports has a transition. If one had none, waiting
                    // for the next event would block the caller forever.
                    warn!(
                        "entry: request {}: unexpected event {event:?}",
                        self.job.request
                    );
                    LifecycleEvent::DeadlineExceeded
                }
            };
        }
    }

    /// Records a step for the explanation of the request. `place` names the upstream or host.
    fn record_step(&self, kind: StepKind, place: &str, why: impl Into<Cow<'static, str>>) {
        self.context
            .explanations
            .record(self.job.request, kind, place, why);
    }

    /// The client of the engine that runs the current attempt; none for a plain service.
    fn engine(&self) -> Option<Arc<dyn UpstreamClient>> {
        let leader = self.attempt.as_ref().and_then(Attempt::leader);
        let leader = leader.filter(|_| self.job.is_model());
        leader.and_then(|id| self.context.upstreams.upstream(id))
    }

    /// The name of the upstream that sends the current attempt's response; empty if there is none.
    fn leader(&self) -> &str {
        self.attempt
            .as_ref()
            .and_then(Attempt::leader)
            .map_or("", UpstreamId::as_str)
    }

    /// The admission check. It rejects a request that crashed upstreams before, so that the request
    /// uses no resources.
    fn admit(&mut self) -> LifecycleEvent {
        let work = &self.job.work;
        let why = format!(
            "{} for {}, {} prompt tokens ({}), rank {}",
            self.job.target,
            work.customer,
            work.prompt_tokens,
            work.class(),
            work.priority
        );
        self.record_step(StepKind::Received, self.context.host.as_str(), why);
        if self
            .context
            .poison_list()
            .is_poison(&self.fingerprints(), self.context.clock.now())
        {
            "the request crashed the upstreams that ran it".clone_into(&mut self.message);
            return LifecycleEvent::Rejected(FailureReason::Refused(RefuseReason::Poison));
        }
        LifecycleEvent::Admitted
    }

    /// The fingerprints that identify this request in the list of requests that crash upstreams.
    fn fingerprints(&self) -> Vec<RequestFingerprint> {
        let mut fingerprints = vec![RequestFingerprint::of_content(self.job.content)];
        if let Some(key) = &self.job.key {
            fingerprints.push(RequestFingerprint::of_key(&self.job.work.customer, key));
        }
        fingerprints
    }

    /// Requests a grant, and creates the attempt that uses it.
    async fn request_grant(&mut self) -> LifecycleEvent {
        let context = Arc::clone(self.context);
        let pending = context
            .granter
            .request_grant(self.job.target.clone(), self.job.work.clone());
        let deadline = self.job.work.deadline;
        let answer = tokio::select! {
            answer = pending => answer,
            () = caller_gone(self.reply, self.is_detached) => return LifecycleEvent::CallerGone,
            () = sleep_until(deadline.into()) => return LifecycleEvent::DeadlineExceeded,
        };
        match answer {
            GrantAnswer::Granted(grant) => {
                self.record_granted(&grant);
                let now = self.context.clock.now();
                self.attempt = Some(Attempt::new(*grant, self.job.is_model(), now));
                LifecycleEvent::Granted
            }
            GrantAnswer::Refused {
                reason,
                retry_after,
            } => {
                self.retry_after = Some(retry_after);
                self.message = format!("refused: {reason}");
                self.record_step(StepKind::Refused, "", reason.name());
                LifecycleEvent::Refused(reason)
            }
        }
    }

    fn record_granted(&self, grant: &HeldGrant) {
        let places: Vec<&str> = grant.upstreams.iter().map(UpstreamId::as_str).collect();
        let why = format!(
            "{} after {:?}, pool {}",
            grant.why, grant.waited, grant.pool
        );
        self.record_step(StepKind::Granted, &places.join(","), why);
        let work = &grant.work;
        self.context
            .metrics
            .record_queue_wait(&work.customer, work.class(), grant.waited);
    }

    /// Records the failure of an attempt, and releases the attempt unless it can be resumed.
    pub(super) async fn on_attempt_failure(&mut self, err: UpstreamError) -> LifecycleEvent {
        let failure = classify_failure(&err);
        info!(
            "entry: an attempt of request {} failed: {err}",
            self.job.request
        );
        self.message = err.to_string();
        let is_interrupted = failure == AttemptFailure::Interrupted;
        let step = if is_interrupted {
            StepKind::Resumed
        } else {
            StepKind::Retried
        };
        self.record_step(step, self.leader(), err.to_string());
        if let UpstreamError::Refused { retry_after, .. } = &err {
            self.retry_after = *retry_after;
        }
        match failure {
            AttemptFailure::DidNotRun => {
                let is_refusal = matches!(err, UpstreamError::Refused { .. });
                self.release_unsent(if is_refusal {
                    AttemptOutcome::Refused
                } else {
                    AttemptOutcome::NotSent
                });
            }
            AttemptFailure::Interrupted => {}
            AttemptFailure::Lost | AttemptFailure::InvalidResponse => {
                self.end_attempt(AttemptOutcome::Failed);
            }
        }
        self.last_error = Some(err);
        if failure != AttemptFailure::DidNotRun && self.is_near_deadline() {
            return LifecycleEvent::DeadlineExceeded;
        }
        LifecycleEvent::AttemptFailed(failure)
    }

    /// Whether the deadline is so close that a failure counts as a timeout. Engines end an attempt
    /// at the same time limit as this host; whichever is first, the caller is told that the time
    /// ran out, and not that the engine failed.
    fn is_near_deadline(&self) -> bool {
        let now = self.context.clock.now();
        self.job.work.deadline.saturating_duration_since(now) < NEAR_DEADLINE
    }

    /// Releases the grant and the claim of an attempt that certainly did not run.
    pub(super) fn release_unsent(&mut self, ended: AttemptOutcome) {
        self.end_attempt(ended);
        if let Some((key, attempt)) = self.recorded_claim.take() {
            self.context.claims.give_back(key, attempt);
        }
    }

    /// Records that the upstream crashed while it ran this request, and broadcasts the resulting
    /// poison reports.
    pub(super) fn report_crash(&mut self) {
        let Some(attempt) = &self.attempt else {
            return;
        };
        let now = self.context.clock.now();
        let reports = self
            .context
            .poison_list()
            .on_crash(&self.fingerprints(), attempt.id(), now);
        for poison in &reports {
            self.context.poison_broadcast.broadcast(poison);
        }
    }

    /// Decides whether a failed request is tried again. If so, this discards the buffered reply,
    /// counts the retry, gives the work a new request id and waits for the pause before the retry.
    pub(super) async fn decide_retry(&mut self) -> LifecycleEvent {
        let now = self.context.clock.now();
        // This request's own retries may be crashing one upstream after another.
        if self
            .context
            .poison_list()
            .is_poison(&self.fingerprints(), now)
        {
            return LifecycleEvent::RetryDenied;
        }
        let did_not_run = self
            .last_error
            .as_ref()
            .is_some_and(UpstreamError::did_not_run);
        let failed = FailedAttempt {
            attempts: self.attempts,
            did_not_run,
            is_repeatable: self.job.rules.repeatable,
            response_started: self.reply.has_started(),
            retry_after: self.retry_after,
            deadline: self.job.work.deadline,
        };
        match self
            .context
            .with_retry_budget(&self.job.target, |budget| budget.decide(&failed, now))
        {
            RetryDecision::Retry { after } => {
                self.context.metrics.count_retry(self.retry_reason());
                self.reply.discard_buffered_text();
                // A home answers a repeated request with the grant that it already issued. If the
                // message that ended the failed attempt was lost, the home would return the same
                // grant, and a second attempt would run under the same id. So the grant for each
                // attempt is requested under a new request id.
                self.job.work.request = RequestId(rand::random());
                sleep(after).await;
                LifecycleEvent::RetryAllowed
            }
            RetryDecision::GiveUp(stop) => {
                debug!(
                    "entry: request {} is not retried: {stop:?}",
                    self.job.request
                );
                LifecycleEvent::RetryDenied
            }
        }
    }

    /// The label for the retry in the metrics.
    pub(super) fn retry_reason(&self) -> &'static str {
        match &self.last_error {
            Some(UpstreamError::NotSent(_)) => "not_sent",
            Some(UpstreamError::Refused { .. }) => "refused",
            Some(UpstreamError::InvalidResponse(_)) => "garbled",
            _ => "failed",
        }
    }

    /// Ends the current attempt, if there is one, and releases what it holds. If the attempt
    /// failed, later attempts avoid its leader. An attempt of another request, whose response is
    /// only read here, is not released.
    pub(super) fn end_attempt(&mut self, ended: AttemptOutcome) {
        let Some(attempt) = self.attempt.take() else {
            return;
        };
        if matches!(
            ended,
            AttemptOutcome::Failed | AttemptOutcome::Refused | AttemptOutcome::NotSent
        ) {
            self.job.work.avoid.extend(attempt.leader().cloned());
        }
        if self.followed_claim.is_none() {
            release_attempt(
                self.context,
                &attempt,
                ended,
                self.job.work.deadline,
                self.job.is_model(),
            );
        }
    }

    /// Ends the request: releases the attempt, records the end of the claim, and sends the failure
    /// if there is one.
    pub(super) async fn finish(&mut self, outcome: RequestOutcome) {
        self.record_step(
            StepKind::Ended,
            "",
            format!("{} {}", outcome.kind(), outcome.reason()),
        );
        let ended = match outcome {
            RequestOutcome::Completed => AttemptOutcome::Completed,
            RequestOutcome::NotRun(_) => AttemptOutcome::NotSent,
            RequestOutcome::MayHaveRun(_) => AttemptOutcome::Cancelled,
        };
        self.end_attempt(ended);
        if let Some((key, attempt)) = self.recorded_claim.take() {
            let state = match outcome {
                RequestOutcome::Completed => ClaimState::Completed,
                RequestOutcome::NotRun(_) | RequestOutcome::MayHaveRun(_) => ClaimState::MayHaveRun,
            };
            self.context.claims.finish(key, attempt, state);
        }
        if outcome == RequestOutcome::Completed {
            return;
        }
        let retry_after = match outcome {
            RequestOutcome::NotRun(_) => self.retry_after.or(Some(RETRY_AFTER_DEFAULT)),
            _ => None,
        };
        let message = std::mem::take(&mut self.message);
        let failure = FailureReply {
            outcome,
            message,
            retry_after,
        };
        if self.reply.fail(&failure).await.is_err() {
            debug!(
                "entry: the caller of request {} disconnected before the failure was sent",
                self.job.request
            );
        }
    }
}

/// Waits until the caller has disconnected. For a detached request, which runs on without its
/// caller, this waits forever.
async fn caller_gone(reply: &mut Reply, is_detached: bool) {
    if is_detached {
        std::future::pending::<()>().await;
    } else {
        reply.wait_until_disconnected().await;
    }
}
