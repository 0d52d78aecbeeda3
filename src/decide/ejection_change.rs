//! The changes in the use of an upstream that fails calls.

use std::time::Duration;

/// A change in the use of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EjectionChange {
    /// The upstream gets no calls for this time.
    Ejected {
        /// The pause.
        pause: Duration,
        /// The ejections so far that count, this one included.
        ejections: u32,
    },
    /// The upstream gets a few calls as probes.
    Probed,
    /// The upstream gets calls like any other.
    Reinstated,
}

impl EjectionChange {
    /// The name of the change in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Ejected { .. } => "ejected",
            Self::Probed => "probed",
            Self::Reinstated => "reinstated",
        }
    }
}
