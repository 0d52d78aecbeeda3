//! The ledgers of the pools that this host is home of, as metrics see them.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use indexmap::IndexMap;

use crate::units::PoolId;
use crate::units::Tokens;

/// Held memory and capacity by pool. A pool that is handed over is removed: a gauge that kept its
/// last value would show memory as held for ever.
#[derive(Debug, Default)]
pub struct LedgerTotals {
    pools: Mutex<IndexMap<PoolId, LedgerTotal>>,
}

/// The totals of one pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct LedgerTotal {
    pub(crate) held_tokens: Tokens,
    pub(crate) capacity_tokens: Tokens,
}

impl LedgerTotals {
    /// Sets a pool's totals.
    pub fn set(&self, pool: &PoolId, held_tokens: Tokens, capacity_tokens: Tokens) {
        let total = LedgerTotal {
            held_tokens,
            capacity_tokens,
        };
        self.lock().insert(pool.clone(), total);
    }

    /// Removes a pool that this host is no longer home of.
    pub fn remove(&self, pool: &PoolId) {
        self.lock().swap_remove(pool);
    }

    pub(crate) fn snapshot(&self) -> Vec<(PoolId, LedgerTotal)> {
        let pools = self.lock();
        pools
            .iter()
            .map(|(pool, total)| (pool.clone(), *total))
            .collect()
    }

    fn lock(&self) -> MutexGuard<'_, IndexMap<PoolId, LedgerTotal>> {
        self.pools.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
