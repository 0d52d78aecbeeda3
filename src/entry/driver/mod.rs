//! Does what the life of a request says, and reports back what came of it.

mod claiming;
mod dispatching;
mod frozen;
mod pumping;

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
use crate::entry::Break;
use crate::entry::EntryParts;
use crate::entry::FailReason;
use crate::entry::Failure;
use crate::entry::GrantAnswer;
use crate::entry::HeldGrant;
use crate::entry::Job;
use crate::entry::Life;
use crate::entry::LifeEvent;
use crate::entry::LifeStep;
use crate::entry::Reply;
use crate::entry::Verdict;
use crate::entry::advance;
use crate::entry::break_of;
use crate::entry::settle::settle;
use crate::observe::StepKind;
use crate::units::AttemptId;
use crate::units::RequestId;
use crate::units::UpstreamId;
use crate::upstream::UpstreamClient;
use crate::upstream::UpstreamError;

/// When a request that failed not run may come back where nothing better is known.
const RETRY_AFTER_DEFAULT: Duration = Duration::from_secs(1);

/// An attempt that breaks this close to the time limit broke for the limit.
const NEARLY_OVER: Duration = Duration::from_millis(100);

/// One request on its way.
pub(crate) struct Driver<'a> {
    parts: &'a Arc<EntryParts>,
    job: Job,
    reply: &'a mut Reply,
    attempt: Option<Attempt>,
    claimed: Option<(ClaimKey, AttemptId)>,
    followed: Option<Claim>,
    attempts: u32,
    last_error: Option<UpstreamError>,
    message: String,
    retry_after: Option<Duration>,
    is_detached: bool,
}

impl<'a> Driver<'a> {
    pub(crate) fn new(parts: &'a Arc<EntryParts>, job: Job, reply: &'a mut Reply) -> Self {
        Self {
            parts,
            job,
            reply,
            attempt: None,
            claimed: None,
            followed: None,
            attempts: 0,
            last_error: None,
            message: String::new(),
            retry_after: None,
            is_detached: false,
        }
    }

    /// Takes the request from here to its end and returns how it ended; none if its caller went.
    pub(crate) async fn run(&mut self) -> Option<Verdict> {
        let mut life = Life::new(self.job.rules).state_machine();
        let mut event = self.admit();
        loop {
            let step = advance(&mut life, event);
            debug!(
                "entry: request {} {event:?} leads to {step:?}",
                self.job.request
            );
            event = match step {
                LifeStep::AskGrant => self.ask_grant().await,
                LifeStep::Claim => self.claim().await,
                LifeStep::Dispatch => self.dispatch(&mut life).await,
                LifeStep::Resume => self.resume(&mut life).await,
                LifeStep::ConsiderRetry => self.consider_retry().await,
                LifeStep::Follow => self.follow(&mut life).await,
                LifeStep::Finish(verdict) => {
                    self.finish(verdict).await;
                    return Some(verdict);
                }
                LifeStep::Abandon => {
                    self.end_attempt(AttemptOutcome::Cancelled);
                    return None;
                }
                LifeStep::Nothing => {
                    // Every event that a step reports has its transition; if one had none, waiting
                    // for the next would hold the caller up for ever.
                    warn!(
                        "entry: request {} got {event:?} out of place",
                        self.job.request
                    );
                    LifeEvent::TimeUp
                }
            };
        }
    }

    fn note(&self, what: StepKind, place: &str, why: impl Into<Cow<'static, str>>) {
        self.parts
            .explanations
            .record(self.job.request, what, place, why);
    }

    /// The engine of the current attempt; none for a plain service.
    fn engine(&self) -> Option<Arc<dyn UpstreamClient>> {
        let leader = self.attempt.as_ref().and_then(Attempt::leader);
        let leader = leader.filter(|_| self.job.is_model());
        leader.and_then(|id| self.parts.upstreams.upstream(id))
    }

    fn leader(&self) -> &str {
        self.attempt
            .as_ref()
            .and_then(Attempt::leader)
            .map_or("", UpstreamId::as_str)
    }

