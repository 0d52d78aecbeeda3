//! What the parts of a host count by themselves.

use std::time::Duration;

use crate::decide::PoolLoad;
use crate::units::PoolId;

/// Counts of one moment, collected when metrics are rendered.
#[derive(Clone, Debug, Default)]
pub struct HostCounts {
    /// Bytes sent to other hosts for membership and manifests since the start.
    pub peer_control_bytes: u64,
    /// Bytes sent to other hosts for grants and relayed calls since the start.
    pub peer_work_bytes: u64,
    /// Messages to other hosts that were dropped since the start.
    pub peer_dropped_messages: u64,
    /// Connections of other hosts that were refused since the start.
    pub peer_refused_connections: u64,
    /// How long ago the manifest in force was known to be the newest.
    pub manifest_confirmed_ago: Option<Duration>,
    /// The pools that this host is home of. One that is handed over is left out: a gauge that kept
    /// its last value would show its memory as held for ever.
    pub pools: Vec<(PoolId, PoolLoad)>,
}
