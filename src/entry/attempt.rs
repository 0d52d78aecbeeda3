//! One attempt, from its grant until its response has been read.

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

/// What a response event contributes to the reply, once it has been checked.
#[derive(Clone, Debug, PartialEq)]
pub enum AttemptOutput {
    /// Text to forward to the caller.
    Text {
        /// The text.
        text: String,
        /// The time since the previous tokens; none for the first tokens of the response.
        gap: Option<Duration>,
    },
    /// The head of a plain service's response, to forward to the caller.
    Head {
        /// The HTTP status.
        status: u16,
        /// The content type.
        content_type: Option<String>,
    },
    /// Bytes of a plain service's response, to forward to the caller.
    Data(bytes::Bytes),
    /// The response is complete.
    Complete {
        /// Why the model stopped, as the upstream reports it.
        finish_reason: String,
    },
    /// The event holds nothing new: its tokens were forwarded before, or it has none.
    Duplicate,
    /// The event is not the next one of this attempt's response.
    Invalid(AnswerFault),
}

/// An attempt, from its grant to its end.
#[derive(Debug)]
pub struct Attempt {
    /// The grant that the attempt uses up.
    pub grant: HeldGrant,
    started: Instant,
    first_token: Option<Duration>,
    last_token: Option<Instant>,
    check: AnswerCheck,
    prompt_tokens: u64,
    cached_tokens: u64,
}

impl Attempt {
    /// Creates an attempt that is about to be dispatched.
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

    /// The id of the attempt.
    pub fn id(&self) -> AttemptId {
        self.grant.attempt()
    }

    /// The upstream that sends the response; of a gang, its leader.
    pub fn leader(&self) -> Option<&UpstreamId> {
        self.grant.upstreams.first()
    }

    /// The number of tokens that have been forwarded to the caller.
    pub fn offset_tokens(&self) -> u64 {
        self.check.offset_tokens()
    }

    /// Checks an event before any byte of it reaches the caller. Responses can be late, truncated,
    /// repeated or belong to another attempt; only the next tokens of this attempt may pass.
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

    /// Records when tokens arrived. Returns the time since the previous ones; none for the first.
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

    /// The token counts that the caller is told.
    pub fn usage(&self) -> Usage {
        Usage {
            prompt_tokens: self.prompt_tokens,
            completion_tokens: self.offset_tokens(),
        }
    }

    /// The summary that the home receives when the attempt ends.
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

/// Converts a fault in a response into an upstream error. If the same attempt can be resumed, only
/// the stream was faulty, so the error is an interruption and not an invalid response.
pub(crate) fn error_for_fault(fault: AnswerFault) -> UpstreamError {
    if fault.can_resume() {
        UpstreamError::Interrupted(fault.to_string())
    } else {
        UpstreamError::InvalidResponse(fault.to_string())
    }
}

/// Classifies an upstream error by what it means for the lifecycle of the request.
pub fn classify_failure(err: &UpstreamError) -> AttemptFailure {
    match err {
        UpstreamError::NotSent(_)
        | UpstreamError::Unreachable(_)
        | UpstreamError::Refused { .. } => AttemptFailure::DidNotRun,
        UpstreamError::Interrupted(_) => AttemptFailure::Interrupted,
        UpstreamError::NoAnswer(_) => AttemptFailure::Silent,
        UpstreamError::InvalidResponse(_) => AttemptFailure::InvalidResponse,
        UpstreamError::Failed(_) | UpstreamError::UnknownAttempt => AttemptFailure::Lost,
    }
}
