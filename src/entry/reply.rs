//! Builds and sends the reply to a caller.

use std::time::Duration;

use bytes::Bytes;
use hyper::Response;
use hyper::header::CONTENT_TYPE;
use hyper::header::RETRY_AFTER;
use hyper::http::response::Builder;
use serde_json::json;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::entry::BodyChunk;
use crate::entry::CallKind;
use crate::entry::ReplyBody;
use crate::entry::RequestOutcome;
use crate::units::HostId;
use crate::units::RequestId;

/// The number of chunks that are queued for a caller that reads slowly. When the queue is full, the
/// upstream's stream is not read, so that a request's memory on this host does not depend on its
/// caller.
const QUEUED_CHUNKS_MAX: usize = 32;

/// How long a caller may read nothing while the queue is full. Such a caller occupies an engine's
/// memory for a reply that it does not read. A person who listens to a reply being read aloud
/// pauses for seconds, not for this long.
const CALLER_STALL_TIMEOUT: Duration = Duration::from_secs(30);

/// The error for a caller that has disconnected, or that read nothing for so long that it counts as
/// gone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerGone;

/// The format of a reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplyFormat {
    /// Server-sent events in the format of the API.
    Stream(CallKind),
    /// One JSON object.
    Json(CallKind),
    /// The response of a plain service, unchanged.
    PassThrough,
}

/// A failure as it is reported to the caller.
#[derive(Clone, Debug, PartialEq)]
pub struct FailureReply {
    /// The outcome and its reason.
    pub outcome: RequestOutcome,
    /// A message for people.
    pub message: String,
    /// How long the caller should wait before it retries; none if no time is known.
    pub retry_after: Option<Duration>,
}

/// The token counts at the end of a model's reply.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// The number of tokens in the prompt.
    pub prompt_tokens: u64,
    /// The number of generated tokens.
    pub completion_tokens: u64,
}

/// Builds and sends the reply to one request.
#[derive(Debug)]
pub struct Reply {
    format: ReplyFormat,
    request: RequestId,
    host: HostId,
    model: String,
    head: Option<oneshot::Sender<Response<ReplyBody>>>,
    chunks: Option<mpsc::Sender<BodyChunk>>,
    full_text: String,
}

impl Reply {
    /// Creates a reply whose response head is sent to `head`.
    pub fn new(
        request: RequestId,
        host: HostId,
        head: oneshot::Sender<Response<ReplyBody>>,
    ) -> Self {
        Self {
            format: ReplyFormat::PassThrough,
            request,
            host,
            model: String::new(),
            head: Some(head),
            chunks: None,
            full_text: String::new(),
        }
    }

    /// Sets the format and the model name of the reply, which are known only once the request has
    /// been read. A failure before that is reported in one JSON object.
    pub fn set_format(&mut self, format: ReplyFormat, model: &str) {
        self.format = format;
        model.clone_into(&mut self.model);
    }

    /// Removes the text that is buffered for a reply that is not streamed, and returns it.
    pub fn take_buffered_text(&mut self) -> String {
        std::mem::take(&mut self.full_text)
    }

    /// Replaces the text that is buffered for a reply that is not streamed.
    pub fn set_buffered_text(&mut self, text: String) {
        self.full_text = text;
    }

    /// Whether any part of a reply has gone to the caller.
    pub fn has_started(&self) -> bool {
        self.chunks.is_some()
    }

    /// Waits until the caller has disconnected. Returns at once if the reply has ended.
    pub async fn wait_until_disconnected(&mut self) {
        if let Some(chunks) = &self.chunks {
            chunks.closed().await;
        } else if let Some(head) = &mut self.head {
            head.closed().await;
        }
    }

