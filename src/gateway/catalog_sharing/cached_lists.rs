//! The lists that were read last, and the responses that other hosts get from them.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexSet;
use xxhash_rust::xxh3::xxh3_64;

use crate::exchange::ListedHost;
use crate::gateway::UpstreamChange;
use crate::gateway::catalog_sharing::confirmed::Confirmed;
use crate::gateway::catalog_sharing::message::HostEntry;
use crate::gateway::catalog_sharing::message::ListKind;
use crate::gateway::catalog_sharing::message::ReadRequest;
use crate::gateway::catalog_sharing::message::ReadResponse;
use crate::gateway::catalog_sharing::message::UpstreamEntry;
use crate::gateway::catalog_sharing::upstream_list::UpstreamList;
use crate::units::FailureDomainId;
use crate::units::ObjectVersion;

/// The lists that were read last, with their versions and confirmations.
#[derive(Debug, Default)]
pub(super) struct CachedLists {
    pub(super) routes: Option<Confirmed<String>>,
    /// When the platform was last found to have no manifest, since boot.
    pub(super) routes_absent_at: Option<Duration>,
    pub(super) upstreams: UpstreamList,
    /// The version that the host from which the list was read gave it; 0 if the next response must
    /// be the full list. It differs from the version of `upstreams` if that host runs the previous
    /// version of the program, which computes it in another way.
    pub(super) upstreams_version: u64,
    pub(super) upstreams_confirmed_at: Option<Duration>,
    /// The last change of the platform that `upstreams` include; none if it is not known.
    pub(super) upstreams_as_of: Option<ObjectVersion>,
    pub(super) hosts: Option<Confirmed<Vec<ListedHost>>>,
    pub(super) evacuations: Option<Confirmed<IndexSet<FailureDomainId>>>,
    /// The last change of the platform that `evacuations` include; none if it is not known.
    pub(super) evacuations_as_of: Option<ObjectVersion>,
}

impl CachedLists {
    /// The version of the evacuations; 0 if they were not read yet.
    pub(super) fn evacuations_version(&self) -> u64 {
        self.evacuations.as_ref().map_or(0, |known| known.version)
    }

    /// Whether evacuations that the platform listed after `as_of`, and that were current at
    /// `confirmed_at`, are later than the known ones.
    ///
    /// A read confirms its content for the moment at which it was requested, and the content may be
    /// from any moment until the response. So of two reads that overlap, the one that was requested
    /// later may have the earlier content, and only the platform's own order decides.
    pub(super) fn are_later_evacuations(
        &self,
        as_of: Option<ObjectVersion>,
        confirmed_at: Duration,
    ) -> bool {
        let Some(known) = &self.evacuations else {
            return true;
        };
        match (self.evacuations_as_of, as_of) {
            (Some(known), Some(as_of)) if known != as_of => known < as_of,
            _ => known.confirmed_at < confirmed_at,
        }
    }

    /// Replaces the evacuated failure domains. Returns whether they have changed.
    pub(super) fn set_evacuations(
        &mut self,
        domains: IndexSet<FailureDomainId>,
        as_of: Option<ObjectVersion>,
        confirmed_at: Duration,
    ) -> bool {
        let before = self.evacuations_version();
        let version = evacuations_version_of(&domains);
        self.evacuations = Some(Confirmed {
            version,
            value: Arc::new(domains),
            confirmed_at,
        });
        self.evacuations_as_of = as_of;
        before != version
    }

    /// Records that the evacuations were still current at this time since boot.
    pub(super) fn confirm_evacuations(
        &mut self,
        as_of: Option<ObjectVersion>,
        confirmed_at: Duration,
    ) {
        if let Some(evacuations) = &mut self.evacuations {
            evacuations.confirmed_at = evacuations.confirmed_at.max(confirmed_at);
            self.evacuations_as_of = self.evacuations_as_of.max(as_of);
        }
    }

    /// Responds to a request of another host at `now`, since boot. The response is empty if this
    /// host does not have the list.
    pub(super) fn respond(&self, request: &ReadRequest, now: Duration) -> ReadResponse {
        let response = match ListKind::try_from(request.list) {
            Ok(ListKind::Routes) => self.respond_routes(request, now),
            Ok(ListKind::Upstreams) => self.respond_upstreams(request, now),
            Ok(ListKind::Hosts) => self.respond_hosts(request, now),
            Ok(ListKind::Evacuations) => self.respond_evacuations(request, now),
            // A host of a newer version requests a list that this version does not have.
            Err(_) => None,
        };
        response.unwrap_or_default()
    }

    fn respond_routes(&self, request: &ReadRequest, now: Duration) -> Option<ReadResponse> {
        let Some(routes) = &self.routes else {
            let absent_at = self.routes_absent_at?;
            return Some(ReadResponse {
                is_absent: true,
                ..ReadResponse::header(0, absent_at, now)
            });
        };
        let mut response = routes.header(now);
        if routes.version != request.known_version {
            response.routes = routes.value.to_string();
        }
        Some(response)
    }

    /// Responds with the upstreams that the requesting host does not have.
    fn respond_upstreams(&self, request: &ReadRequest, now: Duration) -> Option<ReadResponse> {
        let confirmed_at = self.upstreams_confirmed_at?;
        let header = ReadResponse {
            as_of: self.upstreams_as_of.map_or(0, |as_of| as_of.0),
            ..ReadResponse::header(self.upstreams_version, confirmed_at, now)
        };
        if self.upstreams_version == request.known_version {
            return Some(header);
        }
        let changes = self.upstreams.changes_since(request.known_version);
        let Some(changes) = changes.filter(|_| request.accepts_deltas) else {
            let listed = self.upstreams.listed().iter();
            return Some(ReadResponse {
                upstreams: listed.map(UpstreamEntry::from).collect(),
                ..header
            });
        };
        let mut response = ReadResponse {
            is_delta: true,
            ..header
        };
        for change in changes {
            match change {
                UpstreamChange::Upserted(listed) => response.upstreams.push((&listed).into()),
                UpstreamChange::Removed(name) => response.removed.push(name.to_string()),
            }
        }
        Some(response)
    }

    fn respond_hosts(&self, request: &ReadRequest, now: Duration) -> Option<ReadResponse> {
        let hosts = self.hosts.as_ref()?;
        let mut response = hosts.header(now);
        if hosts.version != request.known_version {
            response.hosts = hosts.value.iter().map(HostEntry::from).collect();
        }
        Some(response)
    }

    fn respond_evacuations(&self, request: &ReadRequest, now: Duration) -> Option<ReadResponse> {
        let evacuations = self.evacuations.as_ref()?;
        let mut response = evacuations.header(now);
        response.as_of = self.evacuations_as_of.map_or(0, |as_of| as_of.0);
        if evacuations.version != request.known_version {
            let domains = evacuations.value.iter();
            response.evacuated_domains = domains.map(ToString::to_string).collect();
        }
        Some(response)
    }
}

/// A version that is the same for the same failure domains in any order.
fn evacuations_version_of(domains: &IndexSet<FailureDomainId>) -> u64 {
    let mut names: Vec<&str> = domains.iter().map(FailureDomainId::as_str).collect();
    names.sort_unstable();
    // Version 0 means that there is none.
    xxh3_64(format!("{names:?}").as_bytes()).max(1)
}
