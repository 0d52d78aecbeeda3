//! Response bodies and constructors for the fakes.

use std::io;

use bytes::Bytes;
use futures_util::Stream;
use futures_util::StreamExt;
use http_body_util::BodyExt;
use http_body_util::Empty;
use http_body_util::Full;
use http_body_util::StreamBody;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::HeaderMap;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::header::CONTENT_TYPE;
use hyper::header::HeaderValue;
use serde::Serialize;

/// Body of a response; an error in the body cuts the connection.
pub type Body = UnsyncBoxBody<Bytes, io::Error>;

/// A response, or an error that closes the connection without one.
pub type Reply = io::Result<Response<Body>>;

/// Returns a response without a body.
pub fn empty(status: StatusCode) -> Response<Body> {
    let body = Empty::new().map_err(|never| match never {}).boxed_unsync();
    with_status(status, body)
}

/// Returns a plain-text response.
pub fn text(status: StatusCode, text: impl Into<Bytes>) -> Response<Body> {
    let body = Full::new(text.into()).map_err(|never| match never {});
    with_status(status, body.boxed_unsync())
}

/// Returns a JSON response.
pub fn json(status: StatusCode, value: &impl Serialize) -> Response<Body> {
    let bytes = serde_json::to_vec(value).unwrap_or_default();
    let mut reply = text(status, bytes);
    let json_type = HeaderValue::from_static("application/json");
    reply.headers_mut().insert(CONTENT_TYPE, json_type);
    reply
}

/// Returns a 503 response that marks the request as not run.
pub fn not_run(reason: &str) -> Response<Body> {
    let mut reply = text(StatusCode::SERVICE_UNAVAILABLE, reason.to_owned());
    let headers = reply.headers_mut();
    headers.insert("x-not-run", HeaderValue::from_static("true"));
    headers.insert("retry-after", HeaderValue::from_static("1"));
    reply
}

/// Returns a response whose body is streamed as its pieces become ready.
pub fn streamed(
    content_type: &'static str,
    pieces: impl Stream<Item = io::Result<Bytes>> + Send + 'static,
) -> Response<Body> {
    let frames = StreamBody::new(pieces.map(|piece| piece.map(Frame::data)));
    let mut reply = with_status(StatusCode::OK, frames.boxed_unsync());
    let content_type = HeaderValue::from_static(content_type);
    reply.headers_mut().insert(CONTENT_TYPE, content_type);
    reply
}

/// Returns the value of a header, if it is present and valid text.
pub fn header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Reads the whole body of a request.
pub async fn read_body(body: Incoming) -> io::Result<Bytes> {
    let collected = body.collect().await.map_err(io::Error::other)?;
    Ok(collected.to_bytes())
}

fn with_status(status: StatusCode, body: Body) -> Response<Body> {
    let mut reply = Response::new(body);
    *reply.status_mut() = status;
    reply
}
