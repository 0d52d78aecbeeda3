//! A platform's lists that a test changes by hand.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use banyanarch::exchange::ListedHost;
use banyanarch::gateway::Catalog;
use banyanarch::gateway::CatalogError;
use banyanarch::gateway::CatalogRead;
use banyanarch::gateway::ListedUpstream;
use banyanarch::gateway::RoutesRead;
use banyanarch::gateway::UpstreamChange;
use banyanarch::gateway::UpstreamsRead;
use banyanarch::gateway::Watch;
use banyanarch::routing::RouteTable;
use banyanarch::units::HostId;
use banyanarch::units::ObjectVersion;
use banyanarch::units::StoreEra;
use banyanarch::units::UpstreamId;
use futures_util::FutureExt;
use futures_util::future::BoxFuture;

#[derive(Clone, Default)]
struct State {
    era: StoreEra,
    /// All manifests that were ever published; the text of one is its place here.
    routes: Vec<RouteTable>,
    /// Those that the platform knows of, by their places; the place of one here, and one, is its revision.
    published: Vec<usize>,
    upstreams: Vec<ListedUpstream>,
    /// All changes of the upstreams; the place of one, and one, is its version.
    changes: Vec<UpstreamChange>,
    /// Changes that are forgotten, from the first one on.
    forgotten: usize,
    hosts: Vec<ListedHost>,
}

impl State {
    fn change(&mut self, listed: ListedUpstream) {
        self.upstreams.retain(|known| known.name != listed.name);
        self.upstreams.push(listed.clone());
        self.changes.push(UpstreamChange::Upserted(listed));
    }

    fn changes_since(&self, since: ObjectVersion) -> Result<Vec<UpstreamChange>, CatalogError> {
        let since = usize::try_from(since.revision()).unwrap();
        if since < self.forgotten {
            return Err(CatalogError::HistoryExpired);
        }
        Ok(self.changes[since..].to_vec())
    }
}

/// What the platform held once.
pub struct Copy(State);

