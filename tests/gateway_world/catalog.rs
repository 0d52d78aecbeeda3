//! A platform's lists that a test changes by hand.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use banyanarch::exchange::ListedHost;
use banyanarch::gateway::Catalog;
use banyanarch::gateway::CatalogError;
use banyanarch::gateway::Listed;
use banyanarch::gateway::RoutesRead;
use banyanarch::routing::RouteTable;
use banyanarch::units::HostId;
use banyanarch::units::ObjectVersion;
use banyanarch::units::UpstreamId;
use futures_util::FutureExt;
use futures_util::future::BoxFuture;

#[derive(Default)]
struct State {
    /// All manifests that were ever published; the text of one is its place here.
    routes: Vec<RouteTable>,
    upstreams: Vec<Listed>,
    hosts: Vec<ListedHost>,
}

/// The platform as one host, or all of them, reach it.
#[derive(Default)]
pub struct FakeCatalog {
    state: Arc<Mutex<State>>,
    is_away: AtomicBool,
    reads: AtomicUsize,
}

impl FakeCatalog {
    pub fn new(routes: RouteTable) -> Arc<Self> {
        let catalog = Self::default();
        catalog.publish(routes);
        Arc::new(catalog)
    }

    /// The same platform by another way, which can be cut on its own.
    pub fn another_way(&self) -> Arc<Self> {
        Arc::new(Self {
            state: Arc::clone(&self.state),
            ..Self::default()
        })
    }

    pub fn publish(&self, routes: RouteTable) {
        let mut state = self.state.lock().unwrap();
        state.routes.push(routes);
    }

    pub fn has_routes(&self) -> bool {
        !self.state.lock().unwrap().routes.is_empty()
    }

    /// Lists an upstream of a service; in id order by `id`.
    pub fn list(&self, id: &str, service: &str, addr: SocketAddr) {
        self.state.lock().unwrap().upstreams.push(Listed {
            id: id.parse().unwrap(),
            name: id.parse().unwrap(),
            service: service.parse().unwrap(),
            addr,
            domain: "here".parse().unwrap(),
            slots: 16,
            is_leaving: false,
        });
    }

    /// An upstream starts again under its name.
    pub fn restart(&self, name: &str, started: u64) -> UpstreamId {
        let mut state = self.state.lock().unwrap();
        let entry = state.upstreams.iter_mut().find(|u| u.name.as_str() == name);
        let entry = entry.unwrap();
        entry.id = UpstreamId::of_life(&entry.name, Some(started));
        entry.id.clone()
    }

    /// An upstream says that it leaves.
    pub fn leave(&self, id: &str) {
        let mut state = self.state.lock().unwrap();
        let entry = state.upstreams.iter_mut().find(|u| u.id.as_str() == id);
        entry.unwrap().is_leaving = true;
    }

    /// The platform can or can't be reached.
    pub fn set_away(&self, is_away: bool) {
        self.is_away.store(is_away, Ordering::Relaxed);
    }

    /// How often the manifest was asked for.
    pub fn reads(&self) -> usize {
        self.reads.load(Ordering::Relaxed)
    }

    pub fn hosts_now(&self) -> Vec<ListedHost> {
        self.state.lock().unwrap().hosts.clone()
    }

    fn answer<T>(&self, read: impl FnOnce(&mut State) -> T) -> Result<T, CatalogError> {
        let mut state = self.state.lock().unwrap();
        if self.is_away.load(Ordering::Relaxed) {
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
        self.reads.fetch_add(1, Ordering::Relaxed);
        let read = self.answer(|state| state.routes.len());
        async move {
            let count = read?;
            let place = count.checked_sub(1).ok_or(CatalogError::Absent)?;
            let version = ObjectVersion(count as u64);
            if known == Some(version) {
                return Ok(RoutesRead::Unchanged);
            }
            let text = place.to_string();
            Ok(RoutesRead::Changed { version, text })
        }
        .boxed()
    }

    fn decode_routes(&self, text: &str) -> Result<RouteTable, CatalogError> {
        let place: usize = text.parse().unwrap();
        Ok(self.state.lock().unwrap().routes[place].clone())
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