    /// Sends text of a model's response as a stream event, after the head if none was sent yet. For
    /// a reply that is not streamed, appends the text to a buffer and sends nothing.
    ///
    /// Waits while the queue to the caller is full, and returns [`CallerGone`] if the caller
    /// stalls.
    pub async fn send_tokens(&mut self, text: &str) -> Result<(), CallerGone> {
        match self.format {
            ReplyFormat::Json(_) | ReplyFormat::PassThrough => {
                self.full_text.push_str(text);
                Ok(())
            }
            ReplyFormat::Stream(kind) => {
                self.open_stream()?;
                let event = self.stream_event(kind, text, None);
                self.send(event).await
            }
        }
    }

    /// Sends the head of a plain service's response, and opens the body for
    /// [`Self::send_data`].
    pub fn send_service_head(
        &mut self,
        status: u16,
        content_type: Option<&str>,
    ) -> Result<(), CallerGone> {
        let head = self.head_builder().status(status);
        let content_type = content_type.unwrap_or("application/octet-stream");
        self.open_chunked(head.header(CONTENT_TYPE, content_type))
    }

    /// Sends bytes of a plain service's response.
    pub async fn send_data(&mut self, bytes: Bytes) -> Result<(), CallerGone> {
        self.send(bytes).await
    }

    /// Ends the reply after a complete response. A reply in one JSON object is sent only now; a
    /// stream gets its last event with the finish reason and the token counts.
    pub async fn complete(&mut self, finish_reason: &str, usage: Usage) -> Result<(), CallerGone> {
        match self.format {
            ReplyFormat::PassThrough => self.end_chunks().await,
            ReplyFormat::Stream(kind) => {
                self.open_stream()?;
                let last = self.stream_event(kind, "", Some((finish_reason, usage)));
                self.send(last).await?;
                self.send(Bytes::from_static(b"data: [DONE]\n\n")).await?;
                self.end_chunks().await
            }
            ReplyFormat::Json(kind) => {
                let body = self.json_body(kind, finish_reason, usage);
                let head = self.head_builder().status(200);
                let head = head.header(
                    "Banyanarch-Outcome",
                    RequestOutcome::Completed.kind().name(),
                );
                self.send_full(head.header(CONTENT_TYPE, "application/json"), &body)
            }
        }
    }

    /// Ends the reply with a failure: as a status and body if no head was sent, as a last event in
    /// a stream, else by breaking the connection.
    pub async fn fail(&mut self, failure: &FailureReply) -> Result<(), CallerGone> {
        let body = self.failure_body(failure);
        if self.chunks.is_none() {
            let mut head = self.head_builder().status(failure.outcome.status());
            head = head.header("Banyanarch-Outcome", failure.outcome.kind().name());
            if let Some(retry_after) = failure.retry_after {
                let retry_after_s = retry_after.as_secs_f64().ceil().max(1.0);
                head = head.header(RETRY_AFTER, retry_after_s.to_string());
            }
            return self.send_full(head.header(CONTENT_TYPE, "application/json"), &body);
        }
        if let ReplyFormat::Stream(_) = self.format {
            self.send(Bytes::from(format!("data: {body}\n\n"))).await?;
            return self.end_chunks().await;
        }
        self.chunks = None;
        Ok(())
    }

    fn head_builder(&self) -> Builder {
        Response::builder()
            .header("Banyanarch-Request-Id", self.request.to_string())
            .header("Banyanarch-Host", self.host.as_str())
    }

    /// Sends the head of a stream of events, unless it was sent before.
    fn open_stream(&mut self) -> Result<(), CallerGone> {
        if self.chunks.is_some() {
            return Ok(());
        }
        let head = self.head_builder().status(200);
        let head = head.header("Cache-Control", "no-store");
        self.open_chunked(head.header(CONTENT_TYPE, "text/event-stream"))
    }

    /// Sends the head of a reply whose body follows in chunks.
    fn open_chunked(&mut self, head: Builder) -> Result<(), CallerGone> {
        let (tx, rx) = mpsc::channel(QUEUED_CHUNKS_MAX);
        self.send_head(head, ReplyBody::Chunks(rx))?;
        self.chunks = Some(tx);
        Ok(())
    }

