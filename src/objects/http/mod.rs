//! The HTTP client of the platform's object service.

mod wire;

use std::time::Duration;

use bytes::Bytes;
use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use http_body_util::BodyExt;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::header::CONTENT_TYPE;
use log::debug;
use tokio::time::timeout;

use crate::http::ChunksBody;
use crate::http::HttpClient;
use crate::http::HttpError;
use crate::objects::Object;
use crate::objects::ObjectKey;
use crate::objects::ObjectKind;
use crate::objects::ObjectList;
use crate::objects::PlatformClient;
use crate::objects::PlatformError;
use crate::objects::Precondition;
use crate::objects::http::wire::WireEvent;
use crate::objects::http::wire::WireList;
use crate::objects::http::wire::WireObject;
use crate::units::ObjectVersion;

/// The path of the API, before the plural of a kind.
const BASE: &str = "/apis/banyanarch.dev/v1";

/// The largest response body, in bytes. The service stores values of up to a megabyte, and a list
/// holds many of them.
const RESPONSE_SIZE_MAX: usize = 64 << 20;

/// How much longer than its wait a watch may take to respond.
const WATCH_GRACE: Duration = Duration::from_secs(2);

/// An HTTP client of the platform's object service.
#[derive(Debug)]
pub struct HttpPlatformClient {
    client: HttpClient,
    timeout: Duration,
}

impl HttpPlatformClient {
    /// A client whose calls time out after `timeout`. A watch times out after its own wait instead.
    pub fn new(client: HttpClient, timeout: Duration) -> Self {
        Self { client, timeout }
    }

    /// Sends a GET request for a path, and returns the body of the response. The request times out
    /// after `limit`.
    async fn read(&self, path: &str, limit: Duration) -> Result<Bytes, PlatformError> {
        let req = Request::get(path).body(ChunksBody::default());
        let req = req.map_err(|err| PlatformError::Refused(err.to_string()))?;
        let res = self
            .client
            .call(req, RESPONSE_SIZE_MAX, limit)
            .await
            .map_err(|err| read_error(&err))?;
        match res.status() {
            StatusCode::OK => Ok(res.into_body()),
            StatusCode::NOT_FOUND => Err(PlatformError::NotFound),
            status if status.is_client_error() && status != StatusCode::TOO_MANY_REQUESTS => {
                Err(PlatformError::Refused(error_reason(&res)))
            }
            _ => Err(PlatformError::Unavailable(error_reason(&res))),
        }
    }

    /// Reads the response of a watch up to the first chunk that completes a line. The service would
    /// keep the response open to send later changes too; the next watch returns those changes.
    async fn read_first_lines(&self, path: &str) -> Result<Vec<u8>, PlatformError> {
        let req = Request::get(path).body(ChunksBody::default());
        let req = req.map_err(|err| PlatformError::Refused(err.to_string()))?;
        let res = self
            .client
            .send(req)
            .await
            .map_err(|err| read_error(&err))?;
        if res.status() != StatusCode::OK {
            return Err(PlatformError::Unavailable(res.status().to_string()));
        }
        let mut body = res.into_body();
        let mut lines = Vec::new();
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|err| PlatformError::Unavailable(err.to_string()))?;
            lines.extend_from_slice(frame.data_ref().map_or(&[], Bytes::as_ref));
            if lines.ends_with(b"\n") {
                break;
            }
        }
        Ok(lines)
    }

    /// Creates or replaces an object, and returns its new version.
    async fn write(
        &self,
        key: &ObjectKey,
        value: serde_json::Value,
        expected: Precondition,
    ) -> Result<ObjectVersion, PlatformError> {
        let kind = key.kind.plural();
        let (method, path, version) = match expected {
            Precondition::Absent => (Method::POST, format!("{BASE}/{kind}"), None),
            Precondition::Version(version) => (
                Method::PUT,
                format!("{BASE}/{kind}/{}", key.name),
                Some(version),
            ),
        };
        let object = WireObject::new(key, value, version);
        let encode_error = |err: serde_json::Error| PlatformError::Refused(err.to_string());
        let body = serde_json::to_vec(&object).map_err(encode_error)?;
        let req = Request::builder().method(method).uri(path);
        let req = req
            .header(CONTENT_TYPE, "application/json")
            .body(ChunksBody::single(body));
        let req = req.map_err(|err| PlatformError::Refused(err.to_string()))?;
        let res = self.client.call(req, RESPONSE_SIZE_MAX, self.timeout).await;
        let res = res.map_err(write_error)?;
        match res.status() {
            StatusCode::OK | StatusCode::CREATED => {
                let object: WireObject =
                    parse(res.body()).map_err(PlatformError::OutcomeUnknown)?;
                object.version().map_err(PlatformError::OutcomeUnknown)
            }
            StatusCode::CONFLICT => Err(PlatformError::Conflict),
            StatusCode::NOT_FOUND => Err(PlatformError::NotFound),
            StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
                Err(PlatformError::Unavailable(error_reason(&res)))
            }
            status if status.is_client_error() => Err(PlatformError::Refused(error_reason(&res))),
            _ => Err(PlatformError::OutcomeUnknown(error_reason(&res))),
        }
    }
}

