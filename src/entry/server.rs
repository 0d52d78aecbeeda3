//! Serves the HTTP port for callers.

use std::sync::Arc;
use std::time::Duration;

use hyper::HeaderMap;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::header::CONTENT_TYPE;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use hyper_util::server::graceful::GracefulShutdown;
use log::debug;
use log::warn;
use tokio::net::TcpListener;
use tokio::sync::oneshot;
use tokio::sync::watch;

use crate::control::outcome::Outcome;
use crate::entry::CallerHeaders;
use crate::entry::EntryContext;
use crate::entry::FailureReason;
use crate::entry::FailureReply;
use crate::entry::Job;
use crate::entry::JobHead;
use crate::entry::Rejection;
use crate::entry::Reply;
use crate::entry::ReplyBody;
use crate::entry::RequestOutcome;
use crate::entry::RequestRoute;
use crate::entry::driver::Driver;
use crate::manifest::ManifestInForce;
use crate::units::RequestId;

/// The time limit for reading the head of a request. This limit keeps idle or slow clients from
/// holding connections.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// The largest head in bytes, more than any client library sends. Larger heads get status 431.
const HEAD_LEN_MAX: usize = 64 << 10;

/// The largest body in bytes that is parsed on a runtime thread. Parsing a body of a million tokens
/// takes milliseconds, during which short requests on the same thread would wait, so larger bodies
/// are parsed on a blocking thread.
const PARSE_INLINE_MAX: usize = 256 << 10;

/// The pause after a failed accept, which is mostly due to a lack of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// The retry time for callers of a host that has no manifest yet, drains, or has no memory for the
/// body.
const RETRY_AFTER_HOST: Duration = Duration::from_secs(1);

/// Serves callers until `stop` becomes true, then lets connections with an unfinished request
/// finish.
pub async fn serve_callers(
    context: Arc<EntryContext>,
    listener: TcpListener,
    mut stop: watch::Receiver<bool>,
) {
    let graceful = GracefulShutdown::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stop.wait_for(|stop| *stop) => break,
        };
        let stream = match accepted {
            Ok((stream, _)) => stream,
            Err(err) => {
                warn!("entry: cannot accept a connection: {err}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        if let Err(err) = stream.set_nodelay(true) {
            debug!("entry: a connection was closed right after accept: {err}");
            continue;
        }
        let context = Arc::clone(&context);
        let service = service_fn(move |req| serve_request(Arc::clone(&context), req));
        let conn = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(HEAD_TIMEOUT)
            .max_buf_size(HEAD_LEN_MAX)
            .serve_connection(TokioIo::new(stream), service);
        let conn = graceful.watch(conn);
        tokio::spawn(async move {
            if let Err(err) = conn.await {
                debug!("entry: a connection ended early: {err}");
            }
        });
    }
    graceful.shutdown().await;
}

/// Starts the task of a request, and returns the head of its reply once there is one.
async fn serve_request(
    context: Arc<EntryContext>,
    req: Request<Incoming>,
) -> Result<Response<ReplyBody>, hyper::Error> {
    let request = RequestId(rand::random());
    let (head_tx, head_rx) = oneshot::channel();
    // Runs in its own task, since hyper drops this future when the caller disconnects, and
    // resources that an upstream holds for the request must be released even then.
    tokio::spawn(async move {
        let mut reply = Reply::new(request, context.host.clone(), head_tx);
        handle(&context, request, req, &mut reply).await;
    });
    Ok(head_rx.await.unwrap_or_else(|_| internal_error_reply()))
}

/// The reply to a request whose task panicked. Whether an attempt ran is unknown then.
fn internal_error_reply() -> Response<ReplyBody> {
    let body =
        r#"{"error":{"message":"internal error","type":"internal","outcome":"may-have-run"}}"#;
    let mut res = Response::new(ReplyBody::Full(Some(body.into())));
    *res.status_mut() = hyper::StatusCode::INTERNAL_SERVER_ERROR;
    let headers = res.headers_mut();
    headers.insert(
        CONTENT_TYPE,
        hyper::header::HeaderValue::from_static("application/json"),
    );
    headers.insert(
        "Banyanarch-Outcome",
        hyper::header::HeaderValue::from_static("may-have-run"),
    );
    res
}

