//! One send of a call to one upstream.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::header::CONTENT_ENCODING;
use hyper::header::CONTENT_LENGTH;
use hyper::header::TRANSFER_ENCODING;
use hyper::http::response;
use tokio::time::timeout;

use crate::decide::CallOutcome;
use crate::decide::UpstreamFault;
use crate::gateway::Call;
use crate::gateway::ConnectError;
use crate::gateway::DecisionEvent;
use crate::gateway::ForwardHead;
use crate::gateway::Gateway;
use crate::gateway::HelperAddr;
use crate::gateway::ListedUpstream;
use crate::gateway::call_run::CallRun;
use crate::gateway::load_guard::LoadGuard;
use crate::gateway::placement::SendPlan;
use crate::gateway::placement::engine_model;
use crate::gateway::reservation::EngineReservation;
use crate::gateway::reservation::ReservationGuard;
use crate::gateway::upstream_path::UpstreamPath;
use crate::gateway::waiting_calls::WaitingPlace;
use crate::http::one_shot;
use crate::http::one_shot::OneShotError;
use crate::http::one_shot::OneShotResponseBody;
use crate::routing::CallKind;
use crate::units::BoundedTime;
use crate::units::Priority;
use crate::units::whole_millis;

/// The timeout for connections to upstreams. The transit time inside a site is at most 3 ms, and an
/// upstream accepts a connection within a millisecond. If a connection takes this long, the
/// upstream is dead or partitioned, or the first packet was lost and is sent again after a second.
/// Another upstream is faster in all three cases, and a call with the users' strictest objective,
/// 300 ms, is still on time there.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// The minimum time after which an idempotent call without a response is sent to another upstream as
/// well: ten times the duration of calls to plain services.
const RESPONSE_TIMEOUT_MIN: Duration = Duration::from_millis(600);
/// The part of the time until the first event that is not in forecasts: connecting and both ways.
const FIRST_EVENT_LATENCY: Duration = Duration::from_millis(30);
/// How long the first event of a stream may be overdue, beyond three times its forecast, before it
/// is requested from another engine. Shorter than the two seconds after which callers give up.
const FIRST_EVENT_MARGIN: Duration = Duration::from_millis(1_000);
/// The minimum timeout for the first event of a stream, as a multiple of the objective of its
/// route.
const FIRST_EVENT_OBJECTIVES_MIN: f64 = 2.5;

/// The error of a call whose upstream has restarted since the call was sent.
pub(crate) const UPSTREAM_RESTARTED: &str = "the upstream has restarted";

/// A response of an upstream whose body is still to be read.
pub(crate) struct UpstreamResponse {
    pub(crate) head: response::Parts,
    pub(crate) body: OneShotResponseBody,
    pub(crate) upstream: ListedUpstream,
    /// The forecast time from the send until the first event.
    pub(crate) forecast: Duration,
    pub(crate) sent_at: Instant,
    /// The time until the first event that an engine at full speed would take; none for plain
    /// services and for prompts that several engines share.
    pub(crate) full_speed_forecast: Option<Duration>,
    /// The way by which the upstream was reached.
    pub(crate) path: UpstreamPath,
    /// Whether the body has a length or chunks, and does not just end with the connection.
    pub(crate) is_framed: bool,
    /// The call at the upstream.
    pub(crate) run: CallRun,
    /// Counts the load on the upstream until the body has been read; none once it was released.
    load: Option<LoadGuard>,
    /// Holds the memory reservations until the body has been read; none if there are none, or they
    /// were released.
    reservation: Option<ReservationGuard>,
}

impl UpstreamResponse {
    /// Releases what the call occupies at the upstream, before its response has been read.
    pub(crate) fn release(&mut self) {
        self.load = None;
        self.reservation = None;
    }

