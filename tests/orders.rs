//! Orders to engines: one holder of the lease at a time, enough engines stay loaded, and nothing
//! depends on answers.

use std::time::Duration;
use std::time::Instant;

use banyanarch::control::orders::DesiredEngines;
use banyanarch::control::orders::EngineReconciler;
use banyanarch::control::orders::LeaseAction;
use banyanarch::control::orders::ObservedEngine;
use banyanarch::control::orders::ReconcilerAction;
use banyanarch::control::orders::ReconcilerConf;
use banyanarch::control::orders::engines_to_order;
use banyanarch::manifest::FencingSupport;
use banyanarch::objects::Object;
use banyanarch::objects::ObjectKey;
use banyanarch::objects::ObjectKind;
use banyanarch::objects::PlatformError;
use banyanarch::objects::Precondition;
use banyanarch::units::ByteSize;
use banyanarch::units::Incarnation;
use banyanarch::units::ObjectVersion;
use banyanarch::units::UpstreamId;
use banyanarch::upstream::EngineState;
use banyanarch::upstream::Order;
use indexmap::IndexMap;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use yare::parameterized;

const STEP: Duration = Duration::from_millis(250);
const LOAD_TIME: Duration = Duration::from_secs(4);
const FLIGHT_MAX: Duration = Duration::from_secs(5);
const GIB: u64 = 1 << 30;

fn state(version: &str) -> EngineState {
    EngineState {
        model: "m".to_owned(),
        version: version.to_owned(),
        adapters: Vec::new(),
        role: "mixed".to_owned(),
        loading: false,
    }
}

fn desired(version: &str, loaded_percent_min: u8) -> DesiredEngines {
    DesiredEngines {
        state: state(version),
        loaded_percent_min,
    }
}

fn engine(n: usize) -> UpstreamId {
    format!("engine-{n}").parse().unwrap()
}

struct FakeEngine {
    state: EngineState,
    loads_until: Option<Instant>,
    highest_fencing: u64,
    /// The orders in order of arrival: time, sending host and fencing number.
    arrived: Vec<(Instant, usize, u64)>,
}

/// Simulates reconcilers of one pool on several hosts, their lease, and engines that ignore fencing
/// numbers.
struct PoolSimulation {
    now: Instant,
    rng: StdRng,
    hosts: Vec<EngineReconciler>,
    paused_until: Vec<Instant>,
    unreachable_until: Vec<Instant>,
    engines: IndexMap<UpstreamId, FakeEngine>,
    lease: Option<(ObjectVersion, serde_json::Value)>,
    has_faults: bool,
    /// Orders with their time of arrival and sending host.
    orders_in_flight: Vec<(Instant, usize, UpstreamId, Order)>,
    /// The lowest number of engines that were loaded at the same time.
    loaded_min: usize,
    /// Number of loads that engines began.
    loads: usize,
}

impl PoolSimulation {
    fn new(host_count: usize, engine_count: usize, load_gib_per_second: u64) -> Self {
        let now = Instant::now();
        let ids: Vec<UpstreamId> = (0..engine_count).map(engine).collect();
        let new_reconciler = |n| {
            let conf = ReconcilerConf {
                host: format!("h{n}").parse().unwrap(),
                incarnation: Incarnation(1),
                fencing: FencingSupport::Ignored,
                weight_size: ByteSize(GIB),
                load_size_per_second: ByteSize(load_gib_per_second * GIB),
            };
            let mut reconciler = EngineReconciler::new(conf, now);
            reconciler.set_engines(&ids);
            reconciler
        };
        let fake_engine = |id: UpstreamId| {
            let engine = FakeEngine {
                state: state("1"),
                loads_until: None,
                highest_fencing: 0,
                arrived: Vec::new(),
            };
            (id, engine)
        };
        Self {
            now,
            rng: StdRng::seed_from_u64(1),
            hosts: (0..host_count).map(new_reconciler).collect(),
            paused_until: vec![now; host_count],
            unreachable_until: vec![now; host_count],
            engines: ids.iter().cloned().map(fake_engine).collect(),
            lease: None,
            has_faults: false,
            orders_in_flight: Vec::new(),
            loaded_min: engine_count,
            loads: 0,
        }
    }

    fn set_desired(&mut self, version: &str, loaded_percent_min: u8) {
        for host in &mut self.hosts {
            host.set_desired(desired(version, loaded_percent_min));
        }
    }

