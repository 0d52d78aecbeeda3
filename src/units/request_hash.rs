//! The hash of a request.

use std::fmt;
use std::str::FromStr;

use crate::units::ContentHash;
use crate::units::ParseUnitError;
use crate::units::macros::parse_hex_u64;

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

impl FromStr for RequestHash {
    type Err = ParseUnitError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match parse_hex_u64(text) {
            Some(hash) if hash != 0 => Ok(Self(hash)),
            _ => Err(ParseUnitError::new(
                "a request hash of up to 16 hexadecimal digits",
                text,
            )),
        }
    }
}
