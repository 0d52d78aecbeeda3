//! Runs the reconcilers of the pools that have their home on this host.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Instant;

use indexmap::IndexMap;
use log::debug;
use log::info;

use crate::clock::Clock;
use crate::cluster_view::ClusterView;
use crate::control::orders::DesiredEngines;
use crate::control::orders::EngineReconciler;
use crate::control::orders::LeaseAction;
use crate::control::orders::ReconcilerAction;
use crate::control::orders::ReconcilerConf;
use crate::control::status::EventLog;
use crate::entry::UpstreamDirectory;
use crate::fleet::HomeDirectory;
use crate::manifest::Manifest;
use crate::manifest::ModelSpec;
use crate::objects::ObjectKey;
use crate::objects::ObjectKind;
use crate::objects::PlatformClient;
use crate::objects::PlatformError;
use crate::units::ByteSize;
use crate::units::HostId;
use crate::units::Incarnation;
use crate::units::PoolId;
use crate::units::UpstreamId;
use crate::upstream::EngineState;
use crate::upstream::Order;

/// Runs the reconcilers of the pools that have their home on this host. A reconciler orders engines
/// to load what the manifest asks for. While the platform can't be reached there is no lease and no
/// order, and engines go on serving as they are.
pub struct ReconcilerRunner {
    parts: ReconcilerRunnerParts,
    /// The reconciler of each pool, with the configuration that it was created with.
    reconcilers: Mutex<IndexMap<PoolId, (ReconcilerConf, EngineReconciler)>>,
}

/// The dependencies of a [`ReconcilerRunner`].
pub struct ReconcilerRunnerParts {
    /// The clock of this host.
    pub clock: Arc<dyn Clock>,
    /// The cluster view, with the manifest in force.
    pub cluster_view: Arc<ClusterView>,
    /// The log of recent events, which records each order.
    pub events: Arc<EventLog>,
    /// The directory of pools and their homes.
    pub home_directory: Arc<dyn HomeDirectory>,
    /// The platform, which stores the leases.
    pub platform: Arc<dyn PlatformClient>,
    /// The clients of upstreams.
    pub upstreams: Arc<dyn UpstreamDirectory>,
    /// The id of this host.
    pub host: HostId,
    /// The incarnation of this host's process.
    pub incarnation: Incarnation,
}

impl ReconcilerRunner {
    /// A runner without pools.
    pub fn new(parts: ReconcilerRunnerParts) -> Self {
        Self {
            parts,
            reconcilers: Mutex::default(),
        }
    }

    /// Updates the reconcilers from the manifest and the directory, and performs their actions in
    /// tasks of their own. Removes the reconcilers of pools whose home is no longer this host. Does
    /// nothing while there is no manifest.
    pub fn tick(self: &Arc<Self>) {
        let Some(in_force) = self.parts.cluster_view.manifest() else {
            return;
        };
        let pool_ids = self.parts.home_directory.pools_with_local_home();
        let now = self.parts.clock.now();
        let mut due = Vec::new();
        {
            let mut reconcilers = self.lock();
            reconcilers.retain(|pool, _| pool_ids.contains(pool));
            for pool in pool_ids {
                let Some(model) = model_of(&in_force.manifest, &pool) else {
                    continue;
                };
                let conf = self.conf(&in_force.manifest, model);
                let new_entry = || (conf.clone(), EngineReconciler::new(conf.clone(), now));
                let entry = reconcilers.entry(pool.clone()).or_insert_with(new_entry);
                // A manifest that changes the fencing or the weights of the model replaces the
                // reconciler. The only cost is that the new one waits for its own lease to expire.
                if entry.0 != conf {
                    *entry = new_entry();
                }
                let reconciler = &mut entry.1;
                reconciler.set_desired(desired_engines(model));
                reconciler.set_engines(&self.parts.home_directory.upstreams_of(&pool));
                due.push((pool, reconciler.tick(now)));
            }
        }
        for (pool, actions) in due {
            for action in actions {
                self.perform(&pool, action);
            }
        }
    }

    /// For each pool, the number of engines that are in the desired state, and the number of all.
    pub fn progress(&self) -> Vec<(PoolId, (usize, usize))> {
        let reconcilers = self.lock();
        reconcilers
            .iter()
            .map(|(pool, (_, reconciler))| (pool.clone(), reconciler.progress()))
            .collect()
    }

    /// The configuration of a reconciler. The models share the load rate of the weight store
    /// evenly.
    fn conf(&self, manifest: &Manifest, model: &ModelSpec) -> ReconcilerConf {
        let models = manifest.models.len().max(1) as u64;
        ReconcilerConf {
            host: self.parts.host.clone(),
            incarnation: self.parts.incarnation,
            fencing: model.fencing,
            weight_size: model.weight_size,
            load_size_per_second: ByteSize(manifest.weight_store.load_size_per_second.0 / models),
        }
    }

