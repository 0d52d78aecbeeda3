//! The id of a crash of an upstream.

use std::fmt;
use std::str::FromStr;

use xxhash_rust::xxh3::xxh3_64;

use crate::units::ParseUnitError;
use crate::units::UpstreamId;
use crate::units::macros::parse_hex_u64;

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

impl fmt::Display for CrashId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}", self.0)
    }
}

impl FromStr for CrashId {
    type Err = ParseUnitError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match parse_hex_u64(text) {
            Some(id) if id != 0 => Ok(Self(id)),
            _ => Err(ParseUnitError::new(
                "a crash id of up to 16 hexadecimal digits",
                text,
            )),
        }
    }
}
