//! Faults of an answer.

use std::error::Error;
use std::fmt;

use crate::units::AttemptId;
use crate::upstream::UpstreamError;

/// A fault of an answer. The piece that shows the fault has not gone to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerFault {
    /// A piece is missing.
    Gap {
        /// The next token that the caller needs.
        expected_offset_tokens: u64,
        /// The first token of the received piece.
        received_offset_tokens: u64,
    },
    /// A piece contains both tokens that the caller has and tokens that it lacks, which cannot be
    /// separated in its text.
    Overlap {
        /// The next token that the caller needs.
        expected_offset_tokens: u64,
        /// The first token of the received piece.
        received_offset_tokens: u64,
    },
    /// The piece belongs to the answer of another attempt.
    WrongAttempt {
        /// The attempt that the piece names.
        received: AttemptId,
    },
    /// The stream stopped without the end mark.
    Truncated {
        /// The next token that the caller needs.
        expected_offset_tokens: u64,
    },
    /// A piece arrived after the end mark.
    AfterEnd,
    /// A piece of a kind that is not valid at this point, such as bytes in the answer of a model.
    Unexpected(&'static str),
}

impl AnswerFault {
    /// Whether the answer of the same attempt can be resumed at the next token that the caller
    /// needs. This holds also after a piece of another attempt: none of it went to the caller, and
    /// a resumption names the attempt.
    pub fn can_resume(self) -> bool {
        !matches!(self, Self::AfterEnd | Self::Unexpected(_))
    }
}

impl fmt::Display for AnswerFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Gap {
                expected_offset_tokens: expected,
                received_offset_tokens: received,
            } => write!(
                f,
                "the answer continues at token {received} instead of {expected}"
            ),
            Self::Overlap {
                expected_offset_tokens: expected,
                received_offset_tokens: received,
            } => write!(
                f,
                "a piece from token {received} overlaps tokens before {expected}"
            ),
            Self::WrongAttempt { received } => {
                write!(f, "the answer belongs to attempt {received}")
            }
            Self::Truncated {
                expected_offset_tokens: expected,
            } => write!(
                f,
                "the answer stopped at token {expected} without an end mark"
            ),
            Self::AfterEnd => f.write_str("the answer continued after its end mark"),
            Self::Unexpected(what) => write!(f, "the answer has {what} in an unexpected place"),
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
