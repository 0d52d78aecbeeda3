//! A change of the quarantined parts of prompts.

use crate::decide::QuarantinedParts;

/// A change of the quarantined parts of prompts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum QuarantineChange {
    /// Requests with these parts are refused from now on.
    Begun(QuarantinedParts),
    /// Requests with these parts are no longer refused.
    Ended(QuarantinedParts),
}

impl QuarantineChange {
    /// The name of the change in logs and metrics.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Begun(_) => "begun",
            Self::Ended(_) => "ended",
        }
    }

    /// The parts that the change is about.
    pub fn quarantined(&self) -> &QuarantinedParts {
        match self {
            Self::Begun(quarantined) | Self::Ended(quarantined) => quarantined,
        }
    }
}
