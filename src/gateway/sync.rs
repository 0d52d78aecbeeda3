//! Keeps what a host believes in step with the platform.
//!
//! The lists are read again and again rather than watched: a watch that hears nothing proves
//! nothing, since its connection may have gone silent, while each answered read renews the lease on
//! the keys.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexSet;
use tokio::time::sleep;

use crate::exchange::ListedHost;
use crate::exchange::is_large_fleet;
use crate::gateway::Catalog;
use crate::gateway::Event;
use crate::gateway::Gateway;
use crate::gateway::dependency::Dependency;
use crate::gateway::dependency::FAILED_INTERVAL;
use crate::gateway::share::Reader;
use crate::gateway::share::Way;
use crate::routing::RouteTable;
use crate::units::UpstreamId;

/// Between two reads of the manifest. A change has to be in force within 2 s of its acceptance: this
/// leaves room for one failed read.
const ROUTES_INTERVAL: Duration = Duration::from_millis(600);
/// Between two reads of the upstreams. One that leaves must get no new request 2 s after it said so.
const UPSTREAMS_INTERVAL: Duration = Duration::from_millis(600);
/// Between two reads of the hosts, which change seldom; news of one that is missing is lost until
/// then, or until it is heard.
const HOSTS_INTERVAL: Duration = Duration::from_millis(2_000);
/// The same in a large fleet, where each of its hosts reads the whole list: with 195 hosts a third of
/// all calls to the platform.
const HOSTS_INTERVAL_LARGE: Duration = Duration::from_millis(6_000);
/// Between two reads for the sake of hosts that were heard and are not on the list.
const STRANGERS_INTERVAL: Duration = Duration::from_millis(500);
/// Reads the manifest for as long as the process runs.
pub(crate) async fn keep_routes(gateway: Arc<Gateway>, catalog: Arc<dyn Catalog>) {
    let mut reader = Reader::new(Arc::clone(&gateway), Arc::clone(&catalog));
    let mut dependency = Dependency::new(&gateway, "manifest");
    // A manifest that can't be decoded is not in force, so reading it again renews no lease.
    let mut is_understood = true;
    let mut way = Way::Any;
    loop {
        let asked_at = gateway.clock.now();
        let read = reader.routes(way).await;
        let read = read.and_then(|read| {
            if let Some(text) = &read.changed {
                is_understood = false;
                put_in_force(&gateway, catalog.decode_routes(text)?);
                is_understood = true;
            }
            Ok(read)
        });
        dependency.on_read(asked_at, &read);
        if let Ok(read) = read
            && is_understood
        {
            gateway.beliefs.prove_fresh(read.proved_at);
        }
        let news = &gateway.routes_news;
        way = dependency.next_read(ROUTES_INTERVAL, news).await;
    }
}

fn put_in_force(gateway: &Gateway, routes: RouteTable) {
    let event = Event::ManifestInForce {
        generation: routes.generation.0,
        routes: routes.route_count(),
        keys: routes.keys.len(),
    };
    if gateway.beliefs.set_routes(routes) {
        gateway.load_changed.notify_one();
        gateway.log.note(event);
    }
}

/// Reads the upstreams for as long as the process runs.
pub(crate) async fn keep_upstreams(gateway: Arc<Gateway>, catalog: Arc<dyn Catalog>) {
    let mut reader = Reader::new(Arc::clone(&gateway), catalog);
    let mut known: IndexSet<UpstreamId> = IndexSet::new();
    let mut dependency = Dependency::new(&gateway, "upstreams");
    let mut way = Way::Any;
    loop {
        let asked_at = gateway.clock.now();
        let read = reader.upstreams(way).await;
        dependency.on_read(asked_at, &read);
        if let Ok(true) = read
            && let Some(listed) = gateway.held.upstreams()
        {
            gateway.load_changed.notify_one();
            let staying = listed.iter().filter(|upstream| !upstream.is_leaving);
            let staying: IndexSet<UpstreamId> = staying.map(|u| u.id.clone()).collect();
            let health = gateway.health();
            let restarted = gateway.lives.take_in(&listed, |id| health.lost_at(id));
            drop(health);
            let usable = gateway.beliefs.set_upstreams(listed.to_vec());
            gateway.health().keep(|id| staying.contains(id));
            let now = gateway.clock.now();
            gateway.ledger().keep(|id| staying.contains(id), now);
            note_changes(&gateway, &known, &staying, &restarted, usable);
            known = staying;
        }
        let news = &gateway.upstreams_news;
        way = dependency.next_read(UPSTREAMS_INTERVAL, news).await;
    }
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
pub(crate) async fn keep_hosts(
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
    let mut is_announced = false;
    loop {
        let asked_at = gateway.clock.now();
        if !is_announced {
            let announced = catalog.announce(own.clone()).await;
            is_announced = announced.is_ok();
            dependency.on_call(asked_at, &announced);
        }
        let read = catalog.hosts().await;
        dependency.on_call(asked_at, &read);
        if let Ok(mut hosts) = read {
            if !hosts.iter().any(|listed| listed.host == own.host) {
                // The list may be seconds old.
                hosts.push(own.clone());
            }
            gateway.beliefs.set_hosts(hosts);
        }
        gateway.ledger().forget_silent(gateway.clock.now());
        // Until it is on the list nobody sends news here.
        let answered = if !is_announced {
            FAILED_INTERVAL
        } else if is_large_fleet(gateway.beliefs.hosts().len()) {
            HOSTS_INTERVAL_LARGE
        } else {
            HOSTS_INTERVAL
        };
        let interval = dependency.interval(answered);
        let soonest = interval.min(STRANGERS_INTERVAL);
        sleep(soonest).await;
        tokio::select! {
            () = sleep(interval - soonest) => {}
            () = gateway.hosts_news.notified(), if is_announced => {}
        }
    }
}
