//! Tasks that keep a host's [`PlatformView`](crate::gateway::PlatformView) in sync with the
//! platform.
//!
//! Each list is read repeatedly: the platform waits a while for a change and then responds, whether
//! there was one or not. A long watch that delivers nothing would not confirm anything, since its
//! connection may be dead, while each response renews the lease on the keys.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use indexmap::IndexSet;
use tokio::time::sleep;

use crate::decide::ReturnedUpstreams;
use crate::exchange::ListedHost;
use crate::gateway::Catalog;
use crate::gateway::DecisionEvent;
use crate::gateway::Gateway;
use crate::gateway::ListedUpstream;
use crate::gateway::RoutesUpdate;
use crate::gateway::broadcast_hosts::BroadcastHosts;
use crate::gateway::catalog_sharing::CatalogReader;
use crate::gateway::catalog_sharing::ListKind;
use crate::gateway::catalog_sharing::ReadError;
use crate::gateway::catalog_sharing::ReadSource;
use crate::gateway::catalog_sharing::WATCH_WAIT;
use crate::gateway::dependency::Dependency;
use crate::gateway::dependency::RETRY_INTERVAL;
use crate::routing::RouteTable;
use crate::units::Generation;
use crate::units::ObjectVersion;
use crate::units::StoreEra;
use crate::units::UpstreamId;

/// Interval between the starts of two reads of the manifest or of the upstreams if the platform or
/// another host responds without waiting; it equals the time for which the platform waits for a
/// change. A change has to be in force, and an upstream that is leaving must get no more requests,
/// within 2 s: this interval leaves time for one failed read.
const READ_INTERVAL: Duration = WATCH_WAIT;
/// Interval between two reads of the hosts, which change rarely. A host that is missing from the
/// list gets no updates until the next read, which an update of that host triggers early.
const HOSTS_INTERVAL: Duration = Duration::from_millis(2_000);
/// The uptime within which a host that starts hears which manifest others have in force.
const HEARS_WITHIN: Duration = Duration::from_secs(2);
/// The interval at which that is checked.
const HEARING_INTERVAL: Duration = Duration::from_millis(20);
/// Shortest interval between two reads of the hosts that are triggered by updates of unknown hosts.
const UNLISTED_INTERVAL: Duration = Duration::from_millis(500);

/// Reads the manifest, puts each newer one in force, and renews the lease on it, for as long as the
/// process runs.
pub(crate) async fn sync_routes(gateway: Arc<Gateway>, catalog: Arc<dyn Catalog>) {
    let mut reader = CatalogReader::new(Arc::clone(&gateway), Arc::clone(&catalog));
    let mut dependency = Dependency::new(&gateway, ListKind::Routes);
    // Whether the manifest that was read last is in force. One that can't be decoded or is older
    // than the one in force is not put in force, and reading it again renews no lease.
    let mut is_in_force = true;
    // A manifest that was read and waits until no other host has a newer one in force.
    let mut pending: Option<RouteTable> = None;
    let mut source = ReadSource::Any;
    gateway.starting_reader_found().await;
    loop {
        let requested_at = gateway.clock.now();
        let before = gateway.catalog_cache.routes_version();
        let read = reader.routes(source).await;
        log_store_return(&gateway, before);
        let read = read.and_then(|read| {
            if let Some(text) = &read.changed {
                is_in_force = false;
                pending = None;
                pending = Some(catalog.decode_routes(text)?);
            }
            Ok(read)
        });
        if let Some(routes) = pending.take() {
            wait_for_generation(&gateway).await;
            if let Some(in_force) = newer_elsewhere(&gateway, routes.generation) {
                if read.as_ref().is_ok_and(|read| read.changed.is_some()) {
                    log_older(&gateway, in_force, routes.generation);
                }
                // What other hosts have in force is forgotten when they are gone.
                pending = Some(routes);
            } else {
                is_in_force = apply_manifest(&gateway, routes);
            }
        }
        dependency.on_read(requested_at, &read);
        let has_more = read.as_ref().is_ok_and(|read| read.has_more);
        if let Ok(read) = read
            && is_in_force
        {
            gateway.platform_view.confirm_fresh(read.confirmed_at);
        }
        let due_at = next_read_at(requested_at, has_more);
        let wakeup = &gateway.routes_changed;
        source = dependency.wait_for_next_read(due_at, wakeup).await;
    }
}

/// Waits until this host has heard which manifest others have in force, if it has none and the store
/// was restored at some time, so that it may hold an older one.
async fn wait_for_generation(gateway: &Gateway) {
    let is_restored = gateway.catalog_cache.routes_version().era() != StoreEra::default();
    loop {
        let now = gateway.clock.now();
        let uptime = now.saturating_duration_since(gateway.started_at);
        let has_heard = gateway.heard_generation.get(now).is_some();
        let has_own = gateway.platform_view.routes().is_some();
        if !is_restored || has_heard || has_own || uptime >= HEARS_WITHIN {
            return;
        }
        sleep(HEARING_INTERVAL).await;
    }
}

