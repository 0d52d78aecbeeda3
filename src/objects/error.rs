//! The errors of calls to the platform.

use std::error::Error;
use std::fmt;

/// Why a call to the platform failed. The variants tell a caller whether a write had an effect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlatformError {
    /// The object does not exist.
    NotFound,
    /// The precondition of a write does not hold; nothing was written.
    Conflict,
    /// The platform refused the call, for the given reason, and would refuse it again; nothing was
    /// written.
    Refused(String),
    /// The call did not reach the platform, or the platform can't serve it at present; nothing was
    /// written.
    Unavailable(String),
    /// The call was sent but no valid response came: a write may have taken effect, or may still do
    /// so.
    OutcomeUnknown(String),
}

impl fmt::Display for PlatformError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotFound => f.write_str("platform: no such object"),
            Self::Conflict => f.write_str("platform: the object does not match the precondition"),
            Self::Refused(why) => write!(f, "platform refused: {why}"),
            Self::Unavailable(why) => write!(f, "platform unavailable: {why}"),
            Self::OutcomeUnknown(why) => write!(f, "no response from the platform: {why}"),
        }
    }
}

impl Error for PlatformError {}
