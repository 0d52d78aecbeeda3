//! What homes are made of: the manifest and the cluster view as they concern one pool.

use crate::decide::PolicyConfig;
use crate::decide::PoolKind;
use crate::decide::UpstreamInfo;
use crate::fleet::home_runner::HomeRunner;
use crate::units::PoolId;
use crate::units::TargetId;
use crate::units::Tokens;
use crate::units::UpstreamId;

impl HomeRunner {
    pub(super) fn policy_config(&self, pool: &PoolId, target: &TargetId) -> Option<PolicyConfig> {
        let in_force = self.cluster_view.manifest()?;
        let of_pool = self.home_directory.upstreams_of(pool).len();
        let of_target = self
            .cluster_view
            .upstreams
            .count(|view| view.target == *target);
        let pool_fraction = of_pool as f64 / of_target.max(1) as f64;
        PolicyConfig::for_pool(&in_force.manifest, target, pool_fraction)
    }

    pub(super) fn upstreams_seen(
        &self,
        pool: &PoolId,
        target: &TargetId,
    ) -> Option<Vec<UpstreamInfo>> {
        let in_force = self.cluster_view.manifest()?;
        let (memory_tokens, slots) = size_of(&in_force.manifest, target)?;
        let seen = |id: UpstreamId| {
            let health = self.cluster_view.upstreams.get(&id)?.health;
            Some(UpstreamInfo {
                id,
                memory_tokens,
                slots,
                health,
            })
        };
        let mut seen: Vec<_> = self
            .home_directory
            .upstreams_of(pool)
            .into_iter()
            .filter_map(seen)
            .collect();
        seen.sort_by(|a, b| a.id.cmp(&b.id));
        Some(seen)
    }
}

fn size_of(manifest: &crate::manifest::Manifest, target: &TargetId) -> Option<(Tokens, u32)> {
    let model = manifest.models.iter().find(|spec| spec.name == *target);
    if let Some(spec) = model {
        return Some((spec.engine_memory_tokens, spec.engine_slots));
    }
    match PolicyConfig::for_pool(manifest, target, 1.0)?.kind {
        PoolKind::Service { concurrency_max } => Some((Tokens::ZERO, concurrency_max)),
        PoolKind::Model { .. } => None,
    }
}
