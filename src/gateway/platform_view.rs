//! The state of the platform as a gateway last read it, written by the tasks that read the platform
//! and read by every request. Each part has its own lock.

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

/// The upstreams that may be sent to, by service, each list sorted by id.
pub type UpstreamsByService = IndexMap<ServiceId, Vec<ListedUpstream>>;

/// The state of the platform as a gateway last read it.
#[derive(Debug, Default)]
pub struct PlatformView {
    routes: RwLock<Option<Arc<RouteTable>>>,
    freshness: Mutex<Freshness>,
    upstreams: RwLock<Option<Arc<UpstreamsByService>>>,
    /// The upstreams by the hashes that hosts use for them in their messages.
    upstreams_by_hash: RwLock<Arc<IndexMap<UpstreamHash, UpstreamId>>>,
    hosts: RwLock<Arc<Vec<ListedHost>>>,
    host_names: RwLock<IndexSet<HostId>>,
}

impl PlatformView {
    /// The manifest in force; none before the first read.
    pub fn routes(&self) -> Option<Arc<RouteTable>> {
        self.routes
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Puts a manifest in force unless it is already, or a newer one is.
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

    /// How fresh the manifest is.
    pub fn freshness(&self) -> Freshness {
        *self.lock_freshness()
    }

    /// Records that a read of the manifest, requested at this time since boot, succeeded.
    pub fn confirm_fresh(&self, requested_at: Duration) {
        self.lock_freshness().confirm(requested_at);
    }

    /// The upstreams; none before the first read.
    pub fn upstreams(&self) -> Option<Arc<UpstreamsByService>> {
        self.upstreams
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Replaces the upstreams, omitting those that are leaving. Returns the number of the remaining
    /// ones.
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

    /// The upstreams that may be sent to, by their hashes.
    pub fn upstreams_by_hash(&self) -> Arc<IndexMap<UpstreamHash, UpstreamId>> {
        let by_hash = self.upstreams_by_hash.read();
        Arc::clone(&by_hash.unwrap_or_else(PoisonError::into_inner))
    }

    /// Whether an upstream is listed.
    pub fn is_usable(&self, id: &UpstreamId) -> bool {
        let upstreams = self.upstreams();
        upstreams.is_some_and(|by_service| by_service.values().flatten().any(|u| u.id == *id))
    }

    /// The hosts on the platform's list, this one included.
    pub fn hosts(&self) -> Arc<Vec<ListedHost>> {
        Arc::clone(&self.hosts.read().unwrap_or_else(PoisonError::into_inner))
    }

    /// Whether a host is on the list.
    pub fn is_known_host(&self, host: &HostId) -> bool {
        let names = self.host_names.read();
        names.unwrap_or_else(PoisonError::into_inner).contains(host)
    }

    /// Replaces the list of hosts.
    pub fn set_hosts(&self, hosts: Vec<ListedHost>) {
        let names = hosts.iter().map(|listed| listed.host.clone()).collect();
        *self
            .host_names
            .write()
            .unwrap_or_else(PoisonError::into_inner) = names;
        *self.hosts.write().unwrap_or_else(PoisonError::into_inner) = Arc::new(hosts);
    }

    fn lock_freshness(&self) -> MutexGuard<'_, Freshness> {
        self.freshness
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
