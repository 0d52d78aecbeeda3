//! What the platform knows, as an interface: the manifest's routes, the upstreams and the hosts.

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
    /// Its id, new with each start.
    pub id: UpstreamId,
    /// What it calls itself; an upstream that started again may have the name of its last life.
    pub name: UpstreamName,
    /// The service that it runs.
    pub service: ServiceId,
    /// Its address, which may have belonged to another upstream before.
    pub addr: SocketAddr,
    /// Its failure domain.
    pub domain: FailureDomainId,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it leaves: it gets no new requests.
    pub is_leaving: bool,
}

/// A change of the list of upstreams.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum UpstreamChange {
    /// It is new, or listed in another way.
    Upserted(ListedUpstream),
    /// It is off the list, or its entry names no upstream any more.
    Removed(UpstreamName),
}

/// Where a read goes on: it waits for changes after one that is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Watch {
    /// The platform's last change that is known.
    pub since: ObjectVersion,
    /// How long the platform is to wait for one; it answers as soon as there is one.
    pub wait: Duration,
}

/// What was read.
#[derive(Clone, Debug)]
pub struct CatalogRead<T> {
    /// The content.
    pub value: T,
    /// The platform's last change that is in it, where the next read can go on; none if it can't.
    pub as_of: Option<ObjectVersion>,
}

/// The manifest, if it is another one than the caller has.
#[derive(Clone, Debug)]
pub enum RoutesRead {
    /// It still has this version.
    Unchanged,
    /// It is a new one.
    Changed {
        /// Its version in the platform.
        version: ObjectVersion,
        /// Its text, for [`Catalog::decode_routes`].
        text: String,
    },
}

/// The upstreams.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum UpstreamsRead {
    /// All of them.
    Snapshot(Vec<ListedUpstream>),
    /// What has changed since the read before, in order.
    Delta(Vec<UpstreamChange>),
}

/// Why a read or a write of the catalog gave nothing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CatalogError {
    /// There is no such object.
    NotFound,
    /// The platform turned the call away for now; nothing was done.
    Rejected(String),
    /// No answer came. A write may have been done, or may still be.
    NoAnswer(String),
    /// The answer can't be understood: the object, and what is wrong with which field.
    Malformed(String),
    /// The platform no longer knows what has changed since.
    HistoryExpired,
}

impl fmt::Display for CatalogError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotFound => f.write_str("no such object"),
            Self::Rejected(why) => write!(f, "turned away: {why}"),
            Self::NoAnswer(why) => write!(f, "no answer: {why}"),
            Self::Malformed(what) => write!(f, "malformed: {what}"),
            Self::HistoryExpired => f.write_str("the changes since are forgotten"),
        }
    }
}

impl std::error::Error for CatalogError {}

/// The platform's lists. Every answer shows what is true at some moment after the call began.
pub trait Catalog: Send + Sync {
    /// Reads the manifest, of which the version `known` is at hand. Answers to a watch that name changes
    /// may not name all of them.
    fn routes(
        &self,
        known: Option<ObjectVersion>,
        watch: Option<Watch>,
    ) -> BoxFuture<'_, Result<CatalogRead<RoutesRead>, CatalogError>>;

    /// Reads the text of a manifest.
    fn decode_routes(&self, text: &str) -> Result<RouteTable, CatalogError>;

    /// Reads all upstreams, or with a watch what has changed among them. An answer that names changes
    /// may not name all of them.
    fn upstreams(
        &self,
        watch: Option<Watch>,
    ) -> BoxFuture<'_, Result<CatalogRead<UpstreamsRead>, CatalogError>>;

    /// Reads all hosts; the answer may be seconds old.
    fn hosts(&self) -> BoxFuture<'_, Result<Vec<ListedHost>, CatalogError>>;

    /// Puts a host on the list, in place of what is there under its name.
    fn register_host(&self, host: ListedHost) -> BoxFuture<'_, Result<(), CatalogError>>;

    /// Takes a host off the list.
    fn deregister_host(&self, host: HostId) -> BoxFuture<'_, Result<(), CatalogError>>;
}
