//! The body of a reply.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use hyper::body::Body;
use hyper::body::Frame;
use tokio::sync::mpsc;

/// The body of a reply, which hyper reads frame by frame.
///
/// A body in chunks ends as a complete one only with [`BodyChunk::End`]. If its sender is dropped
/// before, it ends with an error, which makes the server break the connection, so that the caller
/// does not mistake a part of a reply for the whole.
#[derive(Debug)]
pub enum ReplyBody {
    /// The whole body in one buffer; none once it has been sent.
    Full(Option<Bytes>),
    /// A body that is sent in chunks.
    Chunks(mpsc::Receiver<BodyChunk>),
}

/// A chunk of a body, or its end.
#[derive(Debug)]
pub enum BodyChunk {
    /// Bytes of the body.
    Data(Bytes),
    /// The body ends here and is complete.
    End,
}

/// The body error for an incomplete reply. The server breaks the connection when it receives this
/// error.
#[derive(Debug)]
pub struct TruncatedBody;

impl std::fmt::Display for TruncatedBody {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the response was truncated")
    }
}

impl std::error::Error for TruncatedBody {}

impl Body for ReplyBody {
    type Data = Bytes;
    type Error = TruncatedBody;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, TruncatedBody>>> {
        match &mut *self {
            Self::Full(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Chunks(chunks) => chunks.poll_recv(cx).map(|chunk| match chunk {
                Some(BodyChunk::Data(bytes)) => Some(Ok(Frame::data(bytes))),
                Some(BodyChunk::End) => None,
                None => Some(Err(TruncatedBody)),
            }),
        }
    }

    fn size_hint(&self) -> hyper::body::SizeHint {
        match self {
            Self::Full(bytes) => {
                let len = bytes.as_ref().map_or(0, Bytes::len);
                hyper::body::SizeHint::with_exact(len as u64)
            }
            Self::Chunks(_) => hyper::body::SizeHint::default(),
        }
    }
}
