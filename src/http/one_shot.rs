//! An HTTP client that uses a new connection for each request.
//!
//! A connection that is reused may be closed by the other end at the moment of the request, may
//! carry a second response to an earlier request, or may have failed without being closed. In all
//! three cases it is unknown whether the request ran. A new connection costs one round trip,
//! about a millisecond, and has none of these problems.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::Ordering;
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

use crate::http::AnswerError;
use crate::http::BoxedByteStream;
use crate::http::answer_head::check_answer_head;
use crate::http::answer_stream::AnswerStream;

/// How long sent data and keepalive probes may stay unacknowledged, in ms. A host that has lost
/// power or cannot be reached acknowledges neither.
const UNACKNOWLEDGED_MAX_MS: u32 = 3_000;
/// Seconds without traffic before the first keepalive probe, and between probes.
const KEEPALIVE_INTERVAL_S: u32 = 1;
/// Unacknowledged keepalive probes after which the connection counts as broken.
const KEEPALIVE_PROBES_MAX: u32 = 3;

type Conn = Connection<TokioIo<AnswerStream>, Full<Bytes>>;

/// Why a request has no complete response. The kinds differ in whether the request may have been
/// received.
#[derive(Debug)]
pub enum OneShotError {
    /// The connection was not established in time; nothing was sent.
    ConnectTimeout,
    /// The connection was refused or could not be set up; nothing was sent.
    ConnectFailed(io::Error),
    /// The connection broke before it accepted the request; nothing was sent.
    NotSent(String),
    /// The connection broke after the request may have been sent.
    ConnectionBroken(String),
    /// The server has sent something that is no response with a clear end.
    InvalidAnswer(AnswerError),
    /// The complete response did not arrive in time.
    Timeout,
}

impl fmt::Display for OneShotError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::ConnectTimeout => f.write_str("connecting timed out"),
            Self::ConnectFailed(err) => write!(f, "cannot connect: {err}"),
            Self::NotSent(why) => write!(f, "not sent: {why}"),
            Self::ConnectionBroken(why) => write!(f, "connection broken: {why}"),
            Self::InvalidAnswer(err) => write!(f, "no valid response: {err}"),
            Self::Timeout => f.write_str("no complete response in time"),
        }
    }
}

impl std::error::Error for OneShotError {}

impl From<AnswerError> for OneShotError {
    fn from(err: AnswerError) -> Self {
        Self::InvalidAnswer(err)
    }
}

/// Opens a connection that the kernel closes if the other end no longer acknowledges data.
pub async fn connect(
    addr: SocketAddr,
    connect_timeout: Duration,
) -> Result<TcpStream, OneShotError> {
    let connected = timeout(connect_timeout, TcpStream::connect(addr)).await;
    let stream = connected
        .map_err(|_| OneShotError::ConnectTimeout)?
        .map_err(OneShotError::ConnectFailed)?;
    set_socket_options(&stream).map_err(OneShotError::ConnectFailed)?;
    Ok(stream)
}

/// Sends a request on a new connection and returns the head of the response, with the body still to
/// be read. `connect_timeout` limits connecting alone; the wait for the head has no timeout.
pub async fn send(
    addr: SocketAddr,
    req: Request<Full<Bytes>>,
    connect_timeout: Duration,
) -> Result<Response<OneShotResponseBody>, OneShotError> {
    let stream = connect(addr, connect_timeout).await?;
    send_on(Box::new(stream), req).await
}

/// Sends a request on a connection that is used for nothing else, and returns the head of the
/// response, with the body still to be read. The wait for the head has no timeout.
pub async fn send_on(
    stream: BoxedByteStream,
    req: Request<Full<Bytes>>,
) -> Result<Response<OneShotResponseBody>, OneShotError> {
    let (stream, has_head) = AnswerStream::new(stream);
    let handshake = http1::handshake(TokioIo::new(stream)).await;
    let (mut sender, conn) = handshake.map_err(|err| OneShotError::NotSent(err.to_string()))?;
    let mut conn = Some(Box::pin(conn));
    let mut sending = Box::pin(sender.try_send_request(req));
    // The connection is polled by the future that waits for the response, without a task of its
    // own.
    let sent = std::future::poll_fn(|cx| {
        poll_connection(&mut conn, cx);
        sending.as_mut().poll(cx)
    });
    match sent.await {
        Ok(res) => {
            has_head.store(true, Ordering::Relaxed);
            check_answer_head(res.status(), res.headers())?;
            Ok(res.map(|incoming| OneShotResponseBody { conn, incoming }))
        }
        Err(mut err) => match err.take_message() {
            Some(_) => Err(OneShotError::NotSent(err.into_error().to_string())),
            None => Err(OneShotError::ConnectionBroken(error_with_causes(
                &err.into_error(),
            ))),
        },
    }
}

