//! The hash of a service's name.

use xxhash_rust::xxh3::xxh3_64;

use crate::units::ServiceId;

/// The hash of a service's name, which is the same on every host and never 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServiceHash(pub u64);

impl From<&ServiceId> for ServiceHash {
    fn from(id: &ServiceId) -> Self {
        Self(xxh3_64(id.as_str().as_bytes()).max(1))
    }
}
