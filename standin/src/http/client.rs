//! HTTP client that opens a new connection for each call, so that no call is resent implicitly.

use std::error::Error;
use std::fmt;
use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use serde_json::Value;
use tokio::net::TcpStream;

/// Why a call did not return a successful response. Calls have no timeout of their own.
#[derive(Debug)]
pub enum CallError {
    /// The connection could not be established, so nothing was sent.
    ConnectFailed(String),
    /// The connection broke after the request was sent.
    ConnectionCut(String),
    /// The response had this status code and body.
    Status(u16, String),
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::ConnectFailed(reason) => write!(f, "no connection: {reason}"),
            Self::ConnectionCut(reason) => write!(f, "cut off: {reason}"),
            Self::Status(status, body) => write!(f, "status {status}: {body}"),
        }
    }
}

impl Error for CallError {}

/// Sends one request and returns the response with its body still to be read.
pub async fn call(
    addr: SocketAddr,
    request: Request<Full<Bytes>>,
) -> Result<Response<Incoming>, CallError> {
    let conn = TcpStream::connect(addr).await;
    let conn = conn.map_err(|e| CallError::ConnectFailed(e.to_string()))?;
    let _ = conn.set_nodelay(true);
    let handshake = http1::handshake(TokioIo::new(conn)).await;
    let (mut sender, driver) = handshake.map_err(|e| CallError::ConnectFailed(e.to_string()))?;
    tokio::spawn(driver);
    let response = sender.send_request(request).await;
    response.map_err(|e| CallError::ConnectionCut(e.to_string()))
}

/// Sends a JSON body, or none where `value` is null, and reads a JSON response; returns null for an
/// empty or unparsable one.
pub async fn call_json(
    addr: SocketAddr,
    method: Method,
    path: &str,
    value: &Value,
) -> Result<Value, CallError> {
    let bytes = match value {
        Value::Null => Bytes::new(),
        value => Bytes::from(value.to_string()),
    };
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header("host", addr.to_string())
        .header("content-type", "application/json")
        .body(Full::new(bytes));
    let request = request.map_err(|e| CallError::ConnectFailed(e.to_string()))?;
    let response = call(addr, request).await?;
    let status = response.status();
    let collected = response.into_body().collect().await;
    let bytes = collected
        .map_err(|e| CallError::ConnectionCut(e.to_string()))?
        .to_bytes();
    if !status.is_success() {
        let body = String::from_utf8_lossy(&bytes).into_owned();
        return Err(CallError::Status(status.as_u16(), body));
    }
    Ok(serde_json::from_slice(&bytes).unwrap_or(Value::Null))
}