    /// Sends the whole reply at once: the head, and a JSON object as its body.
    fn send_full(&mut self, head: Builder, body: &serde_json::Value) -> Result<(), CallerGone> {
        let mut text = body.to_string();
        text.push('\n');
        self.send_head(head, ReplyBody::Full(Some(Bytes::from(text))))
    }

    /// Sends the head, which can be sent only once: a second call returns [`CallerGone`].
    fn send_head(&mut self, head: Builder, body: ReplyBody) -> Result<(), CallerGone> {
        let sender = self.head.take().ok_or(CallerGone)?;
        let res = head.body(body).map_err(|_| CallerGone)?;
        sender.send(res).map_err(|_| CallerGone)
    }

    async fn send(&self, bytes: Bytes) -> Result<(), CallerGone> {
        self.send_chunk(BodyChunk::Data(bytes)).await
    }

    /// Ends a body in chunks as a complete one.
    async fn end_chunks(&mut self) -> Result<(), CallerGone> {
        self.send_chunk(BodyChunk::End).await?;
        self.chunks = None;
        Ok(())
    }

    async fn send_chunk(&self, chunk: BodyChunk) -> Result<(), CallerGone> {
        let chunks = self.chunks.as_ref().ok_or(CallerGone)?;
        let sent = tokio::time::timeout(CALLER_STALL_TIMEOUT, chunks.send(chunk)).await;
        sent.map_err(|_| CallerGone)?.map_err(|_| CallerGone)
    }

    /// Builds one server-sent event with a piece of text. `end` holds the finish reason and the
    /// token counts, and is given only for the last event of a complete response.
    fn stream_event(&self, kind: CallKind, text: &str, end: Option<(&str, Usage)>) -> Bytes {
        let finish_reason = end.map(|(reason, _)| reason);
        let choice = match kind {
            CallKind::Completion => {
                json!({"index": 0, "text": text, "finish_reason": finish_reason})
            }
            CallKind::Chat => {
                json!({"index": 0, "delta": {"content": text}, "finish_reason": finish_reason})
            }
        };
        let object = match kind {
            CallKind::Completion => "text_completion",
            CallKind::Chat => "chat.completion.chunk",
        };
        let mut event = json!({
            "id": self.request,
            "object": object,
            "model": self.model,
            "choices": [choice],
        });
        if let Some((_, usage)) = end {
            event["usage"] = usage.to_json();
            event["outcome"] = json!(RequestOutcome::Completed.kind().name());
        }
        Bytes::from(format!("data: {event}\n\n"))
    }

    fn json_body(
        &mut self,
        kind: CallKind,
        finish_reason: &str,
        usage: Usage,
    ) -> serde_json::Value {
        let text = std::mem::take(&mut self.full_text);
        let (object, choice) = match kind {
            CallKind::Completion => (
                "text_completion",
                json!({"index": 0, "text": text, "finish_reason": finish_reason}),
            ),
            CallKind::Chat => (
                "chat.completion",
                json!({
                    "index": 0,
                    "message": {"role": "assistant", "content": text},
                    "finish_reason": finish_reason,
                }),
            ),
        };
        json!({
            "id": self.request,
            "object": object,
            "model": self.model,
            "choices": [choice],
            "usage": usage.to_json(),
        })
    }

    fn failure_body(&self, failure: &FailureReply) -> serde_json::Value {
        let retry_after_ms = failure.retry_after.map(|after| after.as_millis());
        json!({"error": {
            "message": failure.message,
            "type": failure.outcome.reason(),
            "outcome": failure.outcome.kind().name(),
            "request_id": self.request,
            "host": self.host,
            "retry_after_ms": retry_after_ms,
        }})
    }
}

impl Usage {
    fn to_json(self) -> serde_json::Value {
        json!({
            "prompt_tokens": self.prompt_tokens,
            "completion_tokens": self.completion_tokens,
            "total_tokens": self.prompt_tokens + self.completion_tokens,
        })
    }
}
