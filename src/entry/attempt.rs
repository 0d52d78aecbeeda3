//! One attempt while its answer comes.

use std::time::Duration;
use std::time::Instant;

use crate::control::outcome::AnswerCheck;
use crate::control::outcome::AnswerFault;
use crate::control::outcome::AnswerStep;
use crate::decide::AttemptOutcome;
use crate::decide::AttemptSummary;
use crate::entry::AttemptFailure;
use crate::entry::HeldGrant;
use crate::entry::Usage;
use crate::units::AttemptId;
use crate::units::Tokens;
use crate::units::UpstreamId;
use crate::upstream::ResponseEvent;
use crate::upstream::UpstreamError;

/// What to do with a piece of an answer.
#[derive(Clone, Debug, PartialEq)]
pub enum AttemptOutput {
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
    Complete {
        /// Why the model stopped.
        finish_reason: String,
    },
    /// There is nothing in it that was not handed on before.
    Duplicate,
    /// It is not the next piece of this attempt's answer.
    Invalid(AnswerFault),
}

/// An attempt, from its grant to its end.
#[derive(Debug)]
pub struct Attempt {
    /// The grant it uses up.
    pub grant: HeldGrant,
    started: Instant,
    first_token: Option<Duration>,
    last_token: Option<Instant>,
    check: AnswerCheck,
    prompt_tokens: u64,
    cached_tokens: u64,
}

impl Attempt {
    /// An attempt that is about to be dispatched.
    pub fn new(grant: HeldGrant, is_model: bool, now: Instant) -> Self {
        let id = grant.attempt();
        Self {
            grant,
            started: now,
            first_token: None,
            last_token: None,
            check: if is_model {
                AnswerCheck::for_model(id)
            } else {
                AnswerCheck::for_service()
            },
            prompt_tokens: 0,
            cached_tokens: 0,
        }
    }

    /// Its id.
    pub fn id(&self) -> AttemptId {
        self.grant.attempt()
    }

    /// The upstream that answers.
    pub fn leader(&self) -> Option<&UpstreamId> {
        self.grant.upstreams.first()
    }

    /// How many tokens have been handed on.
    pub fn offset_tokens(&self) -> u64 {
        self.check.offset_tokens()
    }

    /// Checks a piece before a byte of it reaches the caller. Answers can be late, crossed, cut or
    /// repeated; only the next tokens of this very attempt may pass.
    pub fn on_event(&mut self, event: ResponseEvent, now: Instant) -> AttemptOutput {
        match self.check.on_event(event) {
            AnswerStep::Skip => AttemptOutput::Duplicate,
            AnswerStep::Fault(fault) => AttemptOutput::Invalid(fault),
            AnswerStep::Forward(event) => self.forward(event, now),
            AnswerStep::End(event) => self.end(event),
        }
    }

    fn forward(&mut self, event: ResponseEvent, now: Instant) -> AttemptOutput {
        match event {
            ResponseEvent::Head {
                status,
                content_type,
            } => AttemptOutput::Head {
                status,
                content_type,
            },
            ResponseEvent::Data(bytes) => {
                self.record_token(now);
                AttemptOutput::Data(bytes)
            }
            ResponseEvent::Tokens { count: 0, .. } => AttemptOutput::Duplicate,
            ResponseEvent::Tokens { text, .. } => {
                let gap = self.record_token(now);
                AttemptOutput::Text { text, gap }
            }
            ResponseEvent::End { .. } => self.end(event),
        }
    }

    fn end(&mut self, event: ResponseEvent) -> AttemptOutput {
        let ResponseEvent::End {
            finish_reason,
            prompt_tokens,
            cached_tokens,
            ..
        } = event
        else {
            return AttemptOutput::Invalid(AnswerFault::Unexpected("an end"));
        };
        self.prompt_tokens = prompt_tokens;
        self.cached_tokens = cached_tokens;
        AttemptOutput::Complete { finish_reason }
    }

    fn record_token(&mut self, now: Instant) -> Option<Duration> {
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
            completion_tokens: self.offset_tokens(),
        }
    }

    /// The report for the home.
    pub fn summary(&self, ended: AttemptOutcome, now: Instant) -> AttemptSummary {
        AttemptSummary {
            ended,
            first_token: self.first_token,
            total: now.saturating_duration_since(self.started),
            prompt_tokens: Tokens(self.prompt_tokens),
            cached_tokens: Tokens(self.cached_tokens),
            output_tokens: Tokens(self.offset_tokens()),
        }
    }
}

/// The error that a faulty answer amounts to. Where the same attempt can be read on, what was wrong
/// was the stream, and not the attempt.
pub(crate) fn error_for_fault(fault: AnswerFault) -> UpstreamError {
    if fault.can_resume() {
        UpstreamError::Interrupted(fault.to_string())
    } else {
        UpstreamError::InvalidResponse(fault.to_string())
    }
}

/// What an upstream's error means for the life of a request.
pub fn classify_failure(err: &UpstreamError) -> AttemptFailure {
    match err {
        UpstreamError::NotSent(_) | UpstreamError::Refused { .. } => AttemptFailure::DidNotRun,
        UpstreamError::Interrupted(_) => AttemptFailure::Interrupted,
        UpstreamError::InvalidResponse(_) => AttemptFailure::InvalidResponse,
        UpstreamError::Failed(_) | UpstreamError::UnknownAttempt => AttemptFailure::Lost,
    }
}
