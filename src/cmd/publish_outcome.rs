//! The result of publishing a manifest.

use std::fmt;

use crate::cmd::ExitStatus;
use crate::units::Generation;

/// The result of publishing a manifest.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PublishOutcome {
    /// The manifest is published with this generation, by this run or an earlier one.
    Accepted(Generation),
    /// The manifest was not published and will not be, for this reason.
    Refused(String),
    /// The platform was not reached and nothing was written, for this reason.
    Unreachable(String),
    /// The platform did not answer, so whether the manifest was published is unknown. Holds the
    /// last error.
    Unknown(String),
}

impl PublishOutcome {
    /// The exit status of the tool for this outcome.
    pub fn exit_status(&self) -> ExitStatus {
        match self {
            Self::Accepted(_) => ExitStatus::Success,
            Self::Refused(_) => ExitStatus::Negative,
            Self::Unreachable(_) => ExitStatus::Unreachable,
            Self::Unknown(_) => ExitStatus::Unknown,
        }
    }
}

impl fmt::Display for PublishOutcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Accepted(generation) => write!(f, "accepted as generation {generation}"),
            Self::Refused(reason) => write!(f, "refused ({reason})"),
            Self::Unreachable(reason) => write!(f, "refused ({reason}; nothing was written)"),
            Self::Unknown(reason) => write!(f, "unknown ({reason})"),
        }
    }
}
