//! The state and the interfaces that all requests share.

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

/// Broadcasts reports of requests that crash upstreams.
pub trait PoisonBroadcast: Send + Sync {
    /// Sends a report to all hosts.
    fn broadcast(&self, poison: &PoisonReport);
}

/// The state and the interfaces that all requests of a host share.
pub struct EntryContext {
    /// The clock for deadlines and measurements.
    pub clock: Arc<dyn Clock>,
    /// The id of this host.
    pub host: HostId,
    /// The cluster state that this host knows, with the manifest in force.
    pub cluster_view: Arc<ClusterView>,
    /// The source of grants.
    pub granter: Arc<dyn Granter>,
    /// The registry of claims.
    pub claims: Arc<dyn ClaimRegistry>,
    /// The clients of upstreams.
    pub upstreams: Arc<dyn UpstreamDirectory>,
    /// The scheduling policy. Baseline policies send engines no priorities that depend on length.
    pub policy: PolicyName,
    /// The memory budget for request bodies.
    pub bodies: BodyMemory,
    /// The counter of requests that have not ended.
    pub in_flight: InFlightCounter,
    /// The list of requests that crash upstreams.
    pub poison: Mutex<PoisonList>,
    /// Broadcasts new reports of requests that crash upstreams.
    pub poison_broadcast: Arc<dyn PoisonBroadcast>,
    /// The metrics of this host.
    pub metrics: Arc<Metrics>,
    /// The record of the steps of recent requests.
    pub explanations: Arc<Explanations>,
    /// The retry budget of each target.
    pub retry_budgets: Mutex<IndexMap<TargetId, RetryBudget>>,
}

impl EntryContext {
    /// Calls a function with the retry budget of a target, and creates the budget on first use.
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

    /// Locks the list of requests that crash upstreams.
    pub fn poison_list(&self) -> MutexGuard<'_, PoisonList> {
        lock(&self.poison)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
