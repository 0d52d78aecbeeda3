//! The state of a stand-in for an upstream, and how it handles connections and requests.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
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
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use indexmap::IndexMap;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::call;
use crate::crash_point::CrashPoint;
use crate::crashing_request::CrashCause;
use crate::crashing_request::CrashingPart;
use crate::crashing_request::crash_point;
use crate::crashing_request::repeated_number;
use crate::event_stream::EventStream;
use crate::history::FaultRecord;
use crate::history::FaultScope;
use crate::history::History;
use crate::history::Timestamp;
use crate::history::UpstreamRefusal;
use crate::history::UpstreamRun;
use crate::prompt_parts::prompt_parts;
use crate::silence_gate::SilenceGate;
use crate::upstream_body::Body;
use crate::upstream_body::full_response;
use crate::upstream_body::refusal;
use crate::upstream_body::truncated_response;
use crate::upstream_mode::UpstreamMode;
use crate::upstream_slots::NoSlot;
use crate::upstream_slots::Slot;
use crate::upstream_slots::UpstreamSlots;

/// Time that a healthy upstream takes until a response starts.
const PROCESSING_TIME: Duration = Duration::from_millis(25);

/// The arrival of a request, which an unresponsive or silent upstream handles later.
#[derive(Clone, Copy)]
struct Arrival {
    at: Timestamp,
    /// Whether the response says that the upstream leaves.
    says_leaving: bool,
}

/// The state of an upstream that its connections share.
pub(crate) struct UpstreamShared {
    pub(crate) id: String,
    /// The index of the failure domain.
    pub(crate) domain: usize,
    pub(crate) service: &'static str,
    /// When the run of the soak test started, from which timestamps count.
    pub(crate) started_at: Instant,
    pub(crate) history: Arc<History>,
    pub(crate) mode: watch::Sender<UpstreamMode>,
    pub(crate) silence: SilenceGate,
    /// The limit that responses advertise, in requests per second; none if they advertise none.
    pub(crate) advertised_limit_per_s: Mutex<Option<f64>>,
    /// Number of requests that have arrived.
    pub(crate) arrivals: AtomicUsize,
    /// Whether responses say that the upstream leaves.
    pub(crate) is_leaving: AtomicBool,
    /// The backoff that refusals want; none if requests are not refused.
    pub(crate) backoff: Mutex<Option<Duration>>,
    /// When each reservation expires, by name.
    pub(crate) reservation_ends: Mutex<IndexMap<String, Timestamp>>,
    /// The slots; none if the upstream runs any number of requests at once.
    pub(crate) slots: Mutex<Option<Arc<UpstreamSlots>>>,
}

impl UpstreamShared {
    /// Accepts connections until the upstream is down.
    pub(crate) async fn accept_connections(self: Arc<Self>, listener: TcpListener) {
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
        let accepted_at = self.started_at.elapsed();
        let shared = Arc::clone(&self);
        let service = service_fn(move |req| Arc::clone(&shared).handle(req, accepted_at));
        let conn = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
        tokio::select! {
            _ = self.silence.run(conn) => {}
            _ = mode.wait_for(|mode| *mode == UpstreamMode::Down) => {}
        }
    }

