//! A catalog of a platform that a test changes directly.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use banyanarch::decide::ReaderEntry;
use banyanarch::exchange::ListedHost;
use banyanarch::gateway::Catalog;
use banyanarch::gateway::CatalogError;
use banyanarch::gateway::CatalogRead;
use banyanarch::gateway::EvacuationsRead;
use banyanarch::gateway::ListedUpstream;
use banyanarch::gateway::ProbeClaim;
use banyanarch::gateway::ReaderClaim;
use banyanarch::gateway::RoutesRead;
use banyanarch::gateway::SavedQuarantine;
use banyanarch::gateway::UpstreamChange;
use banyanarch::gateway::UpstreamsRead;
use banyanarch::gateway::Watch;
use banyanarch::routing::RouteTable;
use banyanarch::units::FailureDomainId;
use banyanarch::units::HostId;
use banyanarch::units::ObjectVersion;
use banyanarch::units::QuarantineId;
use banyanarch::units::StoreEra;
use banyanarch::units::UpstreamId;
use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use indexmap::IndexMap;
use indexmap::IndexSet;

/// The state of the platform that all links read.
#[derive(Clone, Default)]
struct PlatformState {
    era: StoreEra,
    /// All manifests that were ever published. The text of a manifest is its index here.
    routes: Vec<RouteTable>,
    /// The manifests that the platform knows, by index in `routes`. The revision of a manifest is
    /// its index here plus one.
    published: Vec<usize>,
    upstreams: Vec<ListedUpstream>,
    /// All changes of the upstreams. The version of a change is its index plus one.
    changes: Vec<UpstreamChange>,
    /// The number of changes, from the first one, that are no longer available.
    forgotten: usize,
    hosts: Vec<ListedHost>,
    readers: IndexMap<FailureDomainId, ReaderEntry>,
    evacuated: IndexSet<FailureDomainId>,
    quarantines: IndexMap<QuarantineId, SavedQuarantine>,
    /// The number of changes of the evacuations.
    evacuation_changes: usize,
}

impl PlatformState {
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

/// A snapshot of the state of the platform.
pub struct Snapshot(PlatformState);

/// A link to the platform, shared by all hosts or used by one.
#[derive(Default)]
pub struct FakeCatalog {
    state: Arc<Mutex<PlatformState>>,
    is_unreachable: AtomicBool,
    is_panicking: AtomicBool,
    are_evacuations_unreadable: AtomicBool,
    are_hosts_unavailable: AtomicBool,
    reads: AtomicUsize,
    evacuation_reads: AtomicUsize,
    whole_reads: AtomicUsize,
    /// The addresses that this link reports for upstreams, by id, in place of the listed ones.
    addrs: Mutex<IndexMap<String, SocketAddr>>,
}

impl FakeCatalog {
    pub fn new(routes: RouteTable) -> Arc<Self> {
        let catalog = Self::default();
        catalog.publish(routes);
        Arc::new(catalog)
    }

    /// The same platform over a separate link, which can fail on its own.
    pub fn separate_link(&self) -> Arc<Self> {
        Arc::new(Self {
            state: Arc::clone(&self.state),
            ..Self::default()
        })
    }

    pub fn publish(&self, routes: RouteTable) {
        let mut state = self.state.lock().unwrap();
        let index = state.routes.len();
        state.routes.push(routes);
        state.published.push(index);
    }

    pub fn has_routes(&self) -> bool {
        !self.state.lock().unwrap().routes.is_empty()
    }

    /// Lists an upstream of a service; in id order by `id`.
    pub fn list(&self, id: &str, service: &str, addr: SocketAddr) {
        self.list_in("here", id, service, addr);
    }

    /// Lists an upstream of a service in a failure domain.
    pub fn list_in(&self, domain: &str, id: &str, service: &str, addr: SocketAddr) {
        let entry = listed_upstream(domain, id, service, addr);
        self.state.lock().unwrap().change(entry);
    }

    /// Lists an upstream of a service that is cold for this time.
    pub fn list_cold(&self, id: &str, service: &str, addr: SocketAddr, cold_left: Duration) {
        let entry = ListedUpstream {
            cold_left,
            ..listed_upstream("here", id, service, addr)
        };
        self.state.lock().unwrap().change(entry);
    }

