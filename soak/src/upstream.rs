//! Upstreams: plain services and engines that answer right, or misbehave in the ways that real ones do.

use std::convert::Infallible;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use banyanarch_platform::stand_in;
use banyanarch_platform::stand_in::EngineOrder;
use banyanarch_platform::stand_in::ForwardedHead;
use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use indexmap::IndexMap;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::call;
use crate::history::At;
use crate::history::History;
use crate::history::Run;

/// What an upstream does.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum UpstreamState {
    /// It answers right.
    #[default]
    Well,
    /// It has crashed: its connections break and new ones are refused.
    Down,
    /// It says nothing on any connection.
    Dark,
    /// It takes this much longer.
    Slow(Duration),
    /// It says that it did not run anything.
    TurnsAway,
    /// It runs requests and breaks the connection in place of the answer.
    LosesAnswers,
    /// It breaks off in the middle of answers.
    CutsAnswers,
    /// It fails requests that it ran.
    Fails,
    /// It answers another request than the one it was asked.
    Crosses,
}

/// How long a plain call takes, and a step of an engine.
const WORK_TIME: Duration = Duration::from_millis(25);
/// Between two events of an answer.
const EVENT_INTERVAL: Duration = Duration::from_millis(30);

type Body = UnsyncBoxBody<Bytes, std::io::Error>;

/// One upstream from its start to its end.
#[derive(Clone)]
pub(crate) struct Upstream {
    pub(crate) id: String,
    pub(crate) service: &'static str,
    pub(crate) domain: usize,
    pub(crate) addr: SocketAddr,
    shared: Arc<Shared>,
}

struct Shared {
    id: String,
    service: &'static str,
    began: Instant,
    history: Arc<History>,
    state: watch::Sender<UpstreamState>,
    /// Requests a second that it says it takes; none if it says nothing.
    limit: Mutex<Option<f64>>,
    /// When each reservation lapses.
    reserved: Mutex<IndexMap<String, At>>,
}

impl Upstream {
    pub(crate) async fn start(
        id: String,
        service: &'static str,
        domain: usize,
        ip: IpAddr,
        began: Instant,
        history: Arc<History>,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind((ip, 0)).await?;
        let addr = listener.local_addr()?;
        let shared = Arc::new(Shared {
            id: id.clone(),
            service,
            began,
            history,
            state: watch::Sender::new(UpstreamState::Well),
            limit: Mutex::default(),
            reserved: Mutex::default(),
        });
        tokio::spawn(Arc::clone(&shared).accept(listener));
        Ok(Self {
            id,
            service,
            domain,
            addr,
            shared,
        })
    }

    pub(crate) fn set(&self, state: UpstreamState) {
        self.shared.state.send_replace(state);
    }

    /// Names a limit from now on, in place of another one.
    pub(crate) fn begin_limit(&self, per_s: f64) {
        *self.shared.limit() = Some(per_s);
    }

    /// Names this limit no more.
    pub(crate) fn end_limit(&self, per_s: f64) {
        let mut limit = self.shared.limit();
        if *limit == Some(per_s) {
            *limit = None;
        }
    }

    /// Tokens that are set aside now.
    pub(crate) fn reservations(&self) -> usize {
        let now = self.shared.began.elapsed();
        let mut reserved = self.shared.reservations();
        reserved.retain(|_, until| *until > now);
        reserved.len()
    }
}

