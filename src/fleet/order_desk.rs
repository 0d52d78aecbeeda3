//! Runs the orders to the engines of the pools whose home is here.

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
use crate::fleet::HomeMap;
use crate::manifest::Manifest;
use crate::manifest::ModelSpec;
use crate::objects::Kind;
use crate::objects::ObjectKey;
use crate::objects::Platform;
use crate::objects::PlatformError;
use crate::units::ByteSize;
use crate::units::HostId;
use crate::units::Incarnation;
use crate::units::PoolId;
use crate::units::UpstreamId;
use crate::upstream::EngineState;
use crate::upstream::Order;

/// Runs the orders of the pools whose home is here. Without the platform there is no lease and no
/// order, and serving goes on.
pub struct OrderDesk {
    parts: OrderDeskParts,
    pools: Mutex<IndexMap<PoolId, (ReconcilerConf, EngineReconciler)>>,
}

/// What a desk works with.
pub struct OrderDeskParts {
    /// The clock.
    pub clock: Arc<dyn Clock>,
    /// The blackboard.
    pub cluster_view: Arc<ClusterView>,
    /// What this host did lately.
    pub events: Arc<EventLog>,
    /// Which pools have their home here.
    pub map: Arc<dyn HomeMap>,
    /// The platform, for leases.
    pub platform: Arc<dyn Platform>,
    /// Upstreams.
    pub upstreams: Arc<dyn UpstreamDirectory>,
    /// This host.
    pub host: HostId,
    /// This process of it.
    pub incarnation: Incarnation,
}

impl OrderDesk {
    /// A desk without pools.
    pub fn new(parts: OrderDeskParts) -> Self {
        Self {
            parts,
            pools: Mutex::default(),
        }
    }

    /// Does what is due now.
    pub fn tick(self: &Arc<Self>) {
        let Some(in_force) = self.parts.cluster_view.manifest() else {
            return;
        };
        let here = self.parts.map.homes_here();
        let now = self.parts.clock.now();
        let mut due = Vec::new();
        {
            let mut pools = self.lock();
            pools.retain(|pool, _| here.contains(pool));
            for pool in here {
                let Some(model) = model_of(&in_force.manifest, &pool) else {
                    continue;
                };
                let conf = self.conf(&in_force.manifest, model);
                let fresh = || (conf.clone(), EngineReconciler::new(conf.clone(), now));
                let entry = pools.entry(pool.clone()).or_insert_with(fresh);
                // A manifest that says otherwise of fencing or weights starts the pool anew, which
                // costs the wait for its own lease and nothing else.
                if entry.0 != conf {
                    *entry = fresh();
                }
                let orders = &mut entry.1;
                orders.set_desired(wanted_of(model));
                orders.set_engines(&self.parts.map.upstreams_of(&pool));
                due.push((pool, orders.tick(now)));
            }
        }
        for (pool, actions) in due {
            for action in actions {
                self.perform(&pool, action);
            }
        }
    }

    /// How many engines of each pool have what is wanted, and how many there are.
    pub fn progress(&self) -> Vec<(PoolId, (usize, usize))> {
        let pools = self.lock();
        pools
            .iter()
            .map(|(pool, (_, orders))| (pool.clone(), orders.progress()))
            .collect()
    }

    fn conf(&self, manifest: &Manifest, model: &ModelSpec) -> ReconcilerConf {
        let pools = manifest.models.len().max(1) as u64;
        ReconcilerConf {
            host: self.parts.host.clone(),
            incarnation: self.parts.incarnation,
            fencing: model.fencing,
            weight_size: model.weight_size,
            load_size_per_second: ByteSize(manifest.weight_store.load_size_per_second.0 / pools),
        }
    }

    fn perform(self: &Arc<Self>, pool: &PoolId, action: ReconcilerAction) {
        let desk = Arc::clone(self);
        let pool = pool.clone();
        tokio::spawn(async move {
            match action {
                ReconcilerAction::Lease(action) => desk.lease(&pool, action).await,
                ReconcilerAction::ReadEngine { id } => desk.read_engine(&pool, id).await,
                ReconcilerAction::SendOrder {
                    id,
                    order,
                    not_after,
                } => {
                    desk.send_order(&id, order, not_after).await;
                }
            }
        });
    }

    async fn lease(&self, pool: &PoolId, action: LeaseAction) {
        // A pool's name has slashes, which part the segments of a path.
        let key = ObjectKey::new(Kind::Leases, pool.as_str().replace('/', "."));
        match action {
            LeaseAction::Read => {
                let result = self.parts.platform.get(key).await;
                let now = self.parts.clock.now();
                self.with_orders(pool, |orders| orders.on_lease_read(result, now));
            }
            LeaseAction::Write { spec, expected } => {
                let written = match serde_json::to_value(&spec) {
                    Ok(value) => self.parts.platform.put(key, value, expected).await,
                    Err(err) => Err(PlatformError::Refused(err.to_string())),
                };
                let now = self.parts.clock.now();
                self.with_orders(pool, |orders| orders.on_lease_written(written, now));
            }
        }
    }

    async fn read_engine(&self, pool: &PoolId, id: UpstreamId) {
        let asked_at = self.parts.clock.now();
        let Some(upstream) = self.parts.upstreams.upstream(&id) else {
            return;
        };
        match upstream.state().await {
            Ok(state) => {
                self.with_orders(pool, |orders| orders.on_engine_state(&id, state, asked_at));
            }
            Err(err) => debug!("orders: can't read {id}: {err}"),
        }
    }

    /// Failure: this process is paused between the decision and the call, another host takes the
    /// lease and orders a newer version, and this order puts the old one back. So the time is
    /// looked at once more, right before the call.
    async fn send_order(&self, id: &UpstreamId, order: Order, not_after: Instant) {
        let Some(upstream) = self.parts.upstreams.upstream(id) else {
            return;
        };
        let state = order.state.clone();
        if self.parts.clock.now() >= not_after {
            info!("orders: the lease ran out before an order to {id} left");
            return;
        }
        let what = format!("told {id} to load {} {}", state.model, state.version);
        self.parts
            .events
            .record("orders", &what, "the manifest wants it");
        match upstream.order(order).await {
            Ok(()) => info!(
                "orders: {id} was told to load {} {}",
                state.model, state.version
            ),
            Err(err) => info!("orders: {id} did not take an order: {err}"),
        }
    }

    fn with_orders(&self, pool: &PoolId, work: impl FnOnce(&mut EngineReconciler)) {
        if let Some((_, orders)) = self.lock().get_mut(pool) {
            work(orders);
        }
    }

    fn lock(&self) -> MutexGuard<'_, IndexMap<PoolId, (ReconcilerConf, EngineReconciler)>> {
        self.pools.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn model_of<'a>(manifest: &'a Manifest, pool: &PoolId) -> Option<&'a ModelSpec> {
    let target = pool.target()?;
    manifest.models.iter().find(|model| model.name == target)
}

fn wanted_of(model: &ModelSpec) -> DesiredEngines {
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
