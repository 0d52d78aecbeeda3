//! What comes of asking for a claim.

use std::fmt;
use std::time::Duration;

use crate::control::claims::Claim;

/// What comes of asking for a claim.
#[derive(Clone, Debug, PartialEq)]
pub enum ClaimOutcome {
    /// It is recorded: the attempt may be dispatched, once.
    Claimed,
    /// An earlier sending holds the key: its answer may be resumed, and nothing may run.
    HeldBy(Claim),
    /// The key was used with another content.
    DifferentContent,
    /// It could not be recorded, and the attempt must not be dispatched: not run.
    Unavailable {
        /// Why.
        why: ClaimRefusal,
        /// When the caller should come back, jittered.
        retry_after: Duration,
    },
}

/// Why a claim could not be recorded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimRefusal {
    /// The platform does not answer.
    PlatformDown,
    /// The platform did not answer in time.
    Timeout,
    /// The shard has no room until finished claims are collected.
    Full,
}

impl fmt::Display for ClaimRefusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::PlatformDown => "the platform can't be reached",
            Self::Timeout => "the platform did not answer in time",
            Self::Full => "there is no room for another claim",
        })
    }
}