    /// A request that crashed upstreams before is turned away before it costs anything.
    fn admit(&mut self) -> LifeEvent {
        let work = &self.job.work;
        let why = format!(
            "{} for {}, {} prompt tokens ({}), rank {}",
            self.job.target,
            work.customer,
            work.prompt_tokens,
            work.class(),
            work.priority
        );
        self.note(StepKind::Received, self.parts.host.as_str(), why);
        if self
            .parts
            .poison_list()
            .is_poison(&self.poison_marks(), self.parts.clock.now())
        {
            "it crashed the upstreams that ran it".clone_into(&mut self.message);
            return LifeEvent::Rejected(FailReason::Refused(RefuseReason::Poison));
        }
        LifeEvent::Admitted
    }

    fn poison_marks(&self) -> Vec<RequestFingerprint> {
        let mut marks = vec![RequestFingerprint::of_content(self.job.content)];
        if let Some(key) = &self.job.key {
            marks.push(RequestFingerprint::of_key(&self.job.work.customer, key));
        }
        marks
    }

    async fn ask_grant(&mut self) -> LifeEvent {
        let parts = Arc::clone(self.parts);
        let ask = parts
            .granter
            .request_grant(self.job.target.clone(), self.job.work.clone());
        let deadline = self.job.work.deadline;
        let answer = tokio::select! {
            answer = ask => answer,
            () = gone(self.reply, self.is_detached) => return LifeEvent::CallerGone,
            () = sleep_until(deadline.into()) => return LifeEvent::TimeUp,
        };
        match answer {
            GrantAnswer::Granted(held) => {
                self.note_granted(&held);
                let now = self.parts.clock.now();
                self.attempt = Some(Attempt::new(*held, self.job.is_model(), now));
                LifeEvent::Granted
            }
            GrantAnswer::Refused {
                reason,
                retry_after,
            } => {
                self.retry_after = Some(retry_after);
                self.message = format!("turned away: {reason}");
                self.note(StepKind::Refused, "", reason.name());
                LifeEvent::Refused(reason)
            }
        }
    }

    fn note_granted(&self, held: &HeldGrant) {
        let places: Vec<&str> = held.upstreams.iter().map(UpstreamId::as_str).collect();
        let why = format!("{} after {:?}, pool {}", held.why, held.waited, held.pool);
        self.note(StepKind::Granted, &places.join(","), why);
        let work = &held.work;
        self.parts
            .metrics
            .record_queue_wait(&work.customer, work.class(), held.waited);
    }

    pub(super) async fn broken(&mut self, err: UpstreamError) -> LifeEvent {
        let broke = break_of(&err);
        info!("entry: request {} broke: {err}", self.job.request);
        self.message = err.to_string();
        let is_cut = broke == Break::Cut;
        let what = if is_cut {
            StepKind::Resumed
        } else {
            StepKind::Retried
        };
        self.note(what, self.leader(), err.to_string());
        if let UpstreamError::Refused { retry_after, .. } = &err {
            self.retry_after = *retry_after;
        }
        match broke {
            Break::DidNotRun => {
                let is_refusal = matches!(err, UpstreamError::Refused { .. });
                self.give_back(if is_refusal {
                    AttemptOutcome::Refused
                } else {
                    AttemptOutcome::NotSent
                });
            }
            Break::Cut => {}
            Break::Lost | Break::Garbled => self.end_attempt(AttemptOutcome::Failed),
        }
        self.last_error = Some(err);
        if broke != Break::DidNotRun && self.is_nearly_over() {
            return LifeEvent::TimeUp;
        }
        LifeEvent::Broken(broke)
    }

    /// Engines end an attempt at the same time limit; whichever is first, the caller is told that
    /// the time ran out, and not that the engine failed.
    fn is_nearly_over(&self) -> bool {
        let now = self.parts.clock.now();
        self.job.work.deadline.saturating_duration_since(now) < NEARLY_OVER
    }

    /// The attempt provably did not run: its grant and its claim are free again.
    pub(super) fn give_back(&mut self, ended: AttemptOutcome) {
        self.end_attempt(ended);
        if let Some((key, attempt)) = self.claimed.take() {
            self.parts.claims.give_back(key, attempt);
        }
    }

