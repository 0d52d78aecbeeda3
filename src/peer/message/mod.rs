//! The messages between hosts. Derives generate the codec; no generator is needed.
//!
//! Field numbers are never used again for another meaning, so that hosts of neighbouring versions
//! understand each other while they are replaced one by one.

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

/// A frame's content: who sent it, which request it answers, and one message.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct Envelope {
    /// The sender.
    #[prost(string, tag = "1")]
    pub from: String,
    /// The number that a reply repeats; 0 when no reply is wanted.
    #[prost(uint64, tag = "2")]
    pub call_id: u64,
    /// Whether this is the reply to `call_id`.
    #[prost(bool, tag = "3")]
    pub is_reply: bool,
    /// The message. Tags below 30 are taken by grants and relays, from 30 on by the fleet.
    #[prost(
        oneof = "Message",
        tags = "10, 11, 12, 13, 14, 20, 21, 22, 29, 30, 31, 32, 33, 34, 35, 36"
    )]
    pub message: Option<Message>,
}

/// All kinds of messages.
#[derive(Clone, PartialEq)]
#[derive(prost::Oneof)]
pub enum Message {
    /// An entry host asks a home for a grant.
    #[prost(message, tag = "10")]
    GrantRequest(GrantRequest),
    /// The home's answer, also pushed when a queued request is decided.
    #[prost(message, tag = "11")]
    GrantReply(GrantReply),
    /// A grant has ended.
    #[prost(message, tag = "12")]
    Finish(Finish),
    /// A request that waits is to be forgotten.
    #[prost(message, tag = "13")]
    Withdraw(Withdraw),
    /// The grants that an entry host holds of one pool.
    #[prost(message, tag = "14")]
    Announce(Announce),
    /// A call to the platform made for a host that can't reach it.
    #[prost(message, tag = "20")]
    PlatformCall(PlatformCall),
    /// What came of it.
    #[prost(message, tag = "21")]
    PlatformReply(PlatformReply),
    /// A request that crashed an upstream.
    #[prost(message, tag = "22")]
    PoisonNotice(PoisonNotice),
    /// Taken in; there is nothing to say.
    #[prost(message, tag = "29")]
    Ack(()),
    /// Membership.
    #[prost(message, tag = "30")]
    Gossip(Gossip),
    /// What a host knows of manifests.
    #[prost(message, tag = "31")]
    ManifestNotice(ManifestNotice),
    /// A question for that.
    #[prost(message, tag = "32")]
    ManifestQuery(ManifestQuery),
    /// A question for the parts of a manifest.
    #[prost(message, tag = "33")]
    IndexRequest(IndexRequest),
    /// The parts of a manifest.
    #[prost(message, tag = "34")]
    ManifestIndex(ManifestIndex),
    /// A question for the content of parts.
    #[prost(message, tag = "35")]
    PartsRequest(PartsRequest),
    /// The content of parts.
    #[prost(message, tag = "36")]
    ManifestParts(ManifestParts),
}
