//! What can come of a call to an upstream.

use std::error::Error;
use std::fmt;
use std::time::Duration;

/// Why a call to an upstream failed. The kinds differ in whether the request may have run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum UpstreamError {
    /// No byte of the request left for the upstream: it did not run.
    NotSent(String),
    /// The upstream itself refused before running it.
    Refused {
        /// The HTTP status.
        status: u16,
        /// The upstream's reason.
        why: String,
        /// When it wants to be asked again.
        retry_after: Option<Duration>,
    },
    /// The connection broke or timed out after bytes had left: it may have run.
    Interrupted(String),
    /// The answer breaks the protocol, or is not the answer of this attempt: it may have run.
    InvalidResponse(String),
    /// The upstream ran it and reported a failure.
    Failed(String),
    /// The upstream does not know the attempt.
    UnknownAttempt,
}

impl UpstreamError {
    /// Whether it is certain that the upstream did not run the request.
    pub fn did_not_run(&self) -> bool {
        matches!(self, Self::NotSent(_) | Self::Refused { .. })
    }
}

impl fmt::Display for UpstreamError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(why) => write!(f, "upstream not reached: {why}"),
            Self::Refused { status, why, .. } => write!(f, "upstream refused ({status}): {why}"),
            Self::Interrupted(why) => write!(f, "upstream cut off: {why}"),
            Self::InvalidResponse(why) => write!(f, "upstream answered wrongly: {why}"),
            Self::Failed(why) => write!(f, "upstream failed: {why}"),
            Self::UnknownAttempt => f.write_str("upstream does not know the attempt"),
        }
    }
}

impl Error for UpstreamError {}
