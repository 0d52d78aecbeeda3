//! Stand-ins for upstreams: plain services and engines that respond correctly, or fail in the ways
//! that real upstreams do.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use banyanarch_platform::stand_in;
use banyanarch_platform::stand_in::EngineOrder;
use banyanarch_platform::stand_in::ForwardedHead;
use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
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
use crate::history::FaultRecord;
use crate::history::FaultScope;
use crate::history::History;
use crate::history::Timestamp;
use crate::history::UpstreamRefusal;
use crate::history::UpstreamRun;
use crate::prompt_parts::has_crashing_part;
use crate::upstream_body::Body;
use crate::upstream_body::FrameStream;
use crate::upstream_body::full_response;
use crate::upstream_body::refusal;
use crate::upstream_body::truncated_response;
pub use crate::upstream_mode::UpstreamMode;
use crate::upstream_slots::NoSlot;
use crate::upstream_slots::Slot;
use crate::upstream_slots::UpstreamSlots;

/// Time that a healthy upstream takes until a response starts.
const PROCESSING_TIME: Duration = Duration::from_millis(25);
/// Time between two events of a stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(30);

/// A handle to a stand-in for one upstream, from its start to its end. Clones share the mode, what
/// the responses state, and the reservations.
#[derive(Clone)]
pub struct UpstreamStandIn {
    /// The id.
    pub id: String,
    /// The service.
    pub service: &'static str,
    /// The index of the failure domain.
    pub domain: usize,
    /// The address.
    pub addr: SocketAddr,
    shared: Arc<UpstreamShared>,
}

/// The arrival of a request, which an unresponsive upstream handles later.
#[derive(Clone, Copy)]
struct Arrival {
    at: Timestamp,
    /// Whether the response says that the upstream leaves.
    says_leaving: bool,
}

/// The state of an upstream that its connections share.
struct UpstreamShared {
    id: String,
    /// The index of the failure domain.
    domain: usize,
    service: &'static str,
    /// When the run of the soak test started, from which timestamps count.
    started_at: Instant,
    history: Arc<History>,
    mode: watch::Sender<UpstreamMode>,
    /// The limit that responses advertise, in requests per second; none if they advertise none.
    advertised_limit_per_s: Mutex<Option<f64>>,
    /// Number of requests that have arrived.
    arrivals: AtomicUsize,
    /// Whether responses say that the upstream leaves.
    is_leaving: AtomicBool,
    /// The backoff that refusals want; none if requests are not refused.
    backoff: Mutex<Option<Duration>>,
    /// When each reservation expires, by name.
    reservation_ends: Mutex<IndexMap<String, Timestamp>>,
    /// The slots; none if the upstream runs any number of requests at once.
    slots: Mutex<Option<Arc<UpstreamSlots>>>,
}

impl UpstreamStandIn {
    /// Starts a healthy upstream on a free port of `ip`. Its runs are recorded in `history`.
    pub async fn start(
        id: String,
        service: &'static str,
        domain: usize,
        ip: IpAddr,
        started_at: Instant,
        history: Arc<History>,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind((ip, 0)).await?;
        let addr = listener.local_addr()?;
        let shared = Arc::new(UpstreamShared {
            id: id.clone(),
            domain,
            service,
            started_at,
            history,
            mode: watch::Sender::new(UpstreamMode::Healthy),
            advertised_limit_per_s: Mutex::default(),
            arrivals: AtomicUsize::new(0),
            is_leaving: AtomicBool::new(false),
            backoff: Mutex::default(),
            reservation_ends: Mutex::default(),
            slots: Mutex::default(),
        });
        tokio::spawn(Arc::clone(&shared).accept_connections(listener));
        Ok(Self {
            id,
            service,
            domain,
            addr,
            shared,
        })
    }

    /// Changes how requests are handled. After [`UpstreamMode::Down`] the upstream accepts no
    /// connections again.
    pub fn set_mode(&self, mode: UpstreamMode) {
        self.shared.mode.send_replace(mode);
    }

    /// Runs at most this number of requests at once from now on, lets as many wait, and refuses all
    /// others.
    pub fn set_slots(&self, slots: u32) {
        let slots = usize::try_from(slots).unwrap_or(usize::MAX);
        *self.shared.slots() = Some(Arc::new(UpstreamSlots::new(slots)));
    }

