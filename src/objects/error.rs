//! What can come of a call to the platform.

use std::error::Error;
use std::fmt;

/// Why a call to the platform gave no result. The kinds differ in what a caller may conclude.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlatformError {
    /// There is no such object.
    NotFound,
    /// The object is not what a conditional write expected; nothing was written.
    Conflict,
    /// The platform refused the call for good, with its reason; nothing was written.
    Refused(String),
    /// The call did not reach the platform or was turned away for now; nothing was written.
    Unavailable(String),
    /// The call was sent and no answer came: a write may have taken effect, or may still.
    OutcomeUnknown(String),
}

impl fmt::Display for PlatformError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotFound => f.write_str("platform: no such object"),
            Self::Conflict => f.write_str("platform: the object has changed"),
            Self::Refused(why) => write!(f, "platform refused: {why}"),
            Self::Unavailable(why) => write!(f, "platform unavailable: {why}"),
            Self::OutcomeUnknown(why) => write!(f, "platform gave no answer: {why}"),
        }
    }
}

impl Error for PlatformError {}
