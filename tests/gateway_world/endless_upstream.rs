//! An upstream that sends bytes without end to every request.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

/// What comes without end.
#[derive(Clone, Copy, Debug)]
pub enum EndlessBytes {
    /// Interim responses in place of a head.
    InterimResponses,
    /// One header.
    Header,
    /// Headers.
    Headers,
    /// A body without a length.
    Body,
    /// The same, slowly.
    SlowBody,
    /// The extension of a chunk.
    ChunkExtension,
    /// Trailers behind the last chunk.
    Trailers,
    /// An event of a stream.
    Event,
    /// The same, slowly.
    SlowEvent,
}

/// The pause between two parts of a slow event or body.
const SLOW_PAUSE: Duration = Duration::from_millis(50);
/// The most that is sent on one connection, so that a test ends that nobody stops.
const SENT_MAX: usize = 256 << 20;

impl EndlessBytes {
    /// The bytes that come once, for a request with this id, and those that come again and again.
    fn parts(self, request: &str) -> (String, String) {
        let signed = format!("HTTP/1.1 200 OK\r\ntest-request: {request}\r\ntest-signature: s\r\n");
        let repeat = |text: &str| text.repeat(512);
        match self {
            Self::InterimResponses => {
                let interim = repeat("HTTP/1.1 103 Early Hints\r\n\r\n");
                (String::new(), interim)
            }
            Self::Header => (format!("{signed}endless: "), repeat("endless")),
            Self::Headers => (signed, repeat("endless: yes\r\n")),
            Self::Body | Self::SlowBody => (format!("{signed}\r\n"), repeat("endless")),
            Self::ChunkExtension => (
                format!("{signed}transfer-encoding: chunked\r\n\r\n5;"),
                repeat("endless"),
            ),
            Self::Trailers => (
                format!("{signed}transfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n"),
                repeat("endless: yes\r\n"),
            ),
            Self::Event => {
                let head = format!("{signed}content-type: text/event-stream\r\n\r\n");
                (head, repeat("data: endless\n"))
            }
            Self::SlowEvent => {
                let head = format!("{signed}content-type: text/event-stream\r\n\r\n");
                (head, "data: endless\n".to_owned())
            }
        }
    }
}

/// What an upstream has recorded.
#[derive(Default)]
struct Counts {
    calls: AtomicUsize,
    open: AtomicUsize,
    sent: AtomicUsize,
}

/// An upstream that sends bytes without end, on a port of its own.
pub struct EndlessUpstream {
    pub addr: SocketAddr,
    counts: Arc<Counts>,
}

impl EndlessUpstream {
    pub async fn start(bytes: EndlessBytes) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        let counts = Arc::<Counts>::default();
        let recorded = Arc::clone(&counts);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let recorded = Arc::clone(&recorded);
                tokio::spawn(async move { serve(stream, bytes, &recorded).await });
            }
        });
        Self { addr, counts }
    }

    /// The number of requests that have come.
    pub fn calls(&self) -> usize {
        self.counts.calls.load(Ordering::Relaxed)
    }

    /// The number of connections with a request that are still open.
    pub fn open(&self) -> usize {
        self.counts.open.load(Ordering::Relaxed)
    }

    /// The number of bytes that have been taken on all connections.
    pub fn sent(&self) -> usize {
        self.counts.sent.load(Ordering::Relaxed)
    }
}

async fn serve(mut stream: TcpStream, bytes: EndlessBytes, counts: &Counts) {
    let mut request = [0_u8; 4096];
    let Ok(len @ 1..) = stream.read(&mut request).await else {
        return;
    };
    let text = String::from_utf8_lossy(&request[..len]);
    let id = text
        .lines()
        .find_map(|line| line.strip_prefix("test-request: "));
    let (first, rest) = bytes.parts(id.unwrap_or_default());
    counts.open.fetch_add(1, Ordering::Relaxed);
    counts.calls.fetch_add(1, Ordering::Relaxed);
    let mut next = first;
    let mut sent = 0;
    while sent < SENT_MAX && stream.write_all(next.as_bytes()).await.is_ok() {
        sent += next.len();
        counts.sent.fetch_add(next.len(), Ordering::Relaxed);
        next.clone_from(&rest);
        if matches!(bytes, EndlessBytes::SlowEvent | EndlessBytes::SlowBody) {
            tokio::time::sleep(SLOW_PAUSE).await;
        }
    }
    counts.open.fetch_sub(1, Ordering::Relaxed);
}
