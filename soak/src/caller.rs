//! A caller, which keeps its connection to a host open and reuses it until the host process closes
//! it.

use std::net::SocketAddr;
use std::time::Duration;

use banyanarch_platform::stand_in;
use banyanarch_platform::stand_in::CallerHead;
use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper::header::HOST;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio::time::timeout;
use tokio::time::timeout_at;

use crate::call;
use crate::call::CallClass;
use crate::history::CallerOutcome;
use crate::prompt_parts::prompt_parts;

/// Timeout for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// How long a caller waits for the final response beyond its deadline.
const RESPONSE_GRACE: Duration = Duration::from_secs(2);

/// A caller, which sends one request at a time.
#[derive(Default)]
pub(crate) struct Caller {
    /// When the first part of the body of the current response arrived, unless it is empty.
    first_data_at: Option<Instant>,
    /// The open connection and the address of its host.
    open_connection: Option<(SocketAddr, SendRequest<Full<Bytes>>)>,
}

/// A request that a caller makes.
pub(crate) struct CallerRequest<'a> {
    /// The id of the request.
    pub(crate) request: &'a str,
    pub(crate) class: CallClass,
    /// The API key that the caller presents.
    pub(crate) key: &'a str,
    /// The time after which the caller abandons the request; none if the caller waits for the
    /// response.
    pub(crate) abandoned_after: Option<Duration>,
}

impl Caller {
    /// Sends one request to a host and returns its outcome, and the time until the first part of the
    /// body of its response, if any. A connection that is still open
    /// afterwards is kept for the next request.
    pub(crate) async fn attempt(
        &mut self,
        host: SocketAddr,
        caller_request: &CallerRequest<'_>,
    ) -> (CallerOutcome, Option<Duration>) {
        let sent_at = Instant::now();
        self.first_data_at = None;
        let outcome = self.exchange(host, caller_request).await;
        let first_data_at = self.first_data_at;
        (outcome, first_data_at.map(|at| at - sent_at))
    }

    /// Sends one request to a host and returns its outcome.
    async fn exchange(
        &mut self,
        host: SocketAddr,
        caller_request: &CallerRequest<'_>,
    ) -> CallerOutcome {
        let ends_at = Instant::now() + caller_request.class.timeout() + RESPONSE_GRACE;
        let Some(mut sender) = self.take_or_open_connection(host).await else {
            return CallerOutcome::NoConnection;
        };
        let first_data_at = &mut self.first_data_at;
        let exchange = async {
            let res = sender.send_request(build_request(caller_request)).await;
            let outcome = match res {
                Ok(res) => read_outcome(caller_request, res, first_data_at).await,
                Err(err) => CallerOutcome::ConnectionBroken(err.to_string()),
            };
            (outcome, sender)
        };
        let wait_until = caller_request
            .abandoned_after
            .map_or(ends_at, |after| Instant::now() + after);
        let Ok((outcome, sender)) = timeout_at(wait_until, exchange).await else {
            return if caller_request.abandoned_after.is_some() {
                CallerOutcome::Abandoned
            } else {
                CallerOutcome::TimedOut
            };
        };
        if !sender.is_closed() {
            self.open_connection = Some((host, sender));
        }
        outcome
    }

    /// Takes the open connection out of the caller and returns it if it goes to this host and is
    /// still usable. Otherwise closes it and returns a new one; none if connecting fails or times
    /// out.
    async fn take_or_open_connection(
        &mut self,
        host: SocketAddr,
    ) -> Option<SendRequest<Full<Bytes>>> {
        if let Some((addr, mut sender)) = self.open_connection.take()
            && addr == host
            && sender.ready().await.is_ok()
        {
            return Some(sender);
        }
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(host)).await;
        let stream = stream.ok()?.ok()?;
        let _ = stream.set_nodelay(true);
        let (sender, conn) = http1::handshake(TokioIo::new(stream)).await.ok()?;
        tokio::spawn(conn);
        Some(sender)
    }
}

/// Returns the HTTP request for a request of a caller.
fn build_request(caller_request: &CallerRequest<'_>) -> Request<Full<Bytes>> {
    let parts = prompt_parts(caller_request.request);
    let head = CallerHead {
        request: caller_request.request,
        deadline: caller_request.class.timeout(),
        key: caller_request.key,
        tokens: caller_request.class.tokens(),
        prompt_parts: caller_request.class.is_stream().then_some(parts.as_str()),
    };
    let mut req = Request::new(Full::new(Bytes::from(call::request_body(
        caller_request.request,
    ))));
    *req.method_mut() = hyper::Method::POST;
    if let Ok(uri) = format!("/{}/x", caller_request.class.route_name()).parse() {
        *req.uri_mut() = uri;
    }
    *req.headers_mut() = head.headers();
    let host = hyper::header::HeaderValue::from_static(call::HOSTNAME);
    req.headers_mut().insert(HOST, host);
    req
}

/// Reads the body of a response and returns the outcome. Sets when the first part of the body has
/// arrived.
async fn read_outcome(
    caller_request: &CallerRequest<'_>,
    res: Response<Incoming>,
    first_data_at: &mut Option<Instant>,
) -> CallerOutcome {
    let (head, mut incoming) = res.into_parts();
    let signature = stand_in::signature(&head.headers);
    let mut body = Vec::new();
    while let Some(frame) = incoming.frame().await {
        match frame {
            Ok(frame) => {
                if let Some(data) = frame.data_ref() {
                    first_data_at.get_or_insert_with(Instant::now);
                    body.extend_from_slice(data);
                }
            }
            Err(err) => return CallerOutcome::ConnectionBroken(err.to_string()),
        }
    }
    if !head.status.is_success() {
        return CallerOutcome::Failure(head.status.as_u16(), signature);
    }
    let text = String::from_utf8_lossy(&body);
    let body = if caller_request.class.is_stream() {
        text.split("\n\n")
            .filter(|event| !event.is_empty())
            .map(str::to_owned)
            .collect()
    } else {
        vec![text.into_owned()]
    };
    CallerOutcome::Success {
        signature: signature.unwrap_or_default(),
        body,
    }
}
