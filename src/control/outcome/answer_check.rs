//! Matches every piece of an answer before it goes to the caller.

use crate::control::outcome::AnswerFault;
use crate::units::AttemptId;
use crate::upstream::ResponseEvent;

/// What to do with a piece of an answer.
#[derive(Clone, Debug, PartialEq)]
pub enum AnswerStep {
    /// It is the next piece: pass it on.
    Forward(ResponseEvent),
    /// The caller has all of it already.
    Skip,
    /// It is the end mark, and nothing is missing: the answer is whole.
    End(ResponseEvent),
    /// It must not reach the caller.
    Fault(AnswerFault),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ExpectedEvent {
    /// The status of a plain service's answer.
    Head,
    Body,
    Nothing,
}

/// Matches every piece of one request's answer by attempt and offset.
///
/// The failure this guards against: an upstream or a connection gives a late, repeated or crossed
/// piece, leaves one out, or stops; the caller would read another customer's words, or a letter
/// that lacks its end. Each piece names its attempt and offset, and only the next one passes.
///
/// The same check goes on over resumed streams of the attempt, so that what comes again is skipped.
/// An engine's last event has an offset too, also when it holds no token: its `Tokens` piece comes
/// before `End`, so that a missing tail shows as a gap.
#[derive(Clone, Debug)]
pub struct AnswerCheck {
    /// None for plain services, whose answers have no ids: there the connection is the match.
    attempt: Option<AttemptId>,
    offset_tokens: u64,
    expected: ExpectedEvent,
}

impl AnswerCheck {
    /// For a model's answer to an attempt, from its first token on.
    pub fn for_model(attempt: AttemptId) -> Self {
        Self::resumed(attempt, 0)
    }

    /// For a model's answer of which the caller already has `offset_tokens` tokens.
    pub fn resumed(attempt: AttemptId, offset_tokens: u64) -> Self {
        Self {
            attempt: Some(attempt),
            offset_tokens,
            expected: ExpectedEvent::Body,
        }
    }

    /// For a plain service's answer.
    pub fn for_service() -> Self {
        Self {
            attempt: None,
            offset_tokens: 0,
            expected: ExpectedEvent::Head,
        }
    }

    /// How many tokens the caller has: where to resume.
    pub fn offset_tokens(&self) -> u64 {
        self.offset_tokens
    }

    /// Whether the end mark has come.
    pub fn is_complete(&self) -> bool {
        self.expected == ExpectedEvent::Nothing
    }

    /// Takes in a piece.
    pub fn on_event(&mut self, event: ResponseEvent) -> AnswerStep {
        if self.is_complete() {
            return AnswerStep::Fault(AnswerFault::AfterEnd);
        }
        match self.attempt {
            Some(attempt) => self.on_model_event(attempt, event),
            None => self.on_service_event(event),
        }
    }

    /// Takes in that the stream has stopped.
    pub fn on_stream_end(&self) -> Result<(), AnswerFault> {
        if self.is_complete() {
            return Ok(());
        }
        Err(AnswerFault::Truncated {
            wanted_offset_tokens: self.offset_tokens,
        })
    }

    fn on_model_event(&mut self, attempt: AttemptId, event: ResponseEvent) -> AnswerStep {
        match event {
            ResponseEvent::Tokens { attempt: got, .. } if got != attempt => wrong_attempt(got),
            ResponseEvent::Tokens {
                offset_tokens,
                count,
                ..
            } => self.on_tokens(offset_tokens, count, event),
            ResponseEvent::End {
                attempt: Some(got), ..
            } if got != attempt => wrong_attempt(got),
            ResponseEvent::End { attempt: None, .. } => unexpected("an end without an id"),
            ResponseEvent::End { .. } => {
                self.expected = ExpectedEvent::Nothing;
                AnswerStep::End(event)
            }
            ResponseEvent::Head { .. } => unexpected("a status"),
            ResponseEvent::Data(_) => unexpected("bytes"),
        }
    }

    fn on_tokens(&mut self, offset: u64, count: u64, event: ResponseEvent) -> AnswerStep {
        let wanted = self.offset_tokens;
        let end = offset.saturating_add(count);
        if offset == wanted {
            self.offset_tokens = end;
            return AnswerStep::Forward(event);
        }
        if end <= wanted {
            return AnswerStep::Skip;
        }
        let fault = if offset > wanted {
            AnswerFault::Gap {
                wanted_offset_tokens: wanted,
                got_offset_tokens: offset,
            }
        } else {
            AnswerFault::Overlap {
                wanted_offset_tokens: wanted,
                got_offset_tokens: offset,
            }
        };
        AnswerStep::Fault(fault)
    }

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

fn wrong_attempt(got: AttemptId) -> AnswerStep {
    AnswerStep::Fault(AnswerFault::WrongAttempt { got })
}

fn unexpected(what: &'static str) -> AnswerStep {
    AnswerStep::Fault(AnswerFault::Unexpected(what))
}
