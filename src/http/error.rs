//! Errors of HTTP calls.

use std::error::Error;
use std::fmt;

use crate::http::AnswerError;

/// Why an HTTP call has no complete response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HttpError {
    /// No byte of the request left this host.
    NotSent(String),
    /// No connection came about in time, and none was refused: the server may be frozen or out of
    /// reach. No byte of the request left this host.
    Unreachable(String),
    /// The connection broke, timed out or carried something other than HTTP after bytes of the
    /// request may have left.
    Interrupted(String),
}

impl fmt::Display for HttpError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(why) => write!(f, "not sent: {why}"),
            Self::Unreachable(why) => write!(f, "unreachable: {why}"),
            Self::Interrupted(why) => write!(f, "interrupted: {why}"),
        }
    }
}

impl Error for HttpError {}

impl From<AnswerError> for HttpError {
    fn from(err: AnswerError) -> Self {
        Self::Interrupted(err.to_string())
    }
}
