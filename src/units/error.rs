//! The error of parsing a newtype.

use std::error::Error;
use std::fmt;

/// A text that is not a value of the wanted newtype.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ParseUnitError {
    /// What the text should have been, such as `a size like 64MiB`.
    pub expected: &'static str,
    /// The text as it was given.
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
