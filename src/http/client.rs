//! An HTTP client of one address with a pool of idle connections.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Limited;
use hyper::Request;
use hyper::Response;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper::header::HOST;
use hyper::header::HeaderValue;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::http::ChunksBody;
use crate::http::HttpError;
use crate::http::PooledResponseBody;
use crate::http::answer_head::check_answer_head;

/// Maximum number of idle connections that are kept; further ones are closed after use. The limit
/// is larger than the number of requests that an upstream runs in one batch.
const IDLE_CONNECTIONS_MAX: usize = 128;

/// Timeout of connecting. Inside a site a connection takes a few milliseconds. A host that cannot
/// be reached does not respond at all, and delays a request by this timeout.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(750);

/// Idle connections to one address.
#[derive(Debug, Default)]
pub(crate) struct IdleConnections {
    senders: Mutex<Vec<SendRequest<ChunksBody>>>,
}

impl IdleConnections {
    /// Adds a connection. A connection that is closed, or exceeds the limit, is dropped.
    pub(crate) fn put(&self, sender: SendRequest<ChunksBody>) {
        let mut senders = self.senders.lock().unwrap_or_else(PoisonError::into_inner);
        if !sender.is_closed() && senders.len() < IDLE_CONNECTIONS_MAX {
            senders.push(sender);
        }
    }

    /// Removes and returns the connection that was added last, and drops closed ones; `None` if
    /// there is no open connection.
    fn take(&self) -> Option<SendRequest<ChunksBody>> {
        let mut senders = self.senders.lock().unwrap_or_else(PoisonError::into_inner);
        while let Some(sender) = senders.pop() {
            if !sender.is_closed() {
                return Some(sender);
            }
        }
        None
    }
}

/// Result of sending a request on one connection.
enum ConnectionSend {
    Response(Box<Response<PooledResponseBody>>),
    /// The connection was closed before it accepted the request, which is returned unchanged.
    NotAccepted(Box<Request<ChunksBody>>),
}

/// A client of one address. The client never repeats a request that may have been sent: the
/// upstream could run it twice, and the ledger and the claims would account for one run only. Only
/// a request that a connection did not accept is sent on another one.
#[derive(Clone, Debug)]
pub struct HttpClient {
    addr: SocketAddr,
    host_header: HeaderValue,
    idle: Arc<IdleConnections>,
}

impl HttpClient {
    /// Creates a client of `addr`. The client connects when the first request is sent.
    pub fn new(addr: SocketAddr) -> Self {
        let host_header = HeaderValue::try_from(addr.to_string());
        let host_header = host_header.unwrap_or_else(|_| HeaderValue::from_static("upstream"));
        Self {
            addr,
            host_header,
            idle: Arc::default(),
        }
    }

    /// The address of the server.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Sends a request and returns the head of the response, with the body still to be read. Takes
    /// an idle connection, or opens a new one if no idle connection accepts the request. Only
    /// connecting has a timeout; the wait for the head has none.
    pub async fn send(
        &self,
        mut req: Request<ChunksBody>,
    ) -> Result<Response<PooledResponseBody>, HttpError> {
        req.headers_mut()
            .entry(HOST)
            .or_insert_with(|| self.host_header.clone());
        while let Some(sender) = self.idle.take() {
            match self.send_on(sender, req).await? {
                ConnectionSend::Response(res) => return Ok(*res),
                ConnectionSend::NotAccepted(unsent) => req = *unsent,
            }
        }
        let sender = self.connect().await?;
        match self.send_on(sender, req).await? {
            ConnectionSend::Response(res) => Ok(*res),
            ConnectionSend::NotAccepted(_) => Err(HttpError::NotSent(
                "a new connection was closed before it accepted the request".to_owned(),
            )),
        }
    }

    /// Sends a request and reads the complete response, with a body of at most `len_max` bytes,
    /// within `time_limit`. A call that takes longer, or whose body is longer, fails with
    /// [`HttpError::Interrupted`].
    pub async fn call(
        &self,
        req: Request<ChunksBody>,
        len_max: usize,
        time_limit: Duration,
    ) -> Result<Response<Bytes>, HttpError> {
        let exchange = async {
            let (head, body) = self.send(req).await?.into_parts();
            let body = Limited::new(body, len_max).collect().await;
            let body = body.map_err(|err| HttpError::Interrupted(err.to_string()))?;
            Ok(Response::from_parts(head, body.to_bytes()))
        };
        let timed_out =
            |_| HttpError::Interrupted(format!("no complete response within {time_limit:?}"));
        timeout(time_limit, exchange).await.map_err(timed_out)?
    }

    /// Opens a connection, which is driven by a task of its own and is not in the pool yet.
    async fn connect(&self) -> Result<SendRequest<ChunksBody>, HttpError> {
        let not_sent = |why: String| HttpError::NotSent(format!("{}: {why}", self.addr));
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(self.addr)).await;
        let timed_out = |_| HttpError::Unreachable(format!("{}: connecting timed out", self.addr));
        let stream = stream.map_err(timed_out)?;
        let stream = stream.map_err(|err| not_sent(err.to_string()))?;
        stream
            .set_nodelay(true)
            .map_err(|err| not_sent(err.to_string()))?;
        let handshake = http1::handshake(TokioIo::new(stream)).await;
        let (sender, conn) = handshake.map_err(|err| not_sent(err.to_string()))?;
        tokio::spawn(conn);
        Ok(sender)
    }

    /// Sends a request on one connection and waits for the head of the response. A request that the
    /// connection did not accept is returned unchanged.
    async fn send_on(
        &self,
        mut sender: SendRequest<ChunksBody>,
        req: Request<ChunksBody>,
    ) -> Result<ConnectionSend, HttpError> {
        if sender.ready().await.is_err() {
            return Ok(ConnectionSend::NotAccepted(Box::new(req)));
        }
        match sender.try_send_request(req).await {
            Ok(res) => {
                check_answer_head(res.status(), res.headers())?;
                let idle = Arc::clone(&self.idle);
                let res = res.map(|incoming| PooledResponseBody::new(incoming, sender, idle));
                Ok(ConnectionSend::Response(Box::new(res)))
            }
            Err(mut err) => match err.take_message() {
                Some(req) => Ok(ConnectionSend::NotAccepted(Box::new(req))),
                None => Err(HttpError::Interrupted(err.into_error().to_string())),
            },
        }
    }
}
