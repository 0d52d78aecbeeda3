//! Sends of one call to upstreams that have not answered in time, and may still answer.

use std::pin::pin;

use futures_util::StreamExt;
use futures_util::future::BoxFuture;
use futures_util::stream::FuturesUnordered;

use crate::gateway::ListedUpstream;
use crate::gateway::able_only::AbleOnly;
use crate::gateway::answer_progress::AnswerProgress;
use crate::gateway::call_recorder::CallRecorder;
use crate::gateway::send::SendOutcome;
use crate::gateway::send::UpstreamResponse;

/// The result of a send, with the upstream that the call was sent to.
pub(crate) type EndedSend = (ListedUpstream, SendOutcome);

/// The pending sends of a call to upstreams that are silent. Dropping them closes the connections.
pub(crate) struct SilentSends {
    pending: FuturesUnordered<BoxFuture<'static, EndedSend>>,
    recorder: CallRecorder,
    /// The restriction that holds while an upstream is silent.
    able_only: AbleOnly,
    /// The last answer that was a failure.
    failure: Option<Box<UpstreamResponse>>,
    /// The number of sends that have turned out not to have run.
    not_run: u32,
}

/// What came first.
pub(crate) enum Raced<T> {
    /// A silent upstream has answered, and not with an error of its own.
    Answered(Box<UpstreamResponse>),
    /// The other future is ready.
    Other(T),
}

impl SilentSends {
    pub(crate) fn new(recorder: CallRecorder, able_only: AbleOnly) -> Self {
        Self {
            pending: FuturesUnordered::new(),
            recorder,
            able_only,
            failure: None,
            not_run: 0,
        }
    }

    /// Adds a send.
    pub(crate) fn push(&mut self, send: BoxFuture<'static, EndedSend>) {
        self.pending.push(send);
    }

    /// Whether no upstream can answer any more.
    pub(crate) fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// Waits for an answer or for the other future, and records sends that end otherwise.
    pub(crate) async fn race<T>(&mut self, other: impl Future<Output = T>) -> Raced<T> {
        let mut other = pin!(other);
        loop {
            tokio::select! {
                Some(ended) = self.pending.next() => {
                    if let Some(response) = self.on_ended(ended) {
                        return Raced::Answered(response);
                    }
                }
                done = other.as_mut() => return Raced::Other(done),
            }
        }
    }

    /// Waits for an answer; none if all sends have ended otherwise.
    async fn answer(&mut self) -> Option<Box<UpstreamResponse>> {
        while let Some(ended) = self.pending.next().await {
            let answer = self.on_ended(ended);
            if answer.is_some() {
                return answer;
            }
        }
        None
    }

    /// Waits for an answer; none if all sends have ended otherwise, or the other future is ready.
    pub(crate) async fn answer_until<T>(
        &mut self,
        other: impl Future<Output = T>,
    ) -> Option<Box<UpstreamResponse>> {
        tokio::select! {
            answer = self.answer() => answer,
            _ = other => None,
        }
    }

    /// Keeps an answer that is a failure, and releases its upstream.
    pub(crate) fn keep_failure(&mut self, mut response: Box<UpstreamResponse>) {
        response.release();
        self.failure = Some(response);
    }

    /// Whether an upstream has answered with a failure.
    pub(crate) fn has_failure(&self) -> bool {
        self.failure.is_some()
    }

    /// The last answer that was a failure, if any.
    pub(crate) fn take_failure(&mut self) -> Option<Box<UpstreamResponse>> {
        self.failure.take()
    }

    /// The number of sends that have turned out not to have run since the last time.
    pub(crate) fn take_not_run(&mut self) -> u32 {
        std::mem::take(&mut self.not_run)
    }

    /// Records how a send has ended. Returns the answer unless it is a failure.
    fn on_ended(&mut self, (upstream, outcome): EndedSend) -> Option<Box<UpstreamResponse>> {
        if self.pending.is_empty() {
            self.able_only.clear();
        }
        match outcome {
            SendOutcome::Answered(response) => {
                self.recorder.on_response(&response);
                if !response.head.status.is_server_error() {
                    return Some(response);
                }
                self.keep_failure(response);
            }
            SendOutcome::NotRun {
                fault,
                at_fault,
                cause,
                ..
            } => {
                self.not_run += 1;
                self.recorder.on_not_run(&upstream, fault, at_fault, &cause);
            }
            SendOutcome::Lost { fault, cause } => {
                let progress = AnswerProgress::Unanswered;
                self.recorder
                    .on_connection_lost(&upstream, fault, &cause, progress);
            }
        }
        None
    }
}
