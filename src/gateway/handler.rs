//! The handling of one request from its head to its response.

use std::sync::Arc;
use std::sync::OnceLock;
use std::time::Instant;

use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Body;
use hyper::body::Incoming;
use hyper::header::CONNECTION;
use hyper::header::CONTENT_LENGTH;
use hyper::header::HOST;
use hyper::header::HeaderValue;
use hyper::header::PROXY_AUTHENTICATE;
use hyper::http::request;
use hyper::http::uri::Authority;
use tokio::time::timeout_at;

use crate::decide::CallOutcome;
use crate::decide::UpstreamFault;
use crate::gateway::Call;
use crate::gateway::CallRefusal;
use crate::gateway::DecisionEvent;
use crate::gateway::Gateway;
use crate::gateway::RequestHead;
use crate::gateway::ResponseBody;
use crate::gateway::ShutdownPhase;
use crate::gateway::answer_progress::AnswerProgress;
use crate::gateway::body_memory::BodyMemory;
use crate::gateway::call_dispatcher::CallDispatcher;
use crate::gateway::call_dispatcher::DispatchOutcome;
use crate::gateway::caller_connection::CallerConnection;
use crate::gateway::caller_connection::Displacement;
use crate::gateway::held_body::HoldError;
use crate::gateway::held_body::hold_body;
use crate::gateway::request_tracker::OUTCOME_SERVED;
use crate::gateway::request_tracker::RequestTracker;
use crate::gateway::send::UpstreamResponse;
use crate::gateway::server::wait_for_phase;
use crate::gateway::stream_relay::StreamRelay;
use crate::http::one_shot::error_with_causes;
use crate::http::one_shot::is_truncated;
use crate::http::remove_connection_headers;
use crate::routing::AllowedRegions;
use crate::routing::RouteTable;

/// The maximum size of a response that is buffered before it is sent to the caller. Buffering
/// allows another upstream to be tried when the response breaks off.
const BUFFERED_RESPONSE_MAX: usize = 8 << 20;

/// Handles one request on a connection and returns the response for the caller.
pub(crate) async fn handle(
    gateway: Arc<Gateway>,
    connection: &CallerConnection,
    req: Request<Incoming>,
) -> Response<ResponseBody> {
    let arrived_at = gateway.clock.now();
    let mut tracker = RequestTracker::new(&gateway, arrived_at);
    let (head, body) = req.into_parts();
    let has_body = !body.is_end_stream();
    let admitted = admit(&gateway, connection, head, body, arrived_at, &mut tracker);
    let mut res = match admitted.await {
        Ok(call) => {
            connection.on_request_read();
            tracker.on_admitted(&call);
            gateway.count_request(&call.service);
            serve_call(&gateway, call, tracker).await
        }
        Err((request, refusal)) => {
            if has_body {
                connection.on_unread_body();
            }
            local_response(&gateway, &request, &refusal, tracker)
        }
    };
    if gateway.phase() != ShutdownPhase::Serving {
        res.headers_mut()
            .insert(CONNECTION, HeaderValue::from_static("close"));
    }
    res
}

/// Reads a request and decides whether it may be sent to upstreams at all. Returns the request id
/// with a refusal.
async fn admit(
    gateway: &Gateway,
    connection: &CallerConnection,
    head: request::Parts,
    body: Incoming,
    arrived_at: Instant,
    tracker: &mut RequestTracker,
) -> Result<Call, (String, CallRefusal)> {
    let request_head = gateway.header_codec.read_request_head(&head.headers);
    let request_head = request_head.map_err(|invalid| {
        let problem = format!("{}: {}", invalid.header, invalid.problem);
        (String::new(), CallRefusal::InvalidHead(problem))
    })?;
    tracker.on_head(&request_head.request);
    let request = request_head.request.clone();
    let refused = |refusal| (request.clone(), refusal);
    if gateway.phase() >= ShutdownPhase::Refusing {
        return Err(refused(CallRefusal::Stopping));
    }
    let routes = gateway.platform_view.routes();
    let routes = routes.ok_or_else(|| refused(CallRefusal::NoManifest))?;
    let mut call = route_call(gateway, &routes, head, request_head, arrived_at).map_err(refused)?;
    if !gateway.has_time_for(&call) {
        return Err(refused(CallRefusal::Stopping));
    }
    let body_max = routes.limits.body_bytes;
    if usize::try_from(body.size_hint().lower()).map_or(true, |len| len > body_max) {
        return Err(refused(CallRefusal::BodyTooLarge));
    }
    connection.on_customer(call.customer.as_ref());
    let memory = BodyMemory {
        gateway,
        request: &request,
        customer: call.customer.as_ref(),
    };
    let body = timeout_at(call.deadline.into(), hold_body(body, body_max, &memory));
    let body = tokio::select! {
        body = body => body.map_err(|_| refused(CallRefusal::BodyLate))?,
        () = connection.displaced(Displacement::Refuse) => Err(HoldError::NoMemory),
    };
    call.body = body.map_err(|err| {
        refused(match err {
            HoldError::TooLong => CallRefusal::BodyTooLarge,
            HoldError::NoMemory => CallRefusal::NoMemory,
            HoldError::Broken(_) => CallRefusal::BodyLate,
        })
    })?;
    Ok(call)
}

