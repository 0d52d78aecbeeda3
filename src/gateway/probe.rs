//! Probes upstreams that could not be reached, and direct paths that are lost. A probe opens a
//! connection, so that no request of a caller has to find out whether the upstream can be reached
//! again.

use std::sync::Arc;

use tokio::time::sleep_until;

use crate::decide::UpstreamFault;
use crate::gateway::Gateway;
use crate::gateway::ListedUpstream;
use crate::gateway::send::CONNECT_TIMEOUT;
use crate::http::one_shot;

/// Probes unreachable upstreams, each when its probe is due, for as long as the process runs.
/// Sleeps while all upstreams can be reached.
pub(crate) async fn probe_unreachable(gateway: Arc<Gateway>) {
    loop {
        let due = gateway.health().take_due_probes(gateway.clock.now());
        for upstream in due.iter().filter_map(|id| gateway.find_listed(id)) {
            tokio::spawn(probe_upstream(Arc::clone(&gateway), upstream));
        }
        let due = gateway.paths().take_due_probes(gateway.clock.now());
        for upstream in due.iter().filter_map(|id| gateway.find_listed(id)) {
            tokio::spawn(probe_path(Arc::clone(&gateway), upstream));
        }
        let next_path = gateway.paths().next_probe_at();
        let next = gateway
            .health()
            .next_probe_at()
            .into_iter()
            .chain(next_path)
            .min();
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

/// Connects to an upstream, through another host if necessary, and records whether that succeeded.
async fn probe_upstream(gateway: Arc<Gateway>, upstream: ListedUpstream) {
    let connected = gateway
        .connect_upstream(&upstream.id, upstream.addr, CONNECT_TIMEOUT)
        .await;
    let now = gateway.clock.now();
    let mut health = gateway.health();
    let fault = match connected {
        Ok(_) => {
            health.on_connected(&upstream.id, now);
            return;
        }
        Err(err) => err.fault(),
    };
    health.on_fault(&upstream.id, &upstream.domain, fault, now);
    drop(health);
    if fault == UpstreamFault::ConnectRefused {
        gateway.on_upstream_ended(&upstream.id, fault.name());
    }
    gateway.health_changed.notify_one();
}

/// Connects directly to an upstream whose direct path is lost or may be, and records whether that
/// succeeded.
async fn probe_path(gateway: Arc<Gateway>, upstream: ListedUpstream) {
    match one_shot::connect(upstream.addr, CONNECT_TIMEOUT).await {
        Ok(_) => {
            gateway.on_path_connected(&upstream.id);
            gateway.health_changed.notify_one();
        }
        Err(_) => gateway.on_path_probe_failed(&upstream.id),
    }
}
