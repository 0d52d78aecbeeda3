//! The id of a quarantine.

use std::fmt;
use std::str::FromStr;

use xxhash_rust::xxh3::Xxh3Default;

use crate::units::ParseUnitError;
use crate::units::macros::parse_hex_u64;

/// The id of the quarantine of some parts of requests, the same on every host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct QuarantineId(pub u64);

impl QuarantineId {
    /// The id for parts with these names, in ascending order.
    pub fn of_parts<T: fmt::Display>(names: impl IntoIterator<Item = T>) -> Self {
        let mut hash = Xxh3Default::new();
        for name in names {
            hash.update(format!("{name}\n").as_bytes());
        }
        Self(hash.digest())
    }
}

impl fmt::Display for QuarantineId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for QuarantineId {
    type Err = ParseUnitError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        parse_hex_u64(text)
            .filter(|_| text.len() == 16)
            .map(Self)
            .ok_or_else(|| ParseUnitError::new("a quarantine id of 16 hexadecimal digits", text))
    }
}
