//! Homes where this host is the home of every pool.

use std::sync::Arc;

use crate::board::Board;
use crate::board::UpstreamView;
use crate::fleet::HomeMap;
use crate::units::FailureDomainId;
use crate::units::HostId;
use crate::units::PoolId;
use crate::units::TargetId;
use crate::units::UpstreamId;

/// Every pool is one shard, and this host its home.
pub(crate) struct OwnHomes {
    pub(crate) board: Arc<Board>,
    pub(crate) host: HostId,
    pub(crate) domain: FailureDomainId,
}

impl HomeMap for OwnHomes {
    fn pools_of(&self, target: &TargetId) -> Vec<PoolId> {
        let views = self.board.upstreams.snapshot();
        let of_target = views.iter().filter(|(_, view)| view.target == *target);
        let mut domains: Vec<&FailureDomainId> = of_target.map(|(_, view)| &view.domain).collect();
        domains.sort_by_key(|domain| (**domain != self.domain, (*domain).clone()));
        domains.dedup();
        domains
            .into_iter()
            .map(|domain| PoolId::new(domain, target, 0))
            .collect()
    }

    fn candidates(&self, _: &PoolId) -> Vec<HostId> {
        vec![self.host.clone()]
    }

    fn upstreams_of(&self, pool: &PoolId) -> Vec<UpstreamId> {
        let (Some(domain), Some(target)) = (pool.domain(), pool.target()) else {
            return Vec::new();
        };
        let is_member = |view: &UpstreamView| view.target == target && view.domain == domain;
        let views = self.board.upstreams.snapshot().into_iter();
        views
            .filter(|(_, view)| is_member(view))
            .map(|(id, _)| id)
            .collect()
    }

    fn suspect(&self, _: &HostId) {}
}
