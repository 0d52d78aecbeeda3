//! The id of one part of a prompt.

use std::fmt;
use std::str::FromStr;

use crate::units::ParseUnitError;
use crate::units::macros::parse_hex_u64;

/// The id of one part of a prompt, by which requests that share the part are recognised.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PromptPartId(pub u64);

impl fmt::Display for PromptPartId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}", self.0)
    }
}

impl FromStr for PromptPartId {
    type Err = ParseUnitError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        parse_hex_u64(text).map(Self).ok_or_else(|| {
            ParseUnitError::new("a prompt part id of up to 16 hexadecimal digits", text)
        })
    }
}
