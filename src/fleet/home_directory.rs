//! The interface by which a host looks up pools and their homes.

use crate::units::HostId;
use crate::units::PoolId;
use crate::units::TargetId;
use crate::units::UpstreamId;

/// The pools, their upstreams and their homes, as this host sees them.
pub trait HomeDirectory: Send + Sync {
    /// The pools of a target, those of this host's failure domain first. `rotation` rotates the
    /// order among the pools of the own domain and among the others, so that requests which share
    /// the prefix of a prompt ask the same pool first.
    fn pools_for_target(&self, target: &TargetId, rotation: u64) -> Vec<PoolId>;

    /// The hosts that can be asked for grants of a pool, its home first. Empty if the pool is
    /// unknown or no host can be its home.
    fn candidates(&self, pool: &PoolId) -> Vec<HostId>;

    /// The pools that have their home on this host.
    fn pools_with_local_home(&self) -> Vec<PoolId>;

    /// The upstreams of a pool.
    fn upstreams_of(&self, pool: &PoolId) -> Vec<UpstreamId>;

    /// Reports that a host did not reply to a request for a grant. The membership probes the host.
    fn report_unresponsive(&self, host: &HostId);
}
