//! A limit on what is read of a connection before the head of the response.

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

/// Maximum number of bytes before the end of the head of a response, interim responses included. The
/// HTTP library limits each head, but not the number of interim responses.
const HEAD_LEN_MAX: usize = 256 << 10;

/// A connection of which only [`HEAD_LEN_MAX`] bytes can be read before the head of the response.
#[derive(Debug)]
pub(super) struct HeadLimit {
    stream: BoxedByteStream,
    read_len: usize,
    has_head: Arc<AtomicBool>,
}

impl HeadLimit {
    /// Limits a connection until the flag, which is returned too, is set.
    pub(super) fn new(stream: BoxedByteStream) -> (Self, Arc<AtomicBool>) {
        let has_head = Arc::new(AtomicBool::new(false));
        let limit = Self {
            stream,
            read_len: 0,
            has_head: Arc::clone(&has_head),
        };
        (limit, has_head)
    }
}

impl AsyncRead for HeadLimit {
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
        this.read_len = this.read_len.saturating_add(buf.filled().len() - before);
        read
    }
}

impl AsyncWrite for HeadLimit {
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
