//! Bodies of requests and of pooled answers.

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

/// A request body whose length is known, so that it is sent with a content length.
#[derive(Clone, Debug, Default)]
pub struct ChunksBody {
    chunks: VecDeque<Bytes>,
}

impl ChunksBody {
    /// A body of these pieces.
    pub fn new(chunks: impl IntoIterator<Item = Bytes>) -> Self {
        Self {
            chunks: chunks
                .into_iter()
                .filter(|chunk| !chunk.is_empty())
                .collect(),
        }
    }

    /// A body of one piece.
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

/// An answer's body. Read to its end it gives its connection back; dropped before, it closes it.
#[derive(Debug)]
pub struct PooledBody {
    incoming: Incoming,
    sender: Option<SendRequest<ChunksBody>>,
    idle: Arc<IdleConnections>,
}

impl PooledBody {
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

impl Body for PooledBody {
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

    fn is_end_stream(&self) -> bool {
        // Says no until the end was polled, since only then the connection is given back.
        self.sender.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}
