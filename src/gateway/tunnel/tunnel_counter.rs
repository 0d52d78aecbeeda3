//! Counts the tunnels that this host provides to others.

use std::sync::Arc;

use tokio::sync::watch;

/// Maximum number of tunnels at the same time. Each takes two connections and two buffers.
const TUNNELS_MAX: usize = 256;

/// The number of open tunnels.
#[derive(Debug, Default)]
pub(crate) struct TunnelCounter(Arc<watch::Sender<usize>>);

impl TunnelCounter {
    /// Counts one more tunnel until the guard is dropped; none if there are too many.
    pub(crate) fn try_open(&self) -> Option<TunnelGuard> {
        let is_counted = self.0.send_if_modified(|open| {
            let is_below = *open < TUNNELS_MAX;
            *open += usize::from(is_below);
            is_below
        });
        is_counted.then(|| TunnelGuard(Arc::clone(&self.0)))
    }

    /// Waits until no tunnel is open.
    pub(crate) async fn wait_until_none(&self) {
        let mut open = self.0.subscribe();
        // Fails only when the sender is dropped, which exists as long as this counter.
        let _ = open.wait_for(|open| *open == 0).await;
    }
}

/// Counts one tunnel until it is dropped.
#[derive(Debug)]
pub(crate) struct TunnelGuard(Arc<watch::Sender<usize>>);

impl Drop for TunnelGuard {
    fn drop(&mut self) {
        self.0.send_modify(|open| *open -= 1);
    }
}
