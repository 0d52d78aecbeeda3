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
use crate::entry::ClaimDesk;
use crate::entry::Granter;
use crate::entry::InFlight;
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
pub struct EntryParts {
    /// The clock.
    pub clock: Arc<dyn Clock>,
    /// This host.
    pub host: HostId,
    /// The blackboard.
    pub cluster_view: Arc<ClusterView>,
    /// Grants.
    pub granter: Arc<dyn Granter>,
    /// Claims.
    pub claims: Arc<dyn ClaimDesk>,
    /// Upstreams.
    pub upstreams: Arc<dyn UpstreamDirectory>,
    /// The decisions; baselines give engines no ranks by length.
    pub policy: PolicyName,
    /// Memory for bodies.
    pub bodies: BodyMemory,
    /// Requests that have not ended.
    pub in_flight: InFlight,
    /// Requests that crash upstreams.
    pub poison: Mutex<PoisonList>,
    /// Tells other hosts of them.
    pub poison_broadcast: Arc<dyn PoisonBroadcast>,
    /// Metrics.
    pub metrics: Arc<Metrics>,
    /// What was decided for requests.
    pub explanations: Arc<Explanations>,
    /// A retry budget for each target.
    pub retries: Mutex<IndexMap<TargetId, RetryBudget>>,
}

impl EntryParts {
    /// Works with the retry budget of a target.
    pub fn with_budget<R>(&self, target: &TargetId, work: impl FnOnce(&mut RetryBudget) -> R) -> R {
        let now = self.clock.now();
        let mut budgets = lock(&self.retries);
        let budget = budgets
            .entry(target.clone())
            .or_insert_with(|| RetryBudget::new(rand::random(), now));
        work(budget)
    }

    /// The list of requests that crash upstreams.
    pub fn poison_list(&self) -> MutexGuard<'_, PoisonList> {
        lock(&self.poison)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
