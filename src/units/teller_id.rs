//! The id of a process that tells others what it has counted.

use std::fmt;
use std::str::FromStr;

use crate::units::ParseUnitError;
use crate::units::macros::parse_hex_u64;

/// The id under which a process tells other hosts what it has counted, drawn at its start. 0 in a process
/// that tells nothing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TellerId(pub u64);

impl fmt::Display for TellerId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}", self.0)
    }
}

impl FromStr for TellerId {
    type Err = ParseUnitError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let id = parse_hex_u64(text).map(Self);
        id.ok_or_else(|| ParseUnitError::new("a teller id of up to 16 hexadecimal digits", text))
    }
}
