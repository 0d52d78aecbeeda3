//! From the settings to the end of the process.

use std::sync::Arc;
use std::time::Duration;

use log::warn;
use tokio::net::TcpListener;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::time::timeout;

use crate::daemon::serve_pages;
use crate::exchange::Exchange;
use crate::exchange::NewsDesk;
use crate::gateway::Catalog;
use crate::gateway::Event;
use crate::gateway::Gateway;
use crate::gateway::GatewayError;
use crate::gateway::pages::GatewayPages;
use crate::gateway::server::serve_callers;
use crate::gateway::sync;

/// Taking this host off the list is a courtesy: others find out by its silence.
const WITHDRAW_TIMEOUT: Duration = Duration::from_millis(300);

/// What a gateway is put together from.
pub struct Parts {
    /// The shared state.
    pub gateway: Arc<Gateway>,
    /// The platform's lists.
    pub catalog: Arc<dyn Catalog>,
    /// Reads the settings again and says what came of it.
    pub reload: Box<dyn Fn() -> String + Send>,
}

/// Runs a host until it was asked to stop and has finished its requests, or its time is up.
pub async fn run(parts: Parts) -> Result<(), GatewayError> {
    let Parts {
        gateway,
        catalog,
        reload,
    } = parts;
    let conf = gateway.conf.clone();
    let mut terminate = signal(SignalKind::terminate()).map_err(GatewayError::Signal)?;
    let mut hangup = signal(SignalKind::hangup()).map_err(GatewayError::Signal)?;
    let ready = bind("readiness", conf.ready_addr).await?;
    let metrics = bind("metrics", conf.metrics_addr).await?;
    let callers = bind("callers", conf.callers_addr).await?;
    let desk: Arc<dyn NewsDesk> = Arc::<Gateway>::clone(&gateway);
    let exchange = Exchange::bind(conf.exchange_addr, desk).await?;
    gateway.log.note(Event::Started {
        domain: conf.domain.to_string(),
        callers_addr: conf.callers_addr.to_string(),
    });
    tokio::spawn(exchange.run());
    tokio::spawn(sync::keep_routes(
        Arc::clone(&gateway),
        Arc::clone(&catalog),
    ));
    tokio::spawn(sync::keep_upstreams(
        Arc::clone(&gateway),
        Arc::clone(&catalog),
    ));
    tokio::spawn(sync::keep_hosts(Arc::clone(&gateway), Arc::clone(&catalog)));
    tokio::spawn(serve_pages(
        Arc::new(GatewayPages(Arc::clone(&gateway))),
        ready,
    ));
    tokio::spawn(serve_pages(
        Arc::new(GatewayPages(Arc::clone(&gateway))),
        metrics,
    ));
    let serving = serve_callers(Arc::clone(&gateway), callers);
    tokio::pin!(serving);
    loop {
        tokio::select! {
            () = &mut serving => break,
            _ = terminate.recv() => {
                gateway.begin_stop();
                tokio::spawn(withdraw(Arc::clone(&gateway), Arc::clone(&catalog)));
            }
            _ = hangup.recv() => {
                let outcome = reload();
                gateway.log.note(Event::Reloaded { outcome });
            }
        }
    }
    let cut = gateway.in_flight();
    gateway.log.note(Event::Stopped { cut });
    gateway.log.close();
    Ok(())
}

async fn bind(what: &'static str, addr: std::net::SocketAddr) -> Result<TcpListener, GatewayError> {
    TcpListener::bind(addr)
        .await
        .map_err(|err| GatewayError::Bind(what, err))
}

async fn withdraw(gateway: Arc<Gateway>, catalog: Arc<dyn Catalog>) {
    let host = gateway.conf.host.clone();
    match timeout(WITHDRAW_TIMEOUT, catalog.withdraw(host)).await {
        Ok(Ok(())) => {}
        Ok(Err(err)) => warn!("gateway: still on the list of hosts: {err}"),
        Err(_) => warn!("gateway: still on the list of hosts: no answer"),
    }
}
