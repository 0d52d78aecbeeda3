//! What can be wrong with an answer.

use std::error::Error;
use std::fmt;

use crate::units::AttemptId;
use crate::upstream::UpstreamError;

/// What is wrong with an answer. None of the piece that shows it has gone to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerFault {
    /// A piece is missing.
    Gap {
        /// The next token that the caller needs.
        wanted_offset_tokens: u64,
        /// The first token that came.
        got_offset_tokens: u64,
    },
    /// A piece holds tokens that the caller has and tokens that it has not, which can't be told
    /// apart in its text.
    Overlap {
        /// The next token that the caller needs.
        wanted_offset_tokens: u64,
        /// The first token that came.
        got_offset_tokens: u64,
    },
    /// It is the answer of another attempt.
    WrongAttempt {
        /// The attempt that the upstream says it answers.
        got: AttemptId,
    },
    /// It stopped without the end mark.
    Truncated {
        /// The next token that the caller needs.
        wanted_offset_tokens: u64,
    },
    /// Something came after the end mark.
    AfterEnd,
    /// A piece that has no place there, such as bytes in a model's answer.
    Unexpected(&'static str),
}

impl AnswerFault {
    /// Whether the same attempt's answer can be read on from where the caller is. After a crossed
    /// answer it can, too: nothing of it went to the caller, and resuming names the attempt.
    pub fn can_resume(self) -> bool {
        !matches!(self, Self::AfterEnd | Self::Unexpected(_))
    }
}

impl fmt::Display for AnswerFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Gap {
                wanted_offset_tokens: wanted,
                got_offset_tokens: got,
            } => write!(f, "the answer goes on at token {got} instead of {wanted}"),
            Self::Overlap {
                wanted_offset_tokens: wanted,
                got_offset_tokens: got,
            } => write!(f, "a piece from token {got} reaches beyond token {wanted}"),
            Self::WrongAttempt { got } => write!(f, "the answer belongs to attempt {got}"),
            Self::Truncated {
                wanted_offset_tokens: wanted,
            } => write!(f, "the answer stopped at token {wanted} without an end"),
            Self::AfterEnd => f.write_str("the answer went on after its end"),
            Self::Unexpected(what) => write!(f, "the answer has {what} out of place"),
        }
    }
}

impl Error for AnswerFault {}

impl From<AnswerFault> for UpstreamError {
    fn from(fault: AnswerFault) -> Self {
        match fault {
            AnswerFault::Truncated { .. } => Self::Interrupted(fault.to_string()),
            _ => Self::InvalidResponse(fault.to_string()),
        }
    }
}
