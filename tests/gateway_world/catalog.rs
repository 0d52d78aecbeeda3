//! A platform's lists that a test changes by hand.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;

use banyanarch::gateway::Catalog;
use banyanarch::gateway::CatalogError;
use banyanarch::gateway::Listed;
use banyanarch::gateway::ListedHost;
use banyanarch::gateway::RoutesRead;
use banyanarch::routing::RouteTable;
use banyanarch::units::HostId;
use banyanarch::units::ObjectVersion;
use futures_util::FutureExt;
use futures_util::future::BoxFuture;

#[derive(Default)]
struct State {
    routes: Option<RouteTable>,
    version: u64,
    upstreams: Vec<Listed>,
    hosts: Vec<ListedHost>,
    is_away: bool,
    reads: usize,
}

#[derive(Default)]
pub struct FakeCatalog(Mutex<State>);

impl FakeCatalog {
    pub fn new(routes: RouteTable) -> Arc<Self> {
        let catalog = Self::default();
        catalog.publish(routes);
        Arc::new(catalog)
    }

    pub fn publish(&self, routes: RouteTable) {
        let mut state = self.0.lock().unwrap();
        state.version += 1;
        state.routes = Some(routes);
    }

    pub fn has_routes(&self) -> bool {
        self.0.lock().unwrap().routes.is_some()
    }

    /// Lists an upstream of a service; in id order by `id`.
    pub fn list(&self, id: &str, service: &str, addr: SocketAddr) {
        self.0.lock().unwrap().upstreams.push(Listed {
            id: id.parse().unwrap(),
            service: service.parse().unwrap(),
            addr,
            domain: "here".parse().unwrap(),
            slots: 16,
            is_leaving: false,
        });
    }

    /// An upstream says that it leaves.
    pub fn leave(&self, id: &str) {
        let mut state = self.0.lock().unwrap();
        let entry = state.upstreams.iter_mut().find(|u| u.id.as_str() == id);
        entry.unwrap().is_leaving = true;
    }

    /// The platform can or can't be reached.
    pub fn set_away(&self, is_away: bool) {
        self.0.lock().unwrap().is_away = is_away;
    }

    /// How often the manifest was asked for.
    pub fn reads(&self) -> usize {
        self.0.lock().unwrap().reads
    }

    pub fn hosts_now(&self) -> Vec<ListedHost> {
        self.0.lock().unwrap().hosts.clone()
    }

    fn answer<T>(&self, read: impl FnOnce(&mut State) -> T) -> Result<T, CatalogError> {
        let mut state = self.0.lock().unwrap();
        if state.is_away {
            return Err(CatalogError::NoAnswer("away".to_owned()));
        }
        Ok(read(&mut state))
    }
}

impl Catalog for FakeCatalog {
    fn routes(
        &self,
        known: Option<ObjectVersion>,
    ) -> BoxFuture<'_, Result<RoutesRead, CatalogError>> {
        let read = self.answer(|state| {
            state.reads += 1;
            let version = ObjectVersion(state.version);
            let routes = state.routes.clone().map(Box::new);
            (version, routes)
        });
        async move {
            let (version, routes) = read?;
            let routes = routes.ok_or(CatalogError::Absent)?;
            if known == Some(version) {
                return Ok(RoutesRead::Unchanged);
            }
            Ok(RoutesRead::Changed { version, routes })
        }
        .boxed()
    }

    fn upstreams(&self) -> BoxFuture<'_, Result<Vec<Listed>, CatalogError>> {
        let read = self.answer(|state| state.upstreams.clone());
        async move { read }.boxed()
    }

    fn hosts(&self) -> BoxFuture<'_, Result<Vec<ListedHost>, CatalogError>> {
        let read = self.answer(|state| state.hosts.clone());
        async move { read }.boxed()
    }

    fn announce(&self, host: ListedHost) -> BoxFuture<'_, Result<(), CatalogError>> {
        let done = self.answer(|state| state.hosts.push(host));
        async move { done }.boxed()
    }

    fn withdraw(&self, host: HostId) -> BoxFuture<'_, Result<(), CatalogError>> {
        let done = self.answer(|state| state.hosts.retain(|listed| listed.host != host));
        async move { done }.boxed()
    }
}
