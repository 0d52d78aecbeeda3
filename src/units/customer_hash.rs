//! The hash of a customer's name.

use xxhash_rust::xxh3::xxh3_64;

use crate::units::CustomerId;

/// The hash of a customer's name, which is the same on every host and never 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CustomerHash(pub u64);

impl From<&CustomerId> for CustomerHash {
    fn from(id: &CustomerId) -> Self {
        // In messages, 0 stands for customers that are not named.
        Self(xxh3_64(id.as_str().as_bytes()).max(1))
    }
}
