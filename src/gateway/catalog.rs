//! The interface to the lists of the platform: the manifest's routes, the upstreams and the hosts.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use futures_util::future::BoxFuture;

use crate::exchange::ListedHost;
use crate::routing::RouteTable;
use crate::units::FailureDomainId;
use crate::units::HostId;
use crate::units::ObjectVersion;
use crate::units::ServiceId;
use crate::units::UpstreamId;
use crate::units::UpstreamName;

/// An upstream on the platform's list.
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
    /// Whether the upstream is leaving: it gets no new requests.
    pub is_leaving: bool,
}

/// A change of the list of upstreams.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum UpstreamChange {
    /// The upstream is new, or its entry has changed.
    Upserted(ListedUpstream),
    /// The upstream is no longer listed, or its entry no longer names an upstream.
    Removed(UpstreamName),
}

/// A watch: a read that waits for changes after a known one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Watch {
    /// The platform's last known change.
    pub since: ObjectVersion,
    /// How long the platform is to wait for a change; it responds as soon as there is one.
    pub wait: Duration,
}

/// The result of a read.
#[derive(Clone, Debug)]
pub struct CatalogRead<T> {
    /// The content.
    pub value: T,
    /// The platform's last change that the content includes, after which the next read can resume;
    /// none if it can't.
    pub as_of: Option<ObjectVersion>,
}

/// The manifest, if its version differs from the caller's.
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

/// The upstreams, in full or as a delta.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum UpstreamsRead {
    /// All upstreams.
    Snapshot(Vec<ListedUpstream>),
    /// The changes since the read before, in order.
    Delta(Vec<UpstreamChange>),
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
    /// The response can't be decoded: the object, and what is wrong with which field.
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

/// The platform's lists. Every response shows what is true at some moment after the call began.
pub trait Catalog: Send + Sync {
    /// Reads the manifest, of which the caller has the version `known`. A response to a watch that
    /// contains changes may not contain all of them.
    fn routes(
        &self,
        known: Option<ObjectVersion>,
        watch: Option<Watch>,
    ) -> BoxFuture<'_, Result<CatalogRead<RoutesRead>, CatalogError>>;

    /// Decodes the text of a manifest.
    fn decode_routes(&self, text: &str) -> Result<RouteTable, CatalogError>;

    /// Reads all upstreams, or with a watch their changes. A response that contains changes may not
    /// contain all of them.
    fn upstreams(
        &self,
        watch: Option<Watch>,
    ) -> BoxFuture<'_, Result<CatalogRead<UpstreamsRead>, CatalogError>>;

    /// Reads all hosts; the response may be seconds old.
    fn hosts(&self) -> BoxFuture<'_, Result<Vec<ListedHost>, CatalogError>>;

    /// Puts a host on the list and replaces the entry that has the same name.
    fn register_host(&self, host: ListedHost) -> BoxFuture<'_, Result<(), CatalogError>>;

    /// Removes a host from the list.
    fn deregister_host(&self, host: HostId) -> BoxFuture<'_, Result<(), CatalogError>>;
}
