//! Answers as they arrive.

use bytes::Bytes;
use futures_util::stream::BoxStream;

use crate::units::AttemptId;
use crate::upstream::UpstreamError;

/// An answer in pieces. It is whole only when [`ResponseEvent::End`] has come.
pub type ResponseStream = BoxStream<'static, Result<ResponseEvent, UpstreamError>>;

/// A piece of an answer.
#[derive(Clone, Debug, PartialEq)]
pub enum ResponseEvent {
    /// The status and content type of a plain service's answer; it comes first.
    Head {
        /// The HTTP status.
        status: u16,
        /// The content type, if one was given.
        content_type: Option<String>,
    },
    /// Tokens of a model's answer.
    Tokens {
        /// The attempt that the engine says it answers.
        attempt: AttemptId,
        /// How many tokens came before.
        offset_tokens: u64,
        /// How many tokens this piece holds.
        count: u64,
        /// Their text.
        text: String,
    },
    /// Bytes of a plain service's answer.
    Data(Bytes),
    /// The end mark: the answer is whole.
    End {
        /// The attempt that the engine says has ended; none for plain services.
        attempt: Option<AttemptId>,
        /// Why the model stopped, in the words of its API (`stop`, `length`).
        finish_reason: String,
        /// The prompt's length as the engine counted it; 0 for plain services.
        prompt_tokens: u64,
        /// How many prompt tokens the engine found in its cache.
        cached_tokens: u64,
    },
}
