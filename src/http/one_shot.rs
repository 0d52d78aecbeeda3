//! One request on a connection of its own.
//!
//! A kept connection may have been closed by the other end in the moment of the request, may carry
//! a second answer to an earlier request, or may have gone silent without a sign. In all three cases
//! nobody can tell whether the request ran. A fresh connection costs one way there and back, about
//! a millisecond, and leaves none of these doubts.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::Request;
use hyper::Response;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::body::SizeHint;
use hyper::client::conn::http1;
use hyper::client::conn::http1::Connection;
use hyper_util::rt::TokioIo;
use nix::sys::socket::setsockopt;
use nix::sys::socket::sockopt;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// How long bytes may stay unacknowledged, in ms, and how long a silent connection may stay without
/// an answer to a probe: a host that lost power or is cut off answers neither.
const UNACKNOWLEDGED_MAX_MS: u32 = 3_000;
/// Seconds of silence before a connection is probed, and between probes.
const PROBE_INTERVAL_S: u32 = 1;
/// Probes without an answer before the connection counts as broken.
const PROBES_MAX: u32 = 3;

type Conn = Connection<TokioIo<TcpStream>, Full<Bytes>>;

/// Why there is no answer. The kinds differ in what may have happened at the other end.
#[derive(Debug)]
pub enum OneShotError {
    /// No connection came about in time; nothing was sent.
    ConnectTimeout,
    /// The connection was refused or failed at once; nothing was sent.
    ConnectFailed(io::Error),
    /// The connection broke before the request was handed to it; nothing was sent.
    NotSent(String),
    /// The connection broke after the request may have left.
    ConnectionBroken(String),
    /// No whole answer came in time.
    Timeout,
}

impl fmt::Display for OneShotError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::ConnectTimeout => f.write_str("connecting timed out"),
            Self::ConnectFailed(err) => write!(f, "cannot connect: {err}"),
            Self::NotSent(why) => write!(f, "not sent: {why}"),
            Self::ConnectionBroken(why) => write!(f, "broke off: {why}"),
            Self::Timeout => f.write_str("no answer in time"),
        }
    }
}

impl std::error::Error for OneShotError {}

/// Sends a request and returns the answer with its body still to be read.
pub async fn send(
    addr: SocketAddr,
    req: Request<Full<Bytes>>,
    connect_timeout: Duration,
) -> Result<Response<OneShotBody>, OneShotError> {
    let connected = timeout(connect_timeout, TcpStream::connect(addr)).await;
    let stream = connected
        .map_err(|_| OneShotError::ConnectTimeout)?
        .map_err(OneShotError::ConnectFailed)?;
    detect_silence(&stream).map_err(OneShotError::ConnectFailed)?;
    let handshake = http1::handshake(TokioIo::new(stream)).await;
    let (mut sender, conn) = handshake.map_err(|err| OneShotError::NotSent(err.to_string()))?;
    let mut conn = Some(Box::pin(conn));
    let mut sending = Box::pin(sender.try_send_request(req));
    // The connection is driven by whoever waits for it and needs no task of its own.
    let sent = std::future::poll_fn(|cx| {
        drive(&mut conn, cx);
        sending.as_mut().poll(cx)
    });
    match sent.await {
        Ok(res) => Ok(res.map(|incoming| OneShotBody { conn, incoming })),
        Err(mut err) => match err.take_message() {
            Some(_) => Err(OneShotError::NotSent(err.into_error().to_string())),
            None => Err(OneShotError::ConnectionBroken(err.into_error().to_string())),
        },
    }
}

/// Sends a request and reads the whole answer, at most `len_max` bytes, within `limit`.
pub async fn call(
    addr: SocketAddr,
    req: Request<Full<Bytes>>,
    len_max: usize,
    limit: Duration,
) -> Result<Response<Bytes>, OneShotError> {
    let whole = call_with_idle_timeout(addr, req, len_max, limit);
    timeout(limit, whole)
        .await
        .map_err(|_| OneShotError::Timeout)?
}

/// Sends a request and reads the whole answer, at most `len_max` bytes. Its head has to come within
/// `silence_max`, and each further part of it within as long after the one before.
pub async fn call_with_idle_timeout(
    addr: SocketAddr,
    req: Request<Full<Bytes>>,
    len_max: usize,
    silence_max: Duration,
) -> Result<Response<Bytes>, OneShotError> {
    let sent = timeout(silence_max, send(addr, req, silence_max)).await;
    let (head, body) = sent.map_err(|_| OneShotError::Timeout)??.into_parts();
    let mut body = Limited::new(body, len_max);
    let mut bytes = BytesMut::new();
    loop {
        let frame = timeout(silence_max, body.frame()).await;
        match frame.map_err(|_| OneShotError::Timeout)? {
            None => return Ok(Response::from_parts(head, bytes.freeze())),
            Some(Err(err)) => return Err(OneShotError::ConnectionBroken(err.to_string())),
            Some(Ok(frame)) => bytes.extend(frame.into_data().ok()),
        }
    }
}

fn drive(conn: &mut Option<Pin<Box<Conn>>>, cx: &mut Context<'_>) {
    let is_done = conn
        .as_mut()
        .is_some_and(|conn| conn.as_mut().poll(cx).is_ready());
    if is_done {
        // Its error reaches whoever waits for the answer or its body.
        *conn = None;
    }
}

fn detect_silence(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    setsockopt(stream, sockopt::TcpUserTimeout, &UNACKNOWLEDGED_MAX_MS)?;
    setsockopt(stream, sockopt::KeepAlive, &true)?;
    setsockopt(stream, sockopt::TcpKeepIdle, &PROBE_INTERVAL_S)?;
    setsockopt(stream, sockopt::TcpKeepInterval, &PROBE_INTERVAL_S)?;
    setsockopt(stream, sockopt::TcpKeepCount, &PROBES_MAX)?;
    Ok(())
}

/// The body of an answer. Dropped before its end it closes the connection, by which the other end
/// sees that nobody waits any more.
#[derive(Debug)]
pub struct OneShotBody {
    conn: Option<Pin<Box<Conn>>>,
    incoming: Incoming,
}

impl Body for OneShotBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let this = self.get_mut();
        drive(&mut this.conn, cx);
        Pin::new(&mut this.incoming).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.incoming.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}
