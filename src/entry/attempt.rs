//! One attempt while its answer comes.

use std::time::Duration;
use std::time::Instant;

use crate::decide::Done;
use crate::decide::Ended;
use crate::entry::Break;
use crate::entry::HeldGrant;
use crate::entry::Usage;
use crate::units::AttemptId;
use crate::units::Tokens;
use crate::units::UpstreamId;
use crate::upstream::AnswerEvent;
use crate::upstream::UpstreamError;

/// What to do with a piece of an answer.
#[derive(Clone, Debug, PartialEq)]
pub enum Piece {
    /// Hand on this text; it is the first of the answer or comes this long after the last.
    Text {
        /// The text.
        text: String,
        /// The gap since the last tokens; none for the first.
        gap: Option<Duration>,
    },
    /// Hand on the head of a plain service's answer.
    Head {
        /// The HTTP status.
        status: u16,
        /// The content type.
        content_type: Option<String>,
    },
    /// Hand on bytes.
    Data(bytes::Bytes),
    /// The answer is whole.
    Whole {
        /// Why the model stopped.
        finish_reason: String,
    },
    /// It has been handed on before.
    Repeated,
    /// It is not the next piece of this attempt's answer.
    Wrong(String),
}

/// An attempt, from its grant to its end.
#[derive(Debug)]
pub struct Attempt {
    /// The grant it uses up.
    pub held: HeldGrant,
    started: Instant,
    first_token: Option<Duration>,
    last_token: Option<Instant>,
    offset_tokens: u64,
    prompt_tokens: u64,
    cached_tokens: u64,
}

impl Attempt {
    /// An attempt that is about to be dispatched.
    pub fn new(held: HeldGrant, now: Instant) -> Self {
        Self {
            held,
            started: now,
            first_token: None,
            last_token: None,
            offset_tokens: 0,
            prompt_tokens: 0,
            cached_tokens: 0,
        }
    }

    /// Its id.
    pub fn id(&self) -> AttemptId {
        self.held.attempt()
    }

    /// The upstream that answers.
    pub fn leader(&self) -> Option<&UpstreamId> {
        self.held.upstreams.first()
    }

    /// How many tokens have been handed on.
    pub fn offset_tokens(&self) -> u64 {
        self.offset_tokens
    }

    /// When its last sign of life came.
    pub fn last_sign(&self) -> Instant {
        self.last_token.unwrap_or(self.started)
    }

    /// The time to the first token, once it came.
    pub fn first_token(&self) -> Option<Duration> {
        self.first_token
    }

    /// Checks a piece before a byte of it reaches the caller. Answers can be late, crossed, cut or
    /// repeated; only the next tokens of this very attempt may pass.
    pub fn take(&mut self, event: AnswerEvent, now: Instant) -> Piece {
        match event {
            AnswerEvent::Head {
                status,
                content_type,
            } => Piece::Head {
                status,
                content_type,
            },
            AnswerEvent::Data(bytes) => {
                self.note_token(now);
                Piece::Data(bytes)
            }
            AnswerEvent::Tokens {
                attempt,
                offset_tokens,
                count,
                text,
            } => {
                if attempt != self.id() {
                    return Piece::Wrong(format!("an answer of attempt {attempt}"));
                }
                self.take_tokens(offset_tokens, count, text, now)
            }
            AnswerEvent::End {
                attempt,
                finish_reason,
                prompt_tokens,
                cached_tokens,
            } => {
                if attempt.is_some_and(|attempt| attempt != self.id()) {
                    return Piece::Wrong("the end of another attempt".to_owned());
                }
                self.prompt_tokens = prompt_tokens;
                self.cached_tokens = cached_tokens;
                Piece::Whole { finish_reason }
            }
        }
    }

    fn take_tokens(&mut self, offset_tokens: u64, count: u64, text: String, now: Instant) -> Piece {
        if offset_tokens + count <= self.offset_tokens {
            return Piece::Repeated;
        }
        if offset_tokens != self.offset_tokens {
            let expected = self.offset_tokens;
            return Piece::Wrong(format!(
                "tokens from {offset_tokens} on, not from {expected}"
            ));
        }
        self.offset_tokens += count;
        let gap = self.note_token(now);
        Piece::Text { text, gap }
    }

    fn note_token(&mut self, now: Instant) -> Option<Duration> {
        let gap = self
            .last_token
            .map(|last| now.saturating_duration_since(last));
        if gap.is_none() {
            self.first_token = Some(now.saturating_duration_since(self.started));
        }
        self.last_token = Some(now);
        gap
    }

    /// The counts for the caller.
    pub fn usage(&self) -> Usage {
        Usage {
            prompt_tokens: self.prompt_tokens,
            completion_tokens: self.offset_tokens,
        }
    }

    /// The report for the home.
    pub fn done(&self, ended: Ended, now: Instant) -> Done {
        Done {
            ended,
            first_token: self.first_token,
            total: now.saturating_duration_since(self.started),
            prompt_tokens: Tokens(self.prompt_tokens),
            cached_tokens: Tokens(self.cached_tokens),
            output_tokens: Tokens(self.offset_tokens),
        }
    }
}

/// What an upstream's error means for the life of a request.
pub fn break_of(err: &UpstreamError) -> Break {
    match err {
        UpstreamError::NotSent(_) | UpstreamError::Refused { .. } => Break::DidNotRun,
        UpstreamError::Interrupted(_) => Break::Cut,
        UpstreamError::Garbled(_) => Break::Garbled,
        UpstreamError::Failed(_) | UpstreamError::UnknownAttempt => Break::Lost,
    }
}
