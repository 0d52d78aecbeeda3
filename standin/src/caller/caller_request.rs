//! A request whose expected answer can be computed.

use std::time::Duration;

use banyanarch::decide::LengthClass;
use banyanarch::units::ContentHash;
use banyanarch::units::Tokens;
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use serde_json::json;

use crate::answer;
use crate::fleet::MODEL;
use crate::fleet::SERVICE;

const BYTES_PER_TOKEN: u64 = 4;
const FILLER: &str = "the licence for this verse is held by the estate and renewed each spring; ";

/// The kind of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// A completion call.
    Completion,
    /// A chat call.
    Chat,
    /// A call of the plain service.
    Service,
}

/// A request of a caller.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// The number of the request within the run.
    pub number: u64,
    /// When the request is sent, from the start of the run.
    pub arrival: Duration,
    /// The kind of the request.
    pub kind: RequestKind,
    /// The customer on whose behalf the request is sent.
    pub customer: String,
    /// The length of the prompt in tokens.
    pub prompt_tokens: u64,
    /// The group of the prompt. Prompts of one group begin with the same text.
    pub prefix_group: u64,
    /// The length of the text shared by the group, in tokens.
    pub prefix_tokens: u64,
    /// The maximum length of the answer in tokens.
    pub max_tokens: u64,
    /// The timeout of the request.
    pub timeout: Duration,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// The idempotency key, which identifies resent requests.
    pub key: Option<String>,
}

impl CallerRequest {
    /// Returns the length class of the prompt.
    pub fn class(&self) -> LengthClass {
        LengthClass::of(Tokens(self.prompt_tokens))
    }

    /// Returns the body, which is unique within the run.
    pub fn body(&self) -> Bytes {
        let prompt = self.prompt();
        let (model, max_tokens) = (MODEL, self.max_tokens);
        let body = match self.kind {
            RequestKind::Completion => json!({
                "model": model, "prompt": prompt, "max_tokens": max_tokens, "stream": true,
            }),
            RequestKind::Chat => json!({
                "model": model,
                "messages": [{"role": "user", "content": prompt}],
                "max_tokens": max_tokens,
                "stream": true,
            }),
            RequestKind::Service => json!({"grant": prompt}),
        };
        Bytes::from(body.to_string())
    }

    /// Returns the expected answer to a body of this request.
    pub fn expected_answer(&self, body: &[u8]) -> String {
        match self.kind {
            RequestKind::Service => String::from_utf8_lossy(body).into_owned(),
            _ => answer::full_text(ContentHash::of(body), self.max_tokens),
        }
    }

    /// Builds the HTTP request.
    pub fn to_http(&self, body: Bytes) -> Result<Request<Full<Bytes>>, hyper::http::Error> {
        let path = match self.kind {
            RequestKind::Completion => "/v1/completions".to_owned(),
            RequestKind::Chat => "/v1/chat/completions".to_owned(),
            RequestKind::Service => format!("/{SERVICE}/grant"),
        };
        let mut request = Request::post(path)
            .header("host", "entry")
            .header("content-type", "application/json")
            .header("banyanarch-customer", &self.customer)
            .header(
                "banyanarch-timeout-ms",
                self.timeout.as_millis().to_string(),
            )
            .header("banyanarch-repeatable", self.repeatable.to_string());
        if let Some(key) = &self.key {
            request = request.header("idempotency-key", key);
        }
        request.body(Full::new(body))
    }

    fn prompt(&self) -> String {
        let len = len_bytes(self.prompt_tokens);
        let mut prompt = format!("group {}: ", self.prefix_group);
        fill(&mut prompt, len_bytes(self.prefix_tokens));
        prompt.push_str(&format!("request {}: ", self.number));
        fill(&mut prompt, len);
        prompt
    }
}

fn len_bytes(tokens: u64) -> usize {
    usize::try_from(tokens * BYTES_PER_TOKEN).unwrap_or(usize::MAX)
}

fn fill(text: &mut String, len: usize) {
    text.reserve(len.saturating_sub(text.len()));
    while text.len() < len {
        let missing = (len - text.len()).min(FILLER.len());
        text.push_str(&FILLER[..missing]);
    }
}
