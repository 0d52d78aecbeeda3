//! The HTTP client of upstreams.

mod model_event;
mod response_reader;

use std::time::Duration;

use bytes::Bytes;
use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::header::CONTENT_TYPE;
use hyper::header::RETRY_AFTER;
use hyper::http::request::Builder;
use serde::de::DeserializeOwned;

use crate::http::ChunksBody;
use crate::http::HttpClient;
use crate::http::HttpError;
use crate::http::PooledResponseBody;
use crate::units::AttemptId;
use crate::units::ContentHash;
use crate::units::HostId;
use crate::units::Tokens;
use crate::units::UpstreamId;
use crate::upstream::CacheEvent;
use crate::upstream::Dispatch;
use crate::upstream::EngineState;
use crate::upstream::LoadReport;
use crate::upstream::Order;
use crate::upstream::ResponseStream;
use crate::upstream::RunningAttempt;
use crate::upstream::UpstreamClient;
use crate::upstream::UpstreamError;

/// Timeout of control calls, of the head of a resumed response, and of the body of an error
/// response. A frozen engine delays a controller by this timeout.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(1);

/// Length limit of the response to a control call, in bytes. An exported key-value cache is the
/// largest.
const CONTROL_LEN_MAX: usize = 64 << 20;

/// Length limit of an error response that is read from an upstream, in bytes.
const ERROR_LEN_MAX: usize = 64 << 10;

/// An HTTP client of one upstream.
#[derive(Clone, Debug)]
pub struct HttpUpstreamClient {
    client: HttpClient,
}

impl HttpUpstreamClient {
    /// Creates a client of the upstream at the address of `client`, which sends all requests.
    pub fn new(client: HttpClient) -> Self {
        Self { client }
    }

    /// Sends an attempt. Unless it is a refusal, the response of a plain service is passed on with
    /// any status; the response of a model must have status 200.
    async fn start_attempt(&self, dispatch: Dispatch) -> Result<ResponseStream, UpstreamError> {
        let is_model = dispatch.is_model;
        let attempt = dispatch.attempt;
        let res = self.client.send(dispatch_request(dispatch)?).await?;
        if is_refusal(&res) {
            return Err(refusal_error(res).await);
        }
        if !is_model {
            return Ok(response_reader::service_response(res));
        }
        if res.status() != StatusCode::OK {
            return Err(UpstreamError::Failed(error_text(res).await));
        }
        Ok(response_reader::model_response(res.into_body(), attempt))
    }

    /// Requests the response of an attempt from a token offset on. Only the wait for the head has a
    /// timeout.
    async fn resume_attempt(
        &self,
        attempt: AttemptId,
        offset_tokens: u64,
    ) -> Result<ResponseStream, UpstreamError> {
        let req = Request::get(format!("/v1/attempts/{attempt}/stream"))
            .header("Last-Event-ID", format!("{attempt}:{offset_tokens}"));
        let sent = self.client.send(build_request(req, ChunksBody::default())?);
        let res = tokio::time::timeout(CONTROL_TIMEOUT, sent).await;
        let res = res.map_err(|_| UpstreamError::NoAnswer("resume timed out".to_owned()))??;
        match res.status() {
            StatusCode::OK => Ok(response_reader::model_response(res.into_body(), attempt)),
            StatusCode::NOT_FOUND => Err(UpstreamError::UnknownAttempt),
            _ => Err(UpstreamError::Failed(error_text(res).await)),
        }
    }

    /// Sends a request other than an attempt and returns the complete body of the response. Fails
    /// with `UnknownAttempt` for status 404, with `Refused` for another 4xx, and with `Failed` for
    /// any other status that is not a success.
    async fn control_call(
        &self,
        method: Method,
        path: &str,
        body: Option<Bytes>,
    ) -> Result<Bytes, UpstreamError> {
        let req = Request::builder().method(method).uri(path);
        let req = req.header(CONTENT_TYPE, "application/json");
        let body = body.map(ChunksBody::single).unwrap_or_default();
        let res = self
            .client
            .call(build_request(req, body)?, CONTROL_LEN_MAX, CONTROL_TIMEOUT)
            .await?;
        let why = || {
            String::from_utf8_lossy(res.body())
                .chars()
                .take(200)
                .collect()
        };
        match res.status() {
            status if status.is_success() => Ok(res.into_body()),
            StatusCode::NOT_FOUND => Err(UpstreamError::UnknownAttempt),
            status if status.is_client_error() => Err(UpstreamError::Refused {
                status: status.as_u16(),
                why: why(),
                retry_after: None,
            }),
            _ => Err(UpstreamError::Failed(why())),
        }
    }

