//! The counts that the components of a host keep themselves.

use std::time::Duration;

use crate::decide::PoolLoad;
use crate::units::PoolId;

/// The counts of a host's components, collected each time metrics are rendered.
#[derive(Clone, Debug, Default)]
pub struct HostCounts {
    /// The bytes sent to other hosts for membership and manifests since the start.
    pub peer_control_bytes: u64,
    /// The bytes sent to other hosts for grants and relayed calls since the start.
    pub peer_work_bytes: u64,
    /// The messages to other hosts that were dropped since the start.
    pub peer_dropped_messages: u64,
    /// The connections from other hosts that were refused since the start.
    pub peer_refused_connections: u64,
    /// The time since the manifest in force was last confirmed to be the newest. `None` if it has
    /// not been confirmed.
    pub manifest_confirmed_ago: Option<Duration>,
    /// The pools that this host is the home of. A pool that was handed over is left out: a gauge
    /// that kept its last value would report the pool's memory as held forever.
    pub pools: Vec<(PoolId, PoolLoad)>,
}
