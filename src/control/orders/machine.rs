//! The reconciling of one pool's engines.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;

use crate::control::orders::DesiredEngines;
use crate::control::orders::EngineSeen;
use crate::control::orders::Lease;
use crate::control::orders::LeaseAction;
use crate::control::orders::plan;
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

/// The longest that an order is on its way: the caller's timeout on the call, which then is closed.
const FLIGHT_MAX: Duration = Duration::from_secs(5);

/// Between two readings of an engine that has what is wanted.
const READ_INTERVAL: Duration = Duration::from_secs(10);

/// Between two readings of an engine that is being changed.
const READ_INTERVAL_CHANGING: Duration = Duration::from_secs(1);

/// What a reconciler starts from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReconcilerConf {
    /// This host.
    pub host: HostId,
    /// This process of it.
    pub incarnation: Incarnation,
    /// Whether the engines refuse old fencing numbers.
    pub fencing: FencingSupport,
    /// The size of the weights of one engine.
    pub weight_size: ByteSize,
    /// This pool's part of the rate that the weight store gives to the failure domain.
    pub load_size_per_second: ByteSize,
}

/// What a reconciler wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReconcilerAction {
    /// Something about the lease.
    Lease(LeaseAction),
    /// Read what an engine has loaded, and pass on the result with this moment.
    ReadEngine {
        /// The engine.
        id: UpstreamId,
    },
    /// Send an order, unless the clock has passed `not_after` when it is handed to the network:
    /// this process may be paused until then. Its answer is of no use; the engine is read again.
    SendOrder {
        /// The engine.
        id: UpstreamId,
        /// The order.
        order: Order,
        /// The end of the lease.
        not_after: Instant,
    },
}

/// The reconciling of one pool's engines, without I/O. The home of the pool runs it.
#[derive(Debug)]
pub struct EngineReconciler {
    conf: ReconcilerConf,
    lease: Lease,
    loads: TokenBucket,
    wanted: Option<DesiredEngines>,
    engines: IndexMap<UpstreamId, Engine>,
}

#[derive(Debug, Default)]
struct Engine {
    reported: Option<EngineState>,
    ordered: Option<Ordered>,
    read_at: Option<Instant>,
}

#[derive(Debug)]
struct Ordered {
    state: EngineState,
    sent_at: Instant,
}

impl EngineReconciler {
    /// A reconciler without engines.
    pub fn new(conf: ReconcilerConf, now: Instant) -> Self {
        let lease = Lease::new(conf.host.clone(), conf.incarnation, now);
        // It begins with nothing: a holder before may just have used up the rate.
        let loads = empty_bucket(&conf, now);
        Self {
            conf,
            lease,
            loads,
            wanted: None,
            engines: IndexMap::new(),
        }
    }

    /// Sets what the manifest in force wants.
    pub fn set_desired(&mut self, wanted: DesiredEngines) {
        self.wanted = Some(wanted);
    }

    /// Sets the engines of the pool.
    pub fn set_engines(&mut self, ids: &[UpstreamId]) {
        self.engines.retain(|id, _| ids.contains(id));
        for id in ids {
            self.engines.entry(id.clone()).or_default();
        }
    }

    /// Takes in what an engine reported to a call that began at `asked_at`. A call that failed is
    /// not passed on: it says nothing of the engine's state.
    pub fn on_engine_state(&mut self, id: &UpstreamId, state: EngineState, asked_at: Instant) {
        let Some(engine) = self.engines.get_mut(id) else {
            return;
        };
        // Failure: the answer to an order was lost. The order may have arrived, or may still; so
        // it counts as at work until a reading that began after its longest flight says what came
        // of it, or an earlier one shows that it was taken.
        let is_over = engine.ordered.as_ref().is_none_or(|ordered| {
            let has_landed = asked_at >= ordered.sent_at + FLIGHT_MAX;
            let was_taken = asked_at > ordered.sent_at && state == ordered.state;
            has_landed || was_taken
        });
        if is_over {
            engine.ordered = None;
        }
        engine.reported = Some(state);
    }

    /// Takes in what a reading of the lease gave.
    pub fn on_lease_read(&mut self, result: Result<Object, PlatformError>, now: Instant) {
        self.lease.read(result, now);
    }

