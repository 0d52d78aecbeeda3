//! The pools of a target: shards of the upstreams of the target in one failure domain.

use indexmap::IndexMap;

use crate::control::home_assignment::assign;
use crate::units::FailureDomainId;
use crate::units::PoolId;
use crate::units::TargetId;
use crate::units::UpstreamId;

/// The maximum number of upstreams of one pool. The home of a pool schedules all its upstreams from
/// one queue, so a larger pool allows better placement. The bound limits the work of one home and
/// spreads the load of a target with 910 upstreams over many hosts.
pub const POOL_UPSTREAMS_MAX: usize = 16;

/// The number of upstreams per pool from which the number of pools is derived. The difference to
/// the maximum lets most upstreams get the shard with their highest weight, so that adding or
/// removing an upstream moves few others.
const POOL_UPSTREAMS_TYPICAL: usize = 12;

/// Partitions the upstreams of a target in one failure domain into pools.
pub fn partition_upstreams(
    domain: &FailureDomainId,
    target: &TargetId,
    upstreams: &[UpstreamId],
) -> IndexMap<PoolId, Vec<UpstreamId>> {
    let shard_count = upstreams.len().div_ceil(POOL_UPSTREAMS_TYPICAL);
    let shards: Vec<PoolId> = (0..u32::try_from(shard_count).unwrap_or(u32::MAX))
        .map(|shard| PoolId::new(domain, target, shard))
        .collect();
    let shard_names: Vec<&str> = shards.iter().map(PoolId::as_str).collect();
    let upstream_names: Vec<&str> = upstreams.iter().map(UpstreamId::as_str).collect();
    let assignment = assign(&upstream_names, &shard_names, POOL_UPSTREAMS_MAX);
    let mut pools: IndexMap<PoolId, Vec<UpstreamId>> = shards
        .into_iter()
        .map(|shard| (shard, Vec::new()))
        .collect();
    for upstream in upstreams {
        let shard = assignment.get(upstream.as_str());
        let pool = shard.and_then(|shard| pools.iter_mut().find(|(id, _)| id.as_str() == shard));
        if let Some((_, members)) = pool {
            members.push(upstream.clone());
        }
    }
    pools.retain(|_, members| !members.is_empty());
    for members in pools.values_mut() {
        members.sort_unstable();
    }
    pools
}
