//! Asks engines how they do.
//!
//! Load it answers: a fifth of the engines works at a third of its speed for some seconds. They go on
//! getting as much as the others, every answer there pauses for too long, and prompts that several engines
//! read wait for the slowest of them. One host of each failure domain asks its engines and tells the
//! others, so a choice reckons with what each engine can do.

use std::sync::Arc;
use std::time::Duration;

use log::debug;
use tokio::time::sleep;
use tokio::time::sleep_until;

use crate::exchange::ListedHost;
use crate::exchange::strongest;
use crate::gateway::Event;
use crate::gateway::Gateway;
use crate::gateway::ListedUpstream;

/// Between two questions to an engine that has work. Its answer is up to 200 ms old, so all hosts reckon
/// with a slow engine after a second and a half at most; asked twice as often, engines would cost more
/// connections than requests do at night.
const INTERVAL: Duration = Duration::from_millis(1_200);
/// The shortest time between two questions of one host; each costs it a connection, a tenth of a
/// millisecond. In domains of more engines than this allows each is asked less often.
const SPACING_MIN: Duration = Duration::from_millis(5);

/// Asks the engines of this failure domain for as long as the process runs, while this host is the one
/// that does.
pub(crate) async fn poll_engine_reports(gateway: Arc<Gateway>) {
    loop {
        let begun_at = gateway.clock.now();
        if is_asking_host(&gateway) {
            let engines = busy_engines(&gateway);
            let count = u32::try_from(engines.len()).unwrap_or(u32::MAX).max(1);
            let spacing = (INTERVAL / count).max(SPACING_MIN);
            for engine in engines {
                tokio::spawn(ask(Arc::clone(&gateway), engine));
                sleep(spacing).await;
            }
        }
        sleep_until((begun_at + INTERVAL).into()).await;
    }
}

/// Whether this host is the one of its domain that asks: the strongest of those that live.
fn is_asking_host(gateway: &Gateway) -> bool {
    let now = gateway.clock.now();
    let hosts = gateway.platform_view.hosts();
    let ledger = gateway.ledger();
    let own = &gateway.conf.host;
    let lives = |listed: &&ListedHost| {
        listed.domain == gateway.conf.domain
            && (listed.host == *own || ledger.is_heard(&listed.host, now))
    };
    strongest(hosts.iter().filter(lives)).is_some_and(|asking| asking.host == *own)
}

/// The engines of this failure domain that have work, as far as this host knows.
fn busy_engines(gateway: &Gateway) -> Vec<ListedUpstream> {
    let (Some(routes), Some(by_service)) = (
        gateway.platform_view.routes(),
        gateway.platform_view.upstreams(),
    ) else {
        return Vec::new();
    };
    let services = routes.services.values();
    let of_engines = services.filter(|service| service.engine.is_some());
    let listed = of_engines.filter_map(|service| by_service.get(&service.name));
    let near = |listed: &&ListedUpstream| listed.domain == gateway.conf.domain;
    let now = gateway.clock.now();
    let ledger = gateway.ledger();
    let is_busy = |listed: &&ListedUpstream| ledger.load(&listed.id, now).has_work();
    let busy = listed.flatten().filter(near).filter(is_busy);
    busy.cloned().collect()
}

async fn ask(gateway: Arc<Gateway>, engine: ListedUpstream) {
    let report = match gateway.orders.report(engine.addr).await {
        Ok(report) => report,
        Err(err) => {
            // Whether it can be reached is found out where requests are sent.
            debug!("reports: {}: {err}", engine.id);
            return;
        }
    };
    let now = gateway.clock.now();
    if gateway
        .slowdowns
        .on_report(&engine.id, report.slowdown, now)
    {
        gateway.log.note(Event::UpstreamSpeed {
            upstream: engine.id.to_string(),
            slowdown: report.slowdown.factor(),
        });
        gateway.load_urgent.notify_one();
    }
}
