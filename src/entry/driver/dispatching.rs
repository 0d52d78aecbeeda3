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
use crate::entry::Break;
use crate::entry::HeldGrant;
use crate::entry::Life;
use crate::entry::LifeEvent;
use crate::entry::advance;
use crate::entry::break_of;
use crate::entry::driver::Driver;
use crate::entry::driver::frozen::frozen;
use crate::entry::driver::frozen::frozen_error;
use crate::entry::driver::gone;
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
const DISPATCH_MAX: Duration = Duration::from_secs(2);

impl Driver<'_> {
    pub(super) async fn dispatch(&mut self, life: &mut StateMachine<Life>) -> LifeEvent {
        self.attempts += 1;
        if self.attempts == 1 {
            self.parts
                .with_budget(&self.job.target, RetryBudget::on_first_attempt);
        }
        let now = self.parts.clock.now();
        // Checked again right before the dispatch: the host may have been paused since the grant.
        if now >= self.job.work.deadline {
            self.give_back(AttemptOutcome::NotSent);
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
            () = frozen(self.job.is_model().then_some(&*upstream)) => Err(frozen_error()),
        };
        match started {
            Ok(answer) => self.pump(answer, life).await,
            Err(err) => self.broken(err).await,
        }
    }

    /// Ranks by length are one of the shipped decisions: a baseline that had them would be stronger
    /// than what it stands for.
    fn rank(&self) -> Priority {
        match self.parts.policy {
            PolicyName::Shipped => engine_priority(&self.job.work),
            _ => self.job.work.priority,
        }
    }

    pub(super) fn dispatch_of(&self, held: &HeldGrant, now: Instant) -> Dispatch {
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
            priority: self.rank(),
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
    pub(super) async fn hold_gang(&self, held: &HeldGrant) -> Result<(), UpstreamError> {
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

    pub(super) async fn resume(&mut self, life: &mut StateMachine<Life>) -> LifeEvent {
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
    pub(super) async fn follow(&mut self, life: &mut StateMachine<Life>) -> LifeEvent {
        let Some(claim) = self.followed.clone() else {
            return LifeEvent::Broken(Break::Lost);
        };
        "an earlier sending of this key may have run".clone_into(&mut self.message);
        let Some(upstream) = self.parts.upstreams.upstream(&claim.upstream) else {
            return LifeEvent::Broken(Break::Lost);
        };
        if self.attempt.is_none() {
            let held = HeldGrant::followed(&claim, &self.job.work);
            self.attempt = Some(Attempt::new(
                held,
                self.job.is_model(),
                self.parts.clock.now(),
            ));
        } else {
            sleep(RESUME_PAUSE).await;
        }
        let offset_tokens = self.attempt.as_ref().map_or(0, Attempt::offset_tokens);
        match self.resume_started(&*upstream, &claim, offset_tokens).await {
            Ok(answer) => self.pump(answer, life).await,
            Err(err) => LifeEvent::Broken(break_of_follow(&err)),
        }
    }

    /// Resumes the answer of another sending. Its claim is recorded a moment before it is
    /// dispatched; the engine does not know it until then, and never will if its host died in
    /// between.
    async fn resume_started(
        &self,
        upstream: &dyn UpstreamClient,
        claim: &Claim,
        offset_tokens: u64,
    ) -> Result<ResponseStream, UpstreamError> {
        let clock = &self.parts.clock;
        let give_up = (clock.now() + DISPATCH_MAX).min(self.job.work.deadline);
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

fn break_of_follow(err: &UpstreamError) -> Break {
    match break_of(err) {
        Break::DidNotRun | Break::Cut => Break::Cut,
        other => other,
    }
}
