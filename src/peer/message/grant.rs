//! The messages between entry hosts and homes.

/// The state of a request at its home.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(prost::Enumeration)]
#[repr(i32)]
pub enum GrantState {
    /// The host that was asked is not the home of the pool.
    NotHome = 0,
    /// The request is queued. The home pushes the decision; asking again has no further effect.
    Queued = 1,
    /// The request may be dispatched.
    Granted = 2,
    /// The request is refused.
    Refused = 3,
}

/// The hash and the length of a prefix of a prompt.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct PrefixHash {
    /// The hash of the prefix, 16 bytes.
    #[prost(bytes = "vec", tag = "1")]
    pub hash: Vec<u8>,
    /// The length of the prefix, in tokens.
    #[prost(uint64, tag = "2")]
    pub tokens: u64,
}

/// The encoding of [`crate::decide::Work`].
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct WorkItem {
    /// The id of the request, 16 bytes.
    #[prost(bytes = "vec", tag = "1")]
    pub request: Vec<u8>,
    /// The id of the entry host.
    #[prost(string, tag = "2")]
    pub host: String,
    /// The id of the customer.
    #[prost(string, tag = "3")]
    pub customer: String,
    /// The rank of the priority; 0 is served first.
    #[prost(uint32, tag = "4")]
    pub priority: u32,
    /// The estimated length of the prompt, in tokens.
    #[prost(uint64, tag = "5")]
    pub prompt_tokens: u64,
    /// The largest length of the answer, in tokens.
    #[prost(uint64, tag = "6")]
    pub output_tokens: u64,
    /// The prefixes of the prompt.
    #[prost(message, repeated, tag = "7")]
    pub prefixes: Vec<PrefixHash>,
    /// The time that remains until the deadline, in milliseconds.
    #[prost(uint64, tag = "8")]
    pub remaining_ms: u64,
    /// The upstreams to use only if there is no other.
    #[prost(string, repeated, tag = "9")]
    pub avoid: Vec<String>,
}

/// A request for a grant. It is idempotent: a repetition with the same request id gets the same
/// reply.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct GrantRequest {
    /// The id of the pool.
    #[prost(string, tag = "1")]
    pub pool: String,
    /// The work of the request.
    #[prost(message, optional, tag = "2")]
    pub work: Option<WorkItem>,
}

/// The status of a request at its home, as a reply or as a pushed decision.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct GrantReply {
    /// The id of the pool.
    #[prost(string, tag = "1")]
    pub pool: String,
    /// The id of the request, 16 bytes.
    #[prost(bytes = "vec", tag = "2")]
    pub request: Vec<u8>,
    /// The state of the request.
    #[prost(enumeration = "GrantState", tag = "3")]
    pub state: i32,
    /// The id of the grant, 16 bytes, if granted.
    #[prost(bytes = "vec", tag = "4")]
    pub grant: Vec<u8>,
    /// The ids of the upstreams, the leader first, if granted.
    #[prost(string, repeated, tag = "5")]
    pub upstreams: Vec<String>,
    /// How long the request waited in the queue of the home, in milliseconds.
    #[prost(uint64, tag = "6")]
    pub waited_ms: u64,
    /// Why these upstreams were chosen, or why the request was refused.
    #[prost(string, tag = "7")]
    pub why: String,
    /// After how many milliseconds the caller should retry, if refused.
    #[prost(uint64, tag = "8")]
    pub retry_after_ms: u64,
}

/// Withdraws a queued request.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct Withdraw {
    /// The id of the pool.
    #[prost(string, tag = "1")]
    pub pool: String,
    /// The id of the request, 16 bytes.
    #[prost(bytes = "vec", tag = "2")]
    pub request: Vec<u8>,
}

/// The encoding of [`crate::decide::AttemptSummary`].
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct AttemptReport {
    /// How the attempt ended: 0 completed, 1 cancelled, 2 not sent, 3 refused, 4 failed.
    #[prost(uint32, tag = "1")]
    pub ended: u32,
    /// The time from dispatch to the first token, in microseconds; none if no token came.
    #[prost(uint64, optional, tag = "2")]
    pub first_token_us: Option<u64>,
    /// The time from dispatch to the end, in microseconds.
    #[prost(uint64, tag = "3")]
    pub total_us: u64,
    /// The length of the prompt in tokens, as the engine counted it.
    #[prost(uint64, tag = "4")]
    pub prompt_tokens: u64,
    /// The number of prompt tokens that the engine found in its cache.
    #[prost(uint64, tag = "5")]
    pub cached_tokens: u64,
    /// The number of tokens of the answer.
    #[prost(uint64, tag = "6")]
    pub output_tokens: u64,
}

/// Reports that a grant has ended.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct Finish {
    /// The id of the pool.
    #[prost(string, tag = "1")]
    pub pool: String,
    /// The id of the grant, 16 bytes.
    #[prost(bytes = "vec", tag = "2")]
    pub grant: Vec<u8>,
    /// How the attempt of the grant ended.
    #[prost(message, optional, tag = "3")]
    pub done: Option<AttemptReport>,
}

/// A live grant with the work of its request.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct AnnouncedGrant {
    /// The id of the grant, 16 bytes.
    #[prost(bytes = "vec", tag = "1")]
    pub grant: Vec<u8>,
    /// The work of the request.
    #[prost(message, optional, tag = "2")]
    pub work: Option<WorkItem>,
    /// The ids of the upstreams that reserve memory for the grant.
    #[prost(string, repeated, tag = "3")]
    pub upstreams: Vec<String>,
}

/// All live grants of one pool that an entry host holds, or a query for them. A home removes grants
/// that their host no longer announces, and adopts grants that an earlier home has issued.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct Announce {
    /// The id of the pool.
    #[prost(string, tag = "1")]
    pub pool: String,
    /// The live grants; empty in a query.
    #[prost(message, repeated, tag = "2")]
    pub grants: Vec<AnnouncedGrant>,
    /// Whether the message is a query of a home for the grants of the receiver, and not an
    /// announcement.
    #[prost(bool, tag = "3")]
    pub is_query: bool,
}
