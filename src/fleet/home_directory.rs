//! Which hosts are asked for grants of which pools.

use crate::units::HostId;
use crate::units::PoolId;
use crate::units::TargetId;
use crate::units::UpstreamId;

/// What this host knows of pools and their homes.
pub trait HomeDirectory: Send + Sync {
    /// The pools of a target, those of this host's failure domain first. `spread` turns the order
    /// among them, so that requests which share a prompt's beginning ask the same pool first.
    fn pools_for_target(&self, target: &TargetId, spread: u64) -> Vec<PoolId>;

    /// The hosts to ask, the home first.
    fn candidates(&self, pool: &PoolId) -> Vec<HostId>;

    /// The pools whose home is this host.
    fn pools_with_local_home(&self) -> Vec<PoolId>;

    /// The upstreams of a pool.
    fn upstreams_of(&self, pool: &PoolId) -> Vec<UpstreamId>;

    /// A host did not answer when it was asked for a grant.
    fn report_unresponsive(&self, host: &HostId);
}
