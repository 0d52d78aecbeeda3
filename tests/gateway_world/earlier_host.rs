//! A host of an earlier version that provides tunnels.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use banyanarch::exchange::ListedHost;
use banyanarch::gateway::Catalog;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use super::TestHost;
use super::catalog::FakeCatalog;

/// A host of an earlier version: it confirms a tunnel, and passes on bare bytes.
pub struct EarlierHost {
    listed: ListedHost,
}

impl EarlierHost {
    /// Starts a host whose tunnels all lead to this upstream, and that `user` knows.
    pub async fn start(catalog: &Arc<FakeCatalog>, upstream: SocketAddr, user: &TestHost) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let listed = ListedHost {
            host: "earlier".parse().unwrap(),
            domain: "here".parse().unwrap(),
            exchange_addr: listener.local_addr().unwrap(),
            processors: None,
        };
        catalog.register_host(listed.clone()).await.unwrap();
        tokio::spawn(pass_on_bare_bytes(listener, upstream));
        user.wait_for_hosts(2).await;
        let host = Self { listed };
        host.announce(user);
        host
    }

    /// Records an update of this host, which counts as live for a while.
    pub fn announce(&self, user: &TestHost) {
        user.hear(&self.listed, Instant::now());
    }
}

async fn pass_on_bare_bytes(listener: TcpListener, upstream: SocketAddr) {
    while let Ok((mut host, _)) = listener.accept().await {
        let mut request = [0_u8; 256];
        let len = host.read(&mut request).await.unwrap();
        if len == 0 {
            continue;
        }
        // A frame of two bytes: the answer that the tunnel is connected.
        host.write_all(&[0, 0, 0, 2, 0x58, 1]).await.unwrap();
        let mut upstream = TcpStream::connect(upstream).await.unwrap();
        tokio::spawn(async move {
            let (mut host_rd, mut host_wr) = host.split();
            let (mut upstream_rd, mut upstream_wr) = upstream.split();
            tokio::select! {
                _ = tokio::io::copy(&mut host_rd, &mut upstream_wr) => {}
                _ = tokio::io::copy(&mut upstream_rd, &mut host_wr) => {}
            }
        });
    }
}
