//! The id of one part of a prompt.

use std::fmt;
use std::str::FromStr;

use crate::units::ParseUnitError;

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
        let is_hex = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_hexdigit());
        let id = is_hex.then(|| u64::from_str_radix(text, 16).ok()).flatten();
        id.map(Self).ok_or_else(|| {
            ParseUnitError::new("a prompt part id of up to 16 hexadecimal digits", text)
        })
    }
}
