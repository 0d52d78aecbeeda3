//! One request from its head to its answer.

use std::sync::Arc;
use std::time::Instant;

use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream;
use http_body_util::BodyExt;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::header::CONNECTION;
use hyper::header::CONTENT_LENGTH;
use hyper::header::HOST;
use hyper::header::HeaderValue;
use hyper::header::PROXY_AUTHENTICATE;
use hyper::http::request;
use hyper::http::uri::Authority;
use tokio::time::timeout_at;

use crate::decide::UpstreamFault;
use crate::gateway::AnswerBody;
use crate::gateway::Call;
use crate::gateway::CallHead;
use crate::gateway::DrainPhase;
use crate::gateway::Gateway;
use crate::gateway::Refusal;
use crate::gateway::call_dispatcher::CallDispatcher;
use crate::gateway::call_dispatcher::DispatchOutcome;
use crate::gateway::relay::Relay;
use crate::gateway::send::Answered;
use crate::gateway::tracker::Tracker;
use crate::http::remove_connection_headers;
use crate::routing::RouteTable;

/// The largest answer that is read whole before it goes to the caller, which allows another
/// upstream to be asked when it breaks off.
const WHOLE_ANSWER_MAX: usize = 8 << 20;

/// Answers one request.
pub(crate) async fn handle(gateway: Arc<Gateway>, req: Request<Incoming>) -> Response<AnswerBody> {
    let arrived = gateway.clock.now();
    let mut tracker = Tracker::new(&gateway, arrived);
    let (head, body) = req.into_parts();
    let mut res = match admit(&gateway, head, body, arrived, &mut tracker).await {
        Ok(call) => {
            tracker.on_admitted(&call);
            gateway.count_request(&call.service);
            serve(&gateway, call, tracker).await
        }
        Err((request, refusal)) => own_answer(&gateway, &request, &refusal, tracker),
    };
    if gateway.phase() != DrainPhase::Serving {
        res.headers_mut()
            .insert(CONNECTION, HeaderValue::from_static("close"));
    }
    res
}

/// Reads a request and decides whether it may be sent at all.
async fn admit(
    gateway: &Gateway,
    head: request::Parts,
    body: Incoming,
    arrived: Instant,
    tracker: &mut Tracker,
) -> Result<Call, (String, Refusal)> {
    let said = gateway.dialect.read_call(&head.headers);
    let said = said.map_err(|bad| {
        let problem = format!("{}: {}", bad.header, bad.problem);
        (String::new(), Refusal::BadHead(problem))
    })?;
    tracker.on_head(&said.request);
    let request = said.request.clone();
    let refused = |refusal| (request.clone(), refusal);
    if gateway.phase() >= DrainPhase::Finishing {
        return Err(refused(Refusal::Stopping));
    }
    let routes = gateway.platform_view.routes();
    let routes = routes.ok_or_else(|| refused(Refusal::NoManifest))?;
    let mut call = route_call(gateway, &routes, head, said, arrived).map_err(refused)?;
    let body_max = routes.limits.body_bytes;
    let body = Limited::new(body, body_max).collect();
    let body = timeout_at(call.ends_at.into(), body).await;
    let body = body.map_err(|_| refused(Refusal::BodyLate))?;
    let body = body.map_err(|err| {
        refused(if err.is::<LengthLimitError>() {
            Refusal::BodyTooLarge
        } else {
            Refusal::BodyLate
        })
    })?;
    call.body = body.to_bytes();
    Ok(call)
}

/// Finds a request's route and customer.
fn route_call(
    gateway: &Gateway,
    routes: &RouteTable,
    head: request::Parts,
    said: CallHead,
    arrived: Instant,
) -> Result<Call, Refusal> {
    let now = gateway.clock.since_boot();
    let freshness = gateway.platform_view.freshness();
    // A host that can't reach the platform may lack a new route or key: it does not say that there
    // is none, which a caller takes as final.
    let reject = |refusal| {
        if freshness.may_reject(now) {
            refusal
        } else {
            Refusal::StaleKnowledge
        }
    };
    let host = head.headers.get(HOST).and_then(|host| host.to_str().ok());
    let authority = head.uri.authority().map(Authority::as_str);
    let host = authority.or(host).unwrap_or_default();
    let route = routes.route(host, head.uri.path());
    let route = route.ok_or_else(|| reject(Refusal::NoRoute))?;
    let customer = if routes.keys.is_required() && !route.is_public {
        if !freshness.holds_lease(gateway.conf.key_lease, now) {
            return Err(Refusal::StaleKnowledge);
        }
        let key = said.key.as_deref().unwrap_or_default();
        let customer = routes.keys.customer(key);
        Some(customer.ok_or_else(|| reject(Refusal::UnknownKey))?.clone())
    } else {
        None
    };
    let service = route.target(rand::random()).ok_or(Refusal::NoRoute)?;
    let limit = said
        .deadline
        .map_or(route.timeout, |deadline| deadline.min(route.timeout));
    Ok(Call {
        service: service.clone(),
        route: Arc::clone(route),
        customer,
        arrived,
        ends_at: arrived + limit,
        method: head.method,
        uri: head.uri,
        headers: head.headers,
        body: Bytes::new(),
        head: said,
    })
}

