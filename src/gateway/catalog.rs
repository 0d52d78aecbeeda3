//! The interface through which a gateway reads the lists of the platform: the manifest, the
//! upstreams and the hosts.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use futures_util::future::BoxFuture;
use indexmap::IndexSet;

use crate::decide::ReaderEntry;
use crate::exchange::ListedHost;
use crate::gateway::SavedQuarantine;
use crate::routing::RouteTable;
use crate::units::FailureDomainId;
use crate::units::HostId;
use crate::units::ObjectVersion;
use crate::units::QuarantineId;
use crate::units::ServiceId;
use crate::units::UpstreamId;
use crate::units::UpstreamName;

/// An upstream on the platform's list: its identity, its address, and how many requests it
/// processes concurrently.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedUpstream {
    /// The id of the upstream's incarnation, new with each start.
    pub id: UpstreamId,
    /// The upstream's name, which it may keep when it restarts.
    pub name: UpstreamName,
    /// The service that the upstream runs.
    pub service: ServiceId,
    /// The upstream's address, which may have belonged to another upstream before.
    pub addr: SocketAddr,
    /// The upstream's failure domain.
    pub domain: FailureDomainId,
    /// Number of requests that the upstream processes concurrently.
    pub slots: u32,
    /// How long the upstream remained cold when the list was written; zero if it is not cold. While
    /// cold, it accepts only the [rate](crate::routing::ColdStart) of its service.
    pub cold_left: Duration,
    /// Whether the upstream is leaving. It is still listed, but gets no new requests.
    pub is_leaving: bool,
}

/// A change of the list of upstreams.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum UpstreamChange {
    /// The upstream is new, or its entry has changed.
    Upserted(ListedUpstream),
    /// The upstream is no longer listed, or its entry no longer describes an upstream.
    Removed(UpstreamName),
}

/// The parameters of a watch, a read for which the platform waits until there are changes after a
/// known one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Watch {
    /// The last change that the caller knows.
    pub since: ObjectVersion,
    /// How long the platform is to wait for a change; it responds as soon as there is one.
    pub wait: Duration,
}

/// The result of a read.
#[derive(Clone, Debug)]
pub struct CatalogRead<T> {
    /// The content.
    pub value: T,
    /// The last change that the content includes, after which a watch can resume; none if the next
    /// read must be a full one.
    pub as_of: Option<ObjectVersion>,
}

/// The result of a read of the manifest: its text only if its version differs from the caller's.
#[derive(Clone, Debug)]
pub enum RoutesRead {
    /// The manifest still has the known version.
    Unchanged,
    /// The manifest has changed.
    Changed {
        /// The version of the manifest in the platform.
        version: ObjectVersion,
        /// The text of the manifest, for [`Catalog::decode_routes`].
        text: String,
    },
}

/// The result of a read of the upstreams: the full list, or a delta.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum UpstreamsRead {
    /// All upstreams.
    Snapshot(Vec<ListedUpstream>),
    /// The changes after [`Watch::since`], in order; empty if there were none.
    Delta(Vec<UpstreamChange>),
}

/// A claim of a host to read the platform for hosts of its failure domain that start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReaderClaim {
    /// The name of the host.
    pub host: HostId,
    /// The address at which other hosts request lists from it.
    pub addr: SocketAddr,
    /// The version of the entry that is replaced; none if there was no entry.
    pub replaces: Option<ObjectVersion>,
}

/// The result of a claim to send a probe of quarantined parts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProbeClaim {
    /// This host may send it.
    Claimed,
    /// Another host has claimed a probe, with which the quarantine is saved.
    Taken(SavedQuarantine),
}

/// The result of a read of the evacuations.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EvacuationsRead {
    /// There was no change after [`Watch::since`].
    Unchanged,
    /// The evacuated failure domains.
    Snapshot(IndexSet<FailureDomainId>),
}

