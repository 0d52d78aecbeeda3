//! Resumes responses, and reads the responses of claimed attempts.

use std::sync::Arc;
use std::time::Duration;

use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use statig::prelude::*;
use tokio::time::sleep;
use tokio::time::sleep_until;

use crate::clock::Clock;
use crate::control::claims::Claim;
use crate::control::claims::ClaimState;
use crate::entry::Attempt;
use crate::entry::AttemptFailure;
use crate::entry::HeldGrant;
use crate::entry::LifecycleEvent;
use crate::entry::RequestLifecycle;
use crate::entry::classify_failure;
use crate::entry::driver::Driver;
use crate::entry::driver::caller_gone;
use crate::entry::response_source::ResponseSource;
use crate::observe::StepKind;
use crate::units::AttemptId;
use crate::upstream::ResponseStream;
use crate::upstream::UpstreamClient;
use crate::upstream::UpstreamError;

/// The pause before a response is resumed: long enough for an upstream to notice that the
/// connection broke, and shorter than a gap between tokens that a caller would notice.
const RESUME_PAUSE: Duration = Duration::from_millis(20);

/// The pause before a response is resumed whose upstream has been silent for
/// [`FREQUENT_RESUMES_MAX`] tries. It bounds the connections that a silent upstream has to accept.
const SILENT_RESUME_PAUSE: Duration = Duration::from_secs(1);

/// The number of tries with the short pause.
const FREQUENT_RESUMES_MAX: u32 = 3;

/// The longest time from the recording of a claim, or from the first answer of an engine after it
/// was silent, until the engine knows the attempt. A host that takes longer is considered dead.
const DISPATCH_TIMEOUT: Duration = Duration::from_secs(2);

type ResumeResult = Result<ResponseStream, UpstreamError>;

/// What ended the wait for a response that was interrupted or silent.
enum Reconnected {
    /// The response goes on on its old connection.
    SilenceEnded,
    /// The upstream has answered on a new connection, or did not.
    Resumed(ResumeResult),
    CallerGone,
    DeadlineExceeded,
}

