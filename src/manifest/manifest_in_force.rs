//! A manifest that is in force.

use crate::manifest::Manifest;
use crate::units::ContentHash;
use crate::units::Generation;

/// An accepted manifest with its generation.
#[derive(Clone, Debug, PartialEq)]
pub struct ManifestInForce {
    /// Its generation.
    pub generation: Generation,
    /// The hash of its text, by which peers name it.
    pub hash: ContentHash,
    /// The manifest.
    pub manifest: Manifest,
}