    /// Responds to a request on a connection that was accepted at this time, and states in the
    /// response whether the upstream leaves.
    async fn handle(
        self: Arc<Self>,
        req: Request<Incoming>,
        accepted_at: Timestamp,
    ) -> Result<Response<Body>, std::io::Error> {
        let now = self.started_at.elapsed();
        let arrival = Arrival {
            at: self.silence.earliest_arrival(accepted_at, now),
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
        let mut crash_point = crash_point(&request, &self.id);
        if self.service != call::ENGINE_SERVICE {
            crash_point = crash_point.map(CrashPoint::of_plain_answer);
        }
        let mode = match crash_point {
            Some(CrashPoint::Failed) => UpstreamMode::RespondsWithError,
            Some(CrashPoint::Invalid) => UpstreamMode::NamesOtherRequest,
            _ => mode,
        };
        self.record(&head, &body, &forwarded, arrival, mode);
        let delay = if let UpstreamMode::Slow(delay) = mode {
            delay
        } else {
            Duration::ZERO
        };
        tokio::time::sleep(PROCESSING_TIME + delay).await;
        let timeout = forwarded.deadline.unwrap_or_default();
        if let Some(delay) = crash_point.and_then(|point| point.ends_after(timeout)) {
            // Goes on if the connection is closed meanwhile.
            tokio::spawn(Arc::clone(&self).crash_after(delay, request.clone()));
        }
        if crash_point.is_some_and(CrashPoint::is_silent) {
            std::future::pending::<()>().await;
        }
        if let Some(time) = crash_point.and_then(CrashPoint::unanswered_for) {
            tokio::time::sleep(time).await;
            self.crash(&request);
            // The connections are reset before the response starts.
            tokio::time::sleep(PROCESSING_TIME).await;
        }
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
                EventStream::new(Arc::clone(&self), &forwarded, mode, slot).into_response()
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

    /// Records a run of a request in this mode and whether the request arrived unchanged.
    fn record(
        &self,
        head: &hyper::http::request::Parts,
        body: &Bytes,
        forwarded: &ForwardedHead,
        arrival: Arrival,
        mode: UpstreamMode,
    ) {
        let path = head.uri.path();
        let expected_body = call::request_body(&forwarded.request);
        let is_path_unchanged = call::CallClass::ALL
            .iter()
            .any(|class| path == format!("/{}/x", class.route_name()));
        let are_parts_unchanged = self.service != call::ENGINE_SERVICE
            || forwarded.prompt_parts == prompt_parts(&forwarded.request);
        let run = UpstreamRun {
            upstream: self.id.clone(),
            domain: self.domain,
            service: self.service.to_owned(),
            arrived_at: arrival.at,
            deadline: forwarded.deadline,
            customer: forwarded.customer.clone(),
            is_unchanged: is_path_unchanged
                && head.method == "POST"
                && body == expected_body.as_bytes()
                && are_parts_unchanged,
            has_key: forwarded.has_key,
            advertised_limit_per_s: *self.advertised_limit(),
            says_leaving: arrival.says_leaving,
            is_sound: mode.is_sound(),
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
            refused_at: self.started_at.elapsed(),
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

    /// Ends the upstream under this request after a delay, unless it has ended by then.
    async fn crash_after(self: Arc<Self>, delay: Duration, request: String) {
        tokio::time::sleep(delay).await;
        self.crash(&request);
    }

    /// Ends the upstream under this request, unless it has ended already.
    pub(crate) fn crash(&self, request: &str) {
        // Noted before callers can see it.
        let now = self.started_at.elapsed();
        if self.mode.send_replace(UpstreamMode::Down) == UpstreamMode::Down {
            return;
        }
        let mut observations = self.history.lock();
        match CrashCause::of(request) {
            Some(CrashCause::Part) => {
                let part = CrashingPart::of(request).unwrap_or_default();
                let crashes = observations.part_crashes.entry(part.number);
                crashes.or_default().push(now);
            }
            Some(CrashCause::Repeat) => {
                let number = repeated_number(request).unwrap_or_default();
                let crashes = observations.repeat_crashes.entry(number);
                crashes.or_default().push(now);
            }
            None => {}
        }
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

    pub(crate) fn slots(&self) -> MutexGuard<'_, Option<Arc<UpstreamSlots>>> {
        self.slots.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn advertised_limit(&self) -> MutexGuard<'_, Option<f64>> {
        self.advertised_limit_per_s
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn backoff(&self) -> MutexGuard<'_, Option<Duration>> {
        self.backoff.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn reservation_ends(&self) -> MutexGuard<'_, IndexMap<String, Timestamp>> {
        self.reservation_ends
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
