//! Forwards a stream of events, and continues it at another engine when the first one fails or is
//! silent.
//!
//! A silent engine keeps the call until another one has sent the next event: it may go on at any
//! time, and the other one may not be able to take the call over.

use std::pin::pin;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use hyper::StatusCode;
use tokio::time::timeout;

use crate::gateway::TruncatedResponse;
use crate::gateway::answer_progress::AnswerProgress;
use crate::gateway::call_dispatcher::CallDispatcher;
use crate::gateway::call_dispatcher::DispatchOutcome;
use crate::gateway::call_dispatcher::RESEND_DELAY;
use crate::gateway::call_silence::RESEND_CHECK_INTERVAL;
use crate::gateway::engine_run::EngineRun;
use crate::gateway::engine_run::RunInput;
use crate::gateway::engine_run::next_input;
use crate::gateway::request_tracker::OUTCOME_SERVED;
use crate::gateway::request_tracker::RequestTracker;
use crate::gateway::send::UpstreamResponse;

/// A stream that is being forwarded to a caller.
pub(crate) struct StreamRelay {
    dispatcher: CallDispatcher,
    /// The engines that may send the next event: one, and while it is silent a second one.
    runs: Vec<EngineRun>,
    /// The id of the last event that was forwarded and had one.
    last_id: Option<String>,
    /// The fault of the engine that was lost last, with its cause.
    last_fault: Option<String>,
    /// When the call of a silent engine may be sent again, at the earliest.
    resend_at: Instant,
    /// The delay after the call of a silent engine could not be sent again the last time.
    resend_delay: Duration,
    tracker: RequestTracker,
    /// Whether an event has been forwarded.
    has_event: bool,
    is_finished: bool,
}

/// What to do next with a stream.
enum RelayStep {
    /// Handle the input of the engine at this index.
    Input(usize, RunInput),
    /// Record engines that have become silent, and decide again.
    Silent,
    /// Add the response of an engine that may continue the stream.
    Continue(Box<UpstreamResponse>),
    /// No other engine can continue the stream now.
    NotContinued,
    /// The deadline of the call has passed.
    DeadlineExceeded,
}

impl StreamRelay {
    pub(crate) fn new(
        dispatcher: CallDispatcher,
        response: Box<UpstreamResponse>,
        tracker: RequestTracker,
    ) -> Self {
        let sent_at = response.sent_at;
        Self {
            dispatcher,
            runs: vec![EngineRun::new(response)],
            last_id: None,
            last_fault: None,
            resend_at: sent_at,
            resend_delay: Duration::ZERO,
            tracker,
            has_event: false,
            is_finished: false,
        }
    }

    /// The next complete events; none at the end of the stream. An error means that the stream
    /// cannot be completed.
    pub(crate) async fn next(&mut self) -> Option<Result<Bytes, TruncatedResponse>> {
        if self.is_finished {
            return None;
        }
        loop {
            match self.next_step().await {
                RelayStep::Input(index, RunInput::Events(events)) => {
                    self.on_events(index);
                    return Some(Ok(events));
                }
                RelayStep::Input(index, RunInput::End) => {
                    let response = &mut self.runs[index].response;
                    response.on_stream_end(&self.dispatcher.gateway);
                    response.run.on_answered(StatusCode::OK);
                    self.runs.clear();
                    self.finish(OUTCOME_SERVED);
                    return None;
                }
                RelayStep::Input(index, RunInput::Failed(failure)) => {
                    let mut run = self.runs.remove(index);
                    self.last_fault = Some(run.on_failed(&failure, &self.dispatcher.recorder));
                }
                RelayStep::Silent => self.check_silence(),
                RelayStep::Continue(response) => self.runs.push(EngineRun::new(response)),
                RelayStep::NotContinued if self.runs.is_empty() => {
                    return Some(self.truncate("broken"));
                }
                RelayStep::NotContinued => {
                    self.resend_delay = (self.resend_delay * 2).max(RESEND_DELAY);
                    self.resend_at = self.dispatcher.gateway.clock.now() + self.resend_delay;
                }
                RelayStep::DeadlineExceeded => return Some(self.truncate("time_up")),
            }
        }
    }

    /// Waits until there is something to do.
    async fn next_step(&mut self) -> RelayStep {
        let now = self.dispatcher.gateway.clock.now();
        let time_left = self.dispatcher.call.time_left(now);
        if time_left.is_zero() {
            return RelayStep::DeadlineExceeded;
        }
        if self.runs.is_empty() && !self.dispatcher.may_run_again() {
            return RelayStep::NotContinued;
        }
        let Some(resend_at) = self.resend_at() else {
            return self.wait_for_input(time_left).await;
        };
        let is_due = resend_at <= now && self.runs.iter().all(|run| run.is_silent);
        if is_due && !self.runs.is_empty() && !self.dispatcher.try_resend() {
            self.resend_at = now + RESEND_CHECK_INTERVAL;
            return RelayStep::Silent;
        }
        if self.runs.is_empty() || is_due {
            return self.wait_for_input_or_continue().await;
        }
        let wait = resend_at.saturating_duration_since(now);
        self.wait_for_input(wait.min(time_left)).await
    }