impl Shared {
    async fn accept(self: Arc<Self>, listener: TcpListener) {
        let mut state = self.state.subscribe();
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                _ = state.wait_for(|state| *state == UpstreamState::Down) => return,
            };
            let Ok((stream, _)) = accepted else { return };
            tokio::spawn(Arc::clone(&self).serve(stream));
        }
    }

    async fn serve(self: Arc<Self>, stream: TcpStream) {
        // The drop of the stream is a reset, so that a crash does not look like an end.
        #[allow(deprecated)]
        let _ = stream.set_linger(Some(Duration::ZERO));
        let _ = stream.set_nodelay(true);
        let mut state = self.state.subscribe();
        let shared = Arc::clone(&self);
        let service = service_fn(move |req| Arc::clone(&shared).answer(req));
        let conn = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
        tokio::select! {
            _ = conn => {}
            _ = state.wait_for(|state| *state == UpstreamState::Down) => {}
        }
    }

    async fn answer(
        self: Arc<Self>,
        req: Request<Incoming>,
    ) -> Result<Response<Body>, std::io::Error> {
        let mut state = self.state.subscribe();
        let seen = state.wait_for(|state| *state != UpstreamState::Dark).await;
        let state = seen.map_or(UpstreamState::Down, |seen| *seen);
        let (head, body) = req.into_parts();
        let body = body
            .collect()
            .await
            .map_err(std::io::Error::other)?
            .to_bytes();
        if let Some(order) = EngineOrder::parse(&body) {
            return Ok(self.obey(order));
        }
        if stand_in::is_report_request(&head.method, head.uri.path()) {
            return Ok(whole(StatusCode::OK, stand_in::report_json().to_string()));
        }
        let arrived = ForwardedHead::parse(&head.headers);
        let request = arrived.request.clone();
        let is_other = arrived.upstream.as_ref().is_some_and(|id| *id != self.id);
        let lacks_memory = !self.holds_own(&arrived);
        if is_other || lacks_memory || state == UpstreamState::TurnsAway {
            let status = if is_other {
                StatusCode::MISDIRECTED_REQUEST
            } else {
                StatusCode::SERVICE_UNAVAILABLE
            };
            let mut res = whole(status, String::new());
            stand_in::mark_not_executed(res.headers_mut(), &request);
            return Ok(res);
        }
        self.record(&head, &body, &arrived);
        let slow = if let UpstreamState::Slow(by) = state {
            by
        } else {
            Duration::ZERO
        };
        tokio::time::sleep(WORK_TIME + slow).await;
        if state == UpstreamState::LosesAnswers {
            return Err(std::io::Error::other("the answer is lost"));
        }
        let mut res = match state {
            UpstreamState::Fails => whole(StatusCode::INTERNAL_SERVER_ERROR, "failed".to_owned()),
            _ if self.service == call::ENGINES => self.stream(&arrived, state),
            UpstreamState::CutsAnswers => cut_short(&call::whole_answer(&request, &self.id)),
            _ => whole(StatusCode::OK, call::whole_answer(&request, &self.id)),
        };
        let answered = if state == UpstreamState::Crosses {
            "another"
        } else {
            request.as_str()
        };
        stand_in::mark_executed(res.headers_mut(), answered, &self.id);
        if let Some(per_s) = *self.limit() {
            stand_in::set_request_limit(res.headers_mut(), per_s);
        }
        Ok(res)
    }

    /// Whether the memory is still set aside that a request names as its own here.
    fn holds_own(&self, arrived: &ForwardedHead) -> bool {
        let now = self.began.elapsed();
        let reserved = self.reservations();
        let own = arrived.helpers.first().and_then(|(_, name)| name.as_ref());
        own.is_none_or(|name| reserved.get(name).is_some_and(|until| *until > now))
    }

    fn record(&self, head: &hyper::http::request::Parts, body: &Bytes, arrived: &ForwardedHead) {
        let path = head.uri.path();
        let question = call::question(&arrived.request);
        let is_path = call::Kind::ALL
            .iter()
            .any(|kind| path == format!("/{}/x", kind.route()));
        let run = Run {
            upstream: self.id.clone(),
            service: self.service.to_owned(),
            arrived_at: self.began.elapsed(),
            deadline: arrived.deadline,
            customer: arrived.customer.clone(),
            is_unchanged: is_path && head.method == "POST" && body == question.as_bytes(),
            has_key: arrived.has_key,
            named_limit_per_s: *self.limit(),
        };
        let mut seen = self.history.seen();
        seen.runs
            .entry(arrived.request.clone())
            .or_default()
            .push(run);
    }

    fn obey(&self, order: EngineOrder) -> Response<Body> {
        let now = self.began.elapsed();
        let mut reserved = self.reservations();
        reserved.retain(|_, until| *until > now);
        match order {
            EngineOrder::Reserve { id, hold_ms, .. } => {
                let until = now + Duration::from_millis(hold_ms);
                reserved.insert(id, until);
            }
            EngineOrder::Release { id } => {
                reserved.shift_remove(&id);
            }
        }
        whole(StatusCode::OK, "{}".to_owned())
    }

    /// The events after the one that the caller has.
    fn stream(self: &Arc<Self>, arrived: &ForwardedHead, state: UpstreamState) -> Response<Body> {
        let (sender, receiver) = mpsc::channel::<Result<Frame<Bytes>, std::io::Error>>(1);
        let request = arrived.request.clone();
        let first = arrived.last_event.unwrap_or(0) + 1;
        let last = call::event_count(&request);
        let shared = Arc::clone(self);
        tokio::spawn(async move {
            let mut seen = shared.state.subscribe();
            for id in first..=last {
                tokio::time::sleep(EVENT_INTERVAL).await;
                if seen
                    .wait_for(|state| *state != UpstreamState::Dark)
                    .await
                    .is_err()
                {
                    return;
                }
                let event = format!("id: {id}\ndata: {}\n\n", call::event(&request, id));
                if state == UpstreamState::CutsAnswers && id == first + 2 {
                    let half = Bytes::copy_from_slice(&event.as_bytes()[..9]);
                    let _ = sender.send(Ok(Frame::data(half))).await;
                    let _ = sender.send(Err(std::io::Error::other("cut"))).await;
                    return;
                }
                if sender
                    .send(Ok(Frame::data(Bytes::from(event))))
                    .await
                    .is_err()
                {
                    return;
                }
            }
        });
        let frames = StreamBody::new(FrameStream(receiver));
        Response::new(frames.boxed_unsync())
    }

    fn limit(&self) -> std::sync::MutexGuard<'_, Option<f64>> {
        self.limit.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn reservations(&self) -> std::sync::MutexGuard<'_, IndexMap<String, At>> {
        self.reserved.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

struct FrameStream(mpsc::Receiver<Result<Frame<Bytes>, std::io::Error>>);

impl futures_util::Stream for FrameStream {
    type Item = Result<Frame<Bytes>, std::io::Error>;

    fn poll_next(
        mut self: std::pin::Pin<&mut Self>,
        cx: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<Self::Item>> {
        self.0.poll_recv(cx)
    }
}

fn whole(status: StatusCode, text: String) -> Response<Body> {
    let body = http_body_util::Full::new(Bytes::from(text));
    let body = body
        .map_err(|never: Infallible| match never {})
        .boxed_unsync();
    let mut res = Response::new(body);
    *res.status_mut() = status;
    res
}

/// An answer that says how long it is and breaks off before.
fn cut_short(text: &str) -> Response<Body> {
    let half = Bytes::copy_from_slice(&text.as_bytes()[..text.len() / 2]);
    let (sender, receiver) = mpsc::channel(2);
    let _ = sender.try_send(Ok(Frame::data(half)));
    let _ = sender.try_send(Err(std::io::Error::other("cut")));
    let mut res = Response::new(StreamBody::new(FrameStream(receiver)).boxed_unsync());
    let len = hyper::header::HeaderValue::from(text.len());
    res.headers_mut().insert(hyper::header::CONTENT_LENGTH, len);
    res
}
