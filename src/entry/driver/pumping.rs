//! Hands an upstream's answer on to the caller.

use std::time::Duration;

use futures_util::StreamExt;
use statig::prelude::*;
use tokio::time::sleep_until;

use crate::control::outcome::AnswerFault;
use crate::entry::Attempt;
use crate::entry::Break;
use crate::entry::Life;
use crate::entry::LifeEvent;
use crate::entry::advance;
use crate::entry::attempt::Piece;
use crate::entry::attempt::error_of;
use crate::entry::driver::Driver;
use crate::entry::driver::frozen::frozen;
use crate::entry::driver::frozen::frozen_error;
use crate::entry::driver::gone;
use crate::observe::StepKind;
use crate::upstream::ResponseStream;
use crate::upstream::UpstreamError;

impl Driver<'_> {
    /// Hands an answer on until it ends, whichever way.
    pub(super) async fn pump(
        &mut self,
        mut answer: ResponseStream,
        life: &mut StateMachine<Life>,
    ) -> LifeEvent {
        let deadline = self.job.work.deadline;
        let upstream = self.engine();
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
                () = frozen(upstream.as_deref()) => return self.broken(frozen_error()).await,
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
                Handed::Wrong(fault) => return self.broken(error_of(fault)).await,
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
            Piece::Wrong(fault) => return Handed::Wrong(fault),
        };
        match handed {
            Ok(()) => Handed::Goes,
            Err(_) if self.is_detached => Handed::Goes,
            Err(_) => Handed::CallerGone,
        }
    }

    pub(super) fn note_tokens(&self, gap: Option<Duration>) {
        let work = &self.job.work;
        let metrics = &self.parts.metrics;
        match gap {
            Some(gap) => metrics.record_token_gap(&work.customer, work.class(), gap),
            None => {
                let now = self.parts.clock.now();
                let took = now.saturating_duration_since(self.job.received);
                metrics.record_first_token(&work.customer, work.class(), took);
                self.note(StepKind::FirstToken, self.leader(), "");
            }
        }
    }

    /// A claimed request runs on without its caller, who will ask for the answer again with the
    /// same key: ending it would leave nothing but "may have run".
    pub(super) fn detach(&mut self) -> bool {
        self.is_detached = self.is_detached || self.claimed.is_some();
        self.is_detached
    }
}

enum Handed {
    Goes,
    Whole,
    Wrong(AnswerFault),
    CallerGone,
}