    /// Records the time until the first event of a stream.
    pub(crate) fn on_first_event(&self, gateway: &Gateway) {
        let Some(forecast) = self.full_speed_forecast else {
            return;
        };
        let taken = gateway.clock.now().saturating_duration_since(self.sent_at);
        let forecast = forecast + FIRST_EVENT_LATENCY;
        let outcome = CallOutcome::FirstEvent { forecast, taken };
        gateway.record_outcome(&self.upstream, outcome, self.sent_at);
    }

    /// Records that the engine has read the prompt.
    pub(crate) fn on_prefill_done(&mut self) {
        if let Some(load) = &mut self.load {
            load.on_prefill_done();
        }
    }

    /// Records that a stream has ended as it should.
    pub(crate) fn on_stream_end(&self, gateway: &Gateway) {
        gateway.record_outcome(&self.upstream, CallOutcome::Completed, self.sent_at);
    }

    /// Records that the response ended before it was complete. If it came through another host, that
    /// host may be the cause.
    pub(crate) fn on_truncated(&self, gateway: &Gateway) {
        if self.path.is_direct() {
            gateway.record_outcome(&self.upstream, CallOutcome::Failed, self.sent_at);
        }
    }
}

/// The outcome of one send.
pub(crate) enum SendOutcome {
    /// The upstream has responded.
    Answered(Box<UpstreamResponse>),
    /// The upstream did not run the call and never will.
    NotRun {
        fault: UpstreamFault,
        /// Whether the call reached the upstream.
        arrived: bool,
        /// The upstream that the refusal is about, if this is not the one the call was sent to.
        at_fault: Option<SocketAddr>,
        /// The cause, for the decision log.
        cause: String,
    },
    /// The upstream may have run the call, and there is no response.
    Lost {
        fault: UpstreamFault,
        /// The cause, for the decision log.
        cause: String,
    },
}

/// A call that is about to be sent.
pub(crate) struct PendingSend {
    pub(crate) gateway: Arc<Gateway>,
    pub(crate) call: Arc<Call>,
    /// The id of the event after which a stream is to be resumed.
    pub(crate) last_event: Option<String>,
}