    pub(super) fn note_crash(&mut self) {
        let Some(attempt) = &self.attempt else {
            return;
        };
        let now = self.parts.clock.now();
        let news = self
            .parts
            .poison_list()
            .on_crash(&self.poison_marks(), attempt.id(), now);
        for poison in &news {
            self.parts.poison_broadcast.broadcast(poison);
        }
    }

    pub(super) async fn consider_retry(&mut self) -> LifeEvent {
        let now = self.parts.clock.now();
        // Its own retries may be what crashes one upstream after the other.
        if self
            .parts
            .poison_list()
            .is_poison(&self.poison_marks(), now)
        {
            return LifeEvent::RetryDenied;
        }
        let did_not_run = self
            .last_error
            .as_ref()
            .is_some_and(UpstreamError::did_not_run);
        let failed = FailedAttempt {
            attempts: self.attempts,
            did_not_run,
            is_repeatable: self.job.rules.repeatable,
            response_started: self.reply.is_delivered(),
            retry_after: self.retry_after,
            deadline: self.job.work.deadline,
        };
        match self
            .parts
            .with_budget(&self.job.target, |budget| budget.decide(&failed, now))
        {
            RetryDecision::Retry { after } => {
                self.parts.metrics.count_retry(self.last_reason());
                self.reply.restart();
                // Homes answer a request that is asked again with the grant it has. If the end of the
                // failed attempt got lost on its way, that would be the same grant, and its attempt
                // would run a second time under one id. So each attempt is asked for under an id of
                // its own.
                self.job.work.request = RequestId(rand::random());
                sleep(after).await;
                LifeEvent::RetryAllowed
            }
            RetryDecision::GiveUp(stop) => {
                debug!(
                    "entry: request {} is not retried: {stop:?}",
                    self.job.request
                );
                LifeEvent::RetryDenied
            }
        }
    }

    pub(super) fn last_reason(&self) -> &'static str {
        match &self.last_error {
            Some(UpstreamError::NotSent(_)) => "not_sent",
            Some(UpstreamError::Refused { .. }) => "refused",
            Some(UpstreamError::InvalidResponse(_)) => "garbled",
            _ => "failed",
        }
    }

    /// Ends the current attempt, if there is one, and remembers its upstreams as ones to avoid.
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
        if self.followed.is_none() {
            settle(
                self.parts,
                &attempt,
                ended,
                self.job.work.deadline,
                self.job.is_model(),
            );
        }
    }

    pub(super) async fn finish(&mut self, verdict: Verdict) {
        self.note(
            StepKind::Ended,
            "",
            format!("{} {}", verdict.outcome(), verdict.reason()),
        );
        let ended = match verdict {
            Verdict::Completed => AttemptOutcome::Completed,
            Verdict::NotRun(_) => AttemptOutcome::NotSent,
            Verdict::MayHaveRun(_) => AttemptOutcome::Cancelled,
        };
        self.end_attempt(ended);
        if let Some((key, attempt)) = self.claimed.take() {
            let state = match verdict {
                Verdict::Completed => ClaimState::Completed,
                Verdict::NotRun(_) | Verdict::MayHaveRun(_) => ClaimState::MayHaveRun,
            };
            self.parts.claims.finish(key, attempt, state);
        }
        if verdict == Verdict::Completed {
            return;
        }
        let retry_after = match verdict {
            Verdict::NotRun(_) => self.retry_after.or(Some(RETRY_AFTER_DEFAULT)),
            _ => None,
        };
        let message = std::mem::take(&mut self.message);
        let failure = Failure {
            verdict,
            message,
            retry_after,
        };
        if self.reply.fail(&failure).await.is_err() {
            debug!(
                "entry: the caller of {} went before the failure",
                self.job.request
            );
        }
    }
}

async fn gone(reply: &mut Reply, is_detached: bool) {
    if is_detached {
        std::future::pending::<()>().await;
    } else {
        reply.gone().await;
    }
}
