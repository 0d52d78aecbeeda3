//! A short name of an upstream.

use xxhash_rust::xxh3::xxh3_64;

use crate::units::UpstreamId;

/// The hash of an upstream's id, the same on every host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct UpstreamHash(pub u64);

impl UpstreamHash {
    /// The hash of an id given as text.
    pub fn of(id: &str) -> Self {
        // 0 stands for none in messages.
        Self(xxh3_64(id.as_bytes()).max(1))
    }
}

impl From<&UpstreamId> for UpstreamHash {
    fn from(id: &UpstreamId) -> Self {
        Self::of(id.as_str())
    }
}
