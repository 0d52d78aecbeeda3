//! Responses of the stand-ins for upstreams, with their bodies.

use std::convert::Infallible;
use std::time::Duration;

use banyanarch_platform::stand_in;
use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Frame;
use tokio::sync::mpsc;

/// The body of a response.
pub(crate) type Body = UnsyncBoxBody<Bytes, std::io::Error>;

/// Adapts a channel of frames to a stream.
pub(crate) struct FrameStream(pub(crate) mpsc::Receiver<Result<Frame<Bytes>, std::io::Error>>);

impl futures_util::Stream for FrameStream {
    type Item = Result<Frame<Bytes>, std::io::Error>;

    fn poll_next(
        mut self: std::pin::Pin<&mut Self>,
        cx: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<Self::Item>> {
        self.0.poll_recv(cx)
    }
}

/// Returns a refusal, with the time for which the upstream wants no requests, if any.
pub(crate) fn refusal(backoff: Option<Duration>) -> Response<Body> {
    let mut res = full_response(StatusCode::SERVICE_UNAVAILABLE, String::new());
    if let Some(backoff) = backoff {
        stand_in::set_backoff(res.headers_mut(), backoff);
    }
    res
}

/// Returns a response with a complete body.
pub(crate) fn full_response(status: StatusCode, text: String) -> Response<Body> {
    let body = http_body_util::Full::new(Bytes::from(text));
    let body = body
        .map_err(|never: Infallible| match never {})
        .boxed_unsync();
    let mut res = Response::new(body);
    *res.status_mut() = status;
    res
}

/// Returns a response whose body ends with an error after half of its content length.
pub(crate) fn truncated_response(text: &str) -> Response<Body> {
    let half = Bytes::copy_from_slice(&text.as_bytes()[..text.len() / 2]);
    let (sender, receiver) = mpsc::channel(2);
    let _ = sender.try_send(Ok(Frame::data(half)));
    let _ = sender.try_send(Err(std::io::Error::other("truncated")));
    let mut res = Response::new(StreamBody::new(FrameStream(receiver)).boxed_unsync());
    let len = hyper::header::HeaderValue::from(text.len());
    res.headers_mut().insert(hyper::header::CONTENT_LENGTH, len);
    res
}
