//! Keeps what a host believes in step with the platform.
//!
//! The lists are read again and again: the platform waits a while for a change and then answers, whether
//! there was one or not. A long watch that hears nothing would prove nothing, since its connection may have
//! gone silent, while each answered read renews the lease on the keys.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use indexmap::IndexSet;
use tokio::time::sleep;

use crate::exchange::ListedHost;
use crate::gateway::Catalog;
use crate::gateway::Event;
use crate::gateway::Gateway;
use crate::gateway::ListedUpstream;
use crate::gateway::RoutesUpdate;
use crate::gateway::broadcast_hosts::ToldHosts;
use crate::gateway::catalog_sharing::ReadError;
use crate::gateway::catalog_sharing::Reader;
use crate::gateway::catalog_sharing::Source;
use crate::gateway::catalog_sharing::WATCH_WAIT;
use crate::gateway::dependency::Dependency;
use crate::gateway::dependency::FAILED_INTERVAL;
use crate::gateway::leaving_upstreams::Departed;
use crate::routing::RouteTable;
use crate::units::ObjectVersion;
use crate::units::StoreEra;
use crate::units::UpstreamId;

/// Between the beginnings of two reads of the manifest or of the upstreams, if the platform or another
/// host answers at once: as long as the platform waits for a change. A change has to be in force, and an
/// upstream that leaves to be left alone, within 2 s: this leaves room for one failed read.
const READ_INTERVAL: Duration = WATCH_WAIT;
/// Between two reads of the hosts, which change seldom; news of one that is missing is lost until
/// then, or until it is heard.
const HOSTS_INTERVAL: Duration = Duration::from_millis(2_000);
/// Between two reads for the sake of hosts that were heard and are not on the list.
const STRANGERS_INTERVAL: Duration = Duration::from_millis(500);

/// Reads the manifest for as long as the process runs.
pub(crate) async fn sync_routes(gateway: Arc<Gateway>, catalog: Arc<dyn Catalog>) {
    let mut reader = Reader::new(Arc::clone(&gateway), Arc::clone(&catalog));
    let mut dependency = Dependency::new(&gateway, "manifest");
    // A manifest that can't be decoded, or that is older than the one in force, is not in force, so reading it again
    // renews no lease.
    let mut is_understood = true;
    let mut source = Source::Any;
    loop {
        let asked_at = gateway.clock.now();
        let before = gateway.catalog_cache.routes_version();
        let read = reader.routes(source).await;
        note_return(&gateway, before);
        let read = read.and_then(|read| {
            if let Some(text) = &read.changed {
                is_understood = false;
                is_understood = put_in_force(&gateway, catalog.decode_routes(text)?);
            }
            Ok(read)
        });
        dependency.on_read(asked_at, &read);
        let goes_on = read.as_ref().is_ok_and(|read| read.goes_on);
        if let Ok(read) = read
            && is_understood
        {
            gateway.platform_view.prove_fresh(read.proved_at);
        }
        let due_at = next_at(asked_at, goes_on);
        let news = &gateway.routes_news;
        source = dependency.next_read(due_at, news).await;
    }
}

/// When the next read is due after one that was answered.
fn next_at(asked_at: Instant, goes_on: bool) -> Instant {
    if goes_on {
        asked_at
    } else {
        asked_at + READ_INTERVAL
    }
}

/// Puts a manifest in force unless a newer one is. Returns whether it is in force now.
fn put_in_force(gateway: &Gateway, routes: RouteTable) -> bool {
    let generation = routes.generation;
    let event = Event::ManifestInForce {
        generation: generation.0,
        routes: routes.route_count(),
        keys: routes.keys.len(),
    };
    match gateway.platform_view.set_routes(routes) {
        RoutesUpdate::Applied => {
            gateway.load_changed.notify_one();
            gateway.log.note(event);
            true
        }
        RoutesUpdate::Unchanged => true,
        RoutesUpdate::Stale { in_force } => {
            gateway.log.note(Event::ManifestOlder {
                in_force: in_force.0,
                generation: generation.0,
            });
            false
        }
    }
}

/// Logs that the store has come back from an older copy, if the manifest that is held is of another era than the one
/// before.
fn note_return(gateway: &Gateway, before: ObjectVersion) {
    let held = gateway.catalog_cache.routes_version();
    if before == ObjectVersion::default() || before.era() == held.era() {
        return;
    }
    gateway.meters.store_returned();
    gateway.log.note(Event::StoreReturned {
        former_era: before.era().0,
        era: held.era().0,
        former_revision: before.revision(),
        revision: held.revision(),
    });
    gateway.upstreams_news.notify_one();
    gateway.hosts_news.notify_one();
}

