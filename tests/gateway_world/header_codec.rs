//! A header codec with the names that the tests use.

use std::time::Duration;

use banyanarch::gateway::AdvertisedLimit;
use banyanarch::gateway::ForwardHead;
use banyanarch::gateway::HeaderCodec;
use banyanarch::gateway::InvalidHeader;
use banyanarch::gateway::RequestHead;
use banyanarch::gateway::ResponseHead;
use banyanarch::gateway::Stated;
use banyanarch::gateway::UpstreamNotices;
use banyanarch::units::PromptPartId;
use banyanarch::units::RequestsPerSecond;
use banyanarch::units::Tokens;
use hyper::HeaderMap;
use hyper::StatusCode;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;

pub struct TestHeaderCodec;

fn text(headers: &HeaderMap, name: &str) -> Option<String> {
    Some(headers.get(name)?.to_str().ok()?.to_owned())
}

fn number(headers: &HeaderMap, name: &str) -> u64 {
    let text = text(headers, name).unwrap_or_default();
    text.parse().unwrap_or(0)
}

fn set(headers: &mut HeaderMap, name: &'static str, value: &str) {
    headers.insert(name, HeaderValue::try_from(value).unwrap());
}

fn limit(headers: &HeaderMap) -> AdvertisedLimit {
    let Some(text) = text(headers, "test-limit") else {
        return AdvertisedLimit::Unlimited;
    };
    match text.parse() {
        Ok(rate) => AdvertisedLimit::Limited(RequestsPerSecond(rate)),
        Err(_) => AdvertisedLimit::Malformed(text),
    }
}

fn leaving(headers: &HeaderMap) -> Stated<()> {
    match text(headers, "test-leaving").as_deref() {
        None => Stated::Absent,
        Some("1") => Stated::Value(()),
        Some(other) => Stated::Malformed(other.to_owned()),
    }
}

fn backoff(headers: &HeaderMap) -> Stated<Duration> {
    let Some(text) = text(headers, "test-backoff-ms") else {
        return Stated::Absent;
    };
    match text.parse() {
        Ok(ms) => Stated::Value(Duration::from_millis(ms)),
        Err(_) => Stated::Malformed(text),
    }
}

/// The parts of a prompt that other requests may share, separated by commas.
fn shared_parts(headers: &HeaderMap) -> Vec<PromptPartId> {
    let text = text(headers, "test-parts").unwrap_or_default();
    text.split(',').filter_map(|id| id.parse().ok()).collect()
}

impl HeaderCodec for TestHeaderCodec {
    fn read_request_head(&self, headers: &HeaderMap) -> Result<RequestHead, InvalidHeader> {
        let deadline = text(headers, "test-deadline-ms").and_then(|ms| ms.parse().ok());
        Ok(RequestHead {
            request: text(headers, "test-request").unwrap_or_default(),
            deadline: deadline.map(Duration::from_millis),
            key: text(headers, "test-key"),
            prompt: Tokens(number(headers, "test-prompt")),
            output: Tokens(1_000),
            last_event: text(headers, "test-after"),
            shared_parts: shared_parts(headers),
        })
    }

    fn send_headers(&self, caller: &HeaderMap, head: &ForwardHead<'_>) -> HeaderMap {
        let mut headers = caller.clone();
        headers.remove("test-key");
        headers.remove("content-length");
        headers.remove("transfer-encoding");
        set(&mut headers, "test-upstream", head.upstream.as_str());
        let left_ms = head.time_left.as_millis().to_string();
        set(&mut headers, "test-left-ms", &left_ms);
        if let Some(customer) = head.customer {
            set(&mut headers, "test-customer", customer.as_str());
        }
        if let Some(priority) = head.priority {
            set(&mut headers, "test-priority", &priority.to_string());
        }
        if let Some(event) = head.last_event {
            set(&mut headers, "test-after", event);
        }
        if !head.helpers.is_empty() {
            let count = head.helpers.len().to_string();
            set(&mut headers, "test-helpers", &count);
        }
        headers
    }

    fn read_response_head(
        &self,
        request: &str,
        status: StatusCode,
        headers: &HeaderMap,
    ) -> ResponseHead {
        ResponseHead {
            is_signed: headers.contains_key("test-signature"),
            did_not_run: headers.contains_key("test-not-run"),
            is_for_request: text(headers, "test-request").unwrap_or_default() == request,
            at_fault: text(headers, "test-at-fault").and_then(|addr| addr.parse().ok()),
            notices: UpstreamNotices {
                limit: limit(headers),
                leaving: leaving(headers),
                backoff: if status == StatusCode::SERVICE_UNAVAILABLE {
                    backoff(headers)
                } else {
                    Stated::Absent
                },
            },
        }
    }

    fn is_known_response_header(&self, name: &HeaderName) -> bool {
        let name = name.as_str();
        name.starts_with("test-") || name.starts_with("content-")
    }

    fn mark_local_response(&self, request: &str, headers: &mut HeaderMap) {
        set(headers, "test-request", request);
    }
}
