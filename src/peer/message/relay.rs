//! The messages of relayed calls to the platform, and the notice of requests that crash upstreams.

/// A call to the platform that the receiver makes for the sender: a read if `value` is none, else a
/// write.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct PlatformCall {
    /// The plural name of the kind of the object.
    #[prost(string, tag = "1")]
    pub kind: String,
    /// The name of the object.
    #[prost(string, tag = "2")]
    pub name: String,
    /// The new value of the object as JSON; none for a read.
    #[prost(bytes = "vec", optional, tag = "3")]
    pub value: Option<Vec<u8>>,
    /// The version of the object that a write requires; none if the object must not exist.
    #[prost(uint64, optional, tag = "4")]
    pub expected_version: Option<u64>,
}

/// The result of a call to the platform.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct PlatformReply {
    /// The status: 0 done, 1 not found, 2 conflict, 3 refused, 4 unavailable, 5 outcome unknown.
    #[prost(uint32, tag = "1")]
    pub status: u32,
    /// The reason of a failure; empty if there is none.
    #[prost(string, tag = "2")]
    pub why: String,
    /// The version of the object.
    #[prost(uint64, tag = "3")]
    pub version: u64,
    /// The value of the object as JSON, in the reply to a read.
    #[prost(bytes = "vec", tag = "4")]
    pub value: Vec<u8>,
}

/// The fingerprint of a request that crashed upstreams, and the attempts that ended in a crash.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct PoisonNotice {
    /// The fingerprint of the request: the 16 bytes of a hash of its content, or the byte 1 and the
    /// 16 bytes of a hash of its idempotency key.
    #[prost(bytes = "vec", tag = "1")]
    pub content: Vec<u8>,
    /// The ids of the attempts that ended in a crash, 16 bytes each, so that no attempt is counted
    /// twice.
    #[prost(bytes = "vec", repeated, tag = "2")]
    pub attempts: Vec<Vec<u8>>,
}
