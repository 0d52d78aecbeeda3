//! The response of an attempt while it is read.

use std::pin::Pin;
use std::sync::Arc;

use futures_util::FutureExt;
use futures_util::StreamExt;
use futures_util::future::BoxFuture;
use futures_util::stream::Peekable;

use crate::upstream::Dispatch;
use crate::upstream::ResponseEvent;
use crate::upstream::ResponseStream;
use crate::upstream::UpstreamClient;
use crate::upstream::UpstreamError;

/// The next input from an upstream.
pub(crate) enum SourceEvent {
    /// The upstream has accepted the attempt.
    Accepted,
    /// An event of the response.
    Response(ResponseEvent),
    /// The attempt was not accepted, or its response broke off.
    Failed(UpstreamError),
    /// The response ended without its end event.
    Ended,
}

/// The response of an attempt, from its dispatch on. Dropping it closes the connection.
pub(crate) struct ResponseSource {
    state: SourceState,
}

enum SourceState {
    /// The upstream has not answered yet.
    Starting(BoxFuture<'static, Result<ResponseStream, UpstreamError>>),
    /// The upstream has answered, which has not been reported yet.
    Answered(Result<ResponseStream, UpstreamError>),
    /// The events are being read.
    Streaming(Peekable<ResponseStream>),
    Ended,
}

impl ResponseSource {
    /// Sends an attempt to its upstream once the source is read.
    pub(crate) fn start(upstream: Arc<dyn UpstreamClient>, dispatch: Dispatch) -> Self {
        let started = async move { upstream.start(dispatch).await };
        Self {
            state: SourceState::Starting(started.boxed()),
        }
    }

    /// The source of a response that an upstream has begun to send.
    pub(crate) fn streaming(response: ResponseStream) -> Self {
        Self {
            state: SourceState::Streaming(response.peekable()),
        }
    }

    /// Whether the upstream has not answered the attempt yet, so that it may not know the attempt.
    pub(crate) fn is_starting(&self) -> bool {
        matches!(self.state, SourceState::Starting(_))
    }

    /// Waits until [`Self::next`] returns at once. Nothing is lost if the future is dropped.
    pub(crate) async fn wait_until_ready(&mut self) {
        match &mut self.state {
            SourceState::Starting(started) => {
                let answer = started.await;
                self.state = SourceState::Answered(answer);
            }
            SourceState::Streaming(events) => {
                Pin::new(events).peek().await;
            }
            SourceState::Answered(_) | SourceState::Ended => {}
        }
    }

    /// The next input. Nothing is lost if the future is dropped.
    pub(crate) async fn next(&mut self) -> SourceEvent {
        self.wait_until_ready().await;
        match std::mem::replace(&mut self.state, SourceState::Ended) {
            SourceState::Answered(Ok(response)) => {
                self.state = SourceState::Streaming(response.peekable());
                SourceEvent::Accepted
            }
            SourceState::Answered(Err(err)) => SourceEvent::Failed(err),
            SourceState::Streaming(mut events) => {
                // Ready, so that this does not wait.
                let event = events.next().now_or_never().flatten();
                self.state = SourceState::Streaming(events);
                match event {
                    Some(Ok(event)) => SourceEvent::Response(event),
                    Some(Err(err)) => SourceEvent::Failed(err),
                    None => SourceEvent::Ended,
                }
            }
            SourceState::Starting(_) | SourceState::Ended => SourceEvent::Ended,
        }
    }
}
