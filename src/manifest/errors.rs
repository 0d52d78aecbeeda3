//! The error type of manifests.

use std::error::Error;
use std::fmt;

use crate::yaml::FileErrors;

/// All problems of a manifest, displayed as one problem per line.
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
