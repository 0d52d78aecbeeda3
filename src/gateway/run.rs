//! From the settings to the end of the process.

use std::sync::Arc;
use std::time::Duration;

use log::warn;
use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::time::timeout;

use crate::daemon::serve_pages;
use crate::exchange::Exchange;
use crate::exchange::NewsDesk;
use crate::gateway::Catalog;
use crate::gateway::DrainPhase;
use crate::gateway::Event;
use crate::gateway::Gateway;
use crate::gateway::GatewayError;
use crate::gateway::Listeners;
use crate::gateway::catalog_sharing::serve_reads;
use crate::gateway::engine_reports::poll_engine_reports;
use crate::gateway::pages::GatewayPages;
use crate::gateway::probe::probe_unreachable;
use crate::gateway::server::serve_callers;
use crate::gateway::sync;

/// Taking this host off the list is a courtesy: others find out by its silence.
const WITHDRAW_TIMEOUT: Duration = Duration::from_millis(300);

/// Reads the settings again and says what came of it.
pub type Reload = Box<dyn Fn() -> String + Send>;

/// Runs a host until SIGTERM has been followed by the end of its requests, or its time is up. SIGHUP
/// reads the settings again.
pub async fn run(
    gateway: Arc<Gateway>,
    catalog: Arc<dyn Catalog>,
    reload: Reload,
) -> Result<(), GatewayError> {
    let terminate = signal(SignalKind::terminate()).map_err(GatewayError::Signal)?;
    let hangup = signal(SignalKind::hangup()).map_err(GatewayError::Signal)?;
    let listeners = Listeners::bind(&gateway.conf).await?;
    tokio::spawn(obey_signals(
        Arc::clone(&gateway),
        terminate,
        hangup,
        reload,
    ));
    serve(Arc::clone(&gateway), catalog, listeners).await?;
    gateway.log.close();
    Ok(())
}

/// Serves callers until [`Gateway::begin_stop`] has been followed by the end of all requests, or the
/// time to stop is up.
pub async fn serve(
    gateway: Arc<Gateway>,
    catalog: Arc<dyn Catalog>,
    listeners: Listeners,
) -> Result<(), GatewayError> {
    let desk: Arc<dyn NewsDesk> = Arc::<Gateway>::clone(&gateway);
    let exchange_addr = listeners.exchange.local_addr();
    let exchange_addr = exchange_addr.map_err(|err| GatewayError::Bind("exchange", err))?;
    gateway.log.note(Event::Started {
        domain: gateway.conf.domain.to_string(),
        callers_addr: gateway.conf.callers_addr.to_string(),
    });
    let pages = Arc::new(GatewayPages(Arc::clone(&gateway)));
    let mut tasks = tokio::task::JoinSet::new();
    tasks.spawn(Exchange::new(listeners.exchange, desk).run());
    tasks.spawn(serve_reads(Arc::clone(&gateway), listeners.share));
    tasks.spawn(sync::sync_routes(
        Arc::clone(&gateway),
        Arc::clone(&catalog),
    ));
    tasks.spawn(sync::sync_upstreams(
        Arc::clone(&gateway),
        Arc::clone(&catalog),
    ));
    tasks.spawn(sync::sync_hosts(
        Arc::clone(&gateway),
        Arc::clone(&catalog),
        exchange_addr,
    ));
    tasks.spawn(probe_unreachable(Arc::clone(&gateway)));
    tasks.spawn(poll_engine_reports(Arc::clone(&gateway)));
    tasks.spawn(serve_pages(
        Arc::<GatewayPages>::clone(&pages),
        listeners.ready,
    ));
    tasks.spawn(serve_pages(pages, listeners.metrics));
    tasks.spawn(withdraw(Arc::clone(&gateway), catalog));
    serve_callers(Arc::clone(&gateway), listeners.callers).await;
    let cut = gateway.in_flight();
    gateway.log.note(Event::Stopped { cut });
    Ok(())
}

async fn obey_signals(
    gateway: Arc<Gateway>,
    mut terminate: Signal,
    mut hangup: Signal,
    reload: Reload,
) {
    loop {
        tokio::select! {
            _ = terminate.recv() => gateway.begin_stop(),
            _ = hangup.recv() => {
                let outcome = reload();
                gateway.log.note(Event::Reloaded { outcome });
            }
        }
        if gateway.phase() == DrainPhase::Over {
            return;
        }
    }
}

/// Takes this host off the list when it begins to stop.
async fn withdraw(gateway: Arc<Gateway>, catalog: Arc<dyn Catalog>) {
    gateway.stop_begun().await;
    let host = gateway.conf.host.clone();
    match timeout(WITHDRAW_TIMEOUT, catalog.deregister_host(host)).await {
        Ok(Ok(())) => {}
        Ok(Err(err)) => warn!("gateway: still on the list of hosts: {err}"),
        Err(_) => warn!("gateway: still on the list of hosts: no answer"),
    }
}