    fn run(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.step();
        }
    }

    fn all_have(&self, version: &str) -> bool {
        let mut engines = self.engines.values();
        engines.all(|engine| engine.state == state(version))
    }

    fn step(&mut self) {
        self.now += STEP;
        self.deliver_orders();
        let loaded = self.engines.values().filter(|engine| !engine.state.loading);
        self.loaded_min = self.loaded_min.min(loaded.count());
        for host in 0..self.hosts.len() {
            if self.now < self.paused_until[host] {
                continue;
            }
            for action in self.hosts[host].tick(self.now) {
                // The process may be paused between a decision and the resulting action.
                let is_send = matches!(action, ReconcilerAction::SendOrder { .. });
                let one_in = if is_send { 8 } else { 100 };
                if self.has_faults && self.rng.random_ratio(1, one_in) {
                    let pause = Duration::from_secs(self.rng.random_range(1..90));
                    self.paused_until[host] = self.now + pause;
                }
                self.perform(host, action);
            }
        }
    }

    fn deliver_orders(&mut self) {
        let now = self.now;
        let (due, later) = std::mem::take(&mut self.orders_in_flight)
            .into_iter()
            .partition(|(at, ..)| *at <= now);
        self.orders_in_flight = later;
        for (_, host, id, order) in due {
            let engine = &mut self.engines[&id];
            engine.arrived.push((now, host, order.fencing.0));
            engine.highest_fencing = engine.highest_fencing.max(order.fencing.0);
            if engine.state != order.state {
                engine.state = order.state;
                engine.state.loading = true;
                engine.loads_until = Some(now + LOAD_TIME);
                self.loads += 1;
            }
        }
        for engine in self.engines.values_mut() {
            if engine.loads_until.is_some_and(|until| now >= until) {
                engine.state.loading = false;
                engine.loads_until = None;
            }
        }
    }

    fn perform(&mut self, host: usize, action: ReconcilerAction) {
        // A paused process performs its actions when it resumes.
        let at = self.now.max(self.paused_until[host]);
        match action {
            ReconcilerAction::Lease(action) => self.lease_call(host, action),
            ReconcilerAction::ReadEngine { id } => {
                let state = self.engines[&id].state.clone();
                self.hosts[host].on_engine_state(&id, state, self.now);
            }
            ReconcilerAction::SendOrder {
                id,
                order,
                not_after,
            } => {
                let is_lost = self.has_faults && self.rng.random_ratio(1, 5);
                if at < not_after && !is_lost {
                    let flight = match self.has_faults {
                        true => FLIGHT_MAX * self.rng.random_range(0..2),
                        false => Duration::ZERO,
                    };
                    self.orders_in_flight.push((at + flight, host, id, order));
                }
            }
        }
    }

    fn lease_call(&mut self, host: usize, action: LeaseAction) {
        let fault = match self.has_faults {
            true => self.rng.random_range(0..16),
            false => 15,
        };
        // Sometimes a host cannot reach the platform for a while.
        if fault == 0 {
            self.unreachable_until[host] =
                self.now + Duration::from_secs(self.rng.random_range(10..60));
        }
        let is_unreachable = self.now < self.unreachable_until[host];
        match action {
            LeaseAction::Read => {
                let object = self.lease.clone().map(|(version, value)| Object {
                    key: ObjectKey::new(ObjectKind::Leases, "pool"),
                    version,
                    value,
                });
                let result = match is_unreachable {
                    true => Err(PlatformError::Unavailable("busy".to_owned())),
                    false => object.ok_or(PlatformError::NotFound),
                };
                self.hosts[host].on_lease_read(result, self.now);
            }
            LeaseAction::Write { spec, expected } => {
                let result = match fault {
                    _ if is_unreachable => Err(PlatformError::Unavailable("busy".to_owned())),
                    1 => Err(PlatformError::OutcomeUnknown("lost".to_owned())),
                    _ => self.write(serde_json::to_value(spec).unwrap(), expected),
                };
                let result = match fault {
                    2 | 3 => Err(PlatformError::OutcomeUnknown("lost".to_owned())),
                    _ => result,
                };
                self.hosts[host].on_lease_written(result, self.now);
            }
        }
    }

    fn write(
        &mut self,
        value: serde_json::Value,
        expected: Precondition,
    ) -> Result<ObjectVersion, PlatformError> {
        let version = self.lease.as_ref().map(|(version, _)| *version);
        let is_expected = match expected {
            Precondition::Absent => version.is_none(),
            Precondition::Version(required) => version == Some(required),
        };
        if !is_expected {
            return Err(PlatformError::Conflict);
        }
        let next = ObjectVersion(version.unwrap_or_default().0 + 1);
        self.lease = Some((next, value));
        Ok(next)
    }
}

/// Guards against a new version that is loaded by too many engines at once: callers would find no
/// loaded engine, and the weight store would refuse loads.
#[parameterized(
    six = { 6, 75, 4 },
    three = { 3, 75, 2 },
    one = { 1, 75, 0 },
    twenty = { 20, 75, 15 },
)]
fn enough_engines_stay_loaded(engine_count: usize, percent: u8, at_least: usize) {
    let mut pool = PoolSimulation::new(2, engine_count, 1);
    pool.set_desired("2", percent);
    pool.run(Duration::from_secs(400));
    assert!(pool.all_have("2"));
    assert_eq!(pool.loads, engine_count);
    assert!(pool.loaded_min >= at_least, "{}", pool.loaded_min);
}