/// When the next read is due after one that succeeded: at once if newer content may follow.
fn next_read_at(requested_at: Instant, has_more: bool) -> Instant {
    if has_more {
        requested_at
    } else {
        requested_at + READ_INTERVAL
    }
}

/// Puts a manifest in force unless a newer one is, and logs the result. Returns whether the
/// manifest is in force now.
fn apply_manifest(gateway: &Gateway, routes: RouteTable) -> bool {
    let generation = routes.generation;
    let event = DecisionEvent::ManifestInForce {
        generation: generation.0,
        routes: routes.route_count(),
        keys: routes.keys.len(),
    };
    match gateway.platform_view.set_routes(routes) {
        RoutesUpdate::Applied => {
            gateway.apply_cold_limits();
            if let Some(routes) = gateway.platform_view.routes() {
                gateway.retain_listed_customers(&routes);
            }
            gateway.load_changed.notify_one();
            gateway.log.record(event);
            true
        }
        RoutesUpdate::Unchanged => true,
        RoutesUpdate::Stale { in_force } => {
            log_older(gateway, in_force, generation);
            false
        }
    }
}

/// Logs that the platform has an older manifest than the one in force.
fn log_older(gateway: &Gateway, in_force: Generation, generation: Generation) {
    gateway.log.record(DecisionEvent::ManifestOlder {
        in_force: in_force.0,
        generation: generation.0,
    });
}

/// The generation that other hosts have in force if this host has no manifest and it is newer than
/// this one.
fn newer_elsewhere(gateway: &Gateway, generation: Generation) -> Option<Generation> {
    if gateway.platform_view.routes().is_some() {
        return None;
    }
    let heard = gateway.heard_generation.get(gateway.clock.now())?;
    (heard > generation).then_some(heard)
}

/// If the cached manifest is of another era than the version `before`, the store was restored from
/// an older copy: logs this, and wakes the tasks that read the upstreams and the hosts.
fn log_store_return(gateway: &Gateway, before: ObjectVersion) {
    let current = gateway.catalog_cache.routes_version();
    if before == ObjectVersion::default() || before.era() == current.era() {
        return;
    }
    gateway.metrics.record_store_return();
    gateway.log.record(DecisionEvent::StoreReturned {
        former_era: before.era().0,
        era: current.era().0,
        former_revision: before.revision(),
        revision: current.revision(),
    });
    gateway.upstreams_changed.notify_one();
    gateway.evacuations_changed.notify_one();
    gateway.hosts_changed.notify_one();
    gateway.quarantines_changed.notify_one();
}

/// Reads the upstreams and applies their changes for as long as the process runs.
pub(crate) async fn sync_upstreams(gateway: Arc<Gateway>, catalog: Arc<dyn Catalog>) {
    let mut reader = CatalogReader::new(Arc::clone(&gateway), catalog);
    let mut known: IndexSet<UpstreamId> = IndexSet::new();
    let mut returned = ReturnedUpstreams::default();
    let mut dependency = Dependency::new(&gateway, ListKind::Upstreams);
    let mut source = ReadSource::Any;
    gateway.starting_reader_found().await;
    loop {
        let requested_at = gateway.clock.now();
        let read = reader.upstreams(source).await;
        dependency.on_read(requested_at, &read);
        let has_more = read.as_ref().is_ok_and(|read| read.has_more);
        if read.is_ok_and(|read| read.changed.is_some())
            && let Some(listed) = gateway.catalog_cache.upstreams()
        {
            let mut listed = listed.to_vec();
            gateway.hold_returned(&listed, &mut returned);
            gateway.mark_leaving(&mut listed);
            known = apply_upstreams(&gateway, listed, &known);
        }
        let due_at = next_read_at(requested_at, has_more);
        let wakeup = &gateway.upstreams_changed;
        source = dependency.wait_for_next_read(due_at, wakeup).await;
    }
}

/// Reads the evacuations and applies their changes for as long as the process runs.
pub(crate) async fn sync_evacuations(gateway: Arc<Gateway>, catalog: Arc<dyn Catalog>) {
    let mut reader = CatalogReader::new(Arc::clone(&gateway), catalog);
    let mut dependency = Dependency::new(&gateway, ListKind::Evacuations);
    let mut evacuated = Arc::default();
    let mut source = ReadSource::Any;
    gateway.starting_reader_found().await;
    loop {
        let requested_at = gateway.clock.now();
        let read = reader.evacuations(source).await;
        dependency.on_read(requested_at, &read);
        if read.is_ok_and(|read| read.changed.is_some()) {
            evacuated = gateway.apply_evacuations(&evacuated);
        }
        let due_at = next_read_at(requested_at, false);
        let wakeup = &gateway.evacuations_changed;
        source = dependency.wait_for_next_read(due_at, wakeup).await;
    }
}

