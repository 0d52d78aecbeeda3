//! The reconciler of the engines of one pool.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;

use crate::control::orders::DesiredEngines;
use crate::control::orders::Lease;
use crate::control::orders::LeaseAction;
use crate::control::orders::ObservedEngine;
use crate::control::orders::engines_to_order;
use crate::manifest::FencingSupport;
use crate::objects::Object;
use crate::objects::PlatformError;
use crate::peer::TokenBucket;
use crate::units::ByteSize;
use crate::units::FencingNumber;
use crate::units::HostId;
use crate::units::Incarnation;
use crate::units::ObjectVersion;
use crate::units::UpstreamId;
use crate::upstream::EngineState;
use crate::upstream::Order;

/// Longest time that an order is in flight: the timeout of the call, after which its connection is
/// closed.
const FLIGHT_MAX: Duration = Duration::from_secs(5);

/// Time between two reads of an engine that is in the desired state.
const READ_INTERVAL: Duration = Duration::from_secs(10);

/// Time between two reads of an engine that is not in the desired state.
const READ_INTERVAL_PENDING: Duration = Duration::from_secs(1);

/// The configuration of a reconciler: this host and its incarnation, whether engines refuse
/// outdated fencing numbers, the size of one engine's weights, and this pool's share of the weight
/// store's rate.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReconcilerConf {
    /// This host.
    pub host: HostId,
    /// The incarnation of this process.
    pub incarnation: Incarnation,
    /// Whether the engines refuse outdated fencing numbers.
    pub fencing: FencingSupport,
    /// The size of the weights of one engine.
    pub weight_size: ByteSize,
    /// The share of this pool in the rate at which the weight store serves the failure domain.
    pub load_size_per_second: ByteSize,
}

/// An action that the reconciler requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReconcilerAction {
    /// Read or write the lease.
    Lease(LeaseAction),
    /// Read the state of an engine and pass it to the reconciler, with the time at which the call
    /// began.
    ReadEngine {
        /// The engine.
        id: UpstreamId,
    },
    /// Send an order, unless `not_after` has passed when it is handed to the network: this process
    /// may be paused in between. The answer is not used; the engine is read again.
    SendOrder {
        /// The engine.
        id: UpstreamId,
        /// The order.
        order: Order,
        /// The time until which the lease allows orders.
        not_after: Instant,
    },
}

/// Brings the engines of one pool to the desired state, as a state machine without I/O. The home
/// of the pool runs it.
#[derive(Debug)]
pub struct EngineReconciler {
    conf: ReconcilerConf,
    lease: Lease,
    load_budget: TokenBucket,
    desired: Option<DesiredEngines>,
    engines: IndexMap<UpstreamId, ManagedEngine>,
}

/// An engine of the pool as the reconciler tracks it.
#[derive(Debug, Default)]
struct ManagedEngine {
    reported: Option<EngineState>,
    pending_order: Option<PendingOrder>,
    /// When the last read was requested.
    read_at: Option<Instant>,
}

/// An order that may still be in flight or in progress.
#[derive(Debug)]
struct PendingOrder {
    state: EngineState,
    sent_at: Instant,
}

impl EngineReconciler {
    /// A reconciler without engines and without the lease. Its load budget starts empty, so the
    /// first order has to wait until the rate of the weight store allows one load.
    pub fn new(conf: ReconcilerConf, now: Instant) -> Self {
        let lease = Lease::new(conf.host.clone(), conf.incarnation, now);
        // The previous holder of the lease may just have used up the rate of the weight store.
        let load_budget = empty_load_budget(&conf, now);
        Self {
            conf,
            lease,
            load_budget,
            desired: None,
            engines: IndexMap::new(),
        }
    }

    /// Sets the state that the manifest in force asks for.
    pub fn set_desired(&mut self, desired: DesiredEngines) {
        self.desired = Some(desired);
    }

    /// Sets the engines of the pool. Forgets the state and the pending orders of engines that are
    /// no longer listed.
    pub fn set_engines(&mut self, ids: &[UpstreamId]) {
        self.engines.retain(|id, _| ids.contains(id));
        for id in ids {
            self.engines.entry(id.clone()).or_default();
        }
    }

    /// Handles the state that an engine reported to a call that began at `requested_at`. The state
    /// is always stored; a pending order ends only if the state shows the outcome of the order.
    /// Engines that are not in the pool are ignored. The caller does not report failed calls, since
    /// they say nothing about the state of the engine.
    pub fn on_engine_state(&mut self, id: &UpstreamId, state: EngineState, requested_at: Instant) {
        let Some(engine) = self.engines.get_mut(id) else {
            return;
        };
        // The failure this guards against: the answer to an order was lost, and the order may have
        // arrived or may still arrive. The order counts as pending until a read that began after
        // its longest time in flight shows the outcome, or an earlier read shows that the engine
        // accepted it.
        let is_resolved = engine.pending_order.as_ref().is_none_or(|order| {
            let has_arrived = requested_at >= order.sent_at + FLIGHT_MAX;
            let was_accepted = requested_at > order.sent_at && state == order.state;
            has_arrived || was_accepted
        });
        if is_resolved {
            engine.pending_order = None;
        }
        engine.reported = Some(state);
    }

    /// Handles the result of a read of the lease. The resulting action comes from the next
    /// [`EngineReconciler::tick`].
    pub fn on_lease_read(&mut self, result: Result<Object, PlatformError>, now: Instant) {
        self.lease.on_read(result, now);
    }

