//! Sends one request and classifies its response.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::Response;
use hyper::body::Incoming;
use serde_json::Value;

use crate::caller::CallOutcome;
use crate::caller::CallerRequest;
use crate::caller::RequestKind;
use crate::caller::sse::Event;
use crate::caller::sse::EventReader;
use crate::http;
use crate::http::CallError;
use crate::http::call;

/// How long a caller waits beyond the timeout of its request before it gives up.
const GRACE_PERIOD: Duration = Duration::from_secs(5);

/// The result of sending a request once, with its times.
#[derive(Clone, Debug)]
pub struct SendResult {
    /// The outcome as the caller knows it.
    pub outcome: CallOutcome,
    /// The time until the first text arrived.
    pub first_token: Option<Duration>,
    /// The time until the outcome was known.
    pub total: Duration,
    /// The number of tokens received.
    pub output_tokens: u64,
    /// The id by which the host can explain the request.
    pub request_id: Option<String>,
}

impl SendResult {
    fn new(outcome: CallOutcome, since: Instant) -> Self {
        Self {
            outcome,
            first_token: None,
            total: since.elapsed(),
            output_tokens: 0,
            request_id: None,
        }
    }
}

/// Sends a request once. Times are measured from `since`, the instant at which the request was due.
pub async fn send(
    addr: SocketAddr,
    request: &CallerRequest,
    body: Bytes,
    since: Instant,
) -> SendResult {
    let give_up_after = request.timeout + GRACE_PERIOD;
    match tokio::time::timeout(give_up_after, send_and_read(addr, request, body, since)).await {
        Ok(result) => result,
        Err(_) => SendResult::new(CallOutcome::Cut("no outcome in time".to_owned()), since),
    }
}

async fn send_and_read(
    addr: SocketAddr,
    request: &CallerRequest,
    body: Bytes,
    since: Instant,
) -> SendResult {
    let http_request = match request.to_http(body.clone()) {
        Ok(http_request) => http_request,
        Err(e) => return SendResult::new(CallOutcome::Wrong(e.to_string()), since),
    };
    let response = match call(addr, http_request).await {
        Ok(response) => response,
        Err(e) => return SendResult::new(outcome_of_error(&e), since),
    };
    let request_id = http::header(response.headers(), "banyanarch-request-id").map(str::to_owned);
    let result = match (response.status().is_success(), request.kind) {
        (false, _) => read_failure(response, since).await,
        (true, RequestKind::Service) => read_whole(response, request, &body, since).await,
        (true, _) => read_stream(response, request, &body, since).await,
    };
    SendResult {
        request_id,
        ..result
    }
}

/// A connection that could not be established carried nothing, so the request did not run.
fn outcome_of_error(e: &CallError) -> CallOutcome {
    match e {
        CallError::ConnectFailed(reason) => CallOutcome::NotRun {
            reason: format!("no connection: {reason}"),
            retry_after: None,
        },
        e => CallOutcome::Cut(e.to_string()),
    }
}

async fn read_failure(response: Response<Incoming>, since: Instant) -> SendResult {
    let headers = response.headers();
    let outcome = http::header(headers, "banyanarch-outcome").map(str::to_owned);
    let refused = http::header(headers, "x-not-run") == Some("true");
    let retry_after = http::header(headers, "retry-after").and_then(|text| text.parse().ok());
    let status = response.status();
    let body = response.into_body().collect().await;
    let body = body.map_or_else(|_| Bytes::new(), http_body_util::Collected::to_bytes);
    let error: Value = serde_json::from_slice(&body).unwrap_or(Value::Null);
    let reason = error["error"]["type"]
        .as_str()
        .unwrap_or(status.as_str())
        .to_owned();
    let outcome = match outcome.as_deref() {
        Some("not-run") => CallOutcome::NotRun {
            reason,
            retry_after: retry_after.map(Duration::from_secs),
        },
        None if refused => CallOutcome::NotRun {
            reason,
            retry_after: retry_after.map(Duration::from_secs),
        },
        _ => CallOutcome::MayHaveRun(reason),
    };
    SendResult::new(outcome, since)
}

async fn read_whole(
    response: Response<Incoming>,
    request: &CallerRequest,
    body: &[u8],
    since: Instant,
) -> SendResult {
    match response.into_body().collect().await {
        Err(e) => SendResult::new(CallOutcome::Cut(e.to_string()), since),
        Ok(collected) => {
            let text = String::from_utf8_lossy(&collected.to_bytes()).into_owned();
            SendResult {
                first_token: Some(since.elapsed()),
                ..SendResult::new(check_answer(request, body, &text), since)
            }
        }
    }
}

async fn read_stream(
    response: Response<Incoming>,
    request: &CallerRequest,
    body: &[u8],
    since: Instant,
) -> SendResult {
    let mut reader = EventReader::default();
    let mut text = String::new();
    let mut first_token = None;
    let mut incoming = response.into_body();
    let outcome = 'read: loop {
        let frame = match incoming.frame().await {
            Some(Ok(frame)) => frame,
            Some(Err(e)) => break CallOutcome::Cut(e.to_string()),
            None => break CallOutcome::Cut("no end mark".to_owned()),
        };
        let Ok(bytes) = frame.into_data() else {
            continue;
        };
        for event in reader.push(&bytes) {
            match event {
                Event::Text(piece) => {
                    first_token.get_or_insert_with(|| since.elapsed());
                    text.push_str(&piece);
                }
                Event::Failed(error) => break 'read outcome_of_failure(&error),
                Event::Done => break 'read check_answer(request, body, &text),
            }
        }
    };
    SendResult {
        first_token,
        output_tokens: text.split_whitespace().count() as u64,
        ..SendResult::new(outcome, since)
    }
}

fn outcome_of_failure(error: &Value) -> CallOutcome {
    let reason = error["type"].as_str().or(error["message"].as_str());
    let reason = reason.unwrap_or("failed").to_owned();
    let retry_after = error["retry_after_ms"].as_u64().map(Duration::from_millis);
    match error["outcome"].as_str() {
        Some("not-run") => CallOutcome::NotRun {
            reason,
            retry_after,
        },
        _ => CallOutcome::MayHaveRun(reason),
    }
}

fn check_answer(request: &CallerRequest, body: &[u8], text: &str) -> CallOutcome {
    let expected = request.expected_answer(body);
    if text == expected {
        return CallOutcome::Completed;
    }
    let common_prefix = text
        .bytes()
        .zip(expected.bytes())
        .take_while(|(a, b)| a == b);
    let reason = format!(
        "{} of {} bytes, differs at {}",
        text.len(),
        expected.len(),
        common_prefix.count()
    );
    CallOutcome::Wrong(reason)
}
