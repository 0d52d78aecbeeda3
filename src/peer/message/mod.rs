//! The messages between hosts. The protobuf codec is derived from the Rust types, without `.proto`
//! files.
//!
//! A field number is never reused with another meaning, so that hosts of neighbouring versions
//! understand each other during a rolling upgrade.

mod gossip;
mod grant;
mod manifest;
mod relay;

pub use gossip::DomainDigest;
pub use gossip::Gossip;
pub use gossip::GossipBody;
pub use gossip::HostRecord;
pub use gossip::IndirectProbe;
pub use gossip::LeavingUpstream;
pub use gossip::Probe;
pub use gossip::ProbeAck;
pub use gossip::Pull;
pub use grant::Announce;
pub use grant::AnnouncedGrant;
pub use grant::AttemptReport;
pub use grant::Finish;
pub use grant::GrantReply;
pub use grant::GrantRequest;
pub use grant::GrantState;
pub use grant::PrefixHash;
pub use grant::Withdraw;
pub use grant::WorkItem;
pub use manifest::IndexRequest;
pub use manifest::ManifestIndex;
pub use manifest::ManifestNotice;
pub use manifest::ManifestParts;
pub use manifest::ManifestQuery;
pub use manifest::PartsRequest;
pub use relay::PlatformCall;
pub use relay::PlatformReply;
pub use relay::PoisonNotice;

/// The payload of a frame: one message, its sender (empty on the wire, set on decoding), its call
/// id (0 if no reply is expected), and whether it is the reply to that call.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct Envelope {
    /// The host id of the sender. It is empty on the wire, and set when a frame is decoded.
    #[prost(string, tag = "1")]
    pub from: String,
    /// The number of the call, which the reply repeats; 0 if no reply is expected.
    #[prost(uint64, tag = "2")]
    pub call_id: u64,
    /// Whether the message is the reply to the call `call_id`.
    #[prost(bool, tag = "3")]
    pub is_reply: bool,
    /// The message. Tags below 30 belong to grants and relays, tags from 30 on to the membership
    /// and to manifests.
    #[prost(
        oneof = "Message",
        tags = "10, 11, 12, 13, 14, 20, 21, 22, 29, 30, 31, 32, 33, 34, 35, 36"
    )]
    pub message: Option<Message>,
}

/// A message between hosts.
#[derive(Clone, PartialEq)]
#[derive(prost::Oneof)]
pub enum Message {
    /// A request of an entry host for a grant, sent to a home.
    #[prost(message, tag = "10")]
    GrantRequest(GrantRequest),
    /// The reply of the home, which is also pushed when a queued request is decided.
    #[prost(message, tag = "11")]
    GrantReply(GrantReply),
    /// The report of an entry host that a grant has ended.
    #[prost(message, tag = "12")]
    Finish(Finish),
    /// The withdrawal of a queued request.
    #[prost(message, tag = "13")]
    Withdraw(Withdraw),
    /// The live grants of one pool that an entry host holds, or a query for them.
    #[prost(message, tag = "14")]
    Announce(Announce),
    /// A call to the platform that the receiver makes for the sender.
    #[prost(message, tag = "20")]
    PlatformCall(PlatformCall),
    /// The result of a call to the platform.
    #[prost(message, tag = "21")]
    PlatformReply(PlatformReply),
    /// The fingerprint of a request that crashed upstreams.
    #[prost(message, tag = "22")]
    PoisonNotice(PoisonNotice),
    /// The acknowledgement of a message that has no other reply.
    #[prost(message, tag = "29")]
    Ack(()),
    /// A message of the membership.
    #[prost(message, tag = "30")]
    Gossip(Gossip),
    /// The manifest that a host has in force.
    #[prost(message, tag = "31")]
    ManifestNotice(ManifestNotice),
    /// A query for the manifest that a host has in force.
    #[prost(message, tag = "32")]
    ManifestQuery(ManifestQuery),
    /// A request for the index of a manifest.
    #[prost(message, tag = "33")]
    IndexRequest(IndexRequest),
    /// The index of a manifest.
    #[prost(message, tag = "34")]
    ManifestIndex(ManifestIndex),
    /// A request for parts of a manifest.
    #[prost(message, tag = "35")]
    PartsRequest(PartsRequest),
    /// Parts of a manifest.
    #[prost(message, tag = "36")]
    ManifestParts(ManifestParts),
}