async fn serve(gateway: &Arc<Gateway>, call: Call, mut tracker: Tracker) -> Response<AnswerBody> {
    let call = Arc::new(call);
    let mut dispatcher = CallDispatcher::new(Arc::clone(gateway), Arc::clone(&call));
    loop {
        let answered = match dispatcher.dispatch(None).await {
            DispatchOutcome::Answered(answered) => answered,
            DispatchOutcome::Refused(refusal) => {
                return own_answer(gateway, &call.head.request, &refusal, tracker);
            }
        };
        if call.route.kind.is_stream() && answered.head.status.is_success() {
            return stream_answer(dispatcher, answered, tracker);
        }
        match whole_answer(&dispatcher, *answered).await {
            Ok(res) => {
                tracker.on_first_event(gateway.clock.now());
                let outcome = if res.status().is_success() {
                    "served"
                } else {
                    "upstream_failure"
                };
                tracker.finish(outcome, res.status().as_u16());
                return res;
            }
            Err(Some(refusal)) => {
                return own_answer(gateway, &call.head.request, &refusal, tracker);
            }
            // The answer broke off and the call may run once more.
            Err(None) => {}
        }
    }
}

fn stream_answer(
    dispatcher: CallDispatcher,
    mut answered: Box<Answered>,
    tracker: Tracker,
) -> Response<AnswerBody> {
    let mut headers = std::mem::take(&mut answered.head.headers);
    remove_connection_headers(&mut headers);
    headers.remove(PROXY_AUTHENTICATE);
    // An engine that goes on with the stream may write it in another length.
    headers.remove(CONTENT_LENGTH);
    let status = answered.head.status;
    let relay = Relay::new(dispatcher, answered, tracker);
    let pieces = stream::unfold(relay, |mut relay| async move {
        let piece = relay.next().await?;
        Some((piece, relay))
    });
    let mut res = Response::new(AnswerBody::Pieces(pieces.boxed()));
    *res.status_mut() = status;
    *res.headers_mut() = headers;
    res
}

/// Reads an answer to its end. Without one, says what to tell the caller, or nothing if the call may
/// be sent once more.
async fn whole_answer(
    dispatcher: &CallDispatcher,
    answered: Answered,
) -> Result<Response<AnswerBody>, Option<Refusal>> {
    let Answered {
        head,
        body,
        upstream,
        ..
    } = answered;
    let read = Limited::new(body, WHOLE_ANSWER_MAX).collect();
    let why = match timeout_at(dispatcher.call.ends_at.into(), read).await {
        Err(_) => return Err(Some(Refusal::TimeUp)),
        Ok(Ok(body)) => {
            dispatcher.on_served();
            let mut headers = head.headers;
            remove_connection_headers(&mut headers);
            headers.remove(PROXY_AUTHENTICATE);
            let mut res = Response::new(AnswerBody::whole(body.to_bytes()));
            *res.status_mut() = head.status;
            *res.headers_mut() = headers;
            return Ok(res);
        }
        Ok(Err(err)) => err.to_string(),
    };
    dispatcher.on_connection_lost(&upstream, UpstreamFault::Broken, &why);
    if dispatcher.may_run_again() {
        Err(None)
    } else {
        Err(Some(Refusal::Unknown))
    }
}

fn own_answer(
    gateway: &Gateway,
    request: &str,
    refusal: &Refusal,
    mut tracker: Tracker,
) -> Response<AnswerBody> {
    let mut res = refusal.response();
    gateway.dialect.mark_own(request, res.headers_mut());
    tracker.finish(refusal.name(), res.status().as_u16());
    res
}
