//! Verification of every piece of an answer before it goes to the caller.

use crate::control::outcome::AnswerFault;
use crate::units::AttemptId;
use crate::upstream::ResponseEvent;

/// What to do with a piece of an answer.
#[derive(Clone, Debug, PartialEq)]
pub enum AnswerStep {
    /// Pass the piece on to the caller: it is the next one.
    Forward(ResponseEvent),
    /// Drop the piece: the caller already has all of it.
    Skip,
    /// Pass the end mark on to the caller: the answer is complete.
    End(ResponseEvent),
    /// Do not pass the piece on to the caller: it shows a fault.
    Fault(AnswerFault),
}

/// The kind of event that is valid next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ExpectedEvent {
    /// The status of the answer of a plain service.
    Head,
    Body,
    Nothing,
}

/// Verifies every piece of the answer to one request by attempt and offset.
///
/// The failure this guards against: an upstream or a connection delivers a late, repeated or
/// foreign piece, leaves one out, or stops, and the caller reads the text of another customer or an
/// answer without its end. Each piece names its attempt and offset, and only the next one passes.
///
/// The check continues over resumed streams of the attempt, so that repeated pieces are skipped.
/// The last event of an engine has an offset even if it contains no token: its `Tokens` piece comes
/// before `End`, so that a missing tail shows as a gap.
#[derive(Clone, Debug)]
pub struct AnswerCheck {
    /// `None` for plain services, whose answers carry no ids; the connection identifies the answer.
    attempt: Option<AttemptId>,
    offset_tokens: u64,
    expected: ExpectedEvent,
}

impl AnswerCheck {
    /// A check of the answer of a model to an attempt, from its first token on.
    pub fn for_model(attempt: AttemptId) -> Self {
        Self::resumed(attempt, 0)
    }

    /// A check of the answer of a model of which the caller already has `offset_tokens` tokens.
    pub fn resumed(attempt: AttemptId, offset_tokens: u64) -> Self {
        Self {
            attempt: Some(attempt),
            offset_tokens,
            expected: ExpectedEvent::Body,
        }
    }

    /// A check of the answer of a plain service.
    pub fn for_service() -> Self {
        Self {
            attempt: None,
            offset_tokens: 0,
            expected: ExpectedEvent::Head,
        }
    }

    /// Number of tokens that the caller has, which is the offset to resume at.
    pub fn offset_tokens(&self) -> u64 {
        self.offset_tokens
    }

    /// Whether the end mark has arrived.
    pub fn is_complete(&self) -> bool {
        self.expected == ExpectedEvent::Nothing
    }

    /// Checks the next piece. The offset advances only if the piece is forwarded.
    pub fn on_event(&mut self, event: ResponseEvent) -> AnswerStep {
        if self.is_complete() {
            return AnswerStep::Fault(AnswerFault::AfterEnd);
        }
        match self.attempt {
            Some(attempt) => self.on_model_event(attempt, event),
            None => self.on_service_event(event),
        }
    }

    /// Checks whether the answer was complete when the stream stopped.
    pub fn on_stream_end(&self) -> Result<(), AnswerFault> {
        if self.is_complete() {
            return Ok(());
        }
        Err(AnswerFault::Truncated {
            expected_offset_tokens: self.offset_tokens,
        })
    }

    /// Checks an event of the answer of a model to `attempt`.
    fn on_model_event(&mut self, attempt: AttemptId, event: ResponseEvent) -> AnswerStep {
        match event {
            ResponseEvent::Tokens {
                attempt: received, ..
            } if received != attempt => wrong_attempt(received),
            ResponseEvent::Tokens {
                offset_tokens,
                count,
                ..
            } => self.on_tokens(offset_tokens, count, event),
            ResponseEvent::End {
                attempt: Some(received),
                ..
            } if received != attempt => wrong_attempt(received),
            ResponseEvent::End { attempt: None, .. } => {
                unexpected("an end mark without an attempt id")
            }
            ResponseEvent::End { .. } => {
                self.expected = ExpectedEvent::Nothing;
                AnswerStep::End(event)
            }
            ResponseEvent::Head { .. } => unexpected("a status"),
            ResponseEvent::Data(_) => unexpected("bytes"),
        }
    }

    /// Checks a piece of `count` tokens from `offset` on.
    fn on_tokens(&mut self, offset: u64, count: u64, event: ResponseEvent) -> AnswerStep {
        let expected_offset = self.offset_tokens;
        let end = offset.saturating_add(count);
        if offset == expected_offset {
            self.offset_tokens = end;
            return AnswerStep::Forward(event);
        }
        if end <= expected_offset {
            return AnswerStep::Skip;
        }
        let fault = if offset > expected_offset {
            AnswerFault::Gap {
                expected_offset_tokens: expected_offset,
                received_offset_tokens: offset,
            }
        } else {
            AnswerFault::Overlap {
                expected_offset_tokens: expected_offset,
                received_offset_tokens: offset,
            }
        };
        AnswerStep::Fault(fault)
    }

    /// Checks an event of the answer of a plain service.
    fn on_service_event(&mut self, event: ResponseEvent) -> AnswerStep {
        match (self.expected, &event) {
            (ExpectedEvent::Head, ResponseEvent::Head { .. }) => {
                self.expected = ExpectedEvent::Body;
                AnswerStep::Forward(event)
            }
            (ExpectedEvent::Body, ResponseEvent::Data(_)) => AnswerStep::Forward(event),
            (ExpectedEvent::Body, ResponseEvent::End { .. }) => {
                self.expected = ExpectedEvent::Nothing;
                AnswerStep::End(event)
            }
            (_, ResponseEvent::Tokens { .. }) => unexpected("tokens"),
            (_, ResponseEvent::Head { .. }) => unexpected("a second status"),
            _ => unexpected("a body before its status"),
        }
    }
}

fn wrong_attempt(received: AttemptId) -> AnswerStep {
    AnswerStep::Fault(AnswerFault::WrongAttempt { received })
}

fn unexpected(what: &'static str) -> AnswerStep {
    AnswerStep::Fault(AnswerFault::Unexpected(what))
}
