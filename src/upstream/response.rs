//! Responses of upstreams as streams of events.

use bytes::Bytes;
use futures_util::stream::BoxStream;

use crate::units::AttemptId;
use crate::upstream::UpstreamError;

/// The events of one response. The response is complete only after [`ResponseEvent::End`].
pub type ResponseStream = BoxStream<'static, Result<ResponseEvent, UpstreamError>>;

/// An event of a response.
#[derive(Clone, Debug, PartialEq)]
pub enum ResponseEvent {
    /// The status and content type of the response of a plain service. This event comes first.
    Head {
        /// The HTTP status.
        status: u16,
        /// The content type, if the response has one.
        content_type: Option<String>,
    },
    /// Tokens that a model generated.
    Tokens {
        /// The attempt that the tokens belong to, as reported by the engine.
        attempt: AttemptId,
        /// Number of tokens of the response before this event.
        offset_tokens: u64,
        /// Number of tokens in this event.
        count: u64,
        /// The text of the tokens.
        text: String,
    },
    /// Bytes of the response of a plain service.
    Data(Bytes),
    /// The end marker: the response is complete.
    End {
        /// The attempt that has ended, as reported by the engine; none for plain services.
        attempt: Option<AttemptId>,
        /// Why the model stopped, as its API calls it (`stop`, `length`).
        finish_reason: String,
        /// Length of the prompt as counted by the engine; 0 for plain services.
        prompt_tokens: u64,
        /// Number of prompt tokens that the engine found in its cache.
        cached_tokens: u64,
    },
}