/// The platform as one host, or all of them, reach it.
#[derive(Default)]
pub struct FakeCatalog {
    state: Arc<Mutex<State>>,
    is_away: AtomicBool,
    reads: AtomicUsize,
    whole_reads: AtomicUsize,
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
        let place = state.routes.len();
        state.routes.push(routes);
        state.published.push(place);
    }

    pub fn has_routes(&self) -> bool {
        !self.state.lock().unwrap().routes.is_empty()
    }

    /// Lists an upstream of a service; in id order by `id`.
    pub fn list(&self, id: &str, service: &str, addr: SocketAddr) {
        self.state.lock().unwrap().change(ListedUpstream {
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
        let entry = state.upstreams.iter().find(|u| u.name.as_str() == name);
        let mut entry = entry.unwrap().clone();
        entry.id = UpstreamId::of_life(&entry.name, Some(started));
        let id = entry.id.clone();
        state.change(entry);
        id
    }

    /// An upstream says that it leaves.
    pub fn leave(&self, id: &str) {
        let mut state = self.state.lock().unwrap();
        let entry = state.upstreams.iter().find(|u| u.id.as_str() == id);
        let mut entry = entry.unwrap().clone();
        entry.is_leaving = true;
        state.change(entry);
    }

    /// An upstream's entry is taken off the list.
    pub fn take_off(&self, name: &str) {
        let mut state = self.state.lock().unwrap();
        state.upstreams.retain(|known| known.name.as_str() != name);
        let name = name.parse().unwrap();
        state.changes.push(UpstreamChange::Removed(name));
    }

    /// The platform forgets what has changed among the upstreams so far.
    pub fn forget_changes(&self) {
        let mut state = self.state.lock().unwrap();
        state.forgotten = state.changes.len();
    }

    /// What the platform holds now, to come back from later.
    pub fn copy(&self) -> Copy {
        Copy(self.state.lock().unwrap().clone())
    }

    /// The platform comes back from an older copy in its next era.
    pub fn return_from(&self, copy: Copy) {
        let mut state = self.state.lock().unwrap();
        let era = StoreEra(state.era.0 + 1);
        let routes = std::mem::take(&mut state.routes);
        *state = State {
            era,
            routes,
            ..copy.0
        };
    }

    /// The platform can or can't be reached.
    pub fn set_away(&self, is_away: bool) {
        self.is_away.store(is_away, Ordering::Relaxed);
    }

    /// How often the manifest was asked for.
    pub fn reads(&self) -> usize {
        self.reads.load(Ordering::Relaxed)
    }

    /// How often all upstreams were asked for.
    pub fn whole_reads(&self) -> usize {
        self.whole_reads.load(Ordering::Relaxed)
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

    /// Waits as long as a watch says, or until there is a change; `version` says which one is the last.
    async fn wait(
        &self,
        watch: Option<Watch>,
        version: impl Fn(&State) -> usize,
    ) -> Result<ObjectVersion, CatalogError> {
        let last = || self.answer(|state| ObjectVersion::in_era(state.era, version(state) as u64));
        let Some(watch) = watch else {
            return last();
        };
        let until = Instant::now() + watch.wait;
        while Instant::now() < until && last()? <= watch.since {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        let last = last()?;
        if last.era() == watch.since.era() {
            Ok(last)
        } else {
            Err(CatalogError::HistoryExpired)
        }
    }

    async fn read_upstreams(
        &self,
        watch: Option<Watch>,
    ) -> Result<CatalogRead<UpstreamsRead>, CatalogError> {
        let as_of = Some(self.wait(watch, |state| state.changes.len()).await?);
        let Some(watch) = watch else {
            self.whole_reads.fetch_add(1, Ordering::Relaxed);
            let value = self.answer(|state| UpstreamsRead::Snapshot(state.upstreams.clone()))?;
            return Ok(CatalogRead { value, as_of });
        };
        let changes = self.answer(|state| state.changes_since(watch.since))??;
        let value = UpstreamsRead::Delta(changes);
        Ok(CatalogRead { value, as_of })
    }

    async fn read_routes(
        &self,
        known: Option<ObjectVersion>,
        watch: Option<Watch>,
    ) -> Result<CatalogRead<RoutesRead>, CatalogError> {
        let version = self.wait(watch, |state| state.published.len()).await?;
        let place = version.revision().checked_sub(1);
        let place = usize::try_from(place.ok_or(CatalogError::NotFound)?).unwrap();
        let place = self.answer(|state| state.published[place])?;
        let value = if known == Some(version) {
            RoutesRead::Unchanged
        } else {
            let text = place.to_string();
            RoutesRead::Changed { version, text }
        };
        let as_of = Some(version);
        Ok(CatalogRead { value, as_of })
    }
}

impl Catalog for FakeCatalog {
    fn routes(
        &self,
        known: Option<ObjectVersion>,
        watch: Option<Watch>,
    ) -> BoxFuture<'_, Result<CatalogRead<RoutesRead>, CatalogError>> {
        self.reads.fetch_add(1, Ordering::Relaxed);
        self.read_routes(known, watch).boxed()
    }

    fn decode_routes(&self, text: &str) -> Result<RouteTable, CatalogError> {
        let place: usize = text.parse().unwrap();
        Ok(self.state.lock().unwrap().routes[place].clone())
    }

    fn upstreams(
        &self,
        watch: Option<Watch>,
    ) -> BoxFuture<'_, Result<CatalogRead<UpstreamsRead>, CatalogError>> {
        self.read_upstreams(watch).boxed()
    }

    fn hosts(&self) -> BoxFuture<'_, Result<Vec<ListedHost>, CatalogError>> {
        let read = self.answer(|state| state.hosts.clone());
        async move { read }.boxed()
    }

    fn register_host(&self, host: ListedHost) -> BoxFuture<'_, Result<(), CatalogError>> {
        let done = self.answer(|state| state.hosts.push(host));
        async move { done }.boxed()
    }

    fn deregister_host(&self, host: HostId) -> BoxFuture<'_, Result<(), CatalogError>> {
        let done = self.answer(|state| state.hosts.retain(|listed| listed.host != host));
        async move { done }.boxed()
    }
}
