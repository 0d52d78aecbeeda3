//! Does what the life of a request says, and reports back what came of it.

use std::borrow::Cow;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use futures_util::StreamExt;
use log::debug;
use log::info;
use log::warn;
use statig::prelude::*;
use tokio::time::sleep;
use tokio::time::sleep_until;

use crate::decide::Ended;
use crate::decide::FailedAttempt;
use crate::decide::PoisonMark;
use crate::decide::RefuseReason;
use crate::decide::RetryBudget;
use crate::decide::RetryVerdict;
use crate::decide::engine_priority;
use crate::entry::Attempt;
use crate::entry::Break;
use crate::entry::ClaimAnswer;
use crate::entry::ClaimWanted;
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
use crate::entry::attempt::Piece;
use crate::entry::break_of;
use crate::entry::settle::settle;
use crate::observe::StepKind;
use crate::units::IdempotencyKey;
use crate::units::UpstreamId;
use crate::upstream::AnswerStream;
use crate::upstream::Dispatch;
use crate::upstream::RequestBody;
use crate::upstream::UpstreamError;

/// How long to wait before an answer is read on: long enough for an upstream to notice that the
/// connection broke, short against the time between tokens that a caller notices.
const RESUME_PAUSE: Duration = Duration::from_millis(20);

/// When a request that failed not run may come back where nothing better is known.
const RETRY_AFTER_DEFAULT: Duration = Duration::from_secs(1);