/// Finds the route, the service and the customer of a request. The body of the returned call is
/// still empty.
///
/// While the manifest of this host may be outdated, an unknown route or key is refused as stale
/// knowledge instead of rejected. Where a key is needed, every call is refused as stale knowledge
/// while this host holds no key lease.
fn route_call(
    gateway: &Gateway,
    routes: &RouteTable,
    head: request::Parts,
    request_head: RequestHead,
    arrived_at: Instant,
) -> Result<Call, CallRefusal> {
    let now = gateway.clock.since_boot();
    let freshness = gateway.platform_view.freshness();
    // A host that cannot reach the platform may lack a new route or key. It therefore does not
    // reject the request, which callers would treat as final.
    let reject = |refusal| {
        if freshness.may_reject(now) {
            refusal
        } else {
            CallRefusal::StaleKnowledge
        }
    };
    let host = head.headers.get(HOST).and_then(|host| host.to_str().ok());
    let authority = head.uri.authority().map(Authority::as_str);
    let host = authority.or(host).unwrap_or_default();
    let route = routes.route(host, head.uri.path());
    let route = route.ok_or_else(|| reject(CallRefusal::NoRoute))?;
    let customer = if routes.keys.is_required() && !route.is_public {
        if !freshness.holds_lease(gateway.conf.key_lease, now) {
            return Err(CallRefusal::StaleKnowledge);
        }
        let key = request_head.key.as_deref().unwrap_or_default();
        let customer = routes.keys.customer(key);
        Some(
            customer
                .ok_or_else(|| reject(CallRefusal::UnknownKey))?
                .clone(),
        )
    } else {
        None
    };
    let service = route.target(rand::random()).ok_or(CallRefusal::NoRoute)?;
    let timeout = request_head
        .deadline
        .map_or(route.timeout, |deadline| deadline.min(route.timeout));
    let customer_regions = customer
        .as_ref()
        .map_or_else(AllowedRegions::default, |customer| {
            routes.keys.allowed_regions(customer)
        });
    let customer_priority = customer
        .as_ref()
        .and_then(|customer| routes.keys.priority(customer));
    let listed_priority = customer_priority.or(route.priority);
    Ok(Call {
        service: service.clone(),
        route: Arc::clone(route),
        customer,
        customer_regions,
        listed_priority,
        arrived_at,
        deadline: arrived_at + timeout,
        method: head.method,
        uri: head.uri,
        headers: head.headers,
        body: Bytes::new(),
        head: request_head,
        hash: OnceLock::new(),
    })
}

/// How an admitted call has ended, or goes on.
enum Served {
    /// The stream that the caller gets from here on.
    Stream(Box<UpstreamResponse>),
    /// The complete answer.
    Full(Response<ResponseBody>),
    /// The caller gets no answer of an upstream.
    Refused(CallRefusal),
}

/// Sends an admitted call to upstreams and builds the response for the caller. What has no answer when
/// the host is about to exit is told whether it may have run.
async fn serve_call(
    gateway: &Arc<Gateway>,
    call: Call,
    mut tracker: RequestTracker,
) -> Response<ResponseBody> {
    let call = Arc::new(call);
    let mut dispatcher = CallDispatcher::new(Arc::clone(gateway), Arc::clone(&call));
    let served = tokio::select! {
        served = dispatch_to_answer(&mut dispatcher) => Some(served),
        () = wait_for_phase(gateway, ShutdownPhase::Answering) => None,
    };
    match served {
        Some(Served::Stream(response)) => stream_response(dispatcher, response, tracker),
        Some(Served::Full(res)) => {
            tracker.on_first_event(gateway.clock.now());
            let outcome = if res.status().is_success() {
                OUTCOME_SERVED
            } else {
                "upstream_failure"
            };
            tracker.finish(outcome, res.status().as_u16());
            res
        }
        Some(Served::Refused(refusal)) => {
            local_response(gateway, &call.head.request, &refusal, tracker)
        }
        None => {
            dispatcher.stop_waiting();
            let refusal = dispatcher.refuse(CallRefusal::Stopping);
            local_response(gateway, &call.head.request, &refusal, tracker)
        }
    }
}

/// Sends a call to upstreams. One whose response breaks off before any of it was forwarded is sent again
/// if it may run again.
async fn dispatch_to_answer(dispatcher: &mut CallDispatcher) -> Served {
    loop {
        let response = match dispatcher.dispatch(None).await {
            DispatchOutcome::Answered(response) => response,
            DispatchOutcome::Refused(refusal) => return Served::Refused(refusal),
        };
        if dispatcher.call.route.kind.is_stream() && response.head.status.is_success() {
            return Served::Stream(response);
        }
        match read_full_response(dispatcher, *response).await {
            Ok(res) => return Served::Full(res),
            Err(Some(refusal)) => return Served::Refused(refusal),
            // The response broke off, and the call may be sent again.
            Err(None) => {}
        }
    }
}