    /// Lists an upstream of a service that processes this many requests concurrently.
    pub fn list_with_slots(&self, id: &str, service: &str, addr: SocketAddr, slots: u32) {
        let entry = ListedUpstream {
            slots,
            ..listed_upstream("here", id, service, addr)
        };
        self.state.lock().unwrap().change(entry);
    }

    /// Evacuates a failure domain.
    pub fn evacuate(&self, domain: &str) {
        let mut state = self.state.lock().unwrap();
        state.evacuated.insert(domain.parse().unwrap());
        state.evacuation_changes += 1;
    }

    /// Ends the evacuation of a failure domain.
    pub fn end_evacuation(&self, domain: &str) {
        let mut state = self.state.lock().unwrap();
        let domain: FailureDomainId = domain.parse().unwrap();
        state.evacuated.swap_remove(&domain);
        state.evacuation_changes += 1;
    }

    /// Makes reads of the evacuations fail or succeed.
    pub fn set_evacuations_unreadable(&self, are_unreadable: bool) {
        self.are_evacuations_unreadable
            .store(are_unreadable, Ordering::Relaxed);
    }

    /// Whether the list of hosts can be read.
    pub fn has_hosts(&self) -> bool {
        let is_unreachable = self.is_unreachable.load(Ordering::Relaxed);
        !is_unreachable && !self.are_hosts_unavailable.load(Ordering::Relaxed)
    }

    /// Makes reads and changes of the list of hosts fail.
    pub fn set_hosts_unavailable(&self) {
        self.are_hosts_unavailable.store(true, Ordering::Relaxed);
    }

    /// Accesses the list of hosts.
    fn respond_on_hosts<T>(
        &self,
        access: impl FnOnce(&mut Vec<ListedHost>) -> T,
    ) -> Result<T, CatalogError> {
        if self.are_hosts_unavailable.load(Ordering::Relaxed) {
            return Err(CatalogError::NoAnswer("hosts".to_owned()));
        }
        self.respond(|state| access(&mut state.hosts))
    }

    /// Restarts an upstream under the same name and returns its new id.
    pub fn restart(&self, name: &str, started: u64) -> UpstreamId {
        let mut state = self.state.lock().unwrap();
        let entry = state.upstreams.iter().find(|u| u.name.as_str() == name);
        let mut entry = entry.unwrap().clone();
        entry.id = UpstreamId::of_instance(&entry.name, Some(started));
        let id = entry.id.clone();
        state.change(entry);
        id
    }

    /// Marks an upstream as leaving.
    pub fn mark_leaving(&self, id: &str) {
        let mut state = self.state.lock().unwrap();
        let entry = state.upstreams.iter().find(|u| u.id.as_str() == id);
        let mut entry = entry.unwrap().clone();
        entry.is_leaving = true;
        state.change(entry);
    }

    /// Removes the entry of an upstream from the list.
    pub fn remove(&self, name: &str) {
        let mut state = self.state.lock().unwrap();
        state.upstreams.retain(|known| known.name.as_str() != name);
        let name = name.parse().unwrap();
        state.changes.push(UpstreamChange::Removed(name));
    }

    /// Drops the history of changes of the upstreams.
    pub fn forget_changes(&self) {
        let mut state = self.state.lock().unwrap();
        state.forgotten = state.changes.len();
    }

    /// A snapshot of the current state, for a later [`Self::restore`].
    pub fn snapshot(&self) -> Snapshot {
        Snapshot(self.state.lock().unwrap().clone())
    }

    /// Restores the platform from a snapshot, in its next era.
    pub fn restore(&self, copy: Snapshot) {
        let mut state = self.state.lock().unwrap();
        let era = StoreEra(state.era.0 + 1);
        let routes = std::mem::take(&mut state.routes);
        *state = PlatformState {
            era,
            routes,
            ..copy.0
        };
    }

    /// Makes the platform unreachable or reachable.
    pub fn set_unreachable(&self, is_unreachable: bool) {
        self.is_unreachable.store(is_unreachable, Ordering::Relaxed);
    }

    /// Makes reads of the upstreams panic.
    pub fn set_panicking(&self, is_panicking: bool) {
        self.is_panicking.store(is_panicking, Ordering::Relaxed);
    }

    /// How often the manifest was requested.
    pub fn reads(&self) -> usize {
        self.reads.load(Ordering::Relaxed)
    }

    /// How often the evacuations were requested.
    pub fn evacuation_reads(&self) -> usize {
        self.evacuation_reads.load(Ordering::Relaxed)
    }

