//! The connection on which one response is read.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;

use crate::http::BoxedByteStream;
use crate::http::answer_end::AnswerEnd;

/// Maximum number of bytes before the end of the head of a response, interim responses included. The
/// HTTP library limits each head, but not the number of interim responses.
const HEAD_LEN_MAX: usize = 256 << 10;

/// A connection of which only [`HEAD_LEN_MAX`] bytes can be read before the head of the response. Reading
/// fails if the response goes on after the end that its head announces.
#[derive(Debug)]
pub(super) struct AnswerStream {
    stream: BoxedByteStream,
    read_len: usize,
    end: AnswerEnd,
    has_head: Arc<AtomicBool>,
}

impl AnswerStream {
    /// Limits a connection until the flag, which is returned too, is set.
    pub(super) fn new(stream: BoxedByteStream) -> (Self, Arc<AtomicBool>) {
        let has_head = Arc::new(AtomicBool::new(false));
        let limit = Self {
            stream,
            read_len: 0,
            end: AnswerEnd::default(),
            has_head: Arc::clone(&has_head),
        };
        (limit, has_head)
    }
}

impl AsyncRead for AnswerStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        if this.read_len >= HEAD_LEN_MAX && !this.has_head.load(Ordering::Relaxed) {
            let problem = format!("no head of a response within {HEAD_LEN_MAX} bytes");
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, problem)));
        }
        let before = buf.filled().len();
        let read = Pin::new(&mut this.stream).poll_read(cx, buf);
        let bytes = &buf.filled()[before..];
        this.read_len = this.read_len.saturating_add(bytes.len());
        if let Err(err) = this.end.on_bytes(bytes) {
            buf.set_filled(before);
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, err)));
        }
        read
    }
}

impl AsyncWrite for AnswerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
