//! Runs a gateway from its configuration to the end of the process.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use log::warn;
use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::task::JoinSet;
use tokio::time::timeout;

use crate::daemon::serve_pages;
use crate::exchange::Exchange;
use crate::exchange::ExchangeHandler;
use crate::gateway::Catalog;
use crate::gateway::DecisionEvent;
use crate::gateway::Gateway;
use crate::gateway::GatewayError;
use crate::gateway::GatewayListeners;
use crate::gateway::ShutdownPhase;
use crate::gateway::catalog_sharing::serve_reads;
use crate::gateway::engine_reports::poll_engine_reports;
use crate::gateway::outcomes::evaluate_outcomes;
use crate::gateway::pages::GatewayPages;
use crate::gateway::probe::probe_unreachable;
use crate::gateway::quarantine_sync::sync_quarantines;
use crate::gateway::server::serve_callers;
use crate::gateway::server::wait_for_phase;
use crate::gateway::starting_reader::find_starting_reader;
use crate::gateway::supervisor::supervise;
use crate::gateway::supervisor::supervise_once;
use crate::gateway::sync;

/// The timeout for removing this host from the platform's list. The removal is optional: other
/// hosts detect a stopped host by its silence.
const WITHDRAW_TIMEOUT: Duration = Duration::from_millis(300);

/// Reads the settings file again and returns a description of the result.
pub type Reload = Box<dyn Fn() -> String + Send>;

/// Runs a host until SIGTERM has been received and all requests have ended, or the grace period is
/// over. SIGHUP reloads the settings.
pub async fn run(
    gateway: Arc<Gateway>,
    catalog: Arc<dyn Catalog>,
    reload: Reload,
) -> Result<(), GatewayError> {
    let terminate = signal(SignalKind::terminate()).map_err(GatewayError::Signal)?;
    let hangup = signal(SignalKind::hangup()).map_err(GatewayError::Signal)?;
    let listeners = GatewayListeners::bind(&gateway.conf).await?;
    tokio::spawn(handle_signals(
        Arc::clone(&gateway),
        terminate,
        hangup,
        reload,
    ));
    serve(Arc::clone(&gateway), catalog, listeners).await?;
    gateway.log.close();
    Ok(())
}

/// Serves callers until [`Gateway::begin_shutdown`] has been called and all requests have ended, or
/// the grace period is over.
pub async fn serve(
    gateway: Arc<Gateway>,
    catalog: Arc<dyn Catalog>,
    listeners: GatewayListeners,
) -> Result<(), GatewayError> {
    let exchange_handler: Arc<dyn ExchangeHandler> = Arc::<Gateway>::clone(&gateway);
    let exchange_addr = listeners.exchange.local_addr();
    let exchange_addr = exchange_addr.map_err(|err| GatewayError::Bind("exchange", err))?;
    gateway.log.record(DecisionEvent::Started {
        domain: gateway.conf.domain.to_string(),
        callers_addr: gateway.conf.callers_addr.to_string(),
    });
    let pages = Arc::new(GatewayPages(Arc::clone(&gateway)));
    let mut tasks = JoinSet::new();
    let exchange = Exchange::new(listeners.exchange, exchange_handler).run();
    let sharing = serve_reads(Arc::clone(&gateway), listeners.catalog_sharing);
    tasks.spawn(supervise_once(Arc::clone(&gateway), "exchange", exchange));
    tasks.spawn(supervise_once(
        Arc::clone(&gateway),
        "catalog_sharing",
        sharing,
    ));
    let ready = serve_pages(Arc::<GatewayPages>::clone(&pages), listeners.ready);
    tasks.spawn(supervise_once(Arc::clone(&gateway), "ready", ready));
    let metrics = serve_pages(pages, listeners.metrics);
    tasks.spawn(supervise_once(Arc::clone(&gateway), "metrics", metrics));
    spawn_platform_tasks(&mut tasks, &gateway, &catalog, exchange_addr);
    spawn_task(&mut tasks, &gateway, "probes", probe_unreachable);
    spawn_task(&mut tasks, &gateway, "outcomes", evaluate_outcomes);
    spawn_task(&mut tasks, &gateway, "engine_reports", poll_engine_reports);
    serve_callers(Arc::clone(&gateway), listeners.callers).await;
    tokio::select! {
        () = gateway.tunnels.wait_until_none() => {}
        () = wait_for_phase(&gateway, ShutdownPhase::Expired) => {}
    }
    let cut = gateway.in_flight();
    gateway.log.record(DecisionEvent::Stopped { cut });
    Ok(())
}

