//! The byte stream of a caller's connection.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;

use tokio::io::AsyncRead;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::io::Take;
use tokio::net::TcpStream;
use tokio::time::Sleep;
use tokio::time::sleep;

use crate::gateway::caller_connection::CallerConnection;

/// The most bytes of one read. A read of 8 KiB would have hyper double its buffer for the next one, and
/// keep it for as long as the connection is open.
const READ_MAX: u64 = (8 << 10) - 1;

/// How long, and how many bytes of, a body that was refused is read and dropped before the connection is
/// closed. A connection that is closed with something unread is reset, and the caller may lose the refusal.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(1);
const DISCARDED_MAX: usize = 4 << 20;
const DISCARD_BUFFER: usize = 8 << 10;

/// The byte stream of a caller's connection, which is read in small portions. What is read is counted by
/// the connection.
pub(crate) struct CallerStream {
    stream: Take<TcpStream>,
    connection: Arc<CallerConnection>,
    /// The end of a body that was refused, while it is dropped.
    discarding: Option<Discarding>,
}

/// How much of a refused body is still read.
struct Discarding {
    timeout: Pin<Box<Sleep>>,
    bytes_left: usize,
}

impl CallerStream {
    pub(crate) fn new(stream: TcpStream, connection: Arc<CallerConnection>) -> Self {
        Self {
            stream: stream.take(READ_MAX),
            connection,
            discarding: None,
        }
    }

    /// Reads and drops what the caller still sends, within limits.
    fn poll_discard(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let discarding = self.discarding.get_or_insert_with(|| Discarding {
            timeout: Box::pin(sleep(DISCARD_TIMEOUT)),
            bytes_left: DISCARDED_MAX,
        });
        if discarding.timeout.as_mut().poll(cx).is_ready() {
            return Poll::Ready(());
        }
        let mut bytes = [0; DISCARD_BUFFER];
        while discarding.bytes_left > 0 {
            let mut buf = ReadBuf::new(&mut bytes);
            let stream = Pin::new(self.stream.get_mut());
            let read = ready!(stream.poll_read(cx, &mut buf));
            let len = buf.filled().len();
            if read.is_err() || len == 0 {
                break;
            }
            discarding.bytes_left = discarding.bytes_left.saturating_sub(len);
        }
        Poll::Ready(())
    }

    fn stream(&mut self) -> Pin<&mut TcpStream> {
        Pin::new(self.stream.get_mut())
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.stream.set_limit(READ_MAX);
        let filled = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        let len = buf.filled().len() - filled;
        Poll::Ready(self.connection.on_read(len))
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.stream().poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.stream().poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.get_ref().is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.stream().poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(self.stream().poll_shutdown(cx))?;
        if self.connection.has_unread_body() {
            ready!(self.poll_discard(cx));
        }
        Poll::Ready(Ok(()))
    }
}