/// Whether a body ended before its announced length, as opposed to a connection that was reset.
pub fn is_truncated(err: &(dyn std::error::Error + 'static)) -> bool {
    let mut cause = Some(err);
    while let Some(err) = cause {
        let io_kind = err
            .downcast_ref::<std::io::Error>()
            .map(std::io::Error::kind);
        if io_kind == Some(std::io::ErrorKind::UnexpectedEof) {
            return true;
        }
        cause = err.source();
    }
    false
}

/// An error with its causes, as text. The error of a connection is a cause of that of its response.
pub fn error_with_causes(err: &(dyn std::error::Error + 'static)) -> String {
    let causes = std::iter::successors(Some(err), |err| err.source());
    let causes: Vec<String> = causes.map(ToString::to_string).collect();
    causes.join(": ")
}

/// Sends a request on a new connection and reads the complete response, with a body of at most
/// `len_max` bytes, within `time_limit`.
pub async fn call(
    addr: SocketAddr,
    req: Request<Full<Bytes>>,
    len_max: usize,
    time_limit: Duration,
) -> Result<Response<Bytes>, OneShotError> {
    let exchange = call_with_idle_timeout(addr, req, len_max, time_limit);
    timeout(time_limit, exchange)
        .await
        .map_err(|_| OneShotError::Timeout)?
}

/// Sends a request on a new connection and reads the complete response, with a body of at most
/// `len_max` bytes. The head has to arrive within `idle_timeout`, and each further frame within
/// `idle_timeout` of the previous one.
pub async fn call_with_idle_timeout(
    addr: SocketAddr,
    req: Request<Full<Bytes>>,
    len_max: usize,
    idle_timeout: Duration,
) -> Result<Response<Bytes>, OneShotError> {
    let sent = timeout(idle_timeout, send(addr, req, idle_timeout)).await;
    let res = sent.map_err(|_| OneShotError::Timeout)??;
    read_response(res, len_max, idle_timeout).await
}

/// Sends a request on a connection that is used for nothing else, and reads the complete response,
/// with the limits of [`call_with_idle_timeout`].
pub async fn call_on(
    stream: BoxedByteStream,
    req: Request<Full<Bytes>>,
    len_max: usize,
    idle_timeout: Duration,
) -> Result<Response<Bytes>, OneShotError> {
    let sent = timeout(idle_timeout, send_on(stream, req)).await;
    let res = sent.map_err(|_| OneShotError::Timeout)??;
    read_response(res, len_max, idle_timeout).await
}

/// Reads the body of a response, of at most `len_max` bytes. Each frame has to arrive within
/// `idle_timeout` of the previous one.
async fn read_response(
    res: Response<OneShotResponseBody>,
    len_max: usize,
    idle_timeout: Duration,
) -> Result<Response<Bytes>, OneShotError> {
    let (head, body) = res.into_parts();
    let mut body = Limited::new(body, len_max);
    let mut bytes = BytesMut::new();
    loop {
        let frame = timeout(idle_timeout, body.frame()).await;
        match frame.map_err(|_| OneShotError::Timeout)? {
            None => return Ok(Response::from_parts(head, bytes.freeze())),
            Some(Err(err)) => return Err(OneShotError::ConnectionBroken(err.to_string())),
            Some(Ok(frame)) => bytes.extend(frame.into_data().ok()),
        }
    }
}

/// Drives a connection, and drops it once it has ended.
fn poll_connection(conn: &mut Option<Pin<Box<Conn>>>, cx: &mut Context<'_>) {
    let is_done = conn
        .as_mut()
        .is_some_and(|conn| conn.as_mut().poll(cx).is_ready());
    if is_done {
        // An error of the connection is also returned by the future of the response or by its body.
        *conn = None;
    }
}

/// Disables Nagle's algorithm, and lets the kernel close a connection whose peer no longer
/// acknowledges data.
pub(crate) fn set_socket_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    setsockopt(stream, sockopt::TcpUserTimeout, &UNACKNOWLEDGED_MAX_MS)?;
    setsockopt(stream, sockopt::KeepAlive, &true)?;
    setsockopt(stream, sockopt::TcpKeepIdle, &KEEPALIVE_INTERVAL_S)?;
    setsockopt(stream, sockopt::TcpKeepInterval, &KEEPALIVE_INTERVAL_S)?;
    setsockopt(stream, sockopt::TcpKeepCount, &KEEPALIVE_PROBES_MAX)?;
    Ok(())
}

/// The body of a response, together with the connection, which is driven while the body is polled.
/// Dropping the body before its end closes the connection, which tells the other end that the rest
/// is no longer needed.
#[derive(Debug)]
pub struct OneShotResponseBody {
    conn: Option<Pin<Box<Conn>>>,
    incoming: Incoming,
}

impl Body for OneShotResponseBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let this = self.get_mut();
        poll_connection(&mut this.conn, cx);
        Pin::new(&mut this.incoming).poll_frame(cx)
    }

    /// Whether the response is known to have no further frames.
    fn is_end_stream(&self) -> bool {
        self.incoming.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}
