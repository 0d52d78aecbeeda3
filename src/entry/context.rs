//! What the entry works with.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use indexmap::IndexMap;

use crate::clock::Clock;
use crate::cluster_view::ClusterView;
use crate::decide::PoisonList;
use crate::decide::PoisonReport;
use crate::decide::RetryBudget;
use crate::entry::BodyMemory;
use crate::entry::ClaimRegistry;
use crate::entry::Granter;
use crate::entry::InFlightCounter;
use crate::entry::UpstreamDirectory;
use crate::observe::Explanations;
use crate::observe::Metrics;
use crate::settings::PolicyName;
use crate::units::HostId;
use crate::units::TargetId;

/// Tells other hosts of requests that crash upstreams.
pub trait PoisonBroadcast: Send + Sync {
    /// Sends this to all hosts.
    fn broadcast(&self, poison: &PoisonReport);
}

/// What the entry works with; shared by all requests.
pub struct EntryContext {
    /// The clock.
    pub clock: Arc<dyn Clock>,
    /// This host.
    pub host: HostId,
    /// The blackboard.
    pub cluster_view: Arc<ClusterView>,
    /// Grants.
    pub granter: Arc<dyn Granter>,
    /// Claims.
    pub claims: Arc<dyn ClaimRegistry>,
    /// Upstreams.
    pub upstreams: Arc<dyn UpstreamDirectory>,
    /// The decisions; baselines give engines no ranks by length.
    pub policy: PolicyName,
    /// Memory for bodies.
    pub bodies: BodyMemory,
    /// Requests that have not ended.
    pub in_flight: InFlightCounter,
    /// Requests that crash upstreams.
    pub poison: Mutex<PoisonList>,
    /// Tells other hosts of them.
    pub poison_broadcast: Arc<dyn PoisonBroadcast>,
    /// Metrics.
    pub metrics: Arc<Metrics>,
    /// What was decided for requests.
    pub explanations: Arc<Explanations>,
    /// A retry budget for each target.
    pub retry_budgets: Mutex<IndexMap<TargetId, RetryBudget>>,
}

impl EntryContext {
    /// Works with the retry budget of a target.
    pub fn with_retry_budget<R>(
        &self,
        target: &TargetId,
        update: impl FnOnce(&mut RetryBudget) -> R,
    ) -> R {
        let now = self.clock.now();
        let mut budgets = lock(&self.retry_budgets);
        let budget = budgets
            .entry(target.clone())
            .or_insert_with(|| RetryBudget::new(rand::random(), now));
        update(budget)
    }

    /// The list of requests that crash upstreams.
    pub fn poison_list(&self) -> MutexGuard<'_, PoisonList> {
        lock(&self.poison)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