impl PendingSend {
    /// Sends the call and waits for the head of the response until the deadline of the call. The load
    /// of the call is counted from here on, it leaves its `place` among the waiting calls, and what
    /// the upstream states about itself is recorded. On any failure the load and the reservations are
    /// released.
    pub(crate) async fn send(
        self,
        plan: SendPlan,
        reservation: Option<ReservationGuard>,
        place: Option<WaitingPlace>,
    ) -> SendOutcome {
        let now = self.gateway.clock.now();
        let timeout_after = self.call.time_left(now);
        let full_speed_forecast = self.full_speed_forecast(&plan, now);
        let hosts = self.gateway.probing_hosts();
        self.gateway.health().on_sent(&plan.upstream.id, hosts, now);
        let helpers = plan.helper_ids().cloned().collect();
        let upstream_id = plan.upstream.id.clone();
        let mut run = CallRun::new(&self.gateway, &self.call, upstream_id, helpers);
        let load = LoadGuard::new(&self.gateway, plan.loads);
        // The next waiting call is tried once this one counts.
        if let Some(place) = place {
            place.leave_for_send();
        }
        let upstream = plan.upstream;
        let reservations = reservation.iter().flat_map(ReservationGuard::reservations);
        let mut helpers: Vec<HelperAddr> =
            reservations.map(EngineReservation::helper_addr).collect();
        helpers.extend(plan.helpers);
        let head = ForwardHead {
            upstream: &upstream.name,
            time_left: self.call.time_left(now),
            customer: self.call.customer.as_ref(),
            priority: priority_at_engine(&self.gateway, &self.call),
            helpers: &helpers,
            last_event: self.last_event.as_deref(),
        };
        let req = self.request(&head);
        let connect_timeout = CONNECT_TIMEOUT.min(timeout_after);
        let send = self.send_request(&upstream, req, connect_timeout, &mut run);
        let sent = tokio::select! {
            sent = timeout(timeout_after, send) => sent,
            () = self.gateway.incarnations.wait_until_lost(&upstream.id, now) => {
                run.forget();
                return SendOutcome::Lost {
                    fault: UpstreamFault::Broken,
                    cause: UPSTREAM_RESTARTED.to_owned(),
                };
            }
        };
        let (res, path) = match sent {
            Ok(Ok(sent)) => sent,
            Ok(Err(err)) => {
                let outcome = outcome_of_error(&err);
                run.on_outcome(&outcome);
                return outcome;
            }
            Err(_) => {
                return SendOutcome::Lost {
                    fault: UpstreamFault::Silent,
                    cause: "no response in time".to_owned(),
                };
            }
        };
        let (head, body) = res.into_parts();
        let header_codec = &self.gateway.header_codec;
        let response =
            header_codec.read_response_head(&self.call.head.request, head.status, &head.headers);
        self.gateway
            .count_unknown_headers(&upstream.id, &head.headers);
        self.gateway.on_notices(&upstream.id, &response.notices);
        if response.did_not_run {
            run.forget();
            let at_fault = response.at_fault.filter(|addr| *addr != upstream.addr);
            if at_fault.is_none() {
                self.gateway
                    .record_outcome(&upstream, CallOutcome::Refused, now);
            }
            return SendOutcome::NotRun {
                fault: UpstreamFault::RequestRefused,
                arrived: true,
                at_fault,
                cause: format!("refused with {}", head.status),
            };
        }
        let is_valid = response.is_signed
            && response.is_for_request
            && !head.headers.contains_key(CONTENT_ENCODING)
            && !implies_not_run(head.status);
        if !is_valid || is_own_error(head.status) {
            self.gateway
                .record_outcome(&upstream, CallOutcome::Failed, now);
        }
        if !is_valid {
            return SendOutcome::Lost {
                fault: UpstreamFault::Failed,
                cause: format!("{} is no valid response to this request", head.status),
            };
        }
        let headers = &head.headers;
        let is_framed =
            headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING);
        SendOutcome::Answered(Box::new(UpstreamResponse {
            is_framed,
            head,
            body,
            upstream,
            forecast: plan.forecast,
            sent_at: now,
            full_speed_forecast,
            path,
            run,
            load: Some(load),
            reservation,
        }))
    }

    /// The forecast of the first event without the slowdown that the plan has counted on; none for
    /// plain services and for prompts that several engines share.
    fn full_speed_forecast(&self, plan: &SendPlan, now: Instant) -> Option<Duration> {
        if plan.forecast.is_zero() || plan.loads.len() > 1 {
            return None;
        }
        let slowdown = self.gateway.slowdowns.of(&plan.upstream.id, now);
        Some(plan.forecast.scaled(1.0 / slowdown.factor()))
    }

    /// Connects to the upstream and sends the request, from which on it may run. Returns the response and
    /// the way by which the upstream was reached.
    async fn send_request(
        &self,
        upstream: &ListedUpstream,
        req: Request<Full<Bytes>>,
        connect_timeout: Duration,
        run: &mut CallRun,
    ) -> Result<(Response<OneShotResponseBody>, UpstreamPath), SendError> {
        let gateway = &self.gateway;
        let connection = gateway
            .connect_upstream(&upstream.id, upstream.addr, connect_timeout)
            .await?;
        let path = connection.path;
        if let Some(via) = path.via() {
            let now = gateway.clock.now();
            let elapsed = now.saturating_duration_since(self.call.arrived_at);
            gateway.log.record(DecisionEvent::Tunneled {
                request: self.call.head.request.clone(),
                upstream: upstream.id.to_string(),
                via: via.to_string(),
                elapsed_ms: whole_millis(elapsed),
            });
        }
        run.on_sent();
        match one_shot::send_on(connection.stream, req).await {
            Ok(res) => Ok((res, path)),
            Err(err) if path.is_lost() => Err(SendError::TunnelLost(err)),
            Err(err) => Err(SendError::Exchange(err)),
        }
    }

    /// Builds the HTTP request for the upstream.
    fn request(&self, head: &ForwardHead<'_>) -> Request<Full<Bytes>> {
        let mut req = Request::new(Full::new(self.call.body.clone()));
        *req.method_mut() = self.call.method.clone();
        *req.uri_mut() = self.call.uri.clone();
        *req.headers_mut() = self
            .gateway
            .header_codec
            .send_headers(&self.call.headers, head);
        req
    }
}

