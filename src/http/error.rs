//! What can come of an HTTP call.

use std::error::Error;
use std::fmt;

/// Why an HTTP call gave no whole answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HttpError {
    /// No byte of the request left this host.
    NotSent(String),
    /// The connection broke, timed out or carried no HTTP after bytes may have left.
    Interrupted(String),
}

impl fmt::Display for HttpError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(why) => write!(f, "not sent: {why}"),
            Self::Interrupted(why) => write!(f, "interrupted: {why}"),
        }
    }
}

impl Error for HttpError {}
