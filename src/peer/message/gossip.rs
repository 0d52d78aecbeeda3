//! Messages of the membership.

use crate::peer::message::PoisonNotice;

/// One message of the membership: news of others around one step of the protocol.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct Gossip {
    /// The sender's incarnation.
    #[prost(uint64, tag = "1")]
    pub incarnation: u64,
    /// The generation that the sender has in force.
    #[prost(uint64, tag = "2")]
    pub generation: u64,
    /// What the sender wants.
    #[prost(oneof = "GossipBody", tags = "10, 11, 12, 13, 14, 15, 16")]
    pub body: Option<GossipBody>,
    /// What the sender lately heard of hosts.
    #[prost(message, repeated, tag = "20")]
    pub hosts: Vec<HostRecord>,
    /// What the sender lately heard of upstreams that leave.
    #[prost(message, repeated, tag = "21")]
    pub leaving: Vec<LeavingUpstream>,
    /// Requests that lately crashed upstreams.
    #[prost(message, repeated, tag = "22")]
    pub poison: Vec<PoisonNotice>,
}

/// The steps of the protocol.
#[derive(Clone, PartialEq)]
#[derive(prost::Oneof)]
pub enum GossipBody {
    /// Are you there?
    #[prost(message, tag = "10")]
    Probe(Probe),
    /// The probed host is there.
    #[prost(message, tag = "11")]
    Ack(ProbeAck),
    /// Probe another host for the sender, who gets no answer from it.
    #[prost(message, tag = "12")]
    IndirectProbe(IndirectProbe),
    /// The sender has just come; tell it who is there.
    #[prost(message, tag = "13")]
    Join(HostRecord),
    /// Hosts that the receiver asked for, in `hosts`.
    #[prost(message, tag = "14")]
    Members(()),
    /// What the sender knows of its own failure domain, for another one.
    #[prost(message, tag = "15")]
    Digest(DomainDigest),
    /// Tell the sender the hosts of each failure domain that it sees differently.
    #[prost(message, tag = "16")]
    Pull(Pull),
}

/// A probe.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct Probe {
    /// The number that the answer repeats.
    #[prost(uint64, tag = "1")]
    pub seq: u64,
    /// A hash of all hosts that the sender knows.
    #[prost(fixed64, tag = "2")]
    pub view_hash: u64,
}

/// The answer to a probe.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct ProbeAck {
    /// The probe's number.
    #[prost(uint64, tag = "1")]
    pub seq: u64,
}

/// A request to probe another host.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct IndirectProbe {
    /// The number that the answer repeats.
    #[prost(uint64, tag = "1")]
    pub seq: u64,
    /// The host to probe.
    #[prost(string, tag = "2")]
    pub target: String,
}

/// A hash of the hosts of a failure domain.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct DomainDigest {
    /// The failure domain.
    #[prost(string, tag = "1")]
    pub domain: String,
    /// The hash.
    #[prost(fixed64, tag = "2")]
    pub hash: u64,
    /// Whether the receiver is to answer with that of its own failure domain.
    #[prost(bool, tag = "3")]
    pub wants_reply: bool,
}

/// A request for hosts.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct Pull {
    /// How the sender sees failure domains.
    #[prost(message, repeated, tag = "1")]
    pub known: Vec<DomainDigest>,
    /// Whether it wants only these, and not also those that it has never heard of.
    #[prost(bool, tag = "2")]
    pub only_known: bool,
}

/// A host.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct HostRecord {
    /// Its name.
    #[prost(string, tag = "1")]
    pub host: String,
    /// Its failure domain.
    #[prost(string, tag = "2")]
    pub domain: String,
    /// Where it listens for peers: 4 or 16 bytes.
    #[prost(bytes = "vec", tag = "3")]
    pub ip: Vec<u8>,
    /// The port there.
    #[prost(uint32, tag = "4")]
    pub port: u32,
    /// Its incarnation.
    #[prost(uint64, tag = "5")]
    pub incarnation: u64,
    /// 0 alive, 1 suspect, 2 leaving, 3 dead.
    #[prost(uint32, tag = "6")]
    pub state: u32,
    /// The generation that it was last heard to have in force.
    #[prost(uint64, tag = "7")]
    pub generation: u64,
    /// How long it has been dead, so that all forget it at about the same time.
    #[prost(uint32, tag = "8")]
    pub dead_for_s: u32,
}

/// An upstream that leaves.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct LeavingUpstream {
    /// Its name.
    #[prost(string, tag = "1")]
    pub upstream: String,
    /// The version of the platform's object that says so; a later one may say otherwise.
    #[prost(uint64, tag = "2")]
    pub version: u64,
}