/// How long an upstream that is sent the call may take to return the head of a response before the call
/// is sent to another one as well; none if it may not be sent again.
pub(crate) fn response_timeout(call: &Call, plan: &SendPlan) -> Option<Duration> {
    match call.route.kind {
        CallKind::Idempotent => Some((call.route.objective * 2).max(RESPONSE_TIMEOUT_MIN)),
        CallKind::Stream { is_resumable: true } => Some(first_event_timeout(call, plan.forecast)),
        _ => None,
    }
}

/// How long the first event of a stream may take before the call is sent to another engine. The
/// other engine would have to prefill a long prompt again, so the timeout is not shorter than the
/// time at which the response is late anyway. Forecasts cannot include what other hosts send at the
/// same moment.
pub(crate) fn first_event_timeout(call: &Call, forecast: Duration) -> Duration {
    let late_after = call.route.objective.scaled(FIRST_EVENT_OBJECTIVES_MIN);
    late_after.max(forecast * 3 + FIRST_EVENT_MARGIN)
}

/// The priority that the engine is told; none if the manifest lists none for the customer or the
/// route, or if the call is no stream of a service with engines.
fn priority_at_engine(gateway: &Gateway, call: &Call) -> Option<Priority> {
    let routes = gateway.platform_view.routes()?;
    engine_model(&routes, call).and(call.listed_priority)
}

/// Why a request has no response.
#[derive(Debug)]
enum SendError {
    /// There was no connection to the upstream.
    Connect(ConnectError),
    /// The connection failed.
    Exchange(OneShotError),
    /// The connection failed since its tunnel was lost.
    TunnelLost(OneShotError),
}

impl From<ConnectError> for SendError {
    fn from(err: ConnectError) -> Self {
        Self::Connect(err)
    }
}

/// The outcome of a send that failed with this error. If no connection was made or the request was
/// not written, the upstream did not run the call; otherwise it may have.
fn outcome_of_error(err: &SendError) -> SendOutcome {
    let not_run = |fault, cause| SendOutcome::NotRun {
        fault,
        arrived: false,
        at_fault: None,
        cause,
    };
    match err {
        SendError::Connect(err) => not_run(err.fault(), err.to_string()),
        SendError::TunnelLost(err) => SendOutcome::Lost {
            fault: UpstreamFault::TunnelLost,
            cause: err.to_string(),
        },
        SendError::Exchange(err) => match err {
            OneShotError::ConnectionBroken(_) | OneShotError::Timeout => SendOutcome::Lost {
                fault: UpstreamFault::Broken,
                cause: err.to_string(),
            },
            OneShotError::InvalidAnswer(_) => SendOutcome::Lost {
                fault: UpstreamFault::Failed,
                cause: err.to_string(),
            },
            OneShotError::ConnectTimeout
            | OneShotError::ConnectFailed(_)
            | OneShotError::NotSent(_) => not_run(UpstreamFault::ConnectRefused, err.to_string()),
        },
    }
}

/// Whether the status is an error of the upstream's own. At the deadline, the caller is to blame.
fn is_own_error(status: StatusCode) -> bool {
    status.is_server_error() && status != StatusCode::GATEWAY_TIMEOUT
}

/// Whether the status tells callers that the request has not run. An upstream that returns such a
/// status without stating this in its headers may have run the request, and forwarding the status
/// would be a false promise.
fn implies_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}
