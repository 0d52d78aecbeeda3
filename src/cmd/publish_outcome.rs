//! What came of publishing a manifest.

use std::fmt;

use crate::cmd::Exit;
use crate::units::Generation;

/// What came of publishing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PublishOutcome {
    /// It is the manifest of this generation.
    Accepted(Generation),
    /// It was not taken and never will be.
    Refused(String),
    /// The platform was not reached; nothing was written.
    Unreachable(String),
    /// The platform did not say.
    Unknown(String),
}

impl PublishOutcome {
    /// The exit code that goes with it.
    pub fn exit(&self) -> Exit {
        match self {
            Self::Accepted(_) => Exit::Done,
            Self::Refused(_) => Exit::Refused,
            Self::Unreachable(_) => Exit::Unreachable,
            Self::Unknown(_) => Exit::Unknown,
        }
    }
}

impl fmt::Display for PublishOutcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Accepted(generation) => write!(f, "accepted as generation {generation}"),
            Self::Refused(why) => write!(f, "refused ({why})"),
            Self::Unreachable(why) => write!(f, "refused ({why}; nothing was written)"),
            Self::Unknown(why) => write!(f, "unknown ({why})"),
        }
    }
}