/// Reads the upstreams for as long as the process runs.
pub(crate) async fn sync_upstreams(gateway: Arc<Gateway>, catalog: Arc<dyn Catalog>) {
    let mut reader = Reader::new(Arc::clone(&gateway), catalog);
    let mut known: IndexSet<UpstreamId> = IndexSet::new();
    let mut departed = Departed::default();
    let mut dependency = Dependency::new(&gateway, "upstreams");
    let mut source = Source::Any;
    loop {
        let asked_at = gateway.clock.now();
        let read = reader.upstreams(source).await;
        dependency.on_read(asked_at, &read);
        let goes_on = read.as_ref().is_ok_and(|read| read.goes_on);
        if read.is_ok_and(|read| read.changed.is_some())
            && let Some(listed) = gateway.catalog_cache.upstreams()
        {
            let listed = departed.mark(listed.to_vec(), gateway.clock.now());
            known = take_in_upstreams(&gateway, listed, &known);
        }
        let due_at = next_at(asked_at, goes_on);
        let news = &gateway.upstreams_news;
        source = dependency.next_read(due_at, news).await;
    }
}

/// Takes in a list of upstreams, of which those in `known` were not leaving before. Returns those that are
/// not now.
fn take_in_upstreams(
    gateway: &Gateway,
    listed: Vec<ListedUpstream>,
    known: &IndexSet<UpstreamId>,
) -> IndexSet<UpstreamId> {
    gateway.load_changed.notify_one();
    let staying = listed.iter().filter(|upstream| !upstream.is_leaving);
    let staying: IndexSet<UpstreamId> = staying.map(|u| u.id.clone()).collect();
    let health = gateway.health();
    let restarted = gateway
        .incarnations
        .update(&listed, |id| health.lost_at(id));
    drop(health);
    let usable = gateway.platform_view.set_upstreams(listed);
    gateway.health().keep(|id| staying.contains(id));
    let now = gateway.clock.now();
    gateway.ledger().keep(|id| staying.contains(id), now);
    gateway.rate_limits.keep(|id| staying.contains(id));
    note_changes(gateway, known, &staying, &restarted, usable);
    staying
}

fn note_changes(
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
        gateway.log.note(Event::UpstreamsChanged {
            usable,
            joined,
            left,
            restarted: restarted.iter().map(ToString::to_string).collect(),
        });
    }
}

/// Puts this host on the list and reads the others, for as long as the process runs.
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
    let mut dependency = Dependency::new(&gateway, "hosts");
    let mut reader = Reader::new(Arc::clone(&gateway), Arc::clone(&catalog));
    let mut source = Source::Any;
    let mut told = ToldHosts::new(own.clone());
    let mut is_announced = false;
    let mut announced_in = StoreEra::default();
    loop {
        let asked_at = gateway.clock.now();
        let era = gateway.catalog_cache.routes_version().era();
        // An entry that was written in an earlier era may be gone.
        is_announced &= announced_in >= era;
        if !is_announced {
            let announced = catalog.register_host(own.clone()).await;
            is_announced = announced.is_ok();
            announced_in = era;
            dependency.on_call(asked_at, &announced);
        }
        let read = reader.hosts(source).await;
        dependency.on_read(asked_at, &read);
        source = match read {
            Err(ReadError::OthersStale) => Source::Platform,
            _ => Source::Any,
        };
        if let Ok(Some(hosts)) = read {
            told.set_listed(hosts, gateway.clock.now());
        }
        let hosts = told.hosts(gateway.clock.now());
        if *gateway.platform_view.hosts() != hosts {
            gateway.platform_view.set_hosts(hosts);
        }
        gateway.ledger().forget_silent(gateway.clock.now());
        let interval = hosts_interval(&gateway, is_announced, &dependency);
        let soonest = interval.min(STRANGERS_INTERVAL);
        sleep(soonest).await;
        tokio::select! {
            () = sleep(interval - soonest) => {}
            () = gateway.hosts_news.notified(), if is_announced => {}
        }
    }
}

/// The time until the next read of the hosts.
fn hosts_interval(gateway: &Gateway, is_announced: bool, dependency: &Dependency) -> Duration {
    let now = gateway.clock.now();
    if !is_announced {
        // Until it is on the list nobody sends news here.
        dependency.interval(FAILED_INTERVAL)
    } else if gateway.ledger().peers_heard(now) == 0 {
        // Where all hosts start together the first read shows few of them, and one that knows no other
        // reads everything from the platform itself.
        dependency
            .interval(STRANGERS_INTERVAL)
            .max(STRANGERS_INTERVAL)
    } else {
        dependency.interval(HOSTS_INTERVAL).max(HOSTS_INTERVAL)
    }
}