/// Why a read or a write of the catalog failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CatalogError {
    /// There is no such object.
    NotFound,
    /// The platform rejected the call for now; nothing was done.
    Rejected(String),
    /// No response arrived. A write may have been done, or may still be done.
    NoAnswer(String),
    /// The response can't be decoded. Names the object, and the field with its fault.
    Malformed(String),
    /// The platform no longer keeps the changes after the requested one.
    HistoryExpired,
}

impl fmt::Display for CatalogError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotFound => f.write_str("no such object"),
            Self::Rejected(why) => write!(f, "rejected: {why}"),
            Self::NoAnswer(why) => write!(f, "no answer: {why}"),
            Self::Malformed(what) => write!(f, "malformed: {what}"),
            Self::HistoryExpired => {
                f.write_str("the platform no longer keeps the changes since the last read")
            }
        }
    }
}

impl std::error::Error for CatalogError {}

/// The platform's lists. Every response shows what was true at some moment after the call began.
pub trait Catalog: Send + Sync {
    /// Reads the manifest as text, unless its version is still `known`, the one that the caller
    /// has. With a watch, the platform responds when the manifest changes or the wait ends. A
    /// manifest that is returned to a watch may already have been replaced by a newer one.
    fn routes(
        &self,
        known: Option<ObjectVersion>,
        watch: Option<Watch>,
    ) -> BoxFuture<'_, Result<CatalogRead<RoutesRead>, CatalogError>>;

    /// Decodes the text of a manifest.
    fn decode_routes(&self, text: &str) -> Result<RouteTable, CatalogError>;

    /// Reads all upstreams, or with a watch their changes, for which the platform waits. A delta
    /// that is not empty may lack the latest changes.
    fn upstreams(
        &self,
        watch: Option<Watch>,
    ) -> BoxFuture<'_, Result<CatalogRead<UpstreamsRead>, CatalogError>>;

    /// Reads which failure domains operators have evacuated. With a watch, the platform responds
    /// when that changes or the wait ends.
    fn evacuations(
        &self,
        watch: Option<Watch>,
    ) -> BoxFuture<'_, Result<CatalogRead<EvacuationsRead>, CatalogError>>;

    /// Reads all hosts; the response may be seconds old.
    fn hosts(&self) -> BoxFuture<'_, Result<Vec<ListedHost>, CatalogError>>;

    /// Reads the entry of a failure domain that names the host which reads for starting hosts; none
    /// if there is none. The response may be seconds old.
    fn starting_reader(
        &self,
        domain: FailureDomainId,
    ) -> BoxFuture<'_, Result<Option<ReaderEntry>, CatalogError>>;

    /// Writes a host into the entry of a failure domain if the entry still has the version that the
    /// claim replaces. Returns the entry in force, that of another host if this one came too late.
    fn claim_starting_reader(
        &self,
        domain: FailureDomainId,
        claim: ReaderClaim,
    ) -> BoxFuture<'_, Result<ReaderEntry, CatalogError>>;

    /// Reads the quarantines of parts that crash upstreams.
    fn quarantines(&self) -> BoxFuture<'_, Result<Vec<SavedQuarantine>, CatalogError>>;

    /// Saves a quarantine. What is saved of the same parts is kept.
    fn save_quarantine(
        &self,
        quarantine: SavedQuarantine,
    ) -> BoxFuture<'_, Result<(), CatalogError>>;

    /// Saves a quarantine whose last probe this host is about to send, unless as many probes are saved
    /// already.
    fn claim_probe(
        &self,
        quarantine: SavedQuarantine,
    ) -> BoxFuture<'_, Result<ProbeClaim, CatalogError>>;

    /// Deletes a quarantine.
    fn delete_quarantine(&self, id: QuarantineId) -> BoxFuture<'_, Result<(), CatalogError>>;

    /// Adds a host to the list. An entry with the same name is replaced.
    fn register_host(&self, host: ListedHost) -> BoxFuture<'_, Result<(), CatalogError>>;

    /// Removes a host from the list.
    fn deregister_host(&self, host: HostId) -> BoxFuture<'_, Result<(), CatalogError>>;
}
