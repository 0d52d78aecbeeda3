//! Messages between the hosts that read the platform and the hosts that request their lists.
//!
//! Field numbers are never reused.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio_util::codec::Framed;
use tokio_util::codec::LengthDelimitedCodec;

use crate::exchange::ListedHost;
use crate::gateway::ListedUpstream;
use crate::gateway::tunnel::TunnelOutcome;
use crate::units::Millicores;
use crate::units::UpstreamId;
use crate::units::whole_millis;
use crate::units::whole_millis_u32;

/// Largest message in bytes. A manifest has at most about 1 MB.
pub(crate) const MESSAGE_SIZE_MAX: usize = 8 << 20;

/// The number of a list that no host has, in requests for a tunnel. A host of an earlier version,
/// which does not know tunnels, answers such a request with an empty response.
const NO_LIST: i32 = -1;

/// A connection on which hosts request lists from each other.
pub(crate) type PeerConnection = Framed<TcpStream, LengthDelimitedCodec>;

/// The list that a request is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(prost::Enumeration)]
#[repr(i32)]
pub(crate) enum ListKind {
    /// The manifest.
    Routes = 0,
    /// The upstreams.
    Upstreams = 1,
    /// The hosts of this deployment.
    Hosts = 2,
    /// The evacuated failure domains.
    Evacuations = 3,
}

impl ListKind {
    /// The list's name in the decision log and in metrics.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Routes => "manifest",
            Self::Upstreams => "upstreams",
            Self::Hosts => "hosts",
            Self::Evacuations => "evacuations",
        }
    }

    /// Whether a host of an earlier version may lack this list.
    pub(crate) fn may_be_unknown(self) -> bool {
        matches!(self, Self::Hosts | Self::Evacuations)
    }
}

/// A request for one list, or for a tunnel.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub(crate) struct ReadRequest {
    /// The requested list.
    #[prost(enumeration = "ListKind", tag = "1")]
    pub(crate) list: i32,
    /// The version that the requesting host has; 0 if it has none.
    #[prost(uint64, tag = "2")]
    pub(crate) known_version: u64,
    /// Whether the requesting host understands deltas and responses in several frames.
    #[prost(bool, tag = "3")]
    pub(crate) accepts_deltas: bool,
    /// The id of the upstream to which a tunnel is requested in place of a list; empty if none is.
    #[prost(string, tag = "4")]
    pub(crate) tunnel_to: String,
    /// Whether the requesting host understands a tunnel of frames.
    #[prost(bool, tag = "5")]
    pub(crate) accepts_frames: bool,
}

impl ReadRequest {
    /// A request for a tunnel to an upstream.
    pub(crate) fn for_tunnel(upstream: &UpstreamId) -> Self {
        Self {
            list: NO_LIST,
            tunnel_to: upstream.to_string(),
            accepts_frames: true,
            ..Self::default()
        }
    }
}

/// The response to a [`ReadRequest`]. It may contain only the upstreams that changed since the
/// known version, with the names of the removed ones, or only announce the frames that follow.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub(crate) struct ReadResponse {
    /// The version that the responding host has; 0 if it has none.
    #[prost(uint64, tag = "1")]
    pub(crate) version: u64,
    /// Time since this version was confirmed to be the newest, in ms.
    #[prost(uint64, tag = "2")]
    pub(crate) age_ms: u64,
    /// The text of the manifest, if it was requested and its version differs.
    #[prost(string, tag = "3")]
    pub(crate) routes: String,
    /// The upstreams, if they were requested and their version differs.
    #[prost(message, repeated, tag = "4")]
    pub(crate) upstreams: Vec<UpstreamEntry>,
    /// Whether `upstreams` and `removed` are a delta relative to the known version.
    #[prost(bool, tag = "5")]
    pub(crate) is_delta: bool,
    /// Names of the upstreams that were removed from the list.
    #[prost(string, repeated, tag = "6")]
    pub(crate) removed: Vec<String>,
    /// The hosts, if they were requested and their version differs.
    #[prost(message, repeated, tag = "7")]
    pub(crate) hosts: Vec<HostEntry>,
    /// Number of frames that follow and together hold the whole response; 0 if this message is the
    /// whole response.
    #[prost(uint32, tag = "8")]
    pub(crate) frame_count: u32,
    /// The evacuated failure domains, if they were requested and their version differs.
    #[prost(string, repeated, tag = "9")]
    pub(crate) evacuated_domains: Vec<String>,
    /// Whether the platform had no such list when the responding host last read it, `age_ms` ago.
    #[prost(bool, tag = "10")]
    pub(crate) is_absent: bool,
    /// The answer to a request for a tunnel.
    #[prost(enumeration = "TunnelOutcome", tag = "11")]
    pub(crate) tunnel: i32,
    /// The last change of the platform that the evacuations or the upstreams include; 0 if neither
    /// was requested or the responding host does not know it.
    #[prost(uint64, tag = "12")]
    pub(crate) as_of: u64,
    /// Whether the tunnel is one of frames; otherwise it carries bare bytes.
    #[prost(bool, tag = "13")]
    pub(crate) is_framed: bool,
}

