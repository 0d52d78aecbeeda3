//! Polls engines for reports on their speed.
//!
//! If a fifth of the engines works at a third of the normal speed for some seconds and goes on
//! getting as much work as the others, every answer there pauses for too long, and prompts that
//! several engines read wait for the slowest of them. So one host of each failure domain polls the
//! engines of the domain and broadcasts the result, and placement takes the actual speed of each
//! engine into account.

use std::sync::Arc;
use std::time::Duration;

use log::debug;
use tokio::time::sleep;
use tokio::time::sleep_until;

use crate::exchange::ListedHost;
use crate::exchange::strongest_host;
use crate::gateway::DecisionEvent;
use crate::gateway::EngineEndpoint;
use crate::gateway::Gateway;
use crate::gateway::ListedUpstream;

/// Interval between two polls of an engine that has work. A report is up to 200 ms old, so all
/// hosts know of a slow engine after 1.5 s at most. Polling twice as often would cost engines more
/// connections than requests do at night.
const POLL_INTERVAL: Duration = Duration::from_millis(1_200);
/// Shortest time between two polls by one host, each of which costs it a connection and 0.1 ms. In
/// domains with more engines than fit into [`POLL_INTERVAL`] at this spacing, each engine is polled
/// less often.
const POLL_SPACING_MIN: Duration = Duration::from_millis(5);

/// Polls the engines of this failure domain for as long as the process runs. Does nothing while
/// another host of the domain is the one that polls.
pub(crate) async fn poll_engine_reports(gateway: Arc<Gateway>) {
    loop {
        let started_at = gateway.clock.now();
        if is_polling_host(&gateway) {
            let engines = busy_engines(&gateway);
            let count = u32::try_from(engines.len()).unwrap_or(u32::MAX).max(1);
            let spacing = (POLL_INTERVAL / count).max(POLL_SPACING_MIN);
            for engine in engines {
                tokio::spawn(poll_engine(Arc::clone(&gateway), engine));
                sleep(spacing).await;
            }
        }
        sleep_until((started_at + POLL_INTERVAL).into()).await;
    }
}

/// Whether this host is the one that polls for its failure domain: the strongest of the domain's
/// hosts that are alive.
fn is_polling_host(gateway: &Gateway) -> bool {
    let now = gateway.clock.now();
    let hosts = gateway.platform_view.hosts();
    let ledger = gateway.ledger();
    let own = &gateway.conf.host;
    let is_alive = |listed: &&ListedHost| {
        listed.domain == gateway.conf.domain
            && (listed.host == *own || ledger.is_host_live(&listed.host, now))
    };
    strongest_host(hosts.iter().filter(is_alive)).is_some_and(|polling| polling.host == *own)
}

/// The engines of this failure domain that have work, as far as this host knows, and accept
/// requests; empty before the first reads of the platform.
fn busy_engines(gateway: &Gateway) -> Vec<ListedUpstream> {
    let (Some(routes), Some(by_service)) = (
        gateway.platform_view.routes(),
        gateway.platform_view.upstreams(),
    ) else {
        return Vec::new();
    };
    let services = routes.services.values();
    let engine_services = services.filter(|service| service.engine.is_some());
    let listed = engine_services.filter_map(|service| by_service.get(&service.name));
    let is_in_domain = |listed: &&ListedUpstream| listed.domain == gateway.conf.domain;
    let now = gateway.clock.now();
    let ledger = gateway.ledger();
    let is_busy = |listed: &&ListedUpstream| ledger.load(&listed.id, now).has_work();
    let busy = listed.flatten().filter(is_in_domain).filter(is_busy);
    let availability = gateway.availability();
    let available = busy.filter(|listed| availability.is_available(&listed.id, now));
    available.cloned().collect()
}

/// Requests a report from one engine and records it. A change of the engine's speed is logged and
/// broadcast at once; an engine that does not respond keeps its last report until that expires.
async fn poll_engine(gateway: Arc<Gateway>, engine: ListedUpstream) {
    let endpoint = EngineEndpoint {
        id: &engine.id,
        addr: engine.addr,
        connector: &*gateway,
    };
    let answer = gateway.engine_client.report(endpoint).await;
    gateway.on_notices(&engine.id, &answer.notices);
    let report = match answer.result {
        Ok(report) => report,
        Err(err) => {
            // Not recorded as a fault: whether the engine can be reached is detected when requests
            // are sent to it.
            debug!("engine reports: no report from {}: {err}", engine.id);
            return;
        }
    };
    let now = gateway.clock.now();
    if gateway
        .slowdowns
        .on_report(&engine.id, report.slowdown, now)
    {
        gateway.log.record(DecisionEvent::UpstreamSpeed {
            upstream: engine.id.to_string(),
            slowdown: report.slowdown.factor(),
        });
        gateway.broadcast_now.notify_one();
    }
}
