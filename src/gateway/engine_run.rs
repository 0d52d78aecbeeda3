//! One run of a stream's call at an engine.

use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use futures_util::FutureExt;
use futures_util::future::pending;
use futures_util::future::select_all;
use http_body_util::BodyExt;

use crate::decide::UpstreamFault;
use crate::gateway::Call;
use crate::gateway::EventSplitter;
use crate::gateway::SplitStep;
use crate::gateway::answer_progress::AnswerProgress;
use crate::gateway::call_recorder::CallRecorder;
use crate::gateway::send::UPSTREAM_RESTARTED;
use crate::gateway::send::UpstreamResponse;
use crate::gateway::send::first_event_timeout;
use crate::http::one_shot::error_with_causes;
use crate::http::one_shot::is_truncated;

/// How long an engine may be silent between two events before the call is sent to another one as
/// well, as a multiple of the longest pause that is on time. Callers give up after eight times this
/// pause.
const SILENCE_OBJECTIVES_MAX: u32 = 5;
/// The allowed silence of streams that have no objective for pauses.
const SILENCE_DEFAULT: Duration = Duration::from_secs(2);

/// The next input from an engine.
pub(crate) enum RunInput {
    /// Complete events.
    Events(Bytes),
    /// The end of a complete response.
    End,
    /// The response cannot be completed.
    Failed(RunFailure),
}

/// Why the response of an engine cannot be completed.
pub(crate) struct RunFailure {
    /// The fault of the engine.
    pub(crate) fault: UpstreamFault,
    /// The cause, for the decision log.
    pub(crate) cause: String,
    /// Whether the response is at fault, which ended before it was complete or is none, as opposed to
    /// a connection that was reset.
    pub(crate) is_invalid: bool,
}

impl RunInput {
    fn truncated(cause: impl Into<String>) -> Self {
        Self::failed(UpstreamFault::Broken, cause, true)
    }

    fn broken(cause: impl Into<String>) -> Self {
        Self::failed(UpstreamFault::Broken, cause, false)
    }

    fn invalid(cause: impl Into<String>) -> Self {
        Self::failed(UpstreamFault::Failed, cause, true)
    }

    fn failed(fault: UpstreamFault, cause: impl Into<String>, is_invalid: bool) -> Self {
        Self::Failed(RunFailure {
            fault,
            cause: cause.into(),
            is_invalid,
        })
    }
}

/// Waits for the next input from any of these engines, and returns it with the index of the engine.
/// Never returns if there is none.
pub(crate) async fn next_input(
    runs: &mut [EngineRun],
    recorder: &CallRecorder,
) -> (usize, RunInput) {
    match runs {
        [] => pending().await,
        [run] => (0, run.next_input(recorder).await),
        runs => {
            let inputs = runs.iter_mut().map(|run| run.next_input(recorder).boxed());
            let (input, index, _) = select_all(inputs).await;
            (index, input)
        }
    }
}

/// The response of one engine to a stream's call.
pub(crate) struct EngineRun {
    pub(crate) response: Box<UpstreamResponse>,
    pub(crate) splitter: EventSplitter,
    pub(crate) progress: AnswerProgress,
    /// When the engine last sent an event, or the call was sent to it.
    pub(crate) heard_at: Instant,
    /// Whether the engine was recorded as silent since then.
    pub(crate) is_silent: bool,
}

impl EngineRun {
    pub(crate) fn new(response: Box<UpstreamResponse>) -> Self {
        Self {
            heard_at: response.sent_at,
            response,
            splitter: EventSplitter::default(),
            progress: AnswerProgress::Begun,
            is_silent: false,
        }
    }

    /// Waits for the next input. An incomplete event is kept until its rest has come.
    async fn next_input(&mut self, recorder: &CallRecorder) -> RunInput {
        loop {
            let response = &mut self.response;
            let incarnations = &recorder.gateway.incarnations;
            let lost = incarnations.wait_until_lost(&response.upstream.id, response.sent_at);
            let frame = tokio::select! {
                frame = response.body.frame() => frame,
                () = lost => return RunInput::broken(UPSTREAM_RESTARTED),
            };
            match frame {
                Some(Ok(frame)) => {
                    let bytes = frame.into_data().unwrap_or_default();
                    match self.splitter.push(&bytes) {
                        SplitStep::Events(events) => {
                            self.on_heard(recorder);
                            return RunInput::Events(events);
                        }
                        SplitStep::Incomplete => {}
                        SplitStep::TooLong => return RunInput::invalid("an event without end"),
                    }
                }
                Some(Err(err)) if is_truncated(&err) => {
                    return RunInput::truncated(error_with_causes(&err));
                }
                Some(Err(err)) => return RunInput::broken(error_with_causes(&err)),
                None if self.is_complete() => return RunInput::End,
                None => {
                    return RunInput::truncated("ended in the middle of an event or without one");
                }
            }
        }
    }

    /// Records that the engine has sent an event.
    fn on_heard(&mut self, recorder: &CallRecorder) {
        self.heard_at = recorder.gateway.clock.now();
        let was_silent = std::mem::take(&mut self.is_silent);
        recorder.on_heard(&self.response.upstream, was_silent);
    }

    /// Records the engine as silent if it has sent nothing for too long. Returns the cause for the
    /// log.
    pub(crate) fn check_silence(&mut self, recorder: &CallRecorder) -> Option<String> {
        let now = recorder.gateway.clock.now();
        if self.is_silent || now < self.silent_at(&recorder.call) {
            return None;
        }
        self.is_silent = true;
        let silence = now.saturating_duration_since(self.heard_at);
        let cause = format!("silent for {silence:?}");
        recorder.on_silent(&self.response.upstream, &cause, self.progress);
        Some(format!("{}: {cause}", UpstreamFault::Silent.name()))
    }

    /// Records that the engine cannot complete its response. Returns the cause for the log.
    pub(crate) fn on_failed(&mut self, failure: &RunFailure, recorder: &CallRecorder) -> String {
        if failure.is_invalid {
            self.response.on_truncated(&recorder.gateway);
        }
        let fault = self.response.path.fault(failure.fault);
        if fault == UpstreamFault::Broken {
            self.response.run.forget();
        }
        let upstream = &self.response.upstream;
        recorder.on_connection_lost(upstream, fault, &failure.cause, self.progress);
        format!("{}: {}", fault.name(), failure.cause)
    }

    /// Whether a response that has ended is complete. Without a length or chunks, one that had no
    /// event by then was cut: the connection of an engine that ends may close like any other.
    fn is_complete(&self) -> bool {
        let has_event = self.progress.has_event();
        !self.splitter.has_partial_event() && (self.response.is_framed || has_event)
    }

    /// When the engine counts as silent if it sends nothing until then.
    pub(crate) fn silent_at(&self, call: &Call) -> Instant {
        let pause = call.route.pause_objective;
        let pause = pause.map_or(SILENCE_DEFAULT, |pause| pause * SILENCE_OBJECTIVES_MAX);
        let allowed = if self.progress.has_event() {
            pause
        } else {
            pause.max(first_event_timeout(call, self.response.forecast))
        };
        self.heard_at + allowed
    }
}
