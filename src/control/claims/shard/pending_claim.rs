//! A claim that is not known to be recorded yet.

use crate::control::claims::Claim;
use crate::control::claims::ClaimKey;

/// A claim that is not known to be recorded yet.
#[derive(Clone, Debug)]
pub(super) struct PendingClaim {
    pub(super) key: ClaimKey,
    pub(super) claim: Claim,
    /// The sequence number of the request for the claim.
    pub(super) seq: u64,
    /// Whether a write included the claim and its effect is still unknown.
    pub(super) may_be_written: bool,
}
