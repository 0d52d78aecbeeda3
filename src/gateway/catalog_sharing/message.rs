//! The messages between hosts that read and hosts that ask. Field numbers are never used again.

use std::net::SocketAddr;

use tokio::net::TcpStream;
use tokio_util::codec::Framed;
use tokio_util::codec::LengthDelimitedCodec;

use crate::exchange::ListedHost;
use crate::gateway::ListedUpstream;
use crate::units::Millicores;

/// The largest message: a manifest has at most about a megabyte.
pub(super) const MESSAGE_SIZE_MAX: usize = 8 << 20;

/// A connection on which hosts ask each other for lists.
pub(super) type Link = Framed<TcpStream, LengthDelimitedCodec>;

/// What is asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(prost::Enumeration)]
#[repr(i32)]
pub(crate) enum List {
    /// The manifest.
    Routes = 0,
    /// The upstreams.
    Upstreams = 1,
    /// The hosts of this system.
    Hosts = 2,
}

/// A question.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub(crate) struct Ask {
    /// Which list.
    #[prost(enumeration = "List", tag = "1")]
    pub(crate) list: i32,
    /// The version that the asking host has; 0 if none.
    #[prost(uint64, tag = "2")]
    pub(crate) known_version: u64,
    /// Whether the asking host understands changes of a list and answers in several frames.
    #[prost(bool, tag = "3")]
    pub(crate) takes_parts: bool,
}

/// The answer.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub(crate) struct Answer {
    /// The version that the answering host has; 0 if none.
    #[prost(uint64, tag = "1")]
    pub(crate) version: u64,
    /// How long ago this version was certainly the newest, in ms.
    #[prost(uint64, tag = "2")]
    pub(crate) age_ms: u64,
    /// The manifest's text, if it was asked for and has another version.
    #[prost(string, tag = "3")]
    pub(crate) routes: String,
    /// The upstreams, if they were asked for and have another version.
    #[prost(message, repeated, tag = "4")]
    pub(crate) upstreams: Vec<UpstreamEntry>,
    /// Whether `upstreams` and `gone` are what has changed since the known version.
    #[prost(bool, tag = "5")]
    pub(crate) is_partial: bool,
    /// The names of upstreams that have left the list.
    #[prost(string, repeated, tag = "6")]
    pub(crate) gone: Vec<String>,
    /// The hosts, if they were asked for and have another version.
    #[prost(message, repeated, tag = "7")]
    pub(crate) hosts: Vec<HostEntry>,
    /// The whole answer follows in so many frames; 0 if this is all of it.
    #[prost(uint32, tag = "8")]
    pub(crate) frames: u32,
}

/// A host.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub(crate) struct HostEntry {
    /// Its name.
    #[prost(string, tag = "1")]
    pub(crate) name: String,
    /// Its failure domain.
    #[prost(string, tag = "2")]
    pub(crate) domain: String,
    /// Where it exchanges news.
    #[prost(string, tag = "3")]
    pub(crate) exchange_addr: String,
    /// Thousandths of a core that it may use; 0 if it is of a former version, which does not say.
    #[prost(uint32, tag = "4")]
    pub(crate) millicores: u32,
}

impl From<&ListedHost> for HostEntry {
    fn from(listed: &ListedHost) -> Self {
        Self {
            name: listed.host.to_string(),
            domain: listed.domain.to_string(),
            exchange_addr: listed.exchange_addr.to_string(),
            millicores: listed.processors.map_or(0, |share| share.0),
        }
    }
}

impl HostEntry {
    /// The host; none if a field is not what it should be.
    pub(crate) fn listed(&self) -> Option<ListedHost> {
        Some(ListedHost {
            host: self.name.parse().ok()?,
            domain: self.domain.parse().ok()?,
            exchange_addr: self.exchange_addr.parse().ok()?,
            processors: (self.millicores > 0).then_some(Millicores(self.millicores)),
        })
    }
}

/// An upstream.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub(crate) struct UpstreamEntry {
    /// What it calls itself.
    #[prost(string, tag = "1")]
    pub(crate) name: String,
    /// Its service.
    #[prost(string, tag = "2")]
    pub(crate) service: String,
    /// Its address.
    #[prost(string, tag = "3")]
    pub(crate) addr: String,
    /// Its failure domain.
    #[prost(string, tag = "4")]
    pub(crate) domain: String,
    /// Requests that it works on at once.
    #[prost(uint32, tag = "5")]
    pub(crate) slots: u32,
    /// Whether it leaves.
    #[prost(bool, tag = "6")]
    pub(crate) is_leaving: bool,
    /// The id of its life; empty from a host that knows upstreams by their names alone.
    #[prost(string, tag = "7")]
    pub(crate) id: String,
}

impl From<&ListedUpstream> for UpstreamEntry {
    fn from(listed: &ListedUpstream) -> Self {
        Self {
            name: listed.name.to_string(),
            service: listed.service.to_string(),
            addr: listed.addr.to_string(),
            domain: listed.domain.to_string(),
            slots: listed.slots,
            is_leaving: listed.is_leaving,
            id: listed.id.to_string(),
        }
    }
}

impl UpstreamEntry {
    /// The upstream; none if a field is not what it should be.
    pub(crate) fn listed(&self) -> Option<ListedUpstream> {
        let id = if self.id.is_empty() {
            &self.name
        } else {
            &self.id
        };
        Some(ListedUpstream {
            id: id.parse().ok()?,
            service: self.service.parse().ok()?,
            addr: self.addr.parse::<SocketAddr>().ok()?,
            domain: self.domain.parse().ok()?,
            slots: self.slots,
            is_leaving: self.is_leaving,
            name: self.name.parse().ok()?,
        })
    }
}
