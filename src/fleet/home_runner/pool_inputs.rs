//! The inputs of a home: what the manifest and the cluster view say of its pool.

use crate::decide::PolicyConfig;
use crate::decide::PoolKind;
use crate::decide::UpstreamInfo;
use crate::fleet::home_runner::HomeRunner;
use crate::units::PoolId;
use crate::units::TargetId;
use crate::units::Tokens;
use crate::units::UpstreamId;

impl HomeRunner {
    /// The configuration of the policy of a pool; none without a manifest that lists the target.
    pub(super) fn policy_config(&self, pool: &PoolId, target: &TargetId) -> Option<PolicyConfig> {
        let in_force = self.cluster_view.manifest()?;
        let pool_size = self.home_directory.upstreams_of(pool).len();
        let target_size = self
            .cluster_view
            .upstreams
            .count(|view| view.target == *target);
        let pool_fraction = pool_size as f64 / target_size.max(1) as f64;
        PolicyConfig::for_pool(&in_force.manifest, target, pool_fraction)
    }

    /// The upstreams of a pool that the cluster view holds, sorted by id; none without a manifest
    /// that lists the target.
    pub(super) fn pool_upstreams(
        &self,
        pool: &PoolId,
        target: &TargetId,
    ) -> Option<Vec<UpstreamInfo>> {
        let in_force = self.cluster_view.manifest()?;
        let (memory_tokens, slots) = upstream_capacity(&in_force.manifest, target)?;
        let info = |id: UpstreamId| {
            let health = self.cluster_view.upstreams.get(&id)?.health;
            Some(UpstreamInfo {
                id,
                memory_tokens,
                slots,
                health,
            })
        };
        let mut infos: Vec<_> = self
            .home_directory
            .upstreams_of(pool)
            .into_iter()
            .filter_map(info)
            .collect();
        infos.sort_by(|a, b| a.id.cmp(&b.id));
        Some(infos)
    }
}

/// The memory and the slots of one upstream of a target. For a service the memory is zero, and the
/// slots are its largest concurrency.
fn upstream_capacity(
    manifest: &crate::manifest::Manifest,
    target: &TargetId,
) -> Option<(Tokens, u32)> {
    let model = manifest.models.iter().find(|spec| spec.name == *target);
    if let Some(spec) = model {
        return Some((spec.engine_memory_tokens, spec.engine_slots));
    }
    match PolicyConfig::for_pool(manifest, target, 1.0)?.kind {
        PoolKind::Service { concurrency_max } => Some((Tokens::ZERO, concurrency_max)),
        PoolKind::Model { .. } => None,
    }
}