impl Driver<'_> {
    /// Reads the interrupted response of the current attempt from the first token that the caller
    /// does not have. A response that is only silent keeps its connection until the upstream has
    /// answered on a new one.
    pub(super) async fn resume(
        &mut self,
        lifecycle: &mut StateMachine<RequestLifecycle>,
    ) -> LifecycleEvent {
        self.restore_kept();
        let Some(attempt) = &self.attempt else {
            return LifecycleEvent::AttemptFailed(AttemptFailure::Lost);
        };
        let (id, offset_tokens) = (attempt.id(), attempt.offset_tokens());
        let leader = attempt
            .leader()
            .and_then(|id| self.context.upstreams.upstream(id));
        let resuming = match leader.filter(|_| self.job.is_model()) {
            Some(upstream) => {
                let is_starting = self
                    .source
                    .as_ref()
                    .is_some_and(ResponseSource::is_starting);
                resume_after(
                    self.resume_pause(),
                    upstream,
                    id,
                    offset_tokens,
                    is_starting,
                )
                .boxed()
            }
            None if self.source.is_some() => std::future::pending().boxed(),
            None => std::future::ready(Err(UpstreamError::UnknownAttempt)).boxed(),
        };
        match self.reconnect(resuming).await {
            Reconnected::SilenceEnded => self.read_response(lifecycle).await,
            Reconnected::Resumed(Ok(response)) => {
                let why = format!("from token {offset_tokens}");
                self.record_step(StepKind::Resumed, self.leader(), why);
                self.source = Some(ResponseSource::streaming(response));
                self.read_response(lifecycle).await
            }
            Reconnected::Resumed(Err(err)) => self.on_resume_failure(err).await,
            Reconnected::CallerGone => LifecycleEvent::CallerGone,
            Reconnected::DeadlineExceeded => LifecycleEvent::DeadlineExceeded,
        }
    }

    /// Handles an upstream that does not resume a response. While the old connection is open, only
    /// an upstream that does not know the attempt has given it up.
    async fn on_resume_failure(&mut self, err: UpstreamError) -> LifecycleEvent {
        match err {
            UpstreamError::UnknownAttempt | UpstreamError::NoAnswer(_) => {
                self.on_attempt_failure(err).await
            }
            // The path to a sound upstream may be lost.
            UpstreamError::Unreachable(why) => {
                self.on_attempt_failure(UpstreamError::NoAnswer(why)).await
            }
            err if self.source.is_some() => {
                self.on_attempt_failure(UpstreamError::NoAnswer(err.to_string()))
                    .await
            }
            UpstreamError::NotSent(why) => {
                // The attempt had started, its connection broke, and the upstream now refuses
                // connections: the upstream crashed while it ran the attempt.
                self.report_crash();
                self.on_attempt_failure(UpstreamError::Failed(why)).await
            }
            err => self.on_attempt_failure(err).await,
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
        let pause = if self.attempt.is_none() {
            let grant = HeldGrant::of_claim(&claim, &self.job.work);
            let now = self.context.clock.now();
            self.attempt = Some(Attempt::new(grant, self.job.is_model(), now));
            Duration::ZERO
        } else {
            self.resume_pause()
        };
        let offset_tokens = self.attempt.as_ref().map_or(0, Attempt::offset_tokens);
        let clock = Arc::clone(&self.context.clock);
        let resuming = resume_claimed(clock, pause, upstream, claim, offset_tokens).boxed();
        match self.reconnect(resuming).await {
            Reconnected::SilenceEnded => self.read_response(lifecycle).await,
            Reconnected::Resumed(Ok(response)) => {
                self.source = Some(ResponseSource::streaming(response));
                self.read_response(lifecycle).await
            }
            Reconnected::Resumed(Err(err)) => {
                LifecycleEvent::AttemptFailed(classify_follow_failure(&err))
            }
            Reconnected::CallerGone => LifecycleEvent::CallerGone,
            Reconnected::DeadlineExceeded => LifecycleEvent::DeadlineExceeded,
        }
    }

    /// The pause before the response is resumed, which is counted.
    fn resume_pause(&mut self) -> Duration {
        self.silences += 1;
        if self.silences > FREQUENT_RESUMES_MAX {
            SILENT_RESUME_PAUSE
        } else {
            RESUME_PAUSE
        }
    }

    /// Waits until a silent response goes on or has been resumed on another connection.
    async fn reconnect(&mut self, mut resuming: BoxFuture<'_, ResumeResult>) -> Reconnected {
        let deadline = self.job.work.deadline;
        loop {
            tokio::select! {
                biased;
                () = wait_until_ready(self.source.as_mut()) => return Reconnected::SilenceEnded,
                resumed = &mut resuming => return Reconnected::Resumed(resumed),
                () = sleep_until(deadline.into()) => return Reconnected::DeadlineExceeded,
                () = caller_gone(self.reply, self.is_detached) => {
                    let is_starting = self.source.as_ref().is_some_and(ResponseSource::is_starting);
                    if is_starting || !self.detach() {
                        return Reconnected::CallerGone;
                    }
                }
            }
        }
    }
}

/// Waits until a response goes on; forever if there is none.
pub(super) async fn wait_until_ready(source: Option<&mut ResponseSource>) {
    match source {
        Some(source) => source.wait_until_ready().await,
        None => std::future::pending().await,
    }
}

/// Resumes the response of an attempt. An engine that was silent before it answered the attempt
/// (`is_starting`) may have the request in its socket, and is asked once more before it counts as
/// not knowing the attempt.
async fn resume_after(
    pause: Duration,
    upstream: Arc<dyn UpstreamClient>,
    attempt: AttemptId,
    offset_tokens: u64,
    is_starting: bool,
) -> ResumeResult {
    sleep(pause).await;
    match upstream.resume(attempt, offset_tokens).await {
        Err(UpstreamError::UnknownAttempt) if is_starting => {
            sleep(DISPATCH_TIMEOUT).await;
            upstream.resume(attempt, offset_tokens).await
        }
        resumed => resumed,
    }
}

/// Resumes the response of a claimed attempt. A claim is recorded shortly before its attempt is
/// dispatched, so the engine may not know the attempt yet, and never will if the host that holds
/// the claim died in between.
async fn resume_claimed(
    clock: Arc<dyn Clock>,
    pause: Duration,
    upstream: Arc<dyn UpstreamClient>,
    claim: Claim,
    offset_tokens: u64,
) -> ResumeResult {
    sleep(pause).await;
    let give_up_at = clock.now() + DISPATCH_TIMEOUT;
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

/// Classifies an error while another attempt's response is read. That attempt has run or is
/// running, so a refused connection counts as an interruption, and none in time as silence.
fn classify_follow_failure(err: &UpstreamError) -> AttemptFailure {
    if let UpstreamError::Unreachable(_) = err {
        return AttemptFailure::Silent;
    }
    match classify_failure(err) {
        AttemptFailure::DidNotRun | AttemptFailure::Interrupted => AttemptFailure::Interrupted,
        other => other,
    }
}
