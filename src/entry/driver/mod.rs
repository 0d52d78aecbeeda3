//! Performs the actions of a request's lifecycle and reports the resulting events.

mod claiming;
mod dispatching;
mod failing;
mod forwarding;
mod hang_detection;
mod resuming;
mod retrying;
mod silent_attempt;

use std::borrow::Cow;
use std::sync::Arc;
use std::time::Duration;

use log::debug;
use log::warn;
use statig::prelude::*;
use tokio::time::sleep_until;

use crate::control::claims::Claim;
use crate::control::claims::ClaimKey;
use crate::control::claims::ClaimState;
use crate::decide::AttemptOutcome;
use crate::decide::RefuseReason;
use crate::decide::RequestFingerprint;
use crate::entry::Attempt;
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
use crate::entry::driver::resuming::wait_until_ready;
use crate::entry::driver::silent_attempt::SilentAttempt;
use crate::entry::release::release_attempt;
use crate::entry::response_source::ResponseSource;
use crate::observe::StepKind;
use crate::units::AttemptId;
use crate::units::UpstreamId;
use crate::upstream::UpstreamClient;
use crate::upstream::UpstreamError;

/// The retry time for a request that did not run, if no upstream or home gave one.
const RETRY_AFTER_DEFAULT: Duration = Duration::from_secs(1);

/// Drives one request through its lifecycle: performs each action of the state machine and feeds
/// the resulting event back.
pub(crate) struct Driver<'a> {
    context: &'a Arc<EntryContext>,
    job: Job,
    reply: &'a mut Reply,
    attempt: Option<Attempt>,
    /// The response of the current attempt; none while it is not connected.
    source: Option<ResponseSource>,
    /// The earlier attempt that goes on if the current one is not accepted.
    kept: Option<SilentAttempt>,
    /// How often in a row the current response was found to be silent.
    silences: u32,
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
            source: None,
            kept: None,
            silences: 0,
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
                    self.give_up_kept();
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

    /// Requests a grant, and creates the attempt that uses it. A silent attempt is kept until the new
    /// one is accepted, and ends the wait if its response goes on.
    async fn request_grant(&mut self) -> LifecycleEvent {
        let context = Arc::clone(self.context);
        let pending = context
            .granter
            .request_grant(self.job.target.clone(), self.job.work.clone());
        let deadline = self.job.work.deadline;
        let answer = tokio::select! {
            answer = pending => answer,
            () = wait_until_ready(self.source.as_mut()) => return LifecycleEvent::SilenceEnded,
            () = caller_gone(self.reply, self.is_detached) => return LifecycleEvent::CallerGone,
            () = sleep_until(deadline.into()) => return LifecycleEvent::DeadlineExceeded,
        };
        match answer {
            GrantAnswer::Granted(grant) => {
                self.record_granted(&grant);
                self.keep_silent_attempt();
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

    /// Ends the current attempt, if there is one, and releases what it holds. If the attempt
    /// failed, later attempts avoid its leader. An attempt of another request, whose response is
    /// only read here, is not released.
    pub(super) fn end_attempt(&mut self, ended: AttemptOutcome) {
        self.source = None;
        let Some(attempt) = self.attempt.take() else {
            return;
        };
        if matches!(
            ended,
            AttemptOutcome::Failed | AttemptOutcome::Refused | AttemptOutcome::NotSent
        ) {
            self.job.work.avoid.extend(attempt.leader().cloned());
        }
        self.release(&attempt, ended);
    }

    /// Lets later attempts avoid the leader of the current one.
    fn avoid_leader(&mut self) {
        let leader = self.attempt.as_ref().and_then(Attempt::leader);
        self.job.work.avoid.extend(leader.cloned());
    }

    /// Releases what an attempt holds, unless it is that of another request.
    fn release(&self, attempt: &Attempt, ended: AttemptOutcome) {
        if self.followed_claim.is_none() {
            release_attempt(
                self.context,
                attempt,
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
        self.give_up_kept();
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