    /// Advertises a limit in requests per second from now on, in place of any other limit.
    pub(crate) fn start_advertising_limit(&self, per_s: f64) {
        *self.shared.advertised_limit() = Some(per_s);
    }

    /// Stops advertising this limit. Another limit that has replaced it stays.
    pub(crate) fn stop_advertising_limit(&self, per_s: f64) {
        let mut limit = self.shared.advertised_limit();
        if *limit == Some(per_s) {
            *limit = None;
        }
    }

    /// Says in all responses from now on that the upstream leaves.
    pub(crate) fn start_leaving(&self) {
        self.shared.is_leaving.store(true, Ordering::Relaxed);
    }

    /// Refuses all requests and reservations from now on and wants no more from the host for
    /// `backoff`, or accepts them again if that is none.
    pub(crate) fn set_backoff(&self, backoff: Option<Duration>) {
        *self.shared.backoff() = backoff;
    }

    /// Whether the upstream has ended.
    pub(crate) fn is_down(&self) -> bool {
        *self.shared.mode.borrow() == UpstreamMode::Down
    }

    /// Number of requests that have arrived, handled or not.
    pub fn arrivals(&self) -> usize {
        self.shared.arrivals.load(Ordering::Relaxed)
    }

    /// Discards expired memory reservations and returns the number of the others.
    pub(crate) fn reservation_count(&self) -> usize {
        let now = self.shared.started_at.elapsed();
        let mut reservation_ends = self.shared.reservation_ends();
        reservation_ends.retain(|_, until| *until > now);
        reservation_ends.len()
    }
}

