//! What is wrong with a manifest.

use std::error::Error;
use std::fmt;

use crate::yaml::FileErrors;

/// All that is wrong with a manifest, one problem a line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ManifestErrors(pub FileErrors);

impl fmt::Display for ManifestErrors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl Error for ManifestErrors {}

impl From<FileErrors> for ManifestErrors {
    fn from(errors: FileErrors) -> Self {
        Self(errors)
    }
}
