//! Sends one request and classifies its response.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::Response;
use hyper::body::Incoming;
use serde_json::Value;

use crate::caller::Ask;
use crate::caller::Target;
use crate::caller::Verdict;
use crate::caller::sse::Event;
use crate::caller::sse::EventReader;
use crate::http;
use crate::http::CallError;
use crate::http::call;

/// How long a caller waits beyond the timeout of its request before it gives up.
const PATIENCE: Duration = Duration::from_secs(5);

/// The result of sending a request once, with its times.
#[derive(Clone, Debug)]
pub struct Sent {
    /// The outcome as the caller knows it.
    pub verdict: Verdict,
    /// The time until the first text arrived.
    pub first_token: Option<Duration>,
    /// The time until the outcome was known.
    pub total: Duration,
    /// The number of tokens received.
    pub output_tokens: u64,
    /// The id by which the host can explain the request.
    pub request_id: Option<String>,
}

impl Sent {
    fn new(verdict: Verdict, since: Instant) -> Self {
        Self {
            verdict,
            first_token: None,
            total: since.elapsed(),
            output_tokens: 0,
            request_id: None,
        }
    }
}

/// Sends a request once. Times are measured from `since`, the instant at which the request was due.
pub async fn send(addr: SocketAddr, ask: &Ask, body: Bytes, since: Instant) -> Sent {
    let limit = ask.limit + PATIENCE;
    match tokio::time::timeout(limit, exchange(addr, ask, body, since)).await {
        Ok(sent) => sent,
        Err(_) => Sent::new(Verdict::Cut("no outcome in time".to_owned()), since),
    }
}

async fn exchange(addr: SocketAddr, ask: &Ask, body: Bytes, since: Instant) -> Sent {
    let request = match ask.request(body.clone()) {
        Ok(request) => request,
        Err(e) => return Sent::new(Verdict::Wrong(e.to_string()), since),
    };
    let response = match call(addr, request).await {
        Ok(response) => response,
        Err(e) => return Sent::new(verdict_of(&e), since),
    };
    let request_id = http::header(response.headers(), "banyanarch-request-id").map(str::to_owned);
    let sent = match (response.status().is_success(), ask.target) {
        (false, _) => read_failure(response, since).await,
        (true, Target::Service) => read_whole(response, ask, &body, since).await,
        (true, _) => read_stream(response, ask, &body, since).await,
    };
    Sent { request_id, ..sent }
}

/// A connection that could not be established carried nothing, so the request did not run.
fn verdict_of(e: &CallError) -> Verdict {
    match e {
        CallError::Connect(why) => Verdict::NotRun {
            reason: format!("no connection: {why}"),
            retry_after: None,
        },
        e => Verdict::Cut(e.to_string()),
    }
}

async fn read_failure(response: Response<Incoming>, since: Instant) -> Sent {
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
    let verdict = match outcome.as_deref() {
        Some("not-run") => Verdict::NotRun {
            reason,
            retry_after: retry_after.map(Duration::from_secs),
        },
        None if refused => Verdict::NotRun {
            reason,
            retry_after: retry_after.map(Duration::from_secs),
        },
        _ => Verdict::MayHaveRun(reason),
    };
    Sent::new(verdict, since)
}

async fn read_whole(response: Response<Incoming>, ask: &Ask, body: &[u8], since: Instant) -> Sent {
    match response.into_body().collect().await {
        Err(e) => Sent::new(Verdict::Cut(e.to_string()), since),
        Ok(collected) => {
            let text = String::from_utf8_lossy(&collected.to_bytes()).into_owned();
            Sent {
                first_token: Some(since.elapsed()),
                ..Sent::new(judge(ask, body, &text), since)
            }
        }
    }
}

async fn read_stream(response: Response<Incoming>, ask: &Ask, body: &[u8], since: Instant) -> Sent {
    let mut reader = EventReader::default();
    let mut text = String::new();
    let mut first_token = None;
    let mut incoming = response.into_body();
    let verdict = 'read: loop {
        let frame = match incoming.frame().await {
            Some(Ok(frame)) => frame,
            Some(Err(e)) => break Verdict::Cut(e.to_string()),
            None => break Verdict::Cut("no end mark".to_owned()),
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
                Event::Failed(error) => break 'read failure_of(&error),
                Event::Done => break 'read judge(ask, body, &text),
            }
        }
    };
    Sent {
        first_token,
        output_tokens: text.split_whitespace().count() as u64,
        ..Sent::new(verdict, since)
    }
}

fn failure_of(error: &Value) -> Verdict {
    let reason = error["type"].as_str().or(error["message"].as_str());
    let reason = reason.unwrap_or("failed").to_owned();
    let retry_after = error["retry_after_ms"].as_u64().map(Duration::from_millis);
    match error["outcome"].as_str() {
        Some("not-run") => Verdict::NotRun {
            reason,
            retry_after,
        },
        _ => Verdict::MayHaveRun(reason),
    }
}

fn judge(ask: &Ask, body: &[u8], text: &str) -> Verdict {
    let expected = ask.answer(body);
    if text == expected {
        return Verdict::Completed;
    }
    let same = text
        .bytes()
        .zip(expected.bytes())
        .take_while(|(a, b)| a == b);
    let why = format!(
        "{} of {} bytes, differs at {}",
        text.len(),
        expected.len(),
        same.count()
    );
    Verdict::Wrong(why)
}
