//! Messages by which hosts pass manifests on.

/// What the sender knows; generation 0 when it knows no manifest.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct ManifestNotice {
    /// The generation that it has in force.
    #[prost(uint64, tag = "1")]
    pub generation: u64,
    /// How long ago the platform said, to the sender or to others, that there is no newer one.
    #[prost(uint64, optional, tag = "2")]
    pub confirmed_ago_ms: Option<u64>,
}

/// What do you know? The receiver answers with a [`ManifestNotice`].
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct ManifestQuery {
    /// The generation that the sender has in force; 0 for none.
    #[prost(uint64, tag = "1")]
    pub generation: u64,
}

/// A request for the pages that list the parts of a manifest.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct IndexRequest {
    /// The least generation wanted.
    #[prost(uint64, tag = "1")]
    pub generation: u64,
}

/// The pages on which the parts of a manifest are listed.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct ManifestIndex {
    /// Its generation.
    #[prost(uint64, tag = "1")]
    pub generation: u64,
    /// The hash of its whole text, 16 bytes.
    #[prost(bytes = "vec", tag = "2")]
    pub hash: Vec<u8>,
    /// The hashes of the pages in order, 16 bytes each.
    #[prost(bytes = "vec", tag = "3")]
    pub pages: Vec<u8>,
}

/// A request for parts and pages.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct PartsRequest {
    /// Their hashes, 16 bytes each.
    #[prost(bytes = "vec", tag = "1")]
    pub parts: Vec<u8>,
}

/// Parts and pages of a manifest; the receiver hashes them itself.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct ManifestParts {
    /// The parts.
    #[prost(string, repeated, tag = "1")]
    pub parts: Vec<String>,
}
