//! The manifest as it is stored on the platform.

use serde::Deserialize;
use serde::Serialize;

use crate::units::ContentHash;
use crate::units::Generation;

/// The name of the only object of the kind `manifests`.
pub const MANIFEST_OBJECT_NAME: &str = "current";

/// The `spec` of the object that stores the manifest. Unknown fields, which a later version may
/// add, are ignored.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct PublishedManifest {
    /// The generation of the manifest.
    pub generation: Generation,
    /// A random id from the publisher. With it the publisher recognizes its own write if the
    /// response to the write was lost.
    pub publish_id: String,
    /// The hash of `text`.
    pub hash: ContentHash,
    /// The manifest as YAML.
    pub text: String,
}

impl PublishedManifest {
    /// Builds the manifest that follows `generation`: its generation is one higher.
    pub fn next_after(generation: Generation, publish_id: u128, text: &str) -> Self {
        Self {
            generation: generation.next(),
            publish_id: format!("{publish_id:032x}"),
            hash: ContentHash::of(text.as_bytes()),
            text: text.to_owned(),
        }
    }
}
