//! The messages of the membership.

use crate::peer::message::PoisonNotice;

/// A message of the membership: the incarnation and the manifest generation of the sender, and one
/// step of the protocol. Recent changes of hosts, leaving upstreams and poison notices are
/// piggybacked.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct Gossip {
    /// The incarnation of the sender.
    #[prost(uint64, tag = "1")]
    pub incarnation: u64,
    /// The generation of the manifest that the sender has in force.
    #[prost(uint64, tag = "2")]
    pub generation: u64,
    /// The step of the protocol.
    #[prost(oneof = "GossipBody", tags = "10, 11, 12, 13, 14, 15, 16")]
    pub body: Option<GossipBody>,
    /// Recent changes of hosts that the sender knows, or the hosts that the receiver asked for.
    #[prost(message, repeated, tag = "20")]
    pub hosts: Vec<HostRecord>,
    /// Upstreams that were recently reported to leave.
    #[prost(message, repeated, tag = "21")]
    pub leaving: Vec<LeavingUpstream>,
    /// Requests that recently crashed upstreams.
    #[prost(message, repeated, tag = "22")]
    pub poison: Vec<PoisonNotice>,
}

/// The step of the membership protocol that a message takes.
#[derive(Clone, PartialEq)]
#[derive(prost::Oneof)]
pub enum GossipBody {
    /// Checks whether the receiver is alive.
    #[prost(message, tag = "10")]
    Probe(Probe),
    /// Confirms that the probed host is alive.
    #[prost(message, tag = "11")]
    Ack(ProbeAck),
    /// Asks the receiver to probe another host, which does not reply to the sender.
    #[prost(message, tag = "12")]
    IndirectProbe(IndirectProbe),
    /// Announces a host that joins, and asks the receiver for the hosts that it knows.
    #[prost(message, tag = "13")]
    Join(HostRecord),
    /// Carries the hosts that the receiver asked for, in [`Gossip::hosts`].
    #[prost(message, tag = "14")]
    Members(()),
    /// Carries a hash of the hosts of the sender's failure domain to a host of another failure
    /// domain.
    #[prost(message, tag = "15")]
    Digest(DomainDigest),
    /// Asks the receiver for the hosts of each failure domain that the two hosts see differently.
    #[prost(message, tag = "16")]
    Pull(Pull),
}

/// A check whether the receiver is alive and knows the same hosts as the sender.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct Probe {
    /// The sequence number, which the reply repeats.
    #[prost(uint64, tag = "1")]
    pub seq: u64,
    /// A hash of all hosts that the sender knows. If the hash of the receiver differs, the two
    /// hosts know different hosts or states.
    #[prost(fixed64, tag = "2")]
    pub view_hash: u64,
}

/// The reply to a probe.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct ProbeAck {
    /// The sequence number of the probe.
    #[prost(uint64, tag = "1")]
    pub seq: u64,
}

/// A request to probe another host on behalf of the sender.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct IndirectProbe {
    /// The sequence number, which the reply repeats.
    #[prost(uint64, tag = "1")]
    pub seq: u64,
    /// The id of the host to probe.
    #[prost(string, tag = "2")]
    pub target: String,
}

/// A hash of the hosts of one failure domain.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct DomainDigest {
    /// The id of the failure domain.
    #[prost(string, tag = "1")]
    pub domain: String,
    /// The hash of the hosts that the sender knows in the failure domain.
    #[prost(fixed64, tag = "2")]
    pub hash: u64,
    /// Whether the receiver is to reply with the digest of its own failure domain.
    #[prost(bool, tag = "3")]
    pub wants_reply: bool,
}

/// A request for the hosts that the receiver knows, with digests of failure domains. The reply
/// leaves out the domains whose digests agree; with `only_known`, it is limited to the domains in
/// `known`.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct Pull {
    /// A digest of each failure domain that the sender asks about or knows.
    #[prost(message, repeated, tag = "1")]
    pub known: Vec<DomainDigest>,
    /// Whether the reply is limited to the failure domains in `known`, and leaves out those that
    /// the sender does not know.
    #[prost(bool, tag = "2")]
    pub only_known: bool,
}

/// The state of a host, as the sender knows it.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct HostRecord {
    /// The id of the host.
    #[prost(string, tag = "1")]
    pub host: String,
    /// The failure domain of the host.
    #[prost(string, tag = "2")]
    pub domain: String,
    /// The IP address on which the host listens for peers: 4 bytes or 16.
    #[prost(bytes = "vec", tag = "3")]
    pub ip: Vec<u8>,
    /// The port on which the host listens for peers.
    #[prost(uint32, tag = "4")]
    pub port: u32,
    /// The incarnation of the host.
    #[prost(uint64, tag = "5")]
    pub incarnation: u64,
    /// The state: 0 alive, 1 suspect, 2 leaving, 3 dead.
    #[prost(uint32, tag = "6")]
    pub state: u32,
    /// The generation of the manifest that the host was last known to have in force.
    #[prost(uint64, tag = "7")]
    pub generation: u64,
    /// For how many seconds the host has been dead, so that all hosts remove it at about the same
    /// time.
    #[prost(uint32, tag = "8")]
    pub dead_for_s: u32,
}

/// An upstream that is leaving.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct LeavingUpstream {
    /// The id of the upstream.
    #[prost(string, tag = "1")]
    pub upstream: String,
    /// The version of the platform's object that lists the upstream as leaving. A later version of
    /// the object may no longer list it.
    #[prost(uint64, tag = "2")]
    pub version: u64,
}