    /// Performs an action in a task of its own.
    fn perform(self: &Arc<Self>, pool: &PoolId, action: ReconcilerAction) {
        let runner = Arc::clone(self);
        let pool = pool.clone();
        tokio::spawn(async move {
            match action {
                ReconcilerAction::Lease(action) => runner.perform_lease_action(&pool, action).await,
                ReconcilerAction::ReadEngine { id } => runner.read_engine(&pool, id).await,
                ReconcilerAction::SendOrder {
                    id,
                    order,
                    not_after,
                } => {
                    runner.send_order(&id, order, not_after).await;
                }
            }
        });
    }

    /// Reads or writes the lease of a pool, and passes the result to its reconciler, which acts on
    /// it at its next tick. The result is dropped if the pool has no reconciler any more.
    async fn perform_lease_action(&self, pool: &PoolId, action: LeaseAction) {
        // Pool ids contain slashes, which separate the segments of a URL path.
        let key = ObjectKey::new(ObjectKind::Leases, pool.as_str().replace('/', "."));
        match action {
            LeaseAction::Read => {
                let result = self.parts.platform.get(key).await;
                let now = self.parts.clock.now();
                self.with_reconciler(pool, |reconciler| reconciler.on_lease_read(result, now));
            }
            LeaseAction::Write { spec, expected } => {
                let written = match serde_json::to_value(&spec) {
                    Ok(value) => self.parts.platform.put(key, value, expected).await,
                    Err(err) => Err(PlatformError::Refused(err.to_string())),
                };
                let now = self.parts.clock.now();
                self.with_reconciler(pool, |reconciler| reconciler.on_lease_written(written, now));
            }
        }
    }

    /// Reads the state of an engine, and passes the state to the reconciler. A failed read is only
    /// logged.
    async fn read_engine(&self, pool: &PoolId, id: UpstreamId) {
        let asked_at = self.parts.clock.now();
        let Some(upstream) = self.parts.upstreams.upstream(&id) else {
            return;
        };
        match upstream.state().await {
            Ok(state) => {
                self.with_reconciler(pool, |reconciler| {
                    reconciler.on_engine_state(&id, state, asked_at);
                });
            }
            Err(err) => debug!("orders: can't read the state of {id}: {err}"),
        }
    }

    /// Records an event and sends an order to an engine, unless the lease has expired. The engine's
    /// answer is only logged, and an engine that is unknown to this host gets nothing.
    ///
    /// The time is checked once more right before the call: if this process was paused since the
    /// decision, another host may have taken the lease and ordered a newer version, which this
    /// order would replace by the old one.
    async fn send_order(&self, id: &UpstreamId, order: Order, not_after: Instant) {
        let Some(upstream) = self.parts.upstreams.upstream(id) else {
            return;
        };
        let state = order.state.clone();
        if self.parts.clock.now() >= not_after {
            info!("orders: lease expired before an order to {id} was sent");
            return;
        }
        let what = format!("ordered {id} to load {} {}", state.model, state.version);
        self.parts
            .events
            .record("orders", &what, "the manifest asks for it");
        match upstream.order(order).await {
            Ok(()) => info!(
                "orders: {id} accepted the order to load {} {}",
                state.model, state.version
            ),
            Err(err) => info!("orders: {id} did not accept an order: {err}"),
        }
    }

    /// Calls `update` with the reconciler of a pool, if there is one.
    fn with_reconciler(&self, pool: &PoolId, update: impl FnOnce(&mut EngineReconciler)) {
        if let Some((_, reconciler)) = self.lock().get_mut(pool) {
            update(reconciler);
        }
    }

    fn lock(&self) -> MutexGuard<'_, IndexMap<PoolId, (ReconcilerConf, EngineReconciler)>> {
        self.reconcilers
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// The model that a pool serves; none for a service.
fn model_of<'a>(manifest: &'a Manifest, pool: &PoolId) -> Option<&'a ModelSpec> {
    let target = pool.target()?;
    manifest.models.iter().find(|model| model.name == target)
}

/// The engines that the manifest asks for. The adapters are sorted, so that their order in the
/// manifest makes no difference.
fn desired_engines(model: &ModelSpec) -> DesiredEngines {
    let mut adapters = model.adapters.clone();
    adapters.sort();
    DesiredEngines {
        state: EngineState {
            model: model.name.to_string(),
            version: model.version.clone(),
            adapters,
            role: model.role.clone(),
            loading: false,
        },
        loaded_percent_min: model.loaded_percent_min,
    }
}