/// One request on its way.
pub(crate) struct Driver<'a> {
    parts: &'a Arc<EntryParts>,
    job: Job,
    reply: &'a mut Reply,
    attempt: Option<Attempt>,
    claimed: Option<ClaimWanted>,
    followed: Option<(ClaimWanted, UpstreamId)>,
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
                self.job.work.request
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
                    self.end_attempt(Ended::Cancelled);
                    return None;
                }
                LifeStep::Nothing => {
                    // Every event that a step reports has its transition; if one had none, waiting
                    // for the next would hold the caller up for ever.
                    warn!(
                        "entry: request {} got {event:?} out of place",
                        self.job.work.request
                    );
                    LifeEvent::TimeUp
                }
            };
        }
    }

    fn note(&self, what: StepKind, place: &str, why: impl Into<Cow<'static, str>>) {
        self.parts
            .explanations
            .note(self.job.work.request, what, place, why);
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

    fn poison_marks(&self) -> Vec<PoisonMark> {
        let mut marks = vec![PoisonMark::of_content(self.job.content)];
        if let Some(key) = &self.job.key {
            marks.push(PoisonMark::of_key(&self.job.work.customer, key));
        }
        marks
    }

    async fn ask_grant(&mut self) -> LifeEvent {
        let parts = Arc::clone(self.parts);
        let ask = parts
            .granter
            .ask(self.job.target.clone(), self.job.work.clone());
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
                self.attempt = Some(Attempt::new(*held, now));
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
            .queue_wait(&work.customer, work.class(), held.waited);
    }

    async fn claim(&mut self) -> LifeEvent {
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

    fn claim_wanted(&self) -> Option<ClaimWanted> {
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

    async fn dispatch(&mut self, life: &mut StateMachine<Life>) -> LifeEvent {
        self.attempts += 1;
        if self.attempts == 1 {
            self.parts
                .with_budget(&self.job.target, RetryBudget::on_first_attempt);
        }
        let now = self.parts.clock.now();
        // Checked again right before the dispatch: the host may have been paused since the grant.
        if now >= self.job.work.deadline {
            self.give_back(Ended::NotSent).await;
            advance(life, LifeEvent::Broken(Break::DidNotRun));
            return LifeEvent::TimeUp;
        }
        let Some(held) = self.attempt.as_ref().map(|attempt| attempt.held.clone()) else {
            return LifeEvent::Broken(Break::DidNotRun);
        };
        if let Err(err) = self.hold_gang(&held).await {
            return self.broken(err).await;
        }
        let leader = held
            .upstreams
            .first()
            .and_then(|id| self.parts.upstreams.upstream(id));
        let Some(upstream) = leader else {
            let why = format!("{:?} is not known here", held.upstreams);
            return self.broken(UpstreamError::NotSent(why)).await;
        };
        let dispatch = self.dispatch_of(&held, now);
        self.note(
            StepKind::Dispatched,
            self.leader(),
            format!("attempt {}", held.attempt()),
        );
        let deadline = self.job.work.deadline;
        let started = tokio::select! {
            started = upstream.start(dispatch) => started,
            () = gone(self.reply, self.is_detached) => return LifeEvent::CallerGone,
            () = sleep_until(deadline.into()) => return LifeEvent::TimeUp,
        };
        match started {
            Ok(answer) => self.pump(answer, life).await,
            Err(err) => self.broken(err).await,
        }
    }

    fn dispatch_of(&self, held: &HeldGrant, now: Instant) -> Dispatch {
        let is_gang = held.upstreams.len() > 1;
        Dispatch {
            attempt: held.attempt(),
            host: self.parts.host.clone(),
            method: self.job.method.to_string(),
            path: self.job.path.clone(),
            content_type: self.job.content_type.clone(),
            body: RequestBody {
                chunks: vec![self.job.body.clone()],
            },
            priority: engine_priority(&self.job.work),
            remaining: self.job.work.deadline.saturating_duration_since(now),
            gang: if is_gang {
                held.upstreams.clone()
            } else {
                Vec::new()
            },
            is_model: self.job.is_model(),
        }
    }

    /// Holds the memory of the gang's members, the leader's own excepted. They are asked in the
    /// order of their names: two gangs that want the same engines meet at the first of them, and
    /// neither waits while it holds what the other needs.
    async fn hold_gang(&self, held: &HeldGrant) -> Result<(), UpstreamError> {
        let mut members: Vec<&UpstreamId> = held.upstreams.iter().skip(1).collect();
        members.sort();
        if members.is_empty() {
            return Ok(());
        }
        let now = self.parts.clock.now();
        let hold = self.job.work.deadline.saturating_duration_since(now);
        let tokens = self
            .job
            .work
            .memory_tokens()
            .0
            .div_ceil(held.upstreams.len() as u64);
        for id in members {
            let unknown = || UpstreamError::NotSent(format!("{id} is not known here"));
            let upstream = self.parts.upstreams.upstream(id).ok_or_else(unknown)?;
            let host = self.parts.host.clone();
            let tokens = crate::units::Tokens(tokens);
            let taken = upstream.hold_gang(held.attempt(), host, tokens, hold).await;
            // A hold is no run: whatever became of it, the request itself has not left.
            taken.map_err(|err| UpstreamError::NotSent(format!("gang member {id}: {err}")))?;
        }
        Ok(())
    }

    async fn resume(&mut self, life: &mut StateMachine<Life>) -> LifeEvent {
        sleep(RESUME_PAUSE).await;
        let Some(attempt) = &self.attempt else {
            return LifeEvent::Broken(Break::Lost);
        };
        let leader = attempt
            .leader()
            .and_then(|id| self.parts.upstreams.upstream(id));
        let Some(upstream) = leader.filter(|_| self.job.is_model()) else {
            return self.broken(UpstreamError::UnknownAttempt).await;
        };
        match upstream.resume(attempt.id(), attempt.offset_tokens()).await {
            Ok(answer) => {
                let why = format!("from token {}", attempt.offset_tokens());
                self.note(StepKind::Resumed, self.leader(), why);
                self.pump(answer, life).await
            }
            Err(UpstreamError::NotSent(why)) => {
                // The attempt had started, its connection broke, and now nobody listens there: the
                // upstream died with it.
                self.note_crash();
                self.broken(UpstreamError::Failed(why)).await
            }
            Err(err) => self.broken(err).await,
        }
    }

    /// Reads the answer of an earlier sending of the same key.
    async fn follow(&mut self, life: &mut StateMachine<Life>) -> LifeEvent {
        let Some((claim, upstream_id)) = self.followed.clone() else {
            return LifeEvent::Broken(Break::Lost);
        };
        "an earlier sending of this key may have run".clone_into(&mut self.message);
        let Some(upstream) = self.parts.upstreams.upstream(&upstream_id) else {
            return LifeEvent::Broken(Break::Lost);
        };
        if self.attempt.is_none() {
            let held = HeldGrant::followed(&claim, &upstream_id, &self.job.work);
            self.attempt = Some(Attempt::new(held, self.parts.clock.now()));
        } else {
            sleep(RESUME_PAUSE).await;
        }
        let offset_tokens = self.attempt.as_ref().map_or(0, Attempt::offset_tokens);
        match upstream.resume(claim.attempt, offset_tokens).await {
            Ok(answer) => self.pump(answer, life).await,
            Err(err) => LifeEvent::Broken(break_of_follow(&err)),
        }
    }

    /// Hands an answer on until it ends, whichever way.
    async fn pump(&mut self, mut answer: AnswerStream, life: &mut StateMachine<Life>) -> LifeEvent {
        let deadline = self.job.work.deadline;
        loop {
            let event = tokio::select! {
                event = answer.next() => event,
                () = gone(self.reply, self.is_detached) => {
                    if !self.detach() {
                        return LifeEvent::CallerGone;
                    }
                    continue;
                }
                () = sleep_until(deadline.into()) => return LifeEvent::TimeUp,
            };
            let event = match event {
                Some(Ok(event)) => event,
                Some(Err(err)) => return self.broken(err).await,
                None => {
                    let why = "the answer ended without its end mark".to_owned();
                    return self.broken(UpstreamError::Interrupted(why)).await;
                }
            };
            let now = self.parts.clock.now();
            let Some(attempt) = &mut self.attempt else {
                return LifeEvent::Broken(Break::Lost);
            };
            let piece = attempt.take(event, now);
            match self.hand_on(piece).await {
                Handed::Goes => {}
                Handed::Whole => return LifeEvent::Ended,
                Handed::Wrong(why) => return self.broken(UpstreamError::Garbled(why)).await,
                Handed::CallerGone if self.detach() => {}
                Handed::CallerGone => return LifeEvent::CallerGone,
            }
            if self.reply.is_delivered() {
                advance(life, LifeEvent::Delivered);
            }
        }
    }

    async fn hand_on(&mut self, piece: Piece) -> Handed {
        let handed = match piece {
            Piece::Text { text, gap } => {
                self.note_tokens(gap);
                self.reply.tokens(&text).await
            }
            Piece::Head {
                status,
                content_type,
            } => self.reply.service_head(status, content_type.as_deref()),
            Piece::Data(bytes) => self.reply.data(bytes).await,
            Piece::Whole { finish_reason } => {
                let usage = self
                    .attempt
                    .as_ref()
                    .map(Attempt::usage)
                    .unwrap_or_default();
                // The answer is whole whether its caller still listens or not.
                let _ = self.reply.complete(&finish_reason, usage).await;
                return Handed::Whole;
            }
            Piece::Repeated => Ok(()),
            Piece::Wrong(why) => return Handed::Wrong(why),
        };
        match handed {
            Ok(()) => Handed::Goes,
            Err(_) if self.is_detached => Handed::Goes,
            Err(_) => Handed::CallerGone,
        }
    }

    fn note_tokens(&self, gap: Option<Duration>) {
        let work = &self.job.work;
        let metrics = &self.parts.metrics;
        match gap {
            Some(gap) => metrics.between_tokens(&work.customer, work.class(), gap),
            None => {
                let now = self.parts.clock.now();
                let took = now.saturating_duration_since(self.job.received);
                metrics.first_token(&work.customer, work.class(), took);
                self.note(StepKind::FirstToken, self.leader(), "");
            }
        }
    }

    /// A claimed request runs on without its caller, who will ask for the answer again with the
    /// same key: ending it would leave nothing but "may have run".
    fn detach(&mut self) -> bool {
        self.is_detached = self.is_detached || self.claimed.is_some();
        self.is_detached
    }

    async fn broken(&mut self, err: UpstreamError) -> LifeEvent {
        let broke = break_of(&err);
        info!("entry: request {} broke: {err}", self.job.work.request);
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
                    Ended::Refused
                } else {
                    Ended::NotSent
                })
                .await;
            }
            Break::Cut => {}
            Break::Lost | Break::Garbled => self.end_attempt(Ended::Failed),
        }
        self.last_error = Some(err);
        LifeEvent::Broken(broke)
    }

    /// The attempt provably did not run: its grant and its claim are free again.
    async fn give_back(&mut self, ended: Ended) {
        self.end_attempt(ended);
        if let Some(claimed) = self.claimed.take() {
            self.parts.claims.give_back(claimed).await;
        }
    }

    fn note_crash(&mut self) {
        let Some(attempt) = &self.attempt else {
            return;
        };
        let now = self.parts.clock.now();
        let news = self
            .parts
            .poison_list()
            .on_crash(&self.poison_marks(), attempt.id(), now);
        for poison in &news {
            self.parts.poison_spread.spread(poison);
        }
    }

    async fn consider_retry(&mut self) -> LifeEvent {
        let did_not_run = self
            .last_error
            .as_ref()
            .is_some_and(UpstreamError::did_not_run);
        let failed = FailedAttempt {
            attempts: self.attempts,
            did_not_run,
            is_repeatable: self.job.rules.repeatable,
            answer_started: self.reply.is_delivered(),
            retry_after: self.retry_after,
            deadline: self.job.work.deadline,
        };
        let now = self.parts.clock.now();
        match self
            .parts
            .with_budget(&self.job.target, |budget| budget.judge(&failed, now))
        {
            RetryVerdict::Again { after } => {
                self.parts.metrics.retry(self.last_reason());
                self.reply.restart();
                sleep(after).await;
                LifeEvent::RetryAllowed
            }
            RetryVerdict::GiveUp(stop) => {
                debug!(
                    "entry: request {} is not retried: {stop:?}",
                    self.job.work.request
                );
                LifeEvent::RetryDenied
            }
        }
    }

    fn last_reason(&self) -> &'static str {
        match &self.last_error {
            Some(UpstreamError::NotSent(_)) => "not_sent",
            Some(UpstreamError::Refused { .. }) => "refused",
            Some(UpstreamError::Garbled(_)) => "garbled",
            _ => "failed",
        }
    }

    /// Ends the current attempt, if there is one, and remembers its upstreams as ones to avoid.
    fn end_attempt(&mut self, ended: Ended) {
        let Some(attempt) = self.attempt.take() else {
            return;
        };
        if matches!(ended, Ended::Failed | Ended::Refused | Ended::NotSent) {
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

    async fn finish(&mut self, verdict: Verdict) {
        self.note(
            StepKind::Ended,
            "",
            format!("{} {}", verdict.outcome(), verdict.reason()),
        );
        let ended = match verdict {
            Verdict::Completed => Ended::Completed,
            Verdict::NotRun(_) => Ended::NotSent,
            Verdict::MayHaveRun(_) => Ended::Cancelled,
        };
        self.end_attempt(ended);
        if let Some(claimed) = self.claimed.take() {
            self.parts.claims.finish(claimed);
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
                self.job.work.request
            );
        }
    }
}

enum Handed {
    Goes,
    Whole,
    Wrong(String),
    CallerGone,
}

async fn gone(reply: &mut Reply, is_detached: bool) {
    if is_detached {
        std::future::pending::<()>().await;
    } else {
        reply.gone().await;
    }
}

/// Keys are the customer's own: two customers may use the same one.
fn customer_key(customer: &str, key: &IdempotencyKey) -> Option<IdempotencyKey> {
    let text = format!("{customer}/{key}");
    let hashed = || crate::units::ContentHash::of(text.as_bytes()).to_string();
    text.parse().or_else(|_| hashed().parse()).ok()
}

fn break_of_follow(err: &UpstreamError) -> Break {
    match break_of(err) {
        Break::DidNotRun | Break::Cut => Break::Cut,
        other => other,
    }
}
