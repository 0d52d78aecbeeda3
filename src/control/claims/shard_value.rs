//! The content of a shard object.

use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;

use crate::control::claims::Claim;
use crate::control::claims::ClaimKey;
use crate::objects::PlatformError;

/// What an entry takes beside its names: three ids of 32 digits, the state, field names, quotes.
const ENTRY_BYTES: usize = 140;

/// The `spec` of a shard object.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ShardValue {
    /// The claims by key.
    pub claims: IndexMap<ClaimKey, Claim>,
}

impl ShardValue {
    /// The value as JSON.
    pub fn to_json(&self) -> Result<serde_json::Value, PlatformError> {
        serde_json::to_value(self).map_err(|error| PlatformError::Refused(error.to_string()))
    }

    /// The value out of JSON. What can't be read counts as refused, so that nothing is claimed: to
    /// take it for empty would free every claim in it.
    pub fn from_json(value: serde_json::Value) -> Result<Self, PlatformError> {
        serde_json::from_value(value).map_err(|error| PlatformError::Refused(error.to_string()))
    }

    /// The size as JSON, rounded up.
    pub fn size_bytes(&self) -> usize {
        self.claims.values().map(entry_bytes).sum()
    }
}

/// The size of one entry as JSON, rounded up.
pub(crate) fn entry_bytes(claim: &Claim) -> usize {
    ENTRY_BYTES + claim.holder.as_str().len() + claim.upstream.as_str().len()
}
