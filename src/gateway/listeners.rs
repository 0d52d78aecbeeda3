//! The sockets on which a host listens.

use std::net::SocketAddr;

use tokio::net::TcpListener;
use tokio::net::UdpSocket;

use crate::gateway::GatewayConf;
use crate::gateway::GatewayError;

/// All sockets on which a host listens.
#[derive(Debug)]
pub struct GatewayListeners {
    /// Requests of callers.
    pub callers: TcpListener,
    /// Readiness checks of the load balancer.
    pub ready: TcpListener,
    /// Scrapes of metrics.
    pub metrics: TcpListener,
    /// Updates that other hosts broadcast.
    pub exchange: UdpSocket,
    /// Requests of other hosts for the lists of the platform that this one has read. The TCP port
    /// has the same number as the UDP port of `exchange`.
    pub catalog_sharing: TcpListener,
}

impl GatewayListeners {
    /// Binds all sockets to the configured addresses.
    pub async fn bind(conf: &GatewayConf) -> Result<Self, GatewayError> {
        let catalog_sharing = listen("requests of other hosts", conf.exchange_addr).await?;
        let exchange_addr = catalog_sharing.local_addr();
        let exchange_addr = exchange_addr.map_err(|err| GatewayError::Bind("exchange", err))?;
        let exchange = UdpSocket::bind(exchange_addr).await;
        Ok(Self {
            catalog_sharing,
            ready: listen("readiness", conf.ready_addr).await?,
            metrics: listen("metrics", conf.metrics_addr).await?,
            callers: listen("callers", conf.callers_addr).await?,
            exchange: exchange.map_err(|err| GatewayError::Bind("exchange", err))?,
        })
    }
}

/// Listens on a TCP address. `purpose` names the address in the error.
async fn listen(purpose: &'static str, addr: SocketAddr) -> Result<TcpListener, GatewayError> {
    let listener = TcpListener::bind(addr).await;
    listener.map_err(|err| GatewayError::Bind(purpose, err))
}
