//! What is wrong with settings.

use std::error::Error;
use std::fmt;

use crate::yaml::FileErrors;

/// All that is wrong with a settings file, one problem a line.
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