/// Runs a request to its end, sends its reply and counts its outcome.
async fn handle(
    context: &Arc<EntryContext>,
    request: RequestId,
    req: Request<Incoming>,
    reply: &mut Reply,
) {
    let Some(_guard) = context.in_flight.enter() else {
        let why = "this host is shutting down".to_owned();
        return reject(reply, (FailureReason::Draining, why)).await;
    };
    let Some(in_force) = context.cluster_view.manifest() else {
        let why = "this host has no manifest yet".to_owned();
        return reject(reply, (FailureReason::NotReady, why)).await;
    };
    match read_job(context, request, req, &in_force).await {
        Ok((job, _body)) => {
            reply.set_format(job.format, &job.model);
            let (customer, class) = (job.work.customer.clone(), job.work.class());
            context.metrics.add_in_flight(class, 1);
            let outcome = Driver::new(context, job, reply).run().await;
            context.metrics.add_in_flight(class, -1);
            // For a caller that disconnected before the end, the request may have run.
            let (kind, reason) = outcome.map_or((Outcome::MayHaveRun, "caller_gone"), |outcome| {
                (outcome.kind(), outcome.reason())
            });
            context
                .metrics
                .count_outcome(&customer, class, kind, reason);
            debug!(request:% = request; "entry: {kind} {reason}");
        }
        Err(rejection) => reject(reply, rejection).await,
    }
}

/// Replies to a request that failed before it became a job.
async fn reject(reply: &mut Reply, (reason, message): Rejection) {
    let is_temporary = matches!(
        reason,
        FailureReason::Draining | FailureReason::NotReady | FailureReason::BodyMemory
    );
    let retry_after = is_temporary.then_some(RETRY_AFTER_HOST);
    let failure = FailureReply {
        outcome: RequestOutcome::NotRun(reason),
        message,
        retry_after,
    };
    if reply.fail(&failure).await.is_err() {
        debug!("entry: a caller disconnected before its rejection was sent");
    }
}

/// Reads and checks the head and the body of a request. The reservation of the body in the memory
/// budget lasts as long as the returned [`BufferedBody`](crate::entry::BufferedBody).
async fn read_job(
    context: &Arc<EntryContext>,
    request: RequestId,
    req: Request<Incoming>,
    in_force: &Arc<ManifestInForce>,
) -> Result<(Job, crate::entry::BufferedBody), Rejection> {
    let manifest = &in_force.manifest;
    let (head, body) = req.into_parts();
    check_head(&head.headers)?;
    let headers = CallerHeaders::read(&head.headers);
    let headers = headers.map_err(|why| (FailureReason::BadRequest, why))?;
    let content_type = head
        .headers
        .get(CONTENT_TYPE)
        .and_then(|value| value.to_str().ok());
    let job_head = JobHead {
        request,
        host: context.host.clone(),
        received: context.clock.now(),
        method: head.method,
        path: head.uri.path().to_owned(),
        path_and_query: head
            .uri
            .path_and_query()
            .map_or("/", |path| path.as_str())
            .to_owned(),
        content_type: content_type.map(str::to_owned),
        headers,
    };
    let route = job_head.route(manifest)?;
    job_head.customer(manifest)?;
    let deadline = job_head.deadline(manifest);
    let read = context.bodies.read(body, JobHead::body_size_max(manifest));
    let buffered = tokio::time::timeout_at(deadline.into(), read).await;
    let timed_out = |_| {
        (
            FailureReason::DeadlineExceeded,
            "the body did not arrive within the time limit".to_owned(),
        )
    };
    let buffered = buffered
        .map_err(timed_out)?
        .map_err(|reason| (reason, body_error_message(reason).to_owned()))?;
    let job = parse_job(job_head, route, in_force, buffered.bytes.clone()).await?;
    Ok((job, buffered))
}

/// Checks the size of the headers. hyper limits only what it reads ahead, and a head that arrives
/// in one read can exceed that limit.
fn check_head(headers: &HeaderMap) -> Result<(), Rejection> {
    let len: usize = headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len())
        .sum();
    if len <= HEAD_LEN_MAX {
        return Ok(());
    }
    Err((
        FailureReason::HeadTooLarge,
        format!("the head has {len} bytes, more than the limit of {HEAD_LEN_MAX}"),
    ))
}

/// The message for a body that could not be read.
fn body_error_message(reason: FailureReason) -> &'static str {
    match reason {
        FailureReason::BodyTooLarge => "the body is larger than the manifest's body_size_max",
        FailureReason::BodyMemory => "this host has no memory left for the body",
        _ => "the body ended early or stalled",
    }
}

/// Parses a body into a job, on a blocking thread if the body is larger than
/// [`PARSE_INLINE_MAX`].
async fn parse_job(
    head: JobHead,
    route: RequestRoute,
    in_force: &Arc<ManifestInForce>,
    body: bytes::Bytes,
) -> Result<Job, Rejection> {
    if body.len() <= PARSE_INLINE_MAX {
        return head.into_job(&route, &in_force.manifest, body);
    }
    let in_force = Arc::clone(in_force);
    let parsed =
        tokio::task::spawn_blocking(move || head.into_job(&route, &in_force.manifest, body)).await;
    parsed.unwrap_or_else(|_| {
        Err((
            FailureReason::BadRequest,
            "the body could not be parsed".to_owned(),
        ))
    })
}
