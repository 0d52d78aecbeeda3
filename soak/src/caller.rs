//! A caller: it keeps its connection open and uses it until the process at its other end is gone.

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
use crate::call::Kind;
use crate::history::Answer;

/// How long a connection may take to come about.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// What a caller waits beyond its deadline for the final answer.
const GRACE: Duration = Duration::from_secs(2);

/// A caller's connection to one host.
#[derive(Default)]
pub(crate) struct Caller {
    kept: Option<(SocketAddr, SendRequest<Full<Bytes>>)>,
}

/// One request to be made.
pub(crate) struct Asked<'a> {
    pub(crate) request: &'a str,
    pub(crate) kind: Kind,
    pub(crate) key: &'a str,
    /// The caller leaves after this time without waiting for an answer.
    pub(crate) leaves_after: Option<Duration>,
}

impl Caller {
    /// Makes one attempt at a host.
    pub(crate) async fn attempt(&mut self, host: SocketAddr, asked: &Asked<'_>) -> Answer {
        let ends_at = Instant::now() + asked.kind.timeout() + GRACE;
        let Some(mut sender) = self.connection(host).await else {
            return Answer::NoConnection;
        };
        let whole = async {
            let res = sender.send_request(request(asked)).await;
            let answer = match res {
                Ok(res) => read(asked, res).await,
                Err(err) => Answer::Cut(err.to_string()),
            };
            (answer, sender)
        };
        let patience = asked
            .leaves_after
            .map_or(ends_at, |after| Instant::now() + after);
        let Ok((answer, sender)) = timeout_at(patience, whole).await else {
            return if asked.leaves_after.is_some() {
                Answer::Left
            } else {
                Answer::GaveUp
            };
        };
        if !sender.is_closed() {
            self.kept = Some((host, sender));
        }
        answer
    }

    async fn connection(&mut self, host: SocketAddr) -> Option<SendRequest<Full<Bytes>>> {
        if let Some((addr, mut sender)) = self.kept.take()
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

fn request(asked: &Asked<'_>) -> Request<Full<Bytes>> {
    let head = CallerHead {
        request: asked.request,
        deadline: asked.kind.timeout(),
        key: asked.key,
        tokens: asked.kind.tokens(),
    };
    let mut req = Request::new(Full::new(Bytes::from(call::question(asked.request))));
    *req.method_mut() = hyper::Method::POST;
    if let Ok(uri) = format!("/{}/x", asked.kind.route()).parse() {
        *req.uri_mut() = uri;
    }
    *req.headers_mut() = head.headers();
    let host = hyper::header::HeaderValue::from_static(call::HOSTNAME);
    req.headers_mut().insert(HOST, host);
    req
}

async fn read(asked: &Asked<'_>, res: Response<Incoming>) -> Answer {
    let (head, body) = res.into_parts();
    let signature = stand_in::signature(&head.headers);
    let body = match body.collect().await {
        Ok(body) => body.to_bytes(),
        Err(err) => return Answer::Cut(err.to_string()),
    };
    if !head.status.is_success() {
        return Answer::Failure(head.status.as_u16(), signature);
    }
    let text = String::from_utf8_lossy(&body);
    let body = if asked.kind.is_stream() {
        text.split("\n\n")
            .filter(|event| !event.is_empty())
            .map(str::to_owned)
            .collect()
    } else {
        vec![text.into_owned()]
    };
    Answer::Success {
        signature: signature.unwrap_or_default(),
        body,
    }
}