    /// How often the complete list of upstreams was requested.
    pub fn whole_reads(&self) -> usize {
        self.whole_reads.load(Ordering::Relaxed)
    }

    /// Makes hosts that read over this link connect to an upstream at another address.
    pub fn replace_addr(&self, id: &str, addr: SocketAddr) {
        self.addrs.lock().unwrap().insert(id.to_owned(), addr);
    }

    fn with_replaced_addr(&self, mut listed: ListedUpstream) -> ListedUpstream {
        if let Some(addr) = self.addrs.lock().unwrap().get(listed.id.as_str()) {
            listed.addr = *addr;
        }
        listed
    }

    /// The quarantines that hosts have saved.
    pub fn saved_quarantines(&self) -> Vec<SavedQuarantine> {
        let state = self.state.lock().unwrap();
        state.quarantines.values().cloned().collect()
    }

    /// Saves a quarantine as a host does.
    pub fn add_quarantine(&self, quarantine: SavedQuarantine) {
        let mut state = self.state.lock().unwrap();
        state.quarantines.insert(quarantine.id(), quarantine);
    }

    pub fn listed_hosts(&self) -> Vec<ListedHost> {
        self.state.lock().unwrap().hosts.clone()
    }

    fn respond<T>(&self, read: impl FnOnce(&mut PlatformState) -> T) -> Result<T, CatalogError> {
        let mut state = self.state.lock().unwrap();
        if self.is_unreachable.load(Ordering::Relaxed) {
            return Err(CatalogError::NoAnswer("unreachable".to_owned()));
        }
        Ok(read(&mut state))
    }

    /// Waits until there is a change or the time of the watch is over. `version` returns the
    /// version of the last change.
    async fn wait(
        &self,
        watch: Option<Watch>,
        version: impl Fn(&PlatformState) -> usize,
    ) -> Result<ObjectVersion, CatalogError> {
        let last = || self.respond(|state| ObjectVersion::in_era(state.era, version(state) as u64));
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
        assert!(!self.is_panicking.load(Ordering::Relaxed), "panicking read");
        let as_of = Some(self.wait(watch, |state| state.changes.len()).await?);
        let Some(watch) = watch else {
            self.whole_reads.fetch_add(1, Ordering::Relaxed);
            let upstreams = self.respond(|state| state.upstreams.clone())?.into_iter();
            let upstreams = upstreams.map(|listed| self.with_replaced_addr(listed));
            let value = UpstreamsRead::Snapshot(upstreams.collect());
            return Ok(CatalogRead { value, as_of });
        };
        let changes = self.respond(|state| state.changes_since(watch.since))??;
        let changes = changes.into_iter().map(|change| match change {
            UpstreamChange::Upserted(listed) => {
                UpstreamChange::Upserted(self.with_replaced_addr(listed))
            }
            UpstreamChange::Removed(name) => UpstreamChange::Removed(name),
        });
        let value = UpstreamsRead::Delta(changes.collect());
        Ok(CatalogRead { value, as_of })
    }

    async fn read_evacuations(
        &self,
        watch: Option<Watch>,
    ) -> Result<CatalogRead<EvacuationsRead>, CatalogError> {
        if self.are_evacuations_unreadable.load(Ordering::Relaxed) {
            return Err(CatalogError::NoAnswer("evacuations".to_owned()));
        }
        let as_of = Some(self.wait(watch, |state| state.evacuation_changes).await?);
        let value = if watch.is_some_and(|watch| Some(watch.since) == as_of) {
            EvacuationsRead::Unchanged
        } else {
            self.respond(|state| EvacuationsRead::Snapshot(state.evacuated.clone()))?
        };
        Ok(CatalogRead { value, as_of })
    }

