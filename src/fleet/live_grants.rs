//! The live grants of this host.

use indexmap::IndexMap;

use crate::cluster_view::ShardedMap;
use crate::decide::LiveGrant;
use crate::units::GrantId;
use crate::units::PoolId;

/// The grants that this host holds and that have not ended, whichever home issued them.
#[derive(Debug, Default)]
pub struct LiveGrants {
    grants: ShardedMap<GrantId, (PoolId, LiveGrant)>,
}

impl LiveGrants {
    /// Adds a grant that the home of a pool issued.
    pub fn insert(&self, pool: &PoolId, grant: LiveGrant) {
        self.grants.insert(grant.id, (pool.clone(), grant));
    }

    /// Removes a grant that has ended.
    pub fn remove(&self, grant: GrantId) {
        self.grants.remove(&grant);
    }

    /// The number of live grants.
    pub fn count(&self) -> usize {
        self.grants.len()
    }

    /// The live grants of one pool; empty if there are none.
    pub fn for_pool(&self, pool: &PoolId) -> Vec<LiveGrant> {
        self.by_pool().swap_remove(pool).unwrap_or_default()
    }

    /// All live grants, by pool.
    pub fn by_pool(&self) -> IndexMap<PoolId, Vec<LiveGrant>> {
        let mut by_pool: IndexMap<PoolId, Vec<LiveGrant>> = IndexMap::new();
        for (_, (pool, grant)) in self.grants.snapshot() {
            by_pool.entry(pool).or_default().push(grant);
        }
        by_pool
    }
}
