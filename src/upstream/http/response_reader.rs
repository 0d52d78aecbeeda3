//! Reads response events from the bodies of upstreams' responses.

use std::collections::VecDeque;

use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream;
use http_body_util::BodyExt;
use hyper::Response;
use hyper::header::CONTENT_TYPE;

use crate::http::PooledResponseBody;
use crate::http::SseParser;
use crate::units::AttemptId;
use crate::upstream::ResponseEvent;
use crate::upstream::ResponseStream;
use crate::upstream::UpstreamError;
use crate::upstream::http::model_event::ModelEvent;

/// Returns the events of a model's response, up to the end marker. A body that ends without the end
/// marker gives an error.
pub(crate) fn model_response(body: PooledResponseBody, attempt: AttemptId) -> ResponseStream {
    let reader = ModelReader {
        body,
        attempt,
        parser: SseParser::default(),
        parsed: VecDeque::new(),
        end: None,
        is_ended: false,
    };
    stream::unfold(reader, async |mut reader| {
        let event = reader.next().await?;
        Some((event, reader))
    })
    .boxed()
}

/// Returns the events of a plain service's response: the head, the bytes, and then the end if the
/// body is complete, or an error if the connection broke.
pub(crate) fn service_response(res: Response<PooledResponseBody>) -> ResponseStream {
    let content_type = res
        .headers()
        .get(CONTENT_TYPE)
        .and_then(|value| value.to_str().ok());
    let head = ResponseEvent::Head {
        status: res.status().as_u16(),
        content_type: content_type.map(str::to_owned),
    };
    let rest = stream::unfold(Some(res.into_body()), async |body| {
        let mut body = body?;
        match next_bytes(&mut body).await {
            Some(Ok(bytes)) => Some((Ok(ResponseEvent::Data(bytes)), Some(body))),
            Some(Err(err)) => Some((Err(err), None)),
            None => Some((Ok(service_end()), None)),
        }
    });
    stream::iter([Ok(head)]).chain(rest).boxed()
}

/// Returns the end event of a plain service's response, which has no attempt and no token counts.
fn service_end() -> ResponseEvent {
    ResponseEvent::End {
        attempt: None,
        finish_reason: String::new(),
        prompt_tokens: 0,
        cached_tokens: 0,
    }
}

/// Returns the next bytes of a body; `None` at its end. Trailers are skipped.
async fn next_bytes(body: &mut PooledResponseBody) -> Option<Result<Bytes, UpstreamError>> {
    loop {
        match body.frame().await? {
            Ok(frame) => {
                if let Ok(bytes) = frame.into_data() {
                    return Some(Ok(bytes));
                }
            }
            Err(err) => return Some(Err(UpstreamError::Interrupted(err.to_string()))),
        }
    }
}

/// Reads the events of a model's response.
struct ModelReader {
    body: PooledResponseBody,
    attempt: AttemptId,
    parser: SseParser,
    /// Events that are not returned yet.
    parsed: VecDeque<ResponseEvent>,
    /// The end event, kept until the end marker arrives.
    end: Option<ResponseEvent>,
    /// Whether the end marker or an error has been read.
    is_ended: bool,
}

impl ModelReader {
    /// Returns the next event; `None` after the end or after an error.
    async fn next(&mut self) -> Option<Result<ResponseEvent, UpstreamError>> {
        loop {
            if let Some(event) = self.parsed.pop_front() {
                return Some(Ok(event));
            }
            if self.is_ended {
                return None;
            }
            if let Err(err) = self.read_events().await {
                self.is_ended = true;
                return Some(Err(err));
            }
        }
    }

    /// Parses all complete events that have been received. If there are none, receives more bytes.
    async fn read_events(&mut self) -> Result<(), UpstreamError> {
        while let Some(event) = self
            .parser
            .next_event()
            .map_err(UpstreamError::InvalidResponse)?
        {
            self.process_event(&event.data)?;
        }
        if !self.parsed.is_empty() || self.is_ended {
            return Ok(());
        }
        match next_bytes(&mut self.body).await {
            Some(bytes) => self
                .parser
                .push(&bytes?)
                .map_err(UpstreamError::InvalidResponse),
            None => Err(UpstreamError::Interrupted(format!(
                "the response of attempt {} ended without an end marker",
                self.attempt
            ))),
        }
    }

    /// Parses the data of one event and adds its response events to those to be returned.
    fn process_event(&mut self, data: &str) -> Result<(), UpstreamError> {
        match ModelEvent::parse(data)? {
            ModelEvent::Tokens(tokens) => self.parsed.push_back(tokens),
            ModelEvent::Stopped { tokens, end } => {
                self.parsed.push_back(tokens);
                self.end = Some(end);
            }
            ModelEvent::Done => {
                let end = self.end.take();
                let missing = || {
                    UpstreamError::InvalidResponse(
                        "the end marker came before the finish reason".to_owned(),
                    )
                };
                self.parsed.push_back(end.ok_or_else(missing)?);
                self.is_ended = true;
            }
        }
        Ok(())
    }
}
