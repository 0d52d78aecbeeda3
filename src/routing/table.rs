//! The routes, services and keys of one manifest.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;

use crate::routing::CallerLimits;
use crate::routing::CustomerKeys;
use crate::routing::Route;
use crate::routing::Service;
use crate::units::Generation;
use crate::units::Priority;
use crate::units::ServiceId;

/// The routes of a manifest, indexed by host name and path prefix, with the services, API keys and
/// caller limits of the same manifest.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    /// The generation of the manifest.
    pub generation: Generation,
    /// The services, by name.
    pub services: IndexMap<ServiceId, Service>,
    /// The API keys of customers.
    pub keys: CustomerKeys,
    /// The limits on the connections of callers.
    pub limits: CallerLimits,
    /// The routes of each host name, the longest prefix first.
    by_hostname: IndexMap<String, Vec<Arc<Route>>>,
    /// The strictest limit on the pause between two events among the routes to each service.
    strictest_pauses: IndexMap<ServiceId, Duration>,
    /// The most urgent priority among the routes to each service.
    most_urgent: IndexMap<ServiceId, Priority>,
}

impl RouteTable {
    /// Creates a table of the given routes, without services and keys and with the default caller
    /// limits.
    pub fn new(generation: Generation, routes: Vec<Route>) -> Self {
        let mut by_hostname: IndexMap<String, Vec<Arc<Route>>> = IndexMap::new();
        let strictest_pauses = strictest_pauses(&routes);
        let most_urgent = most_urgent(&routes);
        for route in routes {
            by_hostname
                .entry(route.hostname.to_ascii_lowercase())
                .or_default()
                .push(Arc::new(route));
        }
        for routes in by_hostname.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        Self {
            generation,
            by_hostname,
            strictest_pauses,
            most_urgent,
            ..Self::default()
        }
    }

    /// The strictest limit on the pause between two events among the routes to a service; none if
    /// no route to the service limits the pause.
    pub fn strictest_pause(&self, service: &ServiceId) -> Option<Duration> {
        self.strictest_pauses.get(service).copied()
    }

    /// The most urgent priority among the routes to a service; 0 if none leads there.
    pub fn most_urgent(&self, service: &ServiceId) -> Priority {
        self.most_urgent.get(service).copied().unwrap_or_default()
    }

    /// The route of a call: among the routes of the host name, the one with the longest matching
    /// path prefix; none if no route matches. `authority` may include a port.
    pub fn route(&self, authority: &str, path: &str) -> Option<&Arc<Route>> {
        let hostname = authority
            .rsplit_once(':')
            .map_or(authority, |(name, _)| name);
        let routes = match self.by_hostname.get(hostname) {
            Some(routes) => routes,
            None => self.by_hostname.get(&hostname.to_ascii_lowercase())?,
        };
        routes
            .iter()
            .find(|route| path.starts_with(&route.path_prefix))
    }

    /// The number of routes.
    pub fn route_count(&self) -> usize {
        self.by_hostname.values().map(Vec::len).sum()
    }
}

fn strictest_pauses(routes: &[Route]) -> IndexMap<ServiceId, Duration> {
    let mut strictest = IndexMap::new();
    for route in routes {
        let Some(pause) = route.pause_objective else {
            continue;
        };
        for target in &route.targets {
            let known = strictest.entry(target.service.clone()).or_insert(pause);
            *known = pause.min(*known);
        }
    }
    strictest
}

fn most_urgent(routes: &[Route]) -> IndexMap<ServiceId, Priority> {
    let mut most_urgent = IndexMap::new();
    for route in routes {
        for target in &route.targets {
            let priority = route.priority.unwrap_or_default();
            let known = most_urgent
                .entry(target.service.clone())
                .or_insert(priority);
            *known = priority.min(*known);
        }
    }
    most_urgent
}
