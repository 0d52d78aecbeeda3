//! The state of the platform as a gateway last read it. The tasks that read the platform write it,
//! and every request reads it. Each part has its own lock.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::RwLock;
use std::time::Duration;

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::exchange::ListedHost;
use crate::exchange::UpstreamHash;
use crate::gateway::Freshness;
use crate::gateway::ListedUpstream;
use crate::gateway::RoutesUpdate;
use crate::routing::RouteTable;
use crate::units::HostId;
use crate::units::ServiceId;
use crate::units::UpstreamId;

/// The upstreams that may get requests, by service. Each list is sorted by id.
pub type UpstreamsByService = IndexMap<ServiceId, Vec<ListedUpstream>>;

/// The state of the platform as a gateway last read it.
#[derive(Debug, Default)]
pub struct PlatformView {
    routes: RwLock<Option<Arc<RouteTable>>>,
    freshness: Mutex<Freshness>,
    upstreams: RwLock<Option<Arc<UpstreamsByService>>>,
    /// The upstreams by the hashes that hosts use for them in their updates.
    upstreams_by_hash: RwLock<Arc<IndexMap<UpstreamHash, UpstreamId>>>,
    hosts: RwLock<Arc<Vec<ListedHost>>>,
    host_names: RwLock<IndexSet<HostId>>,
    sharing_hosts: Mutex<Option<usize>>,
}

impl PlatformView {
    /// The manifest in force; none before the first read.
    pub fn routes(&self) -> Option<Arc<RouteTable>> {
        self.routes
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Puts a manifest in force unless a manifest of the same or a later generation is in force.
    /// Returns which of these was the case.
    pub fn set_routes(&self, routes: RouteTable) -> RoutesUpdate {
        let mut current = self.routes.write().unwrap_or_else(PoisonError::into_inner);
        let in_force = current.as_ref().map(|current| current.generation);
        match in_force {
            Some(in_force) if in_force == routes.generation => RoutesUpdate::Unchanged,
            Some(in_force) if in_force > routes.generation => RoutesUpdate::Stale { in_force },
            _ => {
                *current = Some(Arc::new(routes));
                RoutesUpdate::Applied
            }
        }
    }

    /// When the manifest in force was last confirmed.
    pub fn freshness(&self) -> Freshness {
        *self.lock_freshness()
    }

    /// Records that a read, requested at this time since boot, confirmed the manifest in force.
    pub fn confirm_fresh(&self, requested_at: Duration) {
        self.lock_freshness().confirm(requested_at);
    }

    /// The upstreams that may get requests, without those that are leaving; none before the first
    /// read.
    pub fn upstreams(&self) -> Option<Arc<UpstreamsByService>> {
        self.upstreams
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Replaces the upstreams by those of a list that are not leaving. Returns the number of these.
    pub fn set_upstreams(&self, listed: Vec<ListedUpstream>) -> usize {
        let mut by_service = UpstreamsByService::new();
        let staying = listed.into_iter().filter(|upstream| !upstream.is_leaving);
        for upstream in staying {
            by_service
                .entry(upstream.service.clone())
                .or_default()
                .push(upstream);
        }
        for upstreams in by_service.values_mut() {
            upstreams.sort_by(|a, b| a.id.cmp(&b.id));
        }
        let count = by_service.values().map(Vec::len).sum();
        let ids = by_service.values().flatten().map(|upstream| &upstream.id);
        let by_hash = ids.map(|id| (UpstreamHash::from(id), id.clone())).collect();
        *self
            .upstreams_by_hash
            .write()
            .unwrap_or_else(PoisonError::into_inner) = Arc::new(by_hash);
        let mut current = self
            .upstreams
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        *current = Some(Arc::new(by_service));
        count
    }

    /// The upstreams that may get requests, by the hashes that hosts use for them in their updates.
    pub fn upstreams_by_hash(&self) -> Arc<IndexMap<UpstreamHash, UpstreamId>> {
        let by_hash = self.upstreams_by_hash.read();
        Arc::clone(&by_hash.unwrap_or_else(PoisonError::into_inner))
    }

    /// Whether an upstream may get requests: it is listed and not leaving.
    pub fn is_usable(&self, id: &UpstreamId) -> bool {
        let upstreams = self.upstreams();
        upstreams.is_some_and(|by_service| by_service.values().flatten().any(|u| u.id == *id))
    }

    /// The hosts with which this one exchanges updates: those on the platform's list, this one, and
    /// those that left the list recently; empty before the first read.
    pub fn hosts(&self) -> Arc<Vec<ListedHost>> {
        Arc::clone(&self.hosts.read().unwrap_or_else(PoisonError::into_inner))
    }

    /// Whether a host is one of [`PlatformView::hosts`].
    pub fn is_known_host(&self, host: &HostId) -> bool {
        let names = self.host_names.read();
        names.unwrap_or_else(PoisonError::into_inner).contains(host)
    }

    /// Replaces the hosts with which this one exchanges updates.
    pub fn set_hosts(&self, hosts: Vec<ListedHost>) {
        let names = hosts.iter().map(|listed| listed.host.clone()).collect();
        *self
            .host_names
            .write()
            .unwrap_or_else(PoisonError::into_inner) = names;
        *self.hosts.write().unwrap_or_else(PoisonError::into_inner) = Arc::new(hosts);
    }

    /// The number of hosts among which a bound for all hosts is divided; none while the platform's
    /// list has not been read. Unlike [`PlatformView::hosts`], which may contain this host alone, it
    /// is never lower than the number of hosts on the list.
    pub fn sharing_hosts(&self) -> Option<usize> {
        let count = self.sharing_hosts.lock();
        *count.unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets the number of hosts among which a bound for all hosts is divided.
    pub fn set_sharing_hosts(&self, count: Option<usize>) {
        let mut current = self
            .sharing_hosts
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        *current = count;
    }

    fn lock_freshness(&self) -> MutexGuard<'_, Freshness> {
        self.freshness
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
