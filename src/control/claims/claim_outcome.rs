//! The outcome of a request for a claim.

use std::fmt;
use std::time::Duration;

use crate::control::claims::Claim;

/// The outcome of a request for a claim.
#[derive(Clone, Debug, PartialEq)]
pub enum ClaimOutcome {
    /// The claim is recorded, and the attempt may be dispatched once.
    Claimed,
    /// An earlier request with the same key holds the claim. Its answer may be resumed, and nothing
    /// may be dispatched.
    HeldBy(Claim),
    /// The key is held by a request with different content.
    DifferentContent,
    /// The claim could not be recorded, and the attempt must not be dispatched.
    Unavailable {
        /// The reason for the failure.
        why: ClaimRefusal,
        /// The time after which the caller should retry, with jitter.
        retry_after: Duration,
    },
}

/// Why a claim could not be recorded although no other attempt is known to hold its key. A key that
/// another attempt holds is a [`ClaimOutcome`] of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimRefusal {
    /// The last calls to the platform failed, at least [`super::ClaimConf::failures_max`] in a row.
    PlatformDown,
    /// The platform did not answer in time.
    Timeout,
    /// The shard is at its size limit until finished claims are collected, or too many claims of
    /// the shard are pending at this host.
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
