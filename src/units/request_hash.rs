//! The hash of a request.

use std::fmt;

use crate::units::ContentHash;

/// The hash of a request, by which it is recognised when its caller sends it again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestHash(pub u64);

impl From<ContentHash> for RequestHash {
    /// Shortens the hash to its upper half. In messages, 0 means that no request is given.
    fn from(content: ContentHash) -> Self {
        let upper = u64::try_from(content.0 >> 64).unwrap_or(u64::MAX);
        Self(upper.max(1))
    }
}

impl fmt::Display for RequestHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}", self.0)
    }
}
