//! Sizes in bytes.

use std::fmt;
use std::str::FromStr;

use crate::units::ParseUnitError;
use crate::units::macros::serde_as_text;

const EXPECTED: &str = "a size like 512KiB or 64MiB";
const UNITS: [(&str, u64); 4] = [
    ("GiB", 1 << 30),
    ("MiB", 1 << 20),
    ("KiB", 1 << 10),
    ("B", 1),
];

/// A size in bytes, written with a unit such as `64MiB`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ByteSize(pub u64);

impl ByteSize {
    /// The size as a `usize`, capped at `usize::MAX`.
    pub fn as_usize(self) -> usize {
        usize::try_from(self.0).unwrap_or(usize::MAX)
    }
}

impl fmt::Display for ByteSize {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let is_multiple = |unit: u64| self.0 >= unit && self.0.is_multiple_of(unit);
        let (name, unit) = UNITS
            .into_iter()
            .find(|(_, unit)| is_multiple(*unit))
            .unwrap_or(("B", 1));
        write!(f, "{}{name}", self.0 / unit)
    }
}

impl FromStr for ByteSize {
    type Err = ParseUnitError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let error = || ParseUnitError::new(EXPECTED, text);
        let digits_end = text.find(|c: char| !c.is_ascii_digit()).ok_or_else(error)?;
        let (digits, name) = text.split_at(digits_end);
        let number: u64 = digits.parse().map_err(|_| error())?;
        let unit = UNITS
            .into_iter()
            .find(|(unit_name, _)| *unit_name == name.trim());
        let (_, unit) = unit.ok_or_else(error)?;
        number.checked_mul(unit).map(Self).ok_or_else(error)
    }
}

serde_as_text!(ByteSize);
