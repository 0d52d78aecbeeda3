//! Forwards an upstream's response to the caller.

use std::time::Duration;

use statig::prelude::*;
use tokio::time::sleep_until;

use crate::control::outcome::AnswerFault;
use crate::entry::Attempt;
use crate::entry::AttemptFailure;
use crate::entry::LifecycleEvent;
use crate::entry::RequestLifecycle;
use crate::entry::advance;
use crate::entry::attempt::AttemptOutput;
use crate::entry::attempt::error_for_fault;
use crate::entry::driver::Driver;
use crate::entry::driver::caller_gone;
use crate::entry::driver::hang_detection::hang_error;
use crate::entry::driver::hang_detection::wait_for_hang;
use crate::entry::response_source::SourceEvent;
use crate::observe::StepKind;
use crate::upstream::UpstreamError;

impl Driver<'_> {
    /// Forwards the response of the current attempt until it ends, fails or is silent, the time
    /// limit passes, or the caller disconnects. A silent response stays connected.
    pub(super) async fn read_response(
        &mut self,
        lifecycle: &mut StateMachine<RequestLifecycle>,
    ) -> LifecycleEvent {
        let deadline = self.job.work.deadline;
        let upstream = self.engine();
        let Some(mut source) = self.source.take() else {
            return LifecycleEvent::AttemptFailed(AttemptFailure::Lost);
        };
        loop {
            let event = tokio::select! {
                event = source.next() => event,
                () = caller_gone(self.reply, self.is_detached) => {
                    if source.is_starting() || !self.detach() {
                        return LifecycleEvent::CallerGone;
                    }
                    continue;
                }
                () = sleep_until(deadline.into()) => return LifecycleEvent::DeadlineExceeded,
                () = wait_for_hang(upstream.as_deref()) => {
                    self.source = Some(source);
                    return self.on_attempt_failure(hang_error()).await;
                }
            };
            if std::mem::take(&mut self.silences) > 0 {
                advance(lifecycle, LifecycleEvent::SilenceEnded);
            }
            let event = match event {
                SourceEvent::Accepted => {
                    self.give_up_kept();
                    advance(lifecycle, LifecycleEvent::AttemptAccepted);
                    continue;
                }
                SourceEvent::Response(event) => event,
                SourceEvent::Failed(err) => return self.on_attempt_failure(err).await,
                SourceEvent::Ended => {
                    let why = "the response ended without its end event".to_owned();
                    return self
                        .on_attempt_failure(UpstreamError::Interrupted(why))
                        .await;
                }
            };
            let now = self.context.clock.now();
            let Some(attempt) = &mut self.attempt else {
                return LifecycleEvent::AttemptFailed(AttemptFailure::Lost);
            };
            let output = attempt.on_event(event, now);
            match self.forward(output).await {
                ForwardResult::Continue => {}
                ForwardResult::Complete => return LifecycleEvent::ResponseCompleted,
                ForwardResult::Invalid(fault) => {
                    return self.on_attempt_failure(error_for_fault(fault)).await;
                }
                ForwardResult::CallerGone if self.detach() => {}
                ForwardResult::CallerGone => return LifecycleEvent::CallerGone,
            }
            if self.reply.has_started() {
                advance(lifecycle, LifecycleEvent::ReplyStarted);
            }
        }
    }

    /// Sends one piece of a response to the caller. For a detached request, that the caller is gone
    /// is no error.
    async fn forward(&mut self, output: AttemptOutput) -> ForwardResult {
        let sent = match output {
            AttemptOutput::Text { text, gap } => {
                self.record_token_times(gap);
                self.reply.send_tokens(&text).await
            }
            AttemptOutput::Head {
                status,
                content_type,
            } => self
                .reply
                .send_service_head(status, content_type.as_deref()),
            AttemptOutput::Data(bytes) => self.reply.send_data(bytes).await,
            AttemptOutput::Complete { finish_reason } => {
                let usage = self
                    .attempt
                    .as_ref()
                    .map(Attempt::usage)
                    .unwrap_or_default();
                // The response is complete even if the caller has disconnected.
                let _ = self.reply.complete(&finish_reason, usage).await;
                return ForwardResult::Complete;
            }
            AttemptOutput::Duplicate => Ok(()),
            AttemptOutput::Invalid(fault) => return ForwardResult::Invalid(fault),
        };
        match sent {
            Ok(()) => ForwardResult::Continue,
            Err(_) if self.is_detached => ForwardResult::Continue,
            Err(_) => ForwardResult::CallerGone,
        }
    }

    /// Records the time since the previous tokens, or, if there were none, the time from the
    /// receipt of the request to its first token.
    pub(super) fn record_token_times(&self, gap: Option<Duration>) {
        let work = &self.job.work;
        let metrics = &self.context.metrics;
        match gap {
            Some(gap) => metrics.record_token_gap(&work.customer, work.class(), gap),
            None => {
                let now = self.context.clock.now();
                let took = now.saturating_duration_since(self.job.received);
                metrics.record_first_token(&work.customer, work.class(), took);
                self.record_step(StepKind::FirstToken, self.leader(), "");
            }
        }
    }

    /// Lets a claimed request run on without its caller, who can fetch the response later with the
    /// same key; ending the request would leave only the outcome "may have run". Returns whether
    /// the request runs on.
    pub(super) fn detach(&mut self) -> bool {
        self.is_detached = self.is_detached || self.recorded_claim.is_some();
        self.is_detached
    }
}

/// What to do after a piece of a response was forwarded.
enum ForwardResult {
    Continue,
    Complete,
    Invalid(AnswerFault),
    CallerGone,
}
