//! The body of a response to a caller.

use std::fmt;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use futures_util::stream::BoxStream;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;

/// The response cannot be completed. The connection to the caller is closed before the end of the
/// body, so that the received part does not look complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TruncatedResponse;

impl fmt::Display for TruncatedResponse {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the response broke off before its end")
    }
}

impl std::error::Error for TruncatedResponse {}

/// The body of a response to a caller: complete, or a stream that is relayed from an upstream.
/// Dropping a stream before its end cancels the work at the upstream.
pub enum ResponseBody {
    /// The complete body; none if it is empty or has been sent.
    Full(Option<Bytes>),
    /// The chunks of a stream.
    Stream(BoxStream<'static, Result<Bytes, TruncatedResponse>>),
}

impl ResponseBody {
    /// Creates a complete body from these bytes.
    pub fn full(bytes: impl Into<Bytes>) -> Self {
        let bytes = bytes.into();
        Self::Full((!bytes.is_empty()).then_some(bytes))
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = TruncatedResponse;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, TruncatedResponse>>> {
        match self.get_mut() {
            Self::Full(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Stream(chunks) => chunks
                .as_mut()
                .poll_next(cx)
                .map(|chunk| chunk.map(|chunk| chunk.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Full(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Full(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Self::Stream(_) => SizeHint::default(),
        }
    }
}