/// Applies a list of upstreams: replaces the usable ones, drops the state of all others, and logs
/// which ones joined and left. `before` and the result are the upstreams that are not leaving.
fn apply_upstreams(
    gateway: &Gateway,
    listed: Vec<ListedUpstream>,
    before: &IndexSet<UpstreamId>,
) -> IndexSet<UpstreamId> {
    gateway.load_changed.notify_one();
    let staying = listed.iter().filter(|upstream| !upstream.is_leaving);
    let staying: IndexSet<UpstreamId> = staying.map(|u| u.id.clone()).collect();
    let health = gateway.health();
    let restarted = gateway
        .incarnations
        .update(&listed, |id| health.lost_at(id));
    drop(health);
    let all: IndexSet<&UpstreamId> = listed.iter().map(|upstream| &upstream.id).collect();
    for ended in before.iter().filter(|id| !all.contains(id)) {
        gateway.on_upstream_ended(ended, "not_listed");
    }
    gateway.mark_evacuated(&listed);
    gateway.apply_cold_limits();
    let usable = gateway.platform_view.set_upstreams(listed);
    gateway.health().retain(|id| staying.contains(id));
    gateway.paths().retain(|id| staying.contains(id));
    let now = gateway.clock.now();
    gateway
        .ledger()
        .retain_listed(|id| staying.contains(id), now);
    gateway.rate_limits.retain(|id| staying.contains(id));
    gateway
        .malformed_notices
        .retain(|(id, _)| staying.contains(id));
    log_upstream_changes(gateway, before, &staying, &restarted, usable);
    staying
}

fn log_upstream_changes(
    gateway: &Gateway,
    before: &IndexSet<UpstreamId>,
    after: &IndexSet<UpstreamId>,
    restarted: &[UpstreamId],
    usable: usize,
) {
    let names = |ids: indexmap::set::Difference<'_, UpstreamId, _>| {
        ids.map(ToString::to_string).collect::<Vec<String>>()
    };
    let joined = names(after.difference(before));
    let left = names(before.difference(after));
    if !joined.is_empty() || !left.is_empty() {
        gateway.log.record(DecisionEvent::UpstreamsChanged {
            usable,
            joined,
            left,
            restarted: restarted.iter().map(ToString::to_string).collect(),
        });
    }
}

/// Registers this host on the platform's list and reads the other hosts for as long as the process
/// runs.
pub(crate) async fn sync_hosts(
    gateway: Arc<Gateway>,
    catalog: Arc<dyn Catalog>,
    exchange_addr: SocketAddr,
) {
    let own = ListedHost {
        host: gateway.conf.host.clone(),
        domain: gateway.conf.domain.clone(),
        exchange_addr,
        processors: Some(gateway.conf.processors),
    };
    let mut dependency = Dependency::new(&gateway, ListKind::Hosts);
    let mut reader = CatalogReader::new(Arc::clone(&gateway), Arc::clone(&catalog));
    let mut source = ReadSource::Any;
    gateway.starting_reader_found().await;
    let mut broadcast_hosts = BroadcastHosts::new(own.clone(), gateway.conf.retry_bound.window);
    let mut is_registered = false;
    let mut registered_in = StoreEra::default();
    loop {
        let requested_at = gateway.clock.now();
        let era = gateway.catalog_cache.routes_version().era();
        // An entry that was written in an earlier era may be lost.
        is_registered &= registered_in >= era;
        if !is_registered {
            let registered = catalog.register_host(own.clone()).await;
            is_registered = registered.is_ok();
            registered_in = era;
            dependency.on_call(requested_at, &registered);
        }
        let read = reader.hosts(source).await;
        dependency.on_read(requested_at, &read);
        source = match read {
            Err(ReadError::PeersStale) if !gateway.awaits_starting_reader() => ReadSource::Platform,
            _ => ReadSource::Any,
        };
        if let Ok(Some(hosts)) = read {
            broadcast_hosts.set_listed(hosts, gateway.clock.now());
        }
        let hosts = broadcast_hosts.hosts(gateway.clock.now());
        let sharing_hosts = broadcast_hosts.has_list().then_some(hosts.len());
        gateway.platform_view.set_sharing_hosts(sharing_hosts);
        if *gateway.platform_view.hosts() != hosts {
            gateway.platform_view.set_hosts(hosts);
        }
        gateway.ledger().expire_peers(gateway.clock.now());
        let interval = hosts_interval(&gateway, is_registered, &dependency);
        let interval_min = interval.min(UNLISTED_INTERVAL);
        sleep(interval_min).await;
        tokio::select! {
            () = sleep(interval - interval_min) => {}
            () = gateway.hosts_changed.notified(), if is_registered => {}
        }
    }
}

/// The time until the next read of the hosts: shortest until this host is listed, longer while no
/// peer has been heard, and longest otherwise. After failed reads it is at least the retry interval
/// of the dependency.
fn hosts_interval(gateway: &Gateway, is_registered: bool, dependency: &Dependency) -> Duration {
    let now = gateway.clock.now();
    if !is_registered {
        // Until this host is on the list, other hosts send it no updates.
        dependency.interval(RETRY_INTERVAL)
    } else if gateway.ledger().live_peer_count(now) == 0 {
        // If all hosts start together, the first read returns few of them, and a host that knows no
        // others reads everything from the platform itself.
        dependency
            .interval(UNLISTED_INTERVAL)
            .max(UNLISTED_INTERVAL)
    } else {
        dependency.interval(HOSTS_INTERVAL).max(HOSTS_INTERVAL)
    }
}