    /// Takes in what a writing of the lease gave.
    pub fn on_lease_written(&mut self, result: Result<ObjectVersion, PlatformError>, now: Instant) {
        self.lease.written(result, now);
    }

    /// What to do now; call it every second or so.
    pub fn tick(&mut self, now: Instant) -> Vec<ReconcilerAction> {
        let mut actions = Vec::new();
        self.read_engines(now, &mut actions);
        let to_order = self.to_order();
        let settled = self.lease.settle(now);
        // A lease is held only while there is something to change: 75 pools that renewed it all the
        // time would write 15 times a second for nothing.
        let is_busy = !to_order.is_empty() || self.is_changing();
        let lease = settled.or_else(|| self.lease.tick(is_busy, now));
        actions.extend(lease.map(ReconcilerAction::Lease));
        for id in to_order {
            match self.order(&id, now) {
                Some(action) => actions.push(action),
                None => break,
            }
        }
        actions
    }

    /// How many engines have what is wanted, and how many there are.
    pub fn progress(&self) -> (usize, usize) {
        let Some(wanted) = &self.wanted else {
            return (0, self.engines.len());
        };
        let seen = self.seen();
        let done = seen.iter().filter(|engine| engine.is_done(wanted));
        (done.count(), seen.len())
    }

    fn to_order(&self) -> Vec<UpstreamId> {
        let wanted = self.wanted.as_ref();
        wanted.map_or_else(Vec::new, |wanted| plan(wanted, &self.seen()))
    }

    fn is_changing(&self) -> bool {
        self.engines.values().any(|engine| {
            let is_loading = engine.reported.as_ref().is_some_and(|state| state.loading);
            engine.ordered.is_some() || is_loading
        })
    }

    fn order(&mut self, id: &UpstreamId, now: Instant) -> Option<ReconcilerAction> {
        let (fencing, not_after) = self.may_order(now)?;
        let state = self.wanted.as_ref()?.state.clone();
        if !self.loads.take(self.conf.weight_size.0 as f64, now) {
            return None;
        }
        let engine = self.engines.get_mut(id)?;
        engine.ordered = Some(Ordered {
            state: state.clone(),
            sent_at: now,
        });
        log::info!("orders: {id} is to have {} {}", state.model, state.version);
        Some(ReconcilerAction::SendOrder {
            id: id.clone(),
            order: Order { fencing, state },
            not_after,
        })
    }

    fn may_order(&self, now: Instant) -> Option<(FencingNumber, Instant)> {
        let fencing = self.lease.fencing(now)?;
        let is_quiet = match self.conf.fencing {
            FencingSupport::Checked => true,
            FencingSupport::Ignored => now >= self.lease.quiet_from(FLIGHT_MAX)?,
        };
        is_quiet.then_some((fencing, self.lease.valid_until()?))
    }

    fn read_engines(&mut self, now: Instant, actions: &mut Vec<ReconcilerAction>) {
        let wanted = self.wanted.as_ref();
        for (id, engine) in &mut self.engines {
            let is_done = wanted.is_some_and(|wanted| engine.seen(id).is_done(wanted));
            let interval = match is_done {
                true => READ_INTERVAL,
                false => READ_INTERVAL_CHANGING,
            };
            let is_due = engine.read_at.is_none_or(|at| now >= at + interval);
            if is_due {
                engine.read_at = Some(now);
                actions.push(ReconcilerAction::ReadEngine { id: id.clone() });
            }
        }
    }

    fn seen(&self) -> Vec<EngineSeen> {
        let engines = self.engines.iter();
        engines.map(|(id, engine)| engine.seen(id)).collect()
    }
}

impl Engine {
    fn seen(&self, id: &UpstreamId) -> EngineSeen {
        EngineSeen {
            id: id.clone(),
            reported: self.reported.clone(),
            is_ordered: self.ordered.is_some(),
        }
    }
}

fn empty_bucket(conf: &ReconcilerConf, now: Instant) -> TokenBucket {
    let rate = conf.load_size_per_second.0 as f64;
    // Room for one engine's weights at least, or no load could ever begin.
    let burst = rate.max(conf.weight_size.0 as f64);
    let mut bucket = TokenBucket::new(rate, burst, now);
    bucket.take(burst, now);
    bucket
}
