//! The manifest that a host applies.

use crate::manifest::Manifest;
use crate::units::ContentHash;
use crate::units::Generation;

/// The manifest that a host has accepted and applies to requests.
#[derive(Clone, Debug, PartialEq)]
pub struct ManifestInForce {
    /// The generation of the manifest.
    pub generation: Generation,
    /// The hash of the manifest's text, by which hosts refer to it in messages.
    pub hash: ContentHash,
    /// The parsed manifest.
    pub manifest: Manifest,
}
