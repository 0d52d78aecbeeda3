//! The record of a claim.

use serde::Deserialize;
use serde::Serialize;

use crate::units::AttemptId;
use crate::units::ContentHash;
use crate::units::HostId;
use crate::units::UpstreamId;

/// A claim as it is stored in the platform. The stored field names are short, since shard objects
/// are limited in size and every write replaces a whole object.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Claim {
    /// The only attempt that may run the request.
    #[serde(rename = "a")]
    pub attempt: AttemptId,
    /// The host that holds the claim.
    #[serde(rename = "h")]
    pub holder: HostId,
    /// The upstream of the attempt, from which its answer can be resumed.
    #[serde(rename = "u")]
    pub upstream: UpstreamId,
    /// The hash of method, path and body. Reusing a key with different content is an error of the
    /// caller.
    #[serde(rename = "c")]
    pub content: ContentHash,
    /// The state of the claim.
    #[serde(rename = "s")]
    pub state: ClaimState,
}

/// The state of a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum ClaimState {
    /// The attempt may run or may be running.
    #[serde(rename = "h")]
    Held,
    /// The whole answer of the attempt was sent to the caller.
    #[serde(rename = "c")]
    Completed,
    /// The attempt failed and may have run.
    #[serde(rename = "m")]
    MayHaveRun,
}

impl ClaimState {
    /// Whether the attempt has ended.
    pub fn is_finished(self) -> bool {
        self != Self::Held
    }
}
