//! A manifest as the platform holds it.

use serde::Deserialize;
use serde::Serialize;

use crate::units::ContentHash;
use crate::units::Generation;

/// The name of the one object of the kind `manifests`.
pub const MANIFEST_OBJECT_NAME: &str = "current";

/// The `spec` of the object that holds the manifest. Fields that a later version adds are ignored.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct PublishedManifest {
    /// Its generation.
    pub generation: Generation,
    /// Drawn by the publisher, so that it knows its own write again when the answer was lost.
    pub publish_id: String,
    /// The hash of the text.
    pub hash: ContentHash,
    /// The manifest, in YAML.
    pub text: String,
}

impl PublishedManifest {
    /// A text as the generation that follows `after`.
    pub fn next_after(generation: Generation, publish_id: u128, text: &str) -> Self {
        Self {
            generation: generation.next(),
            publish_id: format!("{publish_id:032x}"),
            hash: ContentHash::of(text.as_bytes()),
            text: text.to_owned(),
        }
    }
}
