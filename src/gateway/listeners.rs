//! The sockets of a host.

use std::net::SocketAddr;

use tokio::net::TcpListener;
use tokio::net::UdpSocket;

use crate::gateway::GatewayConf;
use crate::gateway::GatewayError;

/// All sockets that a host listens on.
#[derive(Debug)]
pub struct Listeners {
    /// For callers.
    pub callers: TcpListener,
    /// For the balancer's question whether the host is ready.
    pub ready: TcpListener,
    /// For metrics.
    pub metrics: TcpListener,
    /// For news of other hosts.
    pub exchange: UdpSocket,
}

impl Listeners {
    /// Binds them all.
    pub async fn bind(conf: &GatewayConf) -> Result<Self, GatewayError> {
        let exchange = UdpSocket::bind(conf.exchange_addr).await;
        Ok(Self {
            ready: listen("readiness", conf.ready_addr).await?,
            metrics: listen("metrics", conf.metrics_addr).await?,
            callers: listen("callers", conf.callers_addr).await?,
            exchange: exchange.map_err(|err| GatewayError::Bind("exchange", err))?,
        })
    }
}

async fn listen(what: &'static str, addr: SocketAddr) -> Result<TcpListener, GatewayError> {
    let listener = TcpListener::bind(addr).await;
    listener.map_err(|err| GatewayError::Bind(what, err))
}
