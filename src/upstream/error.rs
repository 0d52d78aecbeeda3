//! Errors of calls to upstreams.

use std::error::Error;
use std::fmt;
use std::time::Duration;

/// Why a call to an upstream failed. The kinds differ in whether the request may have run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum UpstreamError {
    /// No byte of the request was sent to the upstream: the request did not run.
    NotSent(String),
    /// No connection came about in time, and none was refused, so that nothing is known about the
    /// upstream. No byte of the request was sent: the request did not run.
    Unreachable(String),
    /// The upstream refused the request before running it.
    Refused {
        /// The HTTP status.
        status: u16,
        /// The reason that the upstream gave.
        why: String,
        /// How long to wait before a retry, if the upstream says so.
        retry_after: Option<Duration>,
    },
    /// The connection broke or timed out after bytes were sent: the request may have run.
    Interrupted(String),
    /// The upstream has sent nothing for some time, and may go on: the request may have run.
    NoAnswer(String),
    /// The response violates the protocol or belongs to another attempt: the request may have run.
    InvalidResponse(String),
    /// The upstream ran the request and reported a failure.
    Failed(String),
    /// The upstream does not know the attempt, or whatever else the call names: it responded with
    /// status 404 to a call other than the start of an attempt.
    UnknownAttempt,
}

impl UpstreamError {
    /// Whether it is certain that the upstream did not run the request.
    pub fn did_not_run(&self) -> bool {
        matches!(
            self,
            Self::NotSent(_) | Self::Unreachable(_) | Self::Refused { .. }
        )
    }
}

impl fmt::Display for UpstreamError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(why) | Self::Unreachable(why) => {
                write!(f, "upstream not reached: {why}")
            }
            Self::Refused { status, why, .. } => write!(f, "upstream refused ({status}): {why}"),
            Self::Interrupted(why) => write!(f, "connection to upstream interrupted: {why}"),
            Self::NoAnswer(why) => write!(f, "no answer from upstream: {why}"),
            Self::InvalidResponse(why) => write!(f, "invalid response from upstream: {why}"),
            Self::Failed(why) => write!(f, "upstream failed: {why}"),
            Self::UnknownAttempt => f.write_str("upstream does not know the attempt"),
        }
    }
}

impl Error for UpstreamError {}