impl UpstreamShared {
    /// Accepts connections until the upstream is down.
    async fn accept_connections(self: Arc<Self>, listener: TcpListener) {
        let mut mode = self.mode.subscribe();
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                _ = mode.wait_for(|mode| *mode == UpstreamMode::Down) => return,
            };
            let Ok((stream, _)) = accepted else { return };
            tokio::spawn(Arc::clone(&self).serve(stream));
        }
    }

    /// Serves a connection until its end or until the upstream is down.
    async fn serve(self: Arc<Self>, stream: TcpStream) {
        // Dropping the stream sends a reset, so that a crash does not look like a regular close.
        #[allow(deprecated)]
        let _ = stream.set_linger(Some(Duration::ZERO));
        let _ = stream.set_nodelay(true);
        let mut mode = self.mode.subscribe();
        let shared = Arc::clone(&self);
        let service = service_fn(move |req| Arc::clone(&shared).handle(req));
        let conn = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
        tokio::select! {
            _ = conn => {}
            _ = mode.wait_for(|mode| *mode == UpstreamMode::Down) => {}
        }
    }

    /// Responds to a request, and states in the response whether the upstream leaves.
    async fn handle(
        self: Arc<Self>,
        req: Request<Incoming>,
    ) -> Result<Response<Body>, std::io::Error> {
        let arrival = Arrival {
            at: self.started_at.elapsed(),
            says_leaving: self.is_leaving.load(Ordering::Relaxed),
        };
        self.arrivals.fetch_add(1, Ordering::Relaxed);
        let is_leaving = arrival.says_leaving;
        let mut res = Arc::clone(&self).respond(req, arrival).await?;
        if is_leaving {
            stand_in::mark_leaving(res.headers_mut());
        }
        Ok(res)
    }

    /// Responds to an order to reserve or release memory, to a request for the load report or to a
    /// forwarded call.
    async fn respond(
        self: Arc<Self>,
        req: Request<Incoming>,
        arrival: Arrival,
    ) -> Result<Response<Body>, std::io::Error> {
        let mut mode = self.mode.subscribe();
        let current = mode
            .wait_for(|mode| *mode != UpstreamMode::Unresponsive)
            .await;
        let mode = current.map_or(UpstreamMode::Down, |current| *current);
        let (head, body) = req.into_parts();
        let body = body
            .collect()
            .await
            .map_err(std::io::Error::other)?
            .to_bytes();
        if let Some(order) = EngineOrder::parse(&body) {
            return Ok(self.execute_order(order));
        }
        if stand_in::is_report_request(&head.method, head.uri.path()) {
            return Ok(full_response(
                StatusCode::OK,
                stand_in::report_json().to_string(),
            ));
        }
        let forwarded = ForwardedHead::parse(&head.headers);
        let request = forwarded.request.clone();
        let is_for_other = forwarded.upstream.as_ref().is_some_and(|id| *id != self.id);
        let lacks_reservation = !self.holds_reservation(&forwarded);
        let backoff = *self.backoff();
        let is_refused = mode == UpstreamMode::RejectsRequests || backoff.is_some();
        if is_for_other {
            let mut res = full_response(StatusCode::MISDIRECTED_REQUEST, String::new());
            stand_in::mark_not_executed(res.headers_mut(), &request);
            return Ok(res);
        }
        if lacks_reservation || is_refused {
            self.record_refusal(&request, backoff, arrival);
            let mut res = refusal(backoff);
            stand_in::mark_not_executed(res.headers_mut(), &request);
            return Ok(res);
        }
        let Ok(slot) = self.take_slot().await else {
            self.record_refusal(&request, None, arrival);
            let mut res = refusal(None);
            stand_in::mark_not_executed(res.headers_mut(), &request);
            return Ok(res);
        };
        self.record(&head, &body, &forwarded, arrival);
        let delay = if let UpstreamMode::Slow(delay) = mode {
            delay
        } else {
            Duration::ZERO
        };
        tokio::time::sleep(PROCESSING_TIME + delay).await;
        if mode == UpstreamMode::DropsResponses {
            return Err(std::io::Error::other(
                "response dropped by the mode of the stand-in",
            ));
        }
        let mut res = match mode {
            UpstreamMode::RespondsWithError => {
                full_response(StatusCode::INTERNAL_SERVER_ERROR, "failed".to_owned())
            }
            _ if self.service == call::ENGINE_SERVICE => {
                self.event_stream_response(&forwarded, mode, slot)
            }
            UpstreamMode::TruncatesResponses => {
                truncated_response(&call::plain_response_body(&request, &self.id))
            }
            _ => full_response(
                StatusCode::OK,
                call::plain_response_body(&request, &self.id),
            ),
        };
        let named_request = if mode == UpstreamMode::NamesOtherRequest {
            "another"
        } else {
            request.as_str()
        };
        stand_in::mark_executed(res.headers_mut(), named_request, &self.id);
        if let Some(per_s) = *self.advertised_limit() {
            stand_in::set_request_limit(res.headers_mut(), per_s);
        }
        Ok(res)
    }

    /// Whether the reservation that a request names for its recipient is still valid; true if the
    /// request names none. The recipient is the first entry of the helpers.
    fn holds_reservation(&self, forwarded: &ForwardedHead) -> bool {
        let now = self.started_at.elapsed();
        let reservation_ends = self.reservation_ends();
        let reservation = forwarded
            .helpers
            .first()
            .and_then(|(_, name)| name.as_ref());
        reservation.is_none_or(|name| reservation_ends.get(name).is_some_and(|until| *until > now))
    }

    /// Records a run of a request and whether the request arrived unchanged.
    fn record(
        &self,
        head: &hyper::http::request::Parts,
        body: &Bytes,
        forwarded: &ForwardedHead,
        arrival: Arrival,
    ) {
        let path = head.uri.path();
        let expected_body = call::request_body(&forwarded.request);
        let is_path_unchanged = call::CallClass::ALL
            .iter()
            .any(|class| path == format!("/{}/x", class.route_name()));
        let run = UpstreamRun {
            upstream: self.id.clone(),
            domain: self.domain,
            service: self.service.to_owned(),
            arrived_at: arrival.at,
            deadline: forwarded.deadline,
            customer: forwarded.customer.clone(),
            is_unchanged: is_path_unchanged
                && head.method == "POST"
                && body == expected_body.as_bytes(),
            has_key: forwarded.has_key,
            advertised_limit_per_s: *self.advertised_limit(),
            says_leaving: arrival.says_leaving,
        };
        let mut observations = self.history.lock();
        observations
            .runs
            .entry(forwarded.request.clone())
            .or_default()
            .push(run);
    }

    /// Records that a request was refused.
    fn record_refusal(&self, request: &str, backoff: Option<Duration>, arrival: Arrival) {
        let refusal = UpstreamRefusal {
            upstream: self.id.clone(),
            service: self.service.to_owned(),
            arrived_at: arrival.at,
            backoff,
        };
        let mut observations = self.history.lock();
        observations
            .refusals
            .entry(request.to_owned())
            .or_default()
            .push(refusal);
    }

    /// Executes an order to reserve or release memory and discards expired reservations.
    fn execute_order(&self, order: EngineOrder) -> Response<Body> {
        let now = self.started_at.elapsed();
        let mut reservation_ends = self.reservation_ends();
        reservation_ends.retain(|_, until| *until > now);
        match order {
            EngineOrder::Reserve { id, hold_ms, .. } => {
                let backoff = *self.backoff();
                if backoff.is_some() && !reservation_ends.contains_key(&id) {
                    return refusal(backoff);
                }
                let until = now + Duration::from_millis(hold_ms);
                reservation_ends.insert(id, until);
            }
            EngineOrder::Release { id } => {
                reservation_ends.shift_remove(&id);
            }
        }
        full_response(StatusCode::OK, "{}".to_owned())
    }

    /// Returns a response that streams the events after the last one that the caller has received.
    /// The stream pauses while the upstream is unresponsive. A part of the prompt may crash the
    /// upstream before the first event. With
    /// [`UpstreamMode::TruncatesResponses`] as `mode` the stream fails in the middle of its third
    /// event. The slot is free again at the end of the stream.
    fn event_stream_response(
        self: &Arc<Self>,
        forwarded: &ForwardedHead,
        mode: UpstreamMode,
        slot: Option<Slot>,
    ) -> Response<Body> {
        let (sender, receiver) = mpsc::channel::<Result<Frame<Bytes>, std::io::Error>>(1);
        let request = forwarded.request.clone();
        let first = forwarded.last_event.unwrap_or(0) + 1;
        let last = call::event_count(&request);
        let crashes = has_crashing_part(&forwarded.prompt_parts);
        let shared = Arc::clone(self);
        tokio::spawn(async move {
            let _slot = slot;
            let mut mode_updates = shared.mode.subscribe();
            if crashes {
                tokio::time::sleep(EVENT_INTERVAL).await;
                shared.crash();
                // The connections are reset before the stream ends.
                tokio::time::sleep(EVENT_INTERVAL).await;
                return;
            }
            for id in first..=last {
                tokio::time::sleep(EVENT_INTERVAL).await;
                if mode_updates
                    .wait_for(|mode| *mode != UpstreamMode::Unresponsive)
                    .await
                    .is_err()
                {
                    return;
                }
                let event = format!("id: {id}\ndata: {}\n\n", call::event_data(&request, id));
                if mode == UpstreamMode::TruncatesResponses && id == first + 2 {
                    let partial_event = Bytes::copy_from_slice(&event.as_bytes()[..9]);
                    let _ = sender.send(Ok(Frame::data(partial_event))).await;
                    let _ = sender.send(Err(std::io::Error::other("truncated"))).await;
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

    /// Ends the upstream, unless it has ended already.
    fn crash(&self) {
        // Noted before callers can see it.
        let now = self.started_at.elapsed();
        if self.mode.send_replace(UpstreamMode::Down) == UpstreamMode::Down {
            return;
        }
        let mut observations = self.history.lock();
        observations.part_crashes.push(now);
        observations.faults.push(FaultRecord {
            from: now,
            to: now,
            scope: FaultScope::Upstream,
        });
        observations.upstream_ends.insert(self.id.clone(), now);
    }

    /// Waits for a slot; none if the upstream runs any number of requests at once. Fails if too many
    /// requests wait already.
    async fn take_slot(&self) -> Result<Option<Slot>, NoSlot> {
        let slots = self.slots().clone();
        match slots {
            Some(slots) => slots.take().await.map(Some),
            None => Ok(None),
        }
    }

    fn slots(&self) -> std::sync::MutexGuard<'_, Option<Arc<UpstreamSlots>>> {
        self.slots.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn advertised_limit(&self) -> std::sync::MutexGuard<'_, Option<f64>> {
        self.advertised_limit_per_s
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn backoff(&self) -> std::sync::MutexGuard<'_, Option<Duration>> {
        self.backoff.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn reservation_ends(&self) -> std::sync::MutexGuard<'_, IndexMap<String, Timestamp>> {
        self.reservation_ends
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