impl PlatformClient for HttpPlatformClient {
    fn get(&self, key: ObjectKey) -> BoxFuture<'_, Result<Object, PlatformError>> {
        async move {
            let path = format!("{BASE}/{}/{}", key.kind.plural(), key.name);
            let body = self.read(&path, self.timeout).await?;
            let object: WireObject = parse(&body).map_err(PlatformError::Unavailable)?;
            object
                .into_object(key.kind)
                .map_err(PlatformError::Unavailable)
        }
        .boxed()
    }

    fn put(
        &self,
        key: ObjectKey,
        value: serde_json::Value,
        expected: Precondition,
    ) -> BoxFuture<'_, Result<ObjectVersion, PlatformError>> {
        async move { self.write(&key, value, expected).await }.boxed()
    }

    fn list(&self, kind: ObjectKind) -> BoxFuture<'_, Result<ObjectList, PlatformError>> {
        async move {
            let path = format!("{BASE}/{}", kind.plural());
            let body = self.read(&path, self.timeout).await?;
            let list: WireList = parse(&body).map_err(PlatformError::Unavailable)?;
            list.into_list(kind).map_err(PlatformError::Unavailable)
        }
        .boxed()
    }

    fn watch(
        &self,
        kind: ObjectKind,
        after: ObjectVersion,
        wait: Duration,
    ) -> BoxFuture<'_, Result<ObjectList, PlatformError>> {
        async move {
            let wait_s = wait.as_secs().max(1);
            let path = format!(
                "{BASE}/{}?watch=true&resourceVersion={after}&timeoutSeconds={wait_s}",
                kind.plural()
            );
            let limit = Duration::from_secs(wait_s) + WATCH_GRACE;
            let body = timeout(limit, self.read_first_lines(&path)).await;
            let body =
                body.map_err(|_| PlatformError::Unavailable("watch timed out".to_owned()))??;
            let mut list = ObjectList {
                items: Vec::new(),
                version: after,
            };
            for line in body
                .split(|byte| *byte == b'\n')
                .filter(|line| !line.is_empty())
            {
                let event: WireEvent = parse(line).map_err(PlatformError::Unavailable)?;
                let object = event
                    .object
                    .into_object(kind)
                    .map_err(PlatformError::Unavailable)?;
                list.version = list.version.max(object.version);
                if event.kind == "DELETED" {
                    debug!("platform: {} was deleted", object.key);
                } else {
                    list.items.push(object);
                }
            }
            Ok(list)
        }
        .boxed()
    }
}

/// Parses a JSON body.
fn parse<'a, T: serde::Deserialize<'a>>(body: &'a [u8]) -> Result<T, String> {
    serde_json::from_slice(body).map_err(|err| format!("invalid response of the object API: {err}"))
}

/// The error of a read that failed. A read has no effect, so that its outcome is never unknown.
fn read_error(err: &HttpError) -> PlatformError {
    PlatformError::Unavailable(err.to_string())
}

/// The error of a write that failed. A write that was sent may have taken effect.
fn write_error(err: HttpError) -> PlatformError {
    match err {
        HttpError::NotSent(why) | HttpError::Unreachable(why) => PlatformError::Unavailable(why),
        HttpError::Interrupted(why) => PlatformError::OutcomeUnknown(why),
    }
}

/// The status of a response, with the first characters of its body.
fn error_reason(res: &Response<Bytes>) -> String {
    let text = String::from_utf8_lossy(res.body());
    let text: String = text.chars().take(200).collect();
    format!("{}: {text}", res.status())
}
