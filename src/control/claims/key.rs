//! The key under which a claim is stored.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;

use crate::units::ContentHash;
use crate::units::CustomerId;
use crate::units::IdempotencyKey;

/// The hash of a customer and an idempotency key. The hash is cryptographic, so that no customer
/// can construct a key that collides with a key of another customer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct ClaimKey(pub ContentHash);

impl ClaimKey {
    /// Hashes the idempotency key of a customer.
    pub fn new(customer: &CustomerId, key: &IdempotencyKey) -> Self {
        let mut hash = Sha256::new();
        hash.update(customer.as_str());
        // Customer ids cannot contain a zero byte, so the separator is unambiguous.
        hash.update([0]);
        hash.update(key.as_str());
        let digest = hash.finalize();
        let bytes = digest.iter().take(size_of::<u128>());
        Self(ContentHash(
            bytes.fold(0, |hash, byte| hash << 8 | u128::from(*byte)),
        ))
    }

    /// The index of the shard, out of `count` shards, that stores the claim.
    pub fn shard(self, count: u32) -> u32 {
        u32::try_from(self.0.0 % u128::from(count.max(1))).unwrap_or(0)
    }
}

impl fmt::Display for ClaimKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