impl ReadResponse {
    /// A response with only the version and the age of a list that was confirmed to be current at
    /// `confirmed_at`; both times are since boot.
    pub(super) fn header(version: u64, confirmed_at: Duration, now: Duration) -> Self {
        Self {
            version,
            age_ms: whole_millis(now.saturating_sub(confirmed_at)),
            ..Self::default()
        }
    }
}

/// A [`ListedHost`] in a response.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub(crate) struct HostEntry {
    /// The host's name.
    #[prost(string, tag = "1")]
    pub(crate) name: String,
    /// The host's failure domain.
    #[prost(string, tag = "2")]
    pub(crate) domain: String,
    /// The address at which the host receives messages of its peers.
    #[prost(string, tag = "3")]
    pub(crate) exchange_addr: String,
    /// Thousandths of a core that the host may use; 0 from a host of the previous version, which
    /// does not report it.
    #[prost(uint32, tag = "4")]
    pub(crate) millicores: u32,
}

impl From<&ListedHost> for HostEntry {
    fn from(listed: &ListedHost) -> Self {
        Self {
            name: listed.host.to_string(),
            domain: listed.domain.to_string(),
            exchange_addr: listed.exchange_addr.to_string(),
            millicores: listed.processors.map_or(0, |millicores| millicores.0),
        }
    }
}

impl HostEntry {
    /// Decodes the host; none if a field is malformed.
    pub(crate) fn decode(&self) -> Option<ListedHost> {
        Some(ListedHost {
            host: self.name.parse().ok()?,
            domain: self.domain.parse().ok()?,
            exchange_addr: self.exchange_addr.parse().ok()?,
            processors: (self.millicores > 0).then_some(Millicores(self.millicores)),
        })
    }
}

/// A [`ListedUpstream`] in a response.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub(crate) struct UpstreamEntry {
    /// The upstream's name, which it may keep when it restarts.
    #[prost(string, tag = "1")]
    pub(crate) name: String,
    /// The service that the upstream runs.
    #[prost(string, tag = "2")]
    pub(crate) service: String,
    /// The upstream's address.
    #[prost(string, tag = "3")]
    pub(crate) addr: String,
    /// The upstream's failure domain.
    #[prost(string, tag = "4")]
    pub(crate) domain: String,
    /// Number of requests that the upstream processes concurrently.
    #[prost(uint32, tag = "5")]
    pub(crate) slots: u32,
    /// Whether the upstream is leaving.
    #[prost(bool, tag = "6")]
    pub(crate) is_leaving: bool,
    /// How long the upstream remained cold when the list was written, in ms.
    #[prost(uint32, tag = "8")]
    pub(crate) cold_left_ms: u32,
    /// The id of the upstream's incarnation; empty from a host that identifies upstreams by name
    /// alone.
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
            cold_left_ms: whole_millis_u32(listed.cold_left),
            id: listed.id.to_string(),
        }
    }
}

impl UpstreamEntry {
    /// Decodes the upstream; none if a field is malformed.
    pub(crate) fn decode(&self) -> Option<ListedUpstream> {
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
            cold_left: Duration::from_millis(self.cold_left_ms.into()),
            name: self.name.parse().ok()?,
        })
    }
}
