//! Cache of the lists that a host has read last, for itself and for its peers.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use indexmap::IndexSet;
use log::warn;
use xxhash_rust::xxh3::xxh3_64;

use crate::exchange::ListedHost;
use crate::gateway::ListedUpstream;
use crate::gateway::UpstreamChange;
use crate::gateway::catalog_sharing::cached_lists::CachedLists;
use crate::gateway::catalog_sharing::confirmed::Confirmed;
use crate::gateway::catalog_sharing::list_age::is_fresh;
use crate::gateway::catalog_sharing::message::ListKind;
use crate::gateway::catalog_sharing::message::ReadRequest;
use crate::gateway::catalog_sharing::message::ReadResponse;
use crate::gateway::catalog_sharing::message::UpstreamEntry;
use crate::units::FailureDomainId;
use crate::units::ObjectVersion;
use crate::units::StoreEra;

/// The cached lists, which this host uses itself and sends to its peers.
#[derive(Debug, Default)]
pub(crate) struct CatalogCache(Mutex<CachedLists>);

impl CatalogCache {
    /// Stores a newer manifest, confirmed at this time since boot. If the manifest before it was
    /// confirmed later, that time is kept, since it holds for the newer one too.
    pub(crate) fn set_routes(&self, version: u64, text: String, confirmed_at: Duration) {
        let mut lists = self.lock();
        let before = lists.routes.as_ref().map(|routes| routes.confirmed_at);
        lists.routes = Some(Confirmed {
            version,
            value: Arc::new(text),
            confirmed_at: before.map_or(confirmed_at, |before| before.max(confirmed_at)),
        });
    }

    /// Records that the platform had no manifest at this time since boot.
    pub(crate) fn set_routes_absent(&self, at: Duration) {
        self.lock().routes_absent_at = Some(at);
    }

    /// Records that the manifest was still the newest at this time since boot.
    pub(crate) fn confirm_routes(&self, confirmed_at: Duration) {
        if let Some(routes) = &mut self.lock().routes {
            routes.confirmed_at = routes.confirmed_at.max(confirmed_at);
        }
    }

    /// Replaces all upstreams by those that were current at this time since boot. Returns whether
    /// the list has changed.
    pub(crate) fn replace_upstreams(
        &self,
        listed: &[ListedUpstream],
        confirmed_at: Duration,
    ) -> bool {
        let mut lists = self.lock();
        lists.upstreams_confirmed_at = Some(confirmed_at);
        let has_changed = lists.upstreams.replace(listed);
        lists.upstreams_version = lists.upstreams.version();
        has_changed
    }

    /// Records the last change of the platform that the upstreams include, if it is known and not
    /// older than the recorded one.
    pub(crate) fn set_upstreams_as_of(&self, as_of: Option<ObjectVersion>) {
        let mut lists = self.lock();
        lists.upstreams_as_of = lists.upstreams_as_of.max(as_of);
    }

    /// The era of the store in which the upstreams were listed; none if it is not known.
    pub(crate) fn upstreams_era(&self) -> Option<StoreEra> {
        self.lock().upstreams_as_of.map(ObjectVersion::era)
    }

    /// Applies changes of the upstreams, without confirming that the list is current. Returns
    /// whether the list has changed.
    pub(crate) fn apply_changes(&self, changes: Vec<UpstreamChange>) -> bool {
        let mut lists = self.lock();
        let has_changed = lists.upstreams.apply(changes);
        lists.upstreams_version = lists.upstreams.version();
        has_changed
    }

    /// Applies the response of another host to a request for upstreams. If the result of a delta
    /// does not have the announced version, the next request is for the full list. Returns whether
    /// the list has changed.
    pub(crate) fn apply_response(&self, response: &ReadResponse, confirmed_at: Duration) -> bool {
        let listed = response.upstreams.iter().filter_map(UpstreamEntry::decode);
        let as_of = (response.as_of != 0).then_some(ObjectVersion(response.as_of));
        self.set_upstreams_as_of(as_of);
        let mut lists = self.lock();
        let has_changed = if response.is_delta {
            let removed = response.removed.iter().filter_map(|name| name.parse().ok());
            let removed = removed.map(UpstreamChange::Removed);
            let has_changed = lists
                .upstreams
                .apply(removed.chain(listed.map(UpstreamChange::Upserted)));
            if lists.upstreams.version() != response.version {
                warn!(
                    "catalog sharing: a delta of the upstreams does not match its version, requesting the full list"
                );
                lists.upstreams_version = 0;
                return has_changed;
            }
            has_changed
        } else {
            lists
                .upstreams
                .replace(&listed.collect::<Vec<ListedUpstream>>())
        };
        lists.upstreams_version = response.version;
        lists.upstreams_confirmed_at = Some(confirmed_at);
        has_changed
    }

    /// Records that the upstreams were still current at this time since boot.
    pub(crate) fn confirm_upstreams(&self, confirmed_at: Duration) {
        let mut lists = self.lock();
        lists.upstreams_confirmed_at = lists.upstreams_confirmed_at.max(Some(confirmed_at));
    }

    /// Replaces the hosts by those that were current at this time since boot.
    pub(crate) fn set_hosts(&self, hosts: &[ListedHost], confirmed_at: Duration) {
        self.lock().hosts = Some(Confirmed {
            version: hosts_version_of(hosts),
            value: Arc::new(hosts.to_vec()),
            confirmed_at,
        });
    }

