//! Runs a gateway from its configuration to the end of the process.

use std::sync::Arc;
use std::time::Duration;

use log::warn;
use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
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
    let mut tasks = tokio::task::JoinSet::new();
    tasks.spawn(Exchange::new(listeners.exchange, exchange_handler).run());
    tasks.spawn(serve_reads(Arc::clone(&gateway), listeners.catalog_sharing));
    tasks.spawn(find_starting_reader(
        Arc::clone(&gateway),
        Arc::clone(&catalog),
        exchange_addr,
    ));
    tasks.spawn(sync::sync_routes(
        Arc::clone(&gateway),
        Arc::clone(&catalog),
    ));
    tasks.spawn(sync::sync_upstreams(
        Arc::clone(&gateway),
        Arc::clone(&catalog),
    ));
    if gateway.conf.evacuation_lease.is_some() {
        tasks.spawn(sync::sync_evacuations(
            Arc::clone(&gateway),
            Arc::clone(&catalog),
        ));
    }
    tasks.spawn(sync::sync_hosts(
        Arc::clone(&gateway),
        Arc::clone(&catalog),
        exchange_addr,
    ));
    tasks.spawn(sync_quarantines(Arc::clone(&gateway), Arc::clone(&catalog)));
    tasks.spawn(probe_unreachable(Arc::clone(&gateway)));
    tasks.spawn(evaluate_outcomes(Arc::clone(&gateway)));
    tasks.spawn(poll_engine_reports(Arc::clone(&gateway)));
    tasks.spawn(serve_pages(
        Arc::<GatewayPages>::clone(&pages),
        listeners.ready,
    ));
    tasks.spawn(serve_pages(pages, listeners.metrics));
    tasks.spawn(withdraw(Arc::clone(&gateway), catalog));
    serve_callers(Arc::clone(&gateway), listeners.callers).await;
    tokio::select! {
        () = gateway.tunnels.wait_until_none() => {}
        () = wait_for_phase(&gateway, ShutdownPhase::Expired) => {}
    }
    let cut = gateway.in_flight();
    gateway.log.record(DecisionEvent::Stopped { cut });
    Ok(())
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
