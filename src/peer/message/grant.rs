//! Messages between entry hosts and homes.

/// The state of a request at its home.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(prost::Enumeration)]
#[repr(i32)]
pub enum GrantState {
    /// The receiver is not the home of that pool.
    NotHome = 0,
    /// The request waits; the decision is pushed, and asking again is harmless.
    Queued = 1,
    /// It may be dispatched.
    Granted = 2,
    /// It is turned away.
    Refused = 3,
}

/// A hash of a prompt's prefix with its length.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct PrefixHash {
    /// The hash, 16 bytes.
    #[prost(bytes = "vec", tag = "1")]
    pub hash: Vec<u8>,
    /// The prefix's length.
    #[prost(uint64, tag = "2")]
    pub tokens: u64,
}

/// [`crate::decide::Work`] on the wire.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct WorkItem {
    /// The request, 16 bytes.
    #[prost(bytes = "vec", tag = "1")]
    pub request: Vec<u8>,
    /// The entry host.
    #[prost(string, tag = "2")]
    pub host: String,
    /// The customer.
    #[prost(string, tag = "3")]
    pub customer: String,
    /// The rank; 0 first.
    #[prost(uint32, tag = "4")]
    pub priority: u32,
    /// The prompt's estimated length.
    #[prost(uint64, tag = "5")]
    pub prompt_tokens: u64,
    /// The longest answer.
    #[prost(uint64, tag = "6")]
    pub output_tokens: u64,
    /// The prompt's prefixes.
    #[prost(message, repeated, tag = "7")]
    pub prefixes: Vec<PrefixHash>,
    /// The time that remains until the deadline.
    #[prost(uint64, tag = "8")]
    pub remaining_ms: u64,
    /// Upstreams to be tried last.
    #[prost(string, repeated, tag = "9")]
    pub avoid: Vec<String>,
}

/// A request for a grant. Sent again with the same request id it gets the same answer.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct GrantRequest {
    /// The pool.
    #[prost(string, tag = "1")]
    pub pool: String,
    /// The work.
    #[prost(message, optional, tag = "2")]
    pub work: Option<WorkItem>,
}

/// What a home says of a request.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct GrantReply {
    /// The pool.
    #[prost(string, tag = "1")]
    pub pool: String,
    /// The request, 16 bytes.
    #[prost(bytes = "vec", tag = "2")]
    pub request: Vec<u8>,
    /// Where it stands.
    #[prost(enumeration = "GrantState", tag = "3")]
    pub state: i32,
    /// The grant, 16 bytes, when granted.
    #[prost(bytes = "vec", tag = "4")]
    pub grant: Vec<u8>,
    /// The engines, the leader first, when granted.
    #[prost(string, repeated, tag = "5")]
    pub upstreams: Vec<String>,
    /// How long it waited in the home's queue.
    #[prost(uint64, tag = "6")]
    pub waited_ms: u64,
    /// Why these upstreams, or why it was refused.
    #[prost(string, tag = "7")]
    pub why: String,
    /// When the caller should come back, when refused.
    #[prost(uint64, tag = "8")]
    pub retry_after_ms: u64,
}

/// A request that waits is to be forgotten.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct Withdraw {
    /// The pool.
    #[prost(string, tag = "1")]
    pub pool: String,
    /// The request, 16 bytes.
    #[prost(bytes = "vec", tag = "2")]
    pub request: Vec<u8>,
}

/// [`crate::decide::AttemptSummary`] on the wire.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct AttemptReport {
    /// The end: 0 completed, 1 cancelled, 2 not sent, 3 refused, 4 failed.
    #[prost(uint32, tag = "1")]
    pub ended: u32,
    /// From dispatch to the first token, in microseconds; none if no token came.
    #[prost(uint64, optional, tag = "2")]
    pub first_token_us: Option<u64>,
    /// From dispatch to the end.
    #[prost(uint64, tag = "3")]
    pub total_us: u64,
    /// The prompt's length as the engine counted it.
    #[prost(uint64, tag = "4")]
    pub prompt_tokens: u64,
    /// Prompt tokens found in the cache.
    #[prost(uint64, tag = "5")]
    pub cached_tokens: u64,
    /// Tokens of the answer.
    #[prost(uint64, tag = "6")]
    pub output_tokens: u64,
}

/// A grant has ended.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct Finish {
    /// The pool.
    #[prost(string, tag = "1")]
    pub pool: String,
    /// The grant, 16 bytes.
    #[prost(bytes = "vec", tag = "2")]
    pub grant: Vec<u8>,
    /// How.
    #[prost(message, optional, tag = "3")]
    pub done: Option<AttemptReport>,
}

/// A live grant with its work.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct AnnouncedGrant {
    /// The grant, 16 bytes.
    #[prost(bytes = "vec", tag = "1")]
    pub grant: Vec<u8>,
    /// The work.
    #[prost(message, optional, tag = "2")]
    pub work: Option<WorkItem>,
    /// The engines that hold memory for it.
    #[prost(string, repeated, tag = "3")]
    pub upstreams: Vec<String>,
}

/// All live grants of one pool that an entry host holds. A home drops what its host no longer
/// announces, and adopts what an earlier home gave.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct Announce {
    /// The pool.
    #[prost(string, tag = "1")]
    pub pool: String,
    /// The grants.
    #[prost(message, repeated, tag = "2")]
    pub grants: Vec<AnnouncedGrant>,
    /// Whether this is a home's question for the receiver's grants, and no announcement.
    #[prost(bool, tag = "3")]
    pub is_query: bool,
}
