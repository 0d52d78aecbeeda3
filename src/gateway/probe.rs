//! Probes upstreams that could not be reached. A probe opens a connection, so that no request of a
//! caller has to find out whether the upstream can be reached again.

use std::sync::Arc;

use tokio::net::TcpStream;
use tokio::time::sleep_until;
use tokio::time::timeout;

use crate::decide::UpstreamFault;
use crate::gateway::Gateway;
use crate::gateway::ListedUpstream;
use crate::gateway::send::CONNECT_TIMEOUT;
use crate::units::UpstreamId;

/// Probes unreachable upstreams, each when its probe is due, for as long as the process runs.
/// Sleeps while all upstreams can be reached.
pub(crate) async fn probe_unreachable(gateway: Arc<Gateway>) {
    loop {
        let due = gateway.health().take_due_probes(gateway.clock.now());
        for upstream in due.iter().filter_map(|id| find_listed(&gateway, id)) {
            tokio::spawn(probe_upstream(Arc::clone(&gateway), upstream));
        }
        let next = gateway.health().next_probe_at();
        let wait_until_due = async {
            match next {
                Some(at) => sleep_until(at.into()).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            () = wait_until_due => {}
            () = gateway.health_changed.notified() => {}
        }
    }
}

/// Connects to an upstream and records whether that succeeded.
async fn probe_upstream(gateway: Arc<Gateway>, upstream: ListedUpstream) {
    let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(upstream.addr)).await;
    let now = gateway.clock.now();
    let mut health = gateway.health();
    let fault = match connected {
        Ok(Ok(_)) => {
            health.on_connected(&upstream.id, now);
            return;
        }
        Ok(Err(_)) => UpstreamFault::ConnectRefused,
        Err(_) => UpstreamFault::ConnectTimeout,
    };
    health.on_fault(&upstream.id, &upstream.domain, fault, now);
    drop(health);
    gateway.health_changed.notify_one();
}

/// The upstream with this id; none if it is no longer listed or is leaving.
fn find_listed(gateway: &Gateway, id: &UpstreamId) -> Option<ListedUpstream> {
    let by_service = gateway.platform_view.upstreams()?;
    let mut all = by_service.values().flatten();
    all.find(|upstream| upstream.id == *id).cloned()
}
