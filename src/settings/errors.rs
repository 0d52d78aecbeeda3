//! The error type of the settings.

use std::error::Error;
use std::fmt;

use crate::yaml::FileErrors;

/// All problems of a settings file, displayed as one problem per line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsErrors(pub FileErrors);

impl fmt::Display for SettingsErrors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl Error for SettingsErrors {}

impl From<FileErrors> for SettingsErrors {
    fn from(errors: FileErrors) -> Self {
        Self(errors)
    }
}
