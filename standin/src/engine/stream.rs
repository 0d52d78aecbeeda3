//! Streaming of an answer as server-sent events.

use std::collections::VecDeque;
use std::io;
use std::sync::Arc;
use std::time::Duration;

use banyanarch::units::ContentHash;
use bytes::Bytes;
use futures_util::Stream;
use futures_util::stream;
use serde_json::Value;
use serde_json::json;
use tokio::sync::watch;

use crate::answer;
use crate::engine::RunEnd;
use crate::engine::attempt::Progress;
use crate::engine::shared::Shared;

/// The parts of an attempt from which its answer is rendered, with its progress.
#[derive(Clone, Debug)]
pub(crate) struct AnswerSource {
    pub(crate) id: String,
    pub(crate) body_hash: ContentHash,
    pub(crate) prompt_tokens: u64,
    pub(crate) max_tokens: u64,
    pub(crate) answer_tokens: u64,
    pub(crate) progress: watch::Receiver<Progress>,
}

impl AnswerSource {
    pub(crate) fn finish_reason(&self) -> &'static str {
        match self.answer_tokens == self.max_tokens {
            true => "length",
            false => "stop",
        }
    }

    pub(crate) fn usage(&self, progress: Progress) -> Value {
        json!({
            "prompt_tokens": self.prompt_tokens,
            "completion_tokens": progress.output_tokens,
            "cached_tokens": progress.cached_tokens,
        })
    }
}

/// How a fault truncates an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Truncation {
    /// The answer is not truncated.
    None,
    /// The connection is cut after half of the tokens.
    ConnectionCut,
    /// The answer ends after half of its tokens as if it were whole, without an end mark.
    MissingEndMark,
}

/// Returns the server-sent events of an answer, from the token at `offset` on.
pub(crate) fn events(
    shared: Arc<Shared>,
    source: AnswerSource,
    offset: u64,
    truncation: Truncation,
) -> impl Stream<Item = io::Result<Bytes>> + Send {
    let token_limit = match truncation {
        Truncation::None => u64::MAX,
        Truncation::ConnectionCut | Truncation::MissingEndMark => source.answer_tokens.div_ceil(2),
    };
    let event_stream = AnswerEventStream {
        shared,
        source,
        offset,
        truncation,
        token_limit,
        queue: VecDeque::new(),
        is_finished: false,
    };
    stream::unfold(event_stream, |mut event_stream| async move {
        let piece = event_stream.next_piece().await?;
        Some((piece, event_stream))
    })
}

/// Produces the server-sent events of one answer while the engine generates it.
struct AnswerEventStream {
    shared: Arc<Shared>,
    source: AnswerSource,
    /// The number of tokens that have been sent or queued.
    offset: u64,
    truncation: Truncation,
    /// The number of tokens after which the answer is truncated.
    token_limit: u64,
    queue: VecDeque<Bytes>,
    is_finished: bool,
}

impl AnswerEventStream {
    /// Waits for the next event; returns `None` at the end of the answer, and an error if the
    /// connection is to be cut.
    async fn next_piece(&mut self) -> Option<io::Result<Bytes>> {
        loop {
            if let Some(piece) = self.queue.pop_front() {
                return Some(Ok(piece));
            }
            if self.is_finished {
                return None;
            }
            if self.offset >= self.token_limit {
                return match self.truncation {
                    Truncation::ConnectionCut => Some(Err(io::Error::other("cut off"))),
                    Truncation::MissingEndMark | Truncation::None => None,
                };
            }
            let progress = *self.source.progress.borrow_and_update();
            if progress.output_tokens > self.offset || progress.end.is_some() {
                self.apply_delay_faults().await;
                self.queue_new_events(progress);
            } else if self.source.progress.changed().await.is_err() {
                return Some(Err(io::Error::other("the attempt was removed")));
            }
        }
    }

    async fn apply_delay_faults(&self) {
        self.shared.wait_until_unfrozen().await;
        let delay_ms = self.shared.faults().delay_answers_ms;
        if delay_ms > 0 {
            tokio::time::sleep(Duration::from_millis(delay_ms)).await;
        }
    }

    /// Queues events for the tokens that are new, and for the end of the answer.
    fn queue_new_events(&mut self, progress: Progress) {
        let until = progress.output_tokens.min(self.token_limit);
        if until > self.offset {
            let event = self.token_event(until - self.offset);
            self.queue.push_back(event);
            self.offset = until;
        }
        if let Some(end) = progress.end.filter(|_| until < self.token_limit) {
            self.queue_end(progress, end);
        }
    }

    fn token_event(&self, count: u64) -> Bytes {
        let (id, body_hash) = match self.shared.faults().cross_answers {
            true => self.shared.other_answer(&self.source),
            false => (self.source.id.clone(), self.source.body_hash),
        };
        let text = answer::tokens_text(body_hash, self.offset, count);
        let data = json!({
            "id": id,
            "choices": [{"index": 0, "text": text, "finish_reason": null}],
            "offset": self.offset,
            "count": count,
        });
        encode_event(&id, self.offset, &data)
    }

    fn queue_end(&mut self, progress: Progress, end: RunEnd) {
        self.is_finished = true;
        let id = &self.source.id;
        if end != RunEnd::Completed {
            let message = match end {
                RunEnd::TimedOut => "the time ran out",
                RunEnd::Cancelled => "cancelled",
                RunEnd::Completed | RunEnd::Failed => "failed",
            };
            let data = json!({"id": id, "error": {"message": message}});
            self.queue.push_back(encode_event(id, self.offset, &data));
            return;
        }
        let data = json!({
            "id": id,
            "choices": [{"index": 0, "text": "", "finish_reason": self.source.finish_reason()}],
            "offset": self.offset,
            "count": 0,
            "usage": self.source.usage(progress),
        });
        self.queue.push_back(encode_event(id, self.offset, &data));
        self.queue
            .push_back(Bytes::from_static(b"data: [DONE]\n\n"));
    }
}

fn encode_event(id: &str, offset: u64, data: &Value) -> Bytes {
    Bytes::from(format!("id: {id}:{offset}\ndata: {data}\n\n"))
}
