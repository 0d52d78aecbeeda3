//! The messages by which hosts distribute manifests.

/// The manifest that the sender has in force.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct ManifestNotice {
    /// The generation in force; 0 if the sender has no manifest.
    #[prost(uint64, tag = "1")]
    pub generation: u64,
    /// How long ago, in milliseconds, the platform confirmed to the sender or to another host that
    /// no newer generation exists; none if never.
    #[prost(uint64, optional, tag = "2")]
    pub confirmed_ago_ms: Option<u64>,
}

/// A query for the manifest that the receiver has in force. The reply is a [`ManifestNotice`].
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct ManifestQuery {
    /// The generation that the sender has in force; 0 if the sender has no manifest.
    #[prost(uint64, tag = "1")]
    pub generation: u64,
}

/// A request for the index of a manifest, which lists the parts.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct IndexRequest {
    /// The lowest generation that the sender accepts.
    #[prost(uint64, tag = "1")]
    pub generation: u64,
}

/// The index of a manifest. The hashes of its parts are listed on pages, and the index lists the
/// hashes of the pages.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct ManifestIndex {
    /// The generation of the manifest.
    #[prost(uint64, tag = "1")]
    pub generation: u64,
    /// The hash of the whole text of the manifest, 16 bytes.
    #[prost(bytes = "vec", tag = "2")]
    pub hash: Vec<u8>,
    /// The hashes of the pages in order, 16 bytes each.
    #[prost(bytes = "vec", tag = "3")]
    pub pages: Vec<u8>,
}

/// A request for parts and pages of a manifest.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct PartsRequest {
    /// The hashes of the parts and pages, 16 bytes each.
    #[prost(bytes = "vec", tag = "1")]
    pub parts: Vec<u8>,
}

/// Parts and pages of a manifest, without their hashes, which the receiver computes itself.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct ManifestParts {
    /// The texts of the parts and pages.
    #[prost(string, repeated, tag = "1")]
    pub parts: Vec<String>,
}
