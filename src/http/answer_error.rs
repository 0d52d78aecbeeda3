//! Why what a server has sent is no response that can be passed on.

use std::fmt;

/// Why what a server has sent is no response that can be passed on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AnswerError {
    /// A final response has no such status.
    Status(u16),
    /// The body is encoded in a way that this client does not read, or twice.
    TransferEncoding(String),
    /// The head announces a length beside chunks.
    LengthBesideChunks,
    /// Bytes that are no other response follow the announced end.
    BytesAfterEnd,
}

impl fmt::Display for AnswerError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Status(status) => write!(f, "{status} is no status of a final response"),
            Self::TransferEncoding(coding) => write!(f, "transfer encoding {coding:?}"),
            Self::LengthBesideChunks => f.write_str("a length and chunks"),
            Self::BytesAfterEnd => f.write_str("bytes after the announced end"),
        }
    }
}

impl std::error::Error for AnswerError {}
