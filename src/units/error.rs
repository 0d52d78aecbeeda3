//! The parse error of the unit types.

use std::error::Error;
use std::fmt;

/// The error for a text that is not a valid value of a unit type.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ParseUnitError {
    /// The expected form of the text, such as `a size like 64MiB`.
    pub expected: &'static str,
    /// The text that could not be parsed.
    pub text: String,
}

impl ParseUnitError {
    pub(crate) fn new(expected: &'static str, text: &str) -> Self {
        Self {
            expected,
            text: text.to_owned(),
        }
    }
}

impl fmt::Display for ParseUnitError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "expected {}, got `{}`", self.expected, self.text)
    }
}

impl Error for ParseUnitError {}