    /// When the call is to be sent to another engine unless one of the present ones sends something;
    /// none if no other engine may run it.
    fn resend_at(&self) -> Option<Instant> {
        if !self.dispatcher.may_run_again() {
            return None;
        }
        let call = &self.dispatcher.call;
        let unrecorded = self.runs.iter().filter(|run| !run.is_silent);
        let silent_at = unrecorded.map(|run| run.silent_at(call)).min();
        Some(silent_at.unwrap_or(self.resend_at))
    }

    async fn wait_for_input(&mut self, wait: Duration) -> RelayStep {
        let recorder = &self.dispatcher.recorder;
        match timeout(wait, next_input(&mut self.runs, recorder)).await {
            Ok((index, input)) => RelayStep::Input(index, input),
            Err(_) => RelayStep::Silent,
        }
    }

    /// Sends the call to another engine, which continues the stream after the last event that was
    /// forwarded. Stops when one of the present engines sends an event or the end of the stream.
    async fn wait_for_input_or_continue(&mut self) -> RelayStep {
        let Self {
            dispatcher,
            runs,
            last_id,
            last_fault,
            ..
        } = self;
        let recorder = dispatcher.recorder.clone();
        let able_only = dispatcher.able_only.clone();
        let was_silent = !runs.is_empty();
        let step = {
            let mut dispatch = pin!(dispatcher.dispatch(last_id.as_deref()));
            loop {
                tokio::select! {
                    outcome = dispatch.as_mut() => break continuation(outcome),
                    (index, input) = next_input(runs, &recorder) => {
                        let RunInput::Failed(failure) = input else {
                            break RelayStep::Input(index, input);
                        };
                        // Another engine may already be reading the prompt.
                        *last_fault = Some(runs.remove(index).on_failed(&failure, &recorder));
                        if runs.is_empty() {
                            able_only.clear();
                        }
                    }
                }
            }
        };
        dispatcher.stop_waiting();
        match step {
            // Since the last engine was lost, more engines may take over.
            RelayStep::NotContinued if was_silent && runs.is_empty() => RelayStep::Silent,
            step => step,
        }
    }

    /// Records the engines that have sent nothing for too long.
    fn check_silence(&mut self) {
        let recorder = &self.dispatcher.recorder;
        for run in &mut self.runs {
            if let Some(cause) = run.check_silence(recorder) {
                self.last_fault = Some(cause);
            }
        }
    }

    /// Records that events of the engine at this index are about to be forwarded, after which the
    /// other engines are no longer needed.
    fn on_events(&mut self, index: usize) {
        let mut run = self.runs.swap_remove(index);
        self.runs.clear();
        if let Some(id) = run.splitter.last_id() {
            self.last_id = Some(id.to_owned());
        }
        let gateway = &self.dispatcher.gateway;
        let now = gateway.clock.now();
        if run.progress == AnswerProgress::Begun {
            gateway.on_upstream_answer(&run.response.upstream, run.response.sent_at);
        }
        if self.has_event {
            let pause = now.saturating_duration_since(self.dispatcher.forwarded_at);
            self.tracker.on_pause(pause);
        } else {
            self.tracker.on_first_event(now);
            run.response.on_first_event(gateway);
        }
        run.response.on_prefill_done();
        run.progress = AnswerProgress::after_events(run.splitter.event_count());
        self.runs.push(run);
        self.has_event = true;
        self.dispatcher.forwarded_at = now;
        self.last_fault = None;
        self.resend_delay = Duration::ZERO;
    }

    /// Ends the stream without completing it.
    fn truncate(&mut self, outcome: &str) -> Result<Bytes, TruncatedResponse> {
        self.runs.clear();
        if let Some(fault) = self.last_fault.take() {
            let refused_for = self.dispatcher.refused_for().unwrap_or("not sent again");
            self.tracker.on_cut(format!("{fault}; {refused_for}"));
        }
        self.finish(outcome);
        Err(TruncatedResponse)
    }

    /// Records the end of the request with status 200, which the caller has received already.
    fn finish(&mut self, outcome: &str) {
        self.is_finished = true;
        self.tracker.finish(outcome, 200);
    }
}

/// What the outcome of sending a stream's call again means for the stream.
fn continuation(outcome: DispatchOutcome) -> RelayStep {
    match outcome {
        DispatchOutcome::Answered(response) if response.head.status.is_success() => {
            RelayStep::Continue(response)
        }
        DispatchOutcome::Answered(_) | DispatchOutcome::Refused(_) => RelayStep::NotContinued,
    }
}
