//! Reads answers from upstreams' bodies.

use std::collections::VecDeque;

use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream;
use http_body_util::BodyExt;
use hyper::Response;
use hyper::header::CONTENT_TYPE;

use crate::http::PooledBody;
use crate::http::SseParser;
use crate::units::AttemptId;
use crate::upstream::ResponseEvent;
use crate::upstream::ResponseStream;
use crate::upstream::UpstreamError;
use crate::upstream::http::model_event::ModelEvent;

/// A model's answer: events until the end mark.
pub(crate) fn model_answer(body: PooledBody, attempt: AttemptId) -> ResponseStream {
    let reader = ModelReader {
        body,
        attempt,
        parser: SseParser::default(),
        ready: VecDeque::new(),
        end: None,
        is_over: false,
    };
    stream::unfold(reader, async |mut reader| {
        let event = reader.next().await?;
        Some((event, reader))
    })
    .boxed()
}

/// A plain service's answer: its head, its bytes, and an end when the body was whole.
pub(crate) fn service_answer(res: Response<PooledBody>) -> ResponseStream {
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

fn service_end() -> ResponseEvent {
    ResponseEvent::End {
        attempt: None,
        finish_reason: String::new(),
        prompt_tokens: 0,
        cached_tokens: 0,
    }
}

async fn next_bytes(body: &mut PooledBody) -> Option<Result<Bytes, UpstreamError>> {
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

struct ModelReader {
    body: PooledBody,
    attempt: AttemptId,
    parser: SseParser,
    ready: VecDeque<ResponseEvent>,
    end: Option<ResponseEvent>,
    is_over: bool,
}

impl ModelReader {
    async fn next(&mut self) -> Option<Result<ResponseEvent, UpstreamError>> {
        loop {
            if let Some(event) = self.ready.pop_front() {
                return Some(Ok(event));
            }
            if self.is_over {
                return None;
            }
            if let Err(err) = self.fill().await {
                self.is_over = true;
                return Some(Err(err));
            }
        }
    }

    async fn fill(&mut self) -> Result<(), UpstreamError> {
        while let Some(event) = self
            .parser
            .next_event()
            .map_err(UpstreamError::InvalidResponse)?
        {
            self.take(&event.data)?;
        }
        if !self.ready.is_empty() || self.is_over {
            return Ok(());
        }
        match next_bytes(&mut self.body).await {
            Some(bytes) => self
                .parser
                .push(&bytes?)
                .map_err(UpstreamError::InvalidResponse),
            None => Err(UpstreamError::Interrupted(format!(
                "the answer of attempt {} ended without its end mark",
                self.attempt
            ))),
        }
    }

    fn take(&mut self, data: &str) -> Result<(), UpstreamError> {
        match ModelEvent::parse(data)? {
            ModelEvent::Tokens(tokens) => self.ready.push_back(tokens),
            ModelEvent::Stopped { tokens, end } => {
                self.ready.push_back(tokens);
                self.end = Some(end);
            }
            ModelEvent::Done => {
                let end = self.end.take();
                let missing =
                    || UpstreamError::InvalidResponse("an end mark before the end".to_owned());
                self.ready.push_back(end.ok_or_else(missing)?);
                self.is_over = true;
            }
        }
        Ok(())
    }
}
