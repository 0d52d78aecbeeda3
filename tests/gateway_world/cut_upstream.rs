//! An upstream that cuts its answers where the path of the request says.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use indexmap::IndexSet;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use super::upstream::Arrival;
use super::upstream::event;
use super::upstream::read_request;

/// How the end of an answer is found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// By its length.
    Length,
    /// By the last chunk.
    Chunks,
    /// By the end of the connection.
    Connection,
    /// By its length, behind an interim response.
    Interim,
    /// By the last chunk of a stream of events.
    Events,
}

/// An answer that is cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CutAnswer {
    pub framing: Framing,
    /// The number of bytes that are sent.
    pub bytes: usize,
    /// Whether the connection is reset instead of closed.
    pub is_reset: bool,
}

/// Time in which what was sent is read before a reset.
const RESET_AFTER: Duration = Duration::from_millis(20);

impl Framing {
    pub const PLAIN: [Self; 4] = [Self::Length, Self::Chunks, Self::Connection, Self::Interim];

    fn name(self) -> &'static str {
        match self {
            Self::Length => "length",
            Self::Chunks => "chunks",
            Self::Connection => "connection",
            Self::Interim => "interim",
            Self::Events => "events",
        }
    }

    /// The head of the whole answer to a request, and its body.
    pub fn answer(self, request: &str) -> (String, String) {
        let signed = format!("HTTP/1.1 200 OK\r\ntest-request: {request}\r\ntest-signature: s\r\n");
        let chunked = |text: &str| format!("{:x}\r\n{text}\r\n0\r\n\r\n", text.len());
        match self {
            Self::Length => (format!("{signed}content-length: 5\r\n\r\n"), "whole".into()),
            Self::Chunks => (
                format!("{signed}transfer-encoding: chunked\r\n\r\n"),
                chunked("whole"),
            ),
            Self::Connection => (format!("{signed}\r\n"), "whole".into()),
            Self::Interim => {
                let interim = "HTTP/1.1 103 Early Hints\r\nlink: none\r\n\r\n";
                let head = format!("{interim}{signed}content-length: 5\r\n\r\n");
                (head, "whole".into())
            }
            Self::Events => (
                format!(
                    "{signed}content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"
                ),
                chunked(&(1..=3).map(event).collect::<String>()),
            ),
        }
    }
}

impl CutAnswer {
    /// Whether all that is sent is a whole answer.
    pub fn is_whole(self, request: &str) -> bool {
        let (head, body) = self.framing.answer(request);
        let is_sent = self.bytes >= head.len() + body.len();
        // Without a length, a close is the only end that there is.
        let ends_regularly = self.framing == Framing::Connection && self.bytes >= head.len();
        if self.is_reset {
            is_sent && self.framing != Framing::Connection
        } else {
            is_sent || ends_regularly
        }
    }
}

impl fmt::Display for CutAnswer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let end = if self.is_reset { "reset" } else { "close" };
        write!(f, "{}-{end}-{}", self.framing.name(), self.bytes)
    }
}

impl FromStr for CutAnswer {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let parts: Vec<&str> = text.split('-').collect();
        let [framing, end, bytes] = parts[..] else {
            return Err(format!("no cut: {text}"));
        };
        let all = Framing::PLAIN.into_iter().chain([Framing::Events]);
        let framing = all.into_iter().find(|known| known.name() == framing);
        Ok(Self {
            framing: framing.ok_or("no framing")?,
            bytes: bytes.parse().map_err(|_| "no number of bytes")?,
            is_reset: end == "reset",
        })
    }
}

/// The upstream, on a port of its own. Paths end with a [`CutAnswer`].
#[derive(Clone)]
pub struct CutUpstream {
    pub addr: SocketAddr,
    paths: Arc<Mutex<IndexSet<String>>>,
}

impl CutUpstream {
    pub async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let upstream = Self {
            addr: listener.local_addr().unwrap(),
            paths: Arc::default(),
        };
        let serving = upstream.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let serving = serving.clone();
                tokio::spawn(async move { serving.serve(stream).await });
            }
        });
        upstream
    }

    /// Whether a request with this path has arrived.
    pub fn has_received(&self, path: &str) -> bool {
        self.paths.lock().unwrap().contains(path)
    }

    async fn serve(&self, mut stream: TcpStream) {
        let Some(arrival) = read_request(&mut stream).await else {
            return;
        };
        let cut = cut_of(&arrival);
        let request = arrival.header("test-request").unwrap_or_default();
        let (head, body) = cut.framing.answer(request);
        let whole = format!("{head}{body}");
        let sent = &whole.as_bytes()[..cut.bytes.min(whole.len())];
        self.paths.lock().unwrap().insert(arrival.path().to_owned());
        let is_sent = stream.write_all(sent).await.is_ok();
        if is_sent && cut.is_reset {
            tokio::time::sleep(RESET_AFTER).await;
            #[allow(deprecated)]
            let _ = stream.set_linger(Some(Duration::ZERO));
        }
    }
}

/// The cut that the path of a request asks for. A stream that is resumed is cut inside its head.
fn cut_of(arrival: &Arrival) -> CutAnswer {
    let path = arrival.path();
    let name = path.rsplit('/').next().unwrap_or_default();
    let (first, resumed) = name.split_once("--").unwrap_or((name, name));
    let is_resumed = arrival.header("test-after").is_some();
    let cut = if is_resumed { resumed } else { first };
    cut.parse().expect("the path names a cut")
}
