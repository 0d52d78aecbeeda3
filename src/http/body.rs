//! Bodies of requests and of responses on pooled connections.

use std::collections::VecDeque;
use std::convert::Infallible;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::body::SizeHint;
use hyper::client::conn::http1::SendRequest;

use crate::http::client::IdleConnections;

/// A request body in chunks. Its length is known, so the request is sent with a content length.
#[derive(Clone, Debug, Default)]
pub struct ChunksBody {
    chunks: VecDeque<Bytes>,
}

impl ChunksBody {
    /// Creates a body of `chunks`; empty chunks are dropped.
    pub fn new(chunks: impl IntoIterator<Item = Bytes>) -> Self {
        Self {
            chunks: chunks
                .into_iter()
                .filter(|chunk| !chunk.is_empty())
                .collect(),
        }
    }

    /// Creates a body of one chunk.
    pub fn single(chunk: impl Into<Bytes>) -> Self {
        Self::new([chunk.into()])
    }
}

impl Body for ChunksBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        Poll::Ready(self.chunks.pop_front().map(|chunk| Ok(Frame::data(chunk))))
    }

    fn is_end_stream(&self) -> bool {
        self.chunks.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.chunks.iter().map(|chunk| chunk.len() as u64).sum())
    }
}

/// The body of a response on a pooled connection. Reading it to its end returns the connection to
/// the pool; dropping it before its end closes the connection.
#[derive(Debug)]
pub struct PooledResponseBody {
    incoming: Incoming,
    sender: Option<SendRequest<ChunksBody>>,
    idle: Arc<IdleConnections>,
}

impl PooledResponseBody {
    /// Creates the body of a response that arrives on the connection of `sender`, which is added to
    /// `idle` at the end of the body.
    pub(crate) fn new(
        incoming: Incoming,
        sender: SendRequest<ChunksBody>,
        idle: Arc<IdleConnections>,
    ) -> Self {
        Self {
            incoming,
            sender: Some(sender),
            idle,
        }
    }
}

impl Body for PooledResponseBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let polled = Pin::new(&mut self.incoming).poll_frame(cx);
        if let Poll::Ready(None) = polled
            && let Some(sender) = self.sender.take()
        {
            self.idle.put(sender);
        }
        polled
    }

    /// Whether the end itself has been polled. Until then this is false, even for an empty body:
    /// only polling the end returns the connection to the pool, and a reader may stop polling as
    /// soon as this is true.
    fn is_end_stream(&self) -> bool {
        self.sender.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}