/// Starts the tasks that read and write the platform.
fn spawn_platform_tasks(
    tasks: &mut JoinSet<()>,
    gateway: &Arc<Gateway>,
    catalog: &Arc<dyn Catalog>,
    exchange_addr: SocketAddr,
) {
    let with_catalog = Arc::clone(catalog);
    spawn_task(tasks, gateway, "starting_reader", move |gateway| {
        find_starting_reader(gateway, Arc::clone(&with_catalog), exchange_addr)
    });
    let with_catalog = Arc::clone(catalog);
    spawn_task(tasks, gateway, "routes", move |gateway| {
        sync::sync_routes(gateway, Arc::clone(&with_catalog))
    });
    let with_catalog = Arc::clone(catalog);
    spawn_task(tasks, gateway, "upstreams", move |gateway| {
        sync::sync_upstreams(gateway, Arc::clone(&with_catalog))
    });
    if gateway.conf.evacuation_lease.is_some() {
        let with_catalog = Arc::clone(catalog);
        spawn_task(tasks, gateway, "evacuations", move |gateway| {
            sync::sync_evacuations(gateway, Arc::clone(&with_catalog))
        });
    }
    let with_catalog = Arc::clone(catalog);
    spawn_task(tasks, gateway, "hosts", move |gateway| {
        sync::sync_hosts(gateway, Arc::clone(&with_catalog), exchange_addr)
    });
    let with_catalog = Arc::clone(catalog);
    spawn_task(tasks, gateway, "quarantines", move |gateway| {
        sync_quarantines(gateway, Arc::clone(&with_catalog))
    });
    let with_catalog = Arc::clone(catalog);
    spawn_task(tasks, gateway, "withdrawal", move |gateway| {
        withdraw(gateway, Arc::clone(&with_catalog))
    });
}

/// Starts a supervised task.
fn spawn_task<F>(
    tasks: &mut JoinSet<()>,
    gateway: &Arc<Gateway>,
    name: &'static str,
    start: impl Fn(Arc<Gateway>) -> F + Send + Sync + 'static,
) where
    F: Future<Output = ()> + Send + 'static,
{
    let of_task = Arc::clone(gateway);
    let start = move || start(Arc::clone(&of_task));
    tasks.spawn(supervise(Arc::clone(gateway), name, start));
}

/// Begins the shutdown at SIGTERM, and reloads the settings at SIGHUP. Returns at the first signal
/// after the grace period.
async fn handle_signals(
    gateway: Arc<Gateway>,
    mut terminate: Signal,
    mut hangup: Signal,
    reload: Reload,
) {
    loop {
        tokio::select! {
            _ = terminate.recv() => gateway.begin_shutdown(),
            _ = hangup.recv() => {
                let outcome = reload();
                gateway.log.record(DecisionEvent::Reloaded { outcome });
            }
        }
        if gateway.phase() == ShutdownPhase::Expired {
            return;
        }
    }
}

/// Waits until the shutdown is requested, then removes this host from the platform's list of hosts.
async fn withdraw(gateway: Arc<Gateway>, catalog: Arc<dyn Catalog>) {
    gateway.shutdown_requested().await;
    let host = gateway.conf.host.clone();
    match timeout(WITHDRAW_TIMEOUT, catalog.deregister_host(host)).await {
        Ok(Ok(())) => {}
        Ok(Err(err)) => warn!("gateway: cannot remove this host from the list: {err}"),
        Err(_) => warn!("gateway: cannot remove this host from the list: timeout"),
    }
}
