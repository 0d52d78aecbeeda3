//! The grants that this host holds.

use indexmap::IndexMap;

use crate::cluster_view::ShardedMap;
use crate::decide::LiveGrant;
use crate::units::GrantId;
use crate::units::PoolId;

/// The grants that this host holds and that have not ended, whichever home gave them.
#[derive(Debug, Default)]
pub struct LiveGrants {
    grants: ShardedMap<GrantId, (PoolId, LiveGrant)>,
}

impl LiveGrants {
    /// Takes in a grant of a pool's home.
    pub fn begin(&self, pool: &PoolId, grant: LiveGrant) {
        self.grants.insert(grant.id, (pool.clone(), grant));
    }

    /// A grant has ended.
    pub fn end(&self, grant: GrantId) {
        self.grants.remove(&grant);
    }

    /// How many there are.
    pub fn count(&self) -> usize {
        self.grants.len()
    }

    /// The grants of one pool.
    pub fn of_pool(&self, pool: &PoolId) -> Vec<LiveGrant> {
        self.by_pool().swap_remove(pool).unwrap_or_default()
    }

    /// All grants by pool.
    pub fn by_pool(&self) -> IndexMap<PoolId, Vec<LiveGrant>> {
        let mut by_pool: IndexMap<PoolId, Vec<LiveGrant>> = IndexMap::new();
        for (_, (pool, grant)) in self.grants.snapshot() {
            by_pool.entry(pool).or_default().push(grant);
        }
        by_pool
    }
}