    /// Records that the hosts were still current at this time since boot.
    pub(crate) fn confirm_hosts(&self, confirmed_at: Duration) {
        if let Some(hosts) = &mut self.lock().hosts {
            hosts.confirmed_at = hosts.confirmed_at.max(confirmed_at);
        }
    }

    /// Replaces the evacuated failure domains by those that the platform listed after `as_of`, and
    /// that were current at this time since boot. Returns whether they have changed.
    pub(crate) fn set_evacuations(
        &self,
        domains: IndexSet<FailureDomainId>,
        as_of: Option<ObjectVersion>,
        confirmed_at: Duration,
    ) -> bool {
        self.lock().set_evacuations(domains, as_of, confirmed_at)
    }

    /// Applies the response of another host to a request for evacuations, unless this host knows
    /// later ones. Returns whether they have changed.
    pub(crate) fn apply_evacuations(
        &self,
        response: &ReadResponse,
        confirmed_at: Duration,
    ) -> bool {
        let as_of = (response.as_of != 0).then_some(ObjectVersion(response.as_of));
        let mut lists = self.lock();
        if lists.evacuations_version() == response.version {
            lists.confirm_evacuations(as_of, confirmed_at);
            return false;
        }
        if !lists.are_later_evacuations(as_of, confirmed_at) {
            return false;
        }
        let names = response.evacuated_domains.iter();
        let domains = names.filter_map(|name| name.parse().ok()).collect();
        lists.set_evacuations(domains, as_of, confirmed_at)
    }

    /// Records that the evacuations after `as_of` were still current at this time since boot.
    pub(crate) fn confirm_evacuations(&self, as_of: Option<ObjectVersion>, confirmed_at: Duration) {
        self.lock().confirm_evacuations(as_of, confirmed_at);
    }

    /// The version of the evacuations; 0 if they were not read yet.
    pub(crate) fn evacuations_version(&self) -> u64 {
        self.lock().evacuations_version()
    }

    /// The evacuated failure domains; none before the first read.
    pub(crate) fn evacuations(&self) -> Option<Arc<IndexSet<FailureDomainId>>> {
        let lists = self.lock();
        let known = lists.evacuations.as_ref()?;
        Some(Arc::clone(&known.value))
    }

    /// When the evacuations were last confirmed to be current, since boot.
    pub(crate) fn evacuations_confirmed_at(&self) -> Option<Duration> {
        let lists = self.lock();
        lists.evacuations.as_ref().map(|known| known.confirmed_at)
    }

    /// The versions of the manifest and the upstreams; 0 for a list that was not read yet.
    pub(crate) fn versions(&self) -> (u64, u64) {
        let lists = self.lock();
        let routes = lists.routes.as_ref().map_or(0, |routes| routes.version);
        (routes, lists.upstreams_version)
    }

    /// The version of the manifest in the platform; 0 if it was not read yet.
    pub(crate) fn routes_version(&self) -> ObjectVersion {
        ObjectVersion(self.versions().0)
    }

    /// The version of the hosts; 0 if they were not read yet.
    pub(crate) fn hosts_version(&self) -> u64 {
        let lists = self.lock();
        lists.hosts.as_ref().map_or(0, |hosts| hosts.version)
    }

    /// The upstreams that were read last; none before the first read.
    pub(crate) fn upstreams(&self) -> Option<Arc<Vec<ListedUpstream>>> {
        let lists = self.lock();
        lists.upstreams_confirmed_at?;
        Some(Arc::clone(lists.upstreams.listed()))
    }

    /// The time since boot at which the upstreams were last confirmed to be current.
    pub(crate) fn upstreams_confirmed_at(&self) -> Option<Duration> {
        self.lock().upstreams_confirmed_at
    }

    /// The time since boot at which the manifest and the upstreams were both last confirmed to be
    /// current; none before both were read.
    pub(crate) fn confirmed_at(&self) -> Option<Duration> {
        let lists = self.lock();
        let routes = lists.routes.as_ref()?.confirmed_at;
        Some(routes.min(lists.upstreams_confirmed_at?))
    }

    /// Whether a list is fresh enough at `now`, since boot, for other hosts to use it. The manifest
    /// and the upstreams are fresh only together, and the hosts as long as these are.
    pub(crate) fn is_fresh(&self, list: ListKind, now: Duration) -> bool {
        let confirmed_at = match list {
            ListKind::Evacuations => self.evacuations_confirmed_at(),
            ListKind::Routes | ListKind::Upstreams | ListKind::Hosts => self.confirmed_at(),
        };
        confirmed_at.is_some_and(|confirmed_at| is_fresh(confirmed_at, now))
    }

    /// Responds to a request of another host at `now`, since boot.
    pub(crate) fn respond(&self, request: &ReadRequest, now: Duration) -> ReadResponse {
        self.lock().respond(request, now)
    }

    fn lock(&self) -> MutexGuard<'_, CachedLists> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A version that is the same for the same hosts in the same order.
fn hosts_version_of(hosts: &[ListedHost]) -> u64 {
    // Version 0 means that there is none.
    xxh3_64(format!("{hosts:?}").as_bytes()).max(1)
}
