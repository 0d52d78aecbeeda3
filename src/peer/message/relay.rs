//! Messages that one host passes on for another.

/// A call to the platform that a host asks a peer to make for it.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct PlatformCall {
    /// The kind's plural.
    #[prost(string, tag = "1")]
    pub kind: String,
    /// The object's name.
    #[prost(string, tag = "2")]
    pub name: String,
    /// The new value as JSON; none to read.
    #[prost(bytes = "vec", optional, tag = "3")]
    pub value: Option<Vec<u8>>,
    /// The version that a write expects; none means that there is no such object.
    #[prost(uint64, optional, tag = "4")]
    pub expected_version: Option<u64>,
}

/// What came of a call to the platform.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct PlatformReply {
    /// 0 done, 1 absent, 2 conflict, 3 refused, 4 unavailable, 5 unknown.
    #[prost(uint32, tag = "1")]
    pub status: u32,
    /// The reason, where there is one.
    #[prost(string, tag = "2")]
    pub why: String,
    /// The object's version.
    #[prost(uint64, tag = "3")]
    pub version: u64,
    /// The object's value as JSON, when read.
    #[prost(bytes = "vec", tag = "4")]
    pub value: Vec<u8>,
}

/// A request that crashed upstreams, by its content or its key.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct PoisonNotice {
    /// What it is recognised by: the 16 bytes of a content hash, or a byte 1 and the 16 bytes of
    /// the hash of an idempotency key.
    #[prost(bytes = "vec", tag = "1")]
    pub content: Vec<u8>,
    /// The attempts that ended in a crash, 16 bytes each, so that none counts twice.
    #[prost(bytes = "vec", repeated, tag = "2")]
    pub attempts: Vec<Vec<u8>>,
}
