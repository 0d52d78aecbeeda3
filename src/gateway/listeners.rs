//! The sockets of a host.

use std::net::SocketAddr;

use tokio::net::TcpListener;
use tokio::net::UdpSocket;

use crate::gateway::GatewayConf;
use crate::gateway::GatewayError;

/// All sockets that a host listens on.
#[derive(Debug)]
pub struct Listeners {
    /// Requests of callers.
    pub callers: TcpListener,
    /// Readiness checks of the load balancer.
    pub ready: TcpListener,
    /// Scrapes of metrics.
    pub metrics: TcpListener,
    /// Broadcasts of other hosts.
    pub exchange: UdpSocket,
    /// Requests of other hosts for the lists that this one has read; on the same port as
    /// `exchange`.
    pub catalog_sharing: TcpListener,
}

impl Listeners {
    /// Binds all sockets.
    pub async fn bind(conf: &GatewayConf) -> Result<Self, GatewayError> {
        let catalog_sharing = listen("requests of other hosts", conf.exchange_addr).await?;
        let exchange_addr = catalog_sharing.local_addr();
        let exchange_addr = exchange_addr.map_err(|err| GatewayError::Bind("news", err))?;
        let exchange = UdpSocket::bind(exchange_addr).await;
        Ok(Self {
            catalog_sharing,
            ready: listen("readiness", conf.ready_addr).await?,
            metrics: listen("metrics", conf.metrics_addr).await?,
            callers: listen("callers", conf.callers_addr).await?,
            exchange: exchange.map_err(|err| GatewayError::Bind("news", err))?,
        })
    }
}

async fn listen(what: &'static str, addr: SocketAddr) -> Result<TcpListener, GatewayError> {
    let listener = TcpListener::bind(addr).await;
    listener.map_err(|err| GatewayError::Bind(what, err))
}
