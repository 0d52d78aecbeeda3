//! One claim.

use serde::Deserialize;
use serde::Serialize;

use crate::units::AttemptId;
use crate::units::ContentHash;
use crate::units::HostId;
use crate::units::UpstreamId;

/// A claim as the platform holds it. Field names are short, since a shard's objects are bounded and
/// rewritten whole.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Claim {
    /// The one attempt that may run the request.
    #[serde(rename = "a")]
    pub attempt: AttemptId,
    /// The host that holds it.
    #[serde(rename = "h")]
    pub holder: HostId,
    /// Where the attempt goes, for resuming its answer.
    #[serde(rename = "u")]
    pub upstream: UpstreamId,
    /// The hash of method, path and body: the same key with another content is a caller's mistake.
    #[serde(rename = "c")]
    pub content: ContentHash,
    /// How far it is.
    #[serde(rename = "s")]
    pub state: ClaimState,
}

/// How far a claim is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum ClaimState {
    /// Its attempt may run or be running.
    #[serde(rename = "h")]
    Held,
    /// Its answer went out whole.
    #[serde(rename = "c")]
    Completed,
    /// It failed and may have run.
    #[serde(rename = "m")]
    MayHaveRun,
}

impl ClaimState {
    /// Whether nothing more will come of it.
    pub fn is_finished(self) -> bool {
        self != Self::Held
    }
}
