//! The hash of an upstream's id.

use xxhash_rust::xxh3::xxh3_64;

use crate::units::UpstreamId;

/// The hash of an upstream's id, which is the same on every host and never 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct UpstreamHash(pub u64);

impl UpstreamHash {
    /// Hashes an id given as text.
    pub fn of(id: &str) -> Self {
        // In messages, 0 means that no hash is given.
        Self(xxh3_64(id.as_bytes()).max(1))
    }
}

impl From<&UpstreamId> for UpstreamHash {
    fn from(id: &UpstreamId) -> Self {
        Self::of(id.as_str())
    }
}