    /// Reads and parses the JSON document at `path`.
    async fn get_json<T: DeserializeOwned>(&self, path: &str) -> Result<T, UpstreamError> {
        let body = self.control_call(Method::GET, path, None).await?;
        let parsed = serde_json::from_slice(&body);
        parsed.map_err(|err| UpstreamError::InvalidResponse(format!("{path}: {err}")))
    }
}

impl UpstreamClient for HttpUpstreamClient {
    /// Sends an attempt. A refusal is an error. Any other response of a plain service is returned
    /// with any status; a model's status other than 200 is [`UpstreamError::Failed`].
    fn start(&self, dispatch: Dispatch) -> BoxFuture<'_, Result<ResponseStream, UpstreamError>> {
        self.start_attempt(dispatch).boxed()
    }

    fn resume(
        &self,
        attempt: AttemptId,
        offset_tokens: u64,
    ) -> BoxFuture<'_, Result<ResponseStream, UpstreamError>> {
        self.resume_attempt(attempt, offset_tokens).boxed()
    }

    fn cancel(&self, attempt: AttemptId) -> BoxFuture<'_, Result<(), UpstreamError>> {
        async move {
            let path = format!("/v1/attempts/{attempt}");
            match self.control_call(Method::DELETE, &path, None).await {
                Ok(_) | Err(UpstreamError::UnknownAttempt) => Ok(()),
                Err(err) => Err(err),
            }
        }
        .boxed()
    }

    fn list_running(&self) -> BoxFuture<'_, Result<Vec<RunningAttempt>, UpstreamError>> {
        self.get_json("/v1/attempts").boxed()
    }

    fn load(&self) -> BoxFuture<'_, Result<LoadReport, UpstreamError>> {
        self.get_json("/load").boxed()
    }

    fn cache_events(
        &self,
        after_seq: u64,
    ) -> BoxFuture<'_, Result<Vec<CacheEvent>, UpstreamError>> {
        async move {
            self.get_json(&format!("/v1/cache/events?after={after_seq}"))
                .await
        }
        .boxed()
    }

    fn order(&self, order: Order) -> BoxFuture<'_, Result<(), UpstreamError>> {
        async move {
            let body = to_json(&order)?;
            self.control_call(Method::PUT, "/v1/state", Some(body))
                .await
                .map(drop)
        }
        .boxed()
    }

    fn state(&self) -> BoxFuture<'_, Result<EngineState, UpstreamError>> {
        self.get_json("/v1/state").boxed()
    }

    fn hold_gang(
        &self,
        attempt: AttemptId,
        host: HostId,
        tokens: Tokens,
        hold: Duration,
    ) -> BoxFuture<'_, Result<(), UpstreamError>> {
        async move {
            let hold_ms = u64::try_from(hold.as_millis()).unwrap_or(u64::MAX);
            let body = to_json(&GangHold {
                tokens,
                hold_ms,
                host,
            })?;
            let path = format!("/v1/gang/{attempt}");
            self.control_call(Method::POST, &path, Some(body))
                .await
                .map(drop)
        }
        .boxed()
    }

    fn release_gang(&self, attempt: AttemptId) -> BoxFuture<'_, Result<(), UpstreamError>> {
        async move {
            match self
                .control_call(Method::DELETE, &format!("/v1/gang/{attempt}"), None)
                .await
            {
                Ok(_) | Err(UpstreamError::UnknownAttempt) => Ok(()),
                Err(err) => Err(err),
            }
        }
        .boxed()
    }

    fn export_kv(&self, prefix: ContentHash) -> BoxFuture<'_, Result<Bytes, UpstreamError>> {
        async move {
            self.control_call(Method::GET, &format!("/v1/kv/{prefix}"), None)
                .await
        }
        .boxed()
    }

    fn import_kv(
        &self,
        prefix: ContentHash,
        kv: Bytes,
    ) -> BoxFuture<'_, Result<(), UpstreamError>> {
        async move {
            let path = format!("/v1/kv/{prefix}");
            self.control_call(Method::PUT, &path, Some(kv))
                .await
                .map(drop)
        }
        .boxed()
    }
}

