//! The id of a crash of an upstream.

use xxhash_rust::xxh3::xxh3_64;

use crate::units::UpstreamId;

/// The id of a crash of one instance of an upstream, which is the same on every host and never 0.
/// Hosts that lose calls on the same instance mean one crash.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CrashId(pub u64);

impl From<&UpstreamId> for CrashId {
    fn from(id: &UpstreamId) -> Self {
        // In messages, 0 means that no crash is given.
        Self(xxh3_64(id.as_str().as_bytes()).max(1))
    }
}

impl CrashId {
    /// The id of the next crash of the same instance. An instance whose connections broke may not
    /// have ended, and break them again.
    pub fn next(self) -> Self {
        Self(xxh3_64(&self.0.to_be_bytes()).max(1))
    }
}
