//! The body of an answer to a caller.

use std::fmt;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use futures_util::stream::BoxStream;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;

/// The answer can't be finished. The caller's connection is closed before the end of the body, so
/// that what it has does not look complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CutOff;

impl fmt::Display for CutOff {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the answer broke off")
    }
}

impl std::error::Error for CutOff {}

/// A body that is there, or one that comes piece by piece. Dropped before its end, it gives up what
/// it stands for at the upstream.
pub enum AnswerBody {
    /// All of it; none once it was taken.
    Whole(Option<Bytes>),
    /// Pieces.
    Pieces(BoxStream<'static, Result<Bytes, CutOff>>),
}

impl AnswerBody {
    /// A body that is there.
    pub fn whole(bytes: impl Into<Bytes>) -> Self {
        let bytes = bytes.into();
        Self::Whole((!bytes.is_empty()).then_some(bytes))
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = CutOff;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, CutOff>>> {
        match self.get_mut() {
            Self::Whole(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Pieces(pieces) => pieces
                .as_mut()
                .poll_next(cx)
                .map(|piece| piece.map(|piece| piece.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Self::Pieces(_) => SizeHint::default(),
        }
    }
}