    /// Handles the result of a write of the lease. Orders become possible with the next
    /// [`EngineReconciler::tick`].
    pub fn on_lease_written(&mut self, result: Result<ObjectVersion, PlatformError>, now: Instant) {
        self.lease.on_written(result, now);
    }

    /// Returns the actions that are due. To be called about once per second.
    pub fn tick(&mut self, now: Instant) -> Vec<ReconcilerAction> {
        let mut actions = Vec::new();
        self.request_due_reads(now, &mut actions);
        let engines_due = self.engines_due();
        let resolve_read = self.lease.resolve_pending_write(now);
        // The lease is held only while there is something to change: 75 pools that renew it all the
        // time would make 15 useless writes per second.
        let is_busy = !engines_due.is_empty() || self.has_pending_changes();
        let lease = resolve_read.or_else(|| self.lease.tick(is_busy, now));
        actions.extend(lease.map(ReconcilerAction::Lease));
        for id in engines_due {
            match self.order_engine(&id, now) {
                Some(action) => actions.push(action),
                None => break,
            }
        }
        actions
    }

    /// The number of engines in the desired state, and the number of all engines. Without a desired
    /// state, the first number is 0.
    pub fn progress(&self) -> (usize, usize) {
        let Some(desired) = &self.desired else {
            return (0, self.engines.len());
        };
        let observed = self.observed();
        let done = observed
            .iter()
            .filter(|engine| engine.has_desired_state(desired));
        (done.count(), observed.len())
    }

    /// The engines to send an order to now, in order of precedence.
    fn engines_due(&self) -> Vec<UpstreamId> {
        let desired = self.desired.as_ref();
        desired.map_or_else(Vec::new, |desired| {
            engines_to_order(desired, &self.observed())
        })
    }

    /// Whether an order is pending or an engine is loading.
    fn has_pending_changes(&self) -> bool {
        self.engines.values().any(|engine| {
            let is_loading = engine.reported.as_ref().is_some_and(|state| state.loading);
            engine.pending_order.is_some() || is_loading
        })
    }

    /// Returns an order to an engine and records it as pending. `None` if the lease or the load
    /// budget does not allow an order now.
    fn order_engine(&mut self, id: &UpstreamId, now: Instant) -> Option<ReconcilerAction> {
        let (fencing, not_after) = self.order_permission(now)?;
        let state = self.desired.as_ref()?.state.clone();
        if !self.load_budget.take(self.conf.weight_size.0 as f64, now) {
            return None;
        }
        let engine = self.engines.get_mut(id)?;
        engine.pending_order = Some(PendingOrder {
            state: state.clone(),
            sent_at: now,
        });
        log::info!(
            "orders: ordering {id} to load {} {}",
            state.model,
            state.version
        );
        Some(ReconcilerAction::SendOrder {
            id: id.clone(),
            order: Order { fencing, state },
            not_after,
        })
    }

    /// The fencing number for an order that is sent now, and the time until which the order may be
    /// sent; `None` if no order may be sent.
    fn order_permission(&self, now: Instant) -> Option<(FencingNumber, Instant)> {
        let fencing = self.lease.fencing(now)?;
        let is_exclusive = match self.conf.fencing {
            FencingSupport::Checked => true,
            FencingSupport::Ignored => now >= self.lease.exclusive_from(FLIGHT_MAX)?,
        };
        is_exclusive.then_some((fencing, self.lease.valid_until()?))
    }

    /// Requests reads of the state of the engines whose read interval has passed. Engines that are
    /// not in the desired state are read more often.
    fn request_due_reads(&mut self, now: Instant, actions: &mut Vec<ReconcilerAction>) {
        let desired = self.desired.as_ref();
        for (id, engine) in &mut self.engines {
            let has_desired_state =
                desired.is_some_and(|desired| engine.observed(id).has_desired_state(desired));
            let interval = match has_desired_state {
                true => READ_INTERVAL,
                false => READ_INTERVAL_PENDING,
            };
            let is_due = engine.read_at.is_none_or(|at| now >= at + interval);
            if is_due {
                engine.read_at = Some(now);
                actions.push(ReconcilerAction::ReadEngine { id: id.clone() });
            }
        }
    }

    /// The observed states of all engines of the pool.
    fn observed(&self) -> Vec<ObservedEngine> {
        let engines = self.engines.iter();
        engines.map(|(id, engine)| engine.observed(id)).collect()
    }
}

impl ManagedEngine {
    /// The observed state of this engine, whose id is `id`.
    fn observed(&self, id: &UpstreamId) -> ObservedEngine {
        ObservedEngine {
            id: id.clone(),
            reported: self.reported.clone(),
            has_pending_order: self.pending_order.is_some(),
        }
    }
}

/// The budget of the bytes of weights that the engines may load. It is empty at first, and refills
/// at the rate of the pool up to at least the weights of one engine.
fn empty_load_budget(conf: &ReconcilerConf, now: Instant) -> TokenBucket {
    let rate = conf.load_size_per_second.0 as f64;
    // The burst has to allow the weights of one engine, or no load could ever start.
    let burst = rate.max(conf.weight_size.0 as f64);
    let mut bucket = TokenBucket::new(rate, burst, now);
    bucket.take(burst, now);
    bucket
}
