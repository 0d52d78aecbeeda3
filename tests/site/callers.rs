//! Calls that tests send to hosts.

use std::net::SocketAddr;

use bytes::Bytes;
use hyper::Response;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

use crate::site::TestSite;
use crate::site::call;
use crate::site::wait_until;

/// Result of a call.
pub(crate) type CallResult = Result<Response<Bytes>, banyanarch::http::HttpError>;

/// Length of a completion that takes about two seconds, at 4 ms per token.
pub(crate) const LONG_ANSWER_TOKENS: u64 = 500;

/// Sends a completion call in a task of its own.
pub(crate) fn spawn_send(
    addr: SocketAddr,
    key: Option<&str>,
    body: &str,
) -> JoinHandle<CallResult> {
    let key = key.map(str::to_owned);
    let body = body.to_owned();
    tokio::spawn(async move { send(addr, key.as_deref(), &body).await })
}

/// Sends a completion call. With an idempotency key, the call must not run twice.
pub(crate) async fn send(addr: SocketAddr, key: Option<&str>, body: &str) -> CallResult {
    match key {
        Some(key) => {
            let headers = [("Idempotency-Key", key), ("Banyanarch-Repeatable", "false")];
            call(addr, "/v1/completions", &headers, body).await
        }
        None => call(addr, "/v1/completions", &[], body).await,
    }
}

/// Returns the headers of a call that must not run twice.
pub(crate) fn idempotency_headers(key: &str) -> String {
    format!("Idempotency-Key: {key}\r\nBanyanarch-Repeatable: false\r\n")
}

/// Sends a completion call on a connection that the test can close at any moment.
pub(crate) async fn connect_and_send(addr: SocketAddr, headers: &str, body: &str) -> TcpStream {
    let mut caller = TcpStream::connect(addr).await.unwrap();
    let len = body.len();
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nHost: x\r\n{headers}Content-Length: {len}\r\n\r\n"
    );
    caller.write_all(head.as_bytes()).await.unwrap();
    caller.write_all(body.as_bytes()).await.unwrap();
    caller
}

/// Waits until an engine has started a run for this body.
pub(crate) async fn wait_until_running(site: &TestSite, body: &str) {
    wait_until("a run at an engine", async || site.run_count(body) > 0).await;
}