/// Guards against more loads than the weight store can serve, here the weights of one engine per
/// second, when all engines come back empty after a power failure.
#[test]
fn loads_stay_within_the_rate_of_the_weight_store() {
    let mut pool = PoolSimulation::new(1, 30, 1);
    for engine in pool.engines.values_mut() {
        engine.state = EngineState::default();
    }
    pool.set_desired("2", 75);
    let start = pool.now;
    while !pool.all_have("2") {
        pool.step();
        let elapsed = (pool.now - start).as_secs();
        assert!(
            pool.loads as u64 <= elapsed,
            "{} loads in {elapsed} s",
            pool.loads
        );
        assert!(elapsed < 120);
    }
}

/// Guards against a stuck or repeated change when a third version is published while the second one
/// is being loaded.
#[test]
fn a_change_during_a_change_ends_at_the_last_version() {
    let mut pool = PoolSimulation::new(2, 8, 1);
    pool.set_desired("2", 50);
    while pool.loads < 3 {
        pool.step();
    }
    pool.set_desired("3", 50);
    pool.run(Duration::from_secs(200));
    assert!(pool.all_have("3"));
    assert!(pool.loads <= 3 + 8, "{}", pool.loads);
    assert!(pool.loaded_min >= 4);
}

/// Guards against an outdated order that puts an engine back to an old version. The holder of the
/// lease is paused right after it decided on an order, and resumes after another host has taken the
/// lease and has ordered a newer version.
#[test]
fn a_paused_holder_sends_nothing_after_it_resumes() {
    let mut pool = PoolSimulation::new(1, 1, 100);
    pool.set_desired("2", 0);
    let not_after = loop {
        pool.now += STEP;
        let now = pool.now;
        let mut sent = None;
        for action in pool.hosts[0].tick(now) {
            match action {
                ReconcilerAction::SendOrder { not_after, .. } => sent = Some(not_after),
                action => pool.perform(0, action),
            }
        }
        if let Some(not_after) = sent {
            break not_after;
        }
    };
    assert!(not_after < pool.now + Duration::from_secs(15));
    pool.now += Duration::from_secs(60);
    let now = pool.now;
    let actions = pool.hosts[0].tick(now);
    let sends = |action: &ReconcilerAction| matches!(action, ReconcilerAction::SendOrder { .. });
    assert!(!actions.iter().any(sends));
}

/// Guards against an order of an earlier holder that arrives after one of a later holder and
/// reverts an engine. Several hosts consider themselves the home of a pool whose engines obey every
/// order. They are paused at any moment, also between decision and send; calls to the platform fail
/// or lose their answers; orders arrive up to five seconds late or never.
#[test]
fn orders_of_earlier_holders_never_arrive_after_those_of_later_ones() {
    let mut orders = 0;
    let mut holder_changes = 0;
    for seed in 0..60 {
        let mut pool = PoolSimulation::new(3, 4, 100);
        pool.rng = StdRng::seed_from_u64(seed);
        pool.has_faults = true;
        for round in 0..80 {
            pool.set_desired(&format!("{}", round + 2), 0);
            let time = pool.rng.random_range(2..30);
            pool.run(Duration::from_secs(time));
        }
        // Fencing numbers increase with each write of the lease, also for the same holder.
        let mut arrived: Vec<(Instant, usize, u64)> = Vec::new();
        for engine in pool.engines.values() {
            arrived.extend(&engine.arrived);
        }
        arrived.sort();
        orders += arrived.len();
        for pair in arrived.windows(2) {
            let ((_, first, number), (_, second, later)) = (pair[0], pair[1]);
            if first != second {
                holder_changes += 1;
                assert!(
                    number < later,
                    "seed {seed}: order {number} arrived before {later}"
                );
            }
        }
        pool.has_faults = false;
        pool.paused_until = vec![pool.now; 3];
        pool.unreachable_until = vec![pool.now; 3];
        pool.set_desired("last", 0);
        pool.run(Duration::from_secs(120));
        assert!(pool.all_have("last"), "seed {seed}");
    }
    assert!(
        orders > 500 && holder_changes > 20,
        "{orders} orders, {holder_changes} changes of the holder"
    );
}

/// Guards against an order to an engine whose state could not be read yet, since it may be serving.
#[test]
fn engines_in_an_unknown_state_get_no_orders() {
    let observed = |reported: Option<EngineState>, has_pending_order| ObservedEngine {
        id: engine(0),
        reported,
        has_pending_order,
    };
    let desired = desired("2", 0);
    assert!(engines_to_order(&desired, &[observed(None, false)]).is_empty());
    assert!(engines_to_order(&desired, &[observed(Some(state("1")), true)]).is_empty());
    assert!(engines_to_order(&desired, &[observed(Some(state("2")), false)]).is_empty());
    assert_eq!(
        engines_to_order(&desired, &[observed(Some(state("1")), false)]).len(),
        1
    );
}