impl From<HttpError> for UpstreamError {
    fn from(err: HttpError) -> Self {
        match err {
            HttpError::NotSent(why) => Self::NotSent(why),
            HttpError::Unreachable(why) => Self::Unreachable(why),
            HttpError::Interrupted(why) => Self::Interrupted(why),
        }
    }
}

/// The body of a request for a reservation of gang memory.
#[derive(serde::Serialize)]
struct GangHold {
    tokens: Tokens,
    hold_ms: u64,
    host: HostId,
}

/// Builds the HTTP request of an attempt.
fn dispatch_request(dispatch: Dispatch) -> Result<Request<ChunksBody>, UpstreamError> {
    let remaining_ms = dispatch.remaining.as_millis().to_string();
    let mut req = Request::builder()
        .method(dispatch.method.as_str())
        .uri(&dispatch.path)
        .header("X-Request-Id", dispatch.attempt.to_string())
        .header("X-Host", dispatch.host.as_str())
        .header("X-Priority", dispatch.priority.to_string())
        .header("X-Timeout-Ms", remaining_ms);
    if let Some(content_type) = &dispatch.content_type {
        req = req.header(CONTENT_TYPE, content_type);
    }
    if dispatch.is_model {
        req = req.header("X-Stream", "true");
    }
    if !dispatch.gang.is_empty() {
        let names: Vec<&str> = dispatch.gang.iter().map(UpstreamId::as_str).collect();
        req = req.header("X-Gang", names.join(","));
    }
    build_request(req, ChunksBody::new(dispatch.body.chunks))
}

/// Adds the body to a request. An invalid request, such as one with an invalid path, is `NotSent`.
fn build_request(req: Builder, body: ChunksBody) -> Result<Request<ChunksBody>, UpstreamError> {
    req.body(body)
        .map_err(|err| UpstreamError::NotSent(err.to_string()))
}

/// Encodes a request body as JSON.
fn to_json<T: serde::Serialize>(value: &T) -> Result<Bytes, UpstreamError> {
    let text = serde_json::to_vec(value).map_err(|err| UpstreamError::NotSent(err.to_string()))?;
    Ok(Bytes::from(text))
}

/// Whether an upstream refused a request without running it, which only the header `X-Not-Run`
/// says: a 503 alone can also come from an upstream that failed while it ran the request.
fn is_refusal(res: &Response<PooledResponseBody>) -> bool {
    res.headers()
        .get("X-Not-Run")
        .is_some_and(|value| value.as_bytes() == b"true")
}

/// Reads the body of a refusal and returns [`UpstreamError::Refused`], with the text of the body
/// and the `Retry-After` header, in seconds.
async fn refusal_error(res: Response<PooledResponseBody>) -> UpstreamError {
    let status = res.status().as_u16();
    let retry_after = res
        .headers()
        .get(RETRY_AFTER)
        .and_then(|value| value.to_str().ok());
    let retry_after = retry_after
        .and_then(|text| text.parse().ok())
        .map(Duration::from_secs);
    UpstreamError::Refused {
        status,
        why: error_text(res).await,
        retry_after,
    }
}

/// Returns the status and the first 200 characters of the body of a response; the status alone if
/// the body is too long or does not arrive in time.
async fn error_text(res: Response<PooledResponseBody>) -> String {
    use http_body_util::BodyExt;
    use http_body_util::Limited;

    let status = res.status();
    let body = Limited::new(res.into_body(), ERROR_LEN_MAX).collect();
    match tokio::time::timeout(CONTROL_TIMEOUT, body).await {
        Ok(Ok(body)) => {
            let text: String = String::from_utf8_lossy(&body.to_bytes())
                .chars()
                .take(200)
                .collect();
            format!("{status}: {text}")
        }
        _ => status.to_string(),
    }
}
