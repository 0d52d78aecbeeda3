//! The content of a shard object.

use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;

use crate::control::claims::Claim;
use crate::control::claims::ClaimKey;
use crate::objects::PlatformError;

/// The size of an entry as JSON, in bytes, without the names of the holder and the upstream: three
/// ids of 32 digits, the state, the field names and the quotes.
const ENTRY_BASE_BYTES: usize = 140;

/// The `spec` of a shard object.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ShardValue {
    /// The claims of the shard by key.
    pub claims: IndexMap<ClaimKey, Claim>,
}

impl ShardValue {
    /// Serializes the value as JSON.
    pub fn to_json(&self) -> Result<serde_json::Value, PlatformError> {
        serde_json::to_value(self).map_err(|error| PlatformError::Refused(error.to_string()))
    }

    /// Deserializes the value. Invalid JSON is an error, so that nothing is claimed: treating the
    /// shard as empty would free every claim in it.
    pub fn from_json(value: serde_json::Value) -> Result<Self, PlatformError> {
        serde_json::from_value(value).map_err(|error| PlatformError::Refused(error.to_string()))
    }

    /// The size of the value as JSON, in bytes, rounded up.
    pub fn size_bytes(&self) -> usize {
        self.claims.values().map(entry_bytes).sum()
    }
}

/// The size of one entry as JSON, in bytes, rounded up.
pub(crate) fn entry_bytes(claim: &Claim) -> usize {
    ENTRY_BASE_BYTES + claim.holder.as_str().len() + claim.upstream.as_str().len()
}