    async fn read_routes(
        &self,
        known: Option<ObjectVersion>,
        watch: Option<Watch>,
    ) -> Result<CatalogRead<RoutesRead>, CatalogError> {
        let version = self.wait(watch, |state| state.published.len()).await?;
        let index = version.revision().checked_sub(1);
        let index = usize::try_from(index.ok_or(CatalogError::NotFound)?).unwrap();
        let index = self.respond(|state| state.published[index])?;
        let value = if known == Some(version) {
            RoutesRead::Unchanged
        } else {
            let text = index.to_string();
            RoutesRead::Changed { version, text }
        };
        let as_of = Some(version);
        Ok(CatalogRead { value, as_of })
    }
}

fn listed_upstream(domain: &str, id: &str, service: &str, addr: SocketAddr) -> ListedUpstream {
    ListedUpstream {
        id: id.parse().unwrap(),
        name: id.parse().unwrap(),
        service: service.parse().unwrap(),
        addr,
        domain: domain.parse().unwrap(),
        slots: 16,
        cold_left: Duration::ZERO,
        is_leaving: false,
    }
}

fn merge_quarantine(state: &mut PlatformState, mut quarantine: SavedQuarantine) {
    if let Some(known) = state.quarantines.get(&quarantine.id()) {
        quarantine.merge(known);
    }
    state.quarantines.insert(quarantine.id(), quarantine);
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

    fn quarantines(&self) -> BoxFuture<'_, Result<Vec<SavedQuarantine>, CatalogError>> {
        let read = self.respond(|state| state.quarantines.values().cloned().collect());
        async move { read }.boxed()
    }

    fn save_quarantine(
        &self,
        quarantine: SavedQuarantine,
    ) -> BoxFuture<'_, Result<(), CatalogError>> {
        let saved = self.respond(|state| merge_quarantine(state, quarantine));
        async move { saved }.boxed()
    }

    fn claim_probe(
        &self,
        quarantine: SavedQuarantine,
    ) -> BoxFuture<'_, Result<ProbeClaim, CatalogError>> {
        let claimed = self.respond(|state| match state.quarantines.get(&quarantine.id()) {
            Some(known) if known.probes.len() >= quarantine.probes.len() => {
                ProbeClaim::Taken(known.clone())
            }
            _ => {
                merge_quarantine(state, quarantine);
                ProbeClaim::Claimed
            }
        });
        async move { claimed }.boxed()
    }

    fn delete_quarantine(&self, id: QuarantineId) -> BoxFuture<'_, Result<(), CatalogError>> {
        let deleted = self.respond(|state| state.quarantines.shift_remove(&id));
        async move { deleted?.map(|_| ()).ok_or(CatalogError::NotFound) }.boxed()
    }

    fn decode_routes(&self, text: &str) -> Result<RouteTable, CatalogError> {
        let index: usize = text.parse().unwrap();
        Ok(self.state.lock().unwrap().routes[index].clone())
    }

    fn upstreams(
        &self,
        watch: Option<Watch>,
    ) -> BoxFuture<'_, Result<CatalogRead<UpstreamsRead>, CatalogError>> {
        self.read_upstreams(watch).boxed()
    }

    fn evacuations(
        &self,
        watch: Option<Watch>,
    ) -> BoxFuture<'_, Result<CatalogRead<EvacuationsRead>, CatalogError>> {
        self.evacuation_reads.fetch_add(1, Ordering::Relaxed);
        self.read_evacuations(watch).boxed()
    }

    fn hosts(&self) -> BoxFuture<'_, Result<Vec<ListedHost>, CatalogError>> {
        let read = self.respond_on_hosts(|hosts| hosts.clone());
        async move { read }.boxed()
    }

    fn starting_reader(
        &self,
        domain: FailureDomainId,
    ) -> BoxFuture<'_, Result<Option<ReaderEntry>, CatalogError>> {
        let read = self.respond(|state| state.readers.get(&domain).cloned());
        async move { read }.boxed()
    }

    fn claim_starting_reader(
        &self,
        domain: FailureDomainId,
        claim: ReaderClaim,
    ) -> BoxFuture<'_, Result<ReaderEntry, CatalogError>> {
        let claimed = self.respond(|state| {
            let known = state.readers.get(&domain);
            if known.map(|known| known.version) != claim.replaces {
                return known.cloned().expect("an entry is never removed");
            }
            let version = known.map_or(1, |known| known.version.0 + 1);
            let entry = ReaderEntry {
                host: claim.host,
                addr: claim.addr,
                version: ObjectVersion(version),
            };
            state.readers.insert(domain, entry.clone());
            entry
        });
        async move { claimed }.boxed()
    }

    fn register_host(&self, host: ListedHost) -> BoxFuture<'_, Result<(), CatalogError>> {
        let done = self.respond_on_hosts(|hosts| hosts.push(host));
        async move { done }.boxed()
    }

    fn deregister_host(&self, host: HostId) -> BoxFuture<'_, Result<(), CatalogError>> {
        let done = self.respond_on_hosts(|hosts| hosts.retain(|listed| listed.host != host));
        async move { done }.boxed()
    }
}