/// Builds the response whose body relays the stream of an upstream, event by event.
fn stream_response(
    dispatcher: CallDispatcher,
    mut response: Box<UpstreamResponse>,
    tracker: RequestTracker,
) -> Response<ResponseBody> {
    let mut headers = std::mem::take(&mut response.head.headers);
    remove_connection_headers(&mut headers);
    headers.remove(PROXY_AUTHENTICATE);
    // An engine that resumes the stream may produce a different length.
    headers.remove(CONTENT_LENGTH);
    let status = response.head.status;
    let relay = StreamRelay::new(dispatcher, response, tracker);
    let chunks = stream::unfold(relay, |mut relay| async move {
        let chunk = relay.next().await?;
        Some((chunk, relay))
    });
    let mut res = Response::new(ResponseBody::Stream(chunks.boxed()));
    *res.status_mut() = status;
    *res.headers_mut() = headers;
    res
}

/// Reads a response to its end, up to [`BUFFERED_RESPONSE_MAX`], and records that the upstream
/// served the call or broke the connection. On failure returns the refusal for the caller, or none
/// if the call may be sent again.
async fn read_full_response(
    dispatcher: &CallDispatcher,
    response: UpstreamResponse,
) -> Result<Response<ResponseBody>, Option<CallRefusal>> {
    let UpstreamResponse {
        head,
        body,
        upstream,
        sent_at,
        path,
        mut run,
        ..
    } = response;
    let gateway = &dispatcher.gateway;
    let call = &dispatcher.call;
    let memory = BodyMemory {
        gateway,
        request: &call.head.request,
        customer: call.customer.as_ref(),
    };
    let read = hold_body(body, BUFFERED_RESPONSE_MAX, &memory);
    let cause = match timeout_at(dispatcher.call.deadline.into(), read).await {
        Err(_) => return Err(Some(CallRefusal::DeadlineExceeded)),
        Ok(Ok(body)) => {
            run.on_answered(head.status);
            gateway.on_upstream_answer(&upstream, sent_at);
            if let Some(outcome) = outcome_of_full_response(head.status, sent_at, gateway) {
                gateway.record_outcome(&upstream, outcome, sent_at);
            }
            let mut headers = head.headers;
            remove_connection_headers(&mut headers);
            headers.remove(PROXY_AUTHENTICATE);
            let mut res = Response::new(ResponseBody::full(body));
            *res.status_mut() = head.status;
            *res.headers_mut() = headers;
            return Ok(res);
        }
        Ok(Err(HoldError::NoMemory)) => {
            gateway.log.record(DecisionEvent::MemoryFull {
                request: dispatcher.call.head.request.clone(),
                upstream: upstream.id.to_string(),
                held_bytes: gateway.held_bytes.used_bytes(),
            });
            return Err(Some(CallRefusal::OutcomeUnknown));
        }
        Ok(Err(err @ HoldError::TooLong)) => err.to_string(),
        Ok(Err(HoldError::Broken(err))) => {
            if path.is_direct() && is_truncated(&err) {
                gateway.record_outcome(&upstream, CallOutcome::Failed, sent_at);
            }
            error_with_causes(&err)
        }
    };
    let fault = path.fault(UpstreamFault::Broken);
    if fault == UpstreamFault::Broken {
        run.forget();
    }
    dispatcher
        .recorder
        .on_connection_lost(&upstream, fault, &cause, AnswerProgress::Begun);
    if dispatcher.may_run_again() {
        Err(None)
    } else {
        Err(Some(CallRefusal::OutcomeUnknown))
    }
}

/// What a complete response to a call that is no stream tells about the upstream; none for an error
/// of the upstream, which was counted with its head. Only successful responses tell its speed.
fn outcome_of_full_response(
    status: StatusCode,
    sent_at: Instant,
    gateway: &Gateway,
) -> Option<CallOutcome> {
    if status.is_server_error() {
        return None;
    }
    if !status.is_success() {
        return Some(CallOutcome::Completed);
    }
    let took = gateway.clock.now().saturating_duration_since(sent_at);
    Some(CallOutcome::Answered(took))
}

/// Builds the response to a call that no upstream responds to, and records the end of the request.
fn local_response(
    gateway: &Gateway,
    request: &str,
    refusal: &CallRefusal,
    mut tracker: RequestTracker,
) -> Response<ResponseBody> {
    let mut res = refusal.response();
    gateway
        .header_codec
        .mark_local_response(request, res.headers_mut());
    tracker.finish(refusal.name(), res.status().as_u16());
    res
}
