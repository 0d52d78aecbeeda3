//! Orders to engines: one holder at a time, enough copies stay up, and nothing depends on answers.

use std::time::Duration;
use std::time::Instant;

use banyanarch::control::orders::EngineSeen;
use banyanarch::control::orders::LeaseAction;
use banyanarch::control::orders::OrderAction;
use banyanarch::control::orders::Orders;
use banyanarch::control::orders::OrdersConf;
use banyanarch::control::orders::Wanted;
use banyanarch::control::orders::plan;
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

fn wanted(version: &str, loaded_percent_min: u8) -> Wanted {
    Wanted {
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
    /// Orders as they arrived: when, by whom, and their number.
    arrived: Vec<(Instant, usize, u64)>,
}

/// A few reconcilers of one pool before one lease and some engines, which ignore fencing numbers.
struct Site {
    now: Instant,
    rng: StdRng,
    hosts: Vec<Orders>,
    paused_until: Vec<Instant>,
    away_until: Vec<Instant>,
    engines: IndexMap<UpstreamId, FakeEngine>,
    lease: Option<(ObjectVersion, serde_json::Value)>,
    has_faults: bool,
    orders_in_flight: Vec<(Instant, usize, UpstreamId, Order)>,
    loaded_min: usize,
    loads: usize,
}

impl Site {
    fn new(host_count: usize, engine_count: usize, load_gib_per_second: u64) -> Self {
        let now = Instant::now();
        let ids: Vec<UpstreamId> = (0..engine_count).map(engine).collect();
        let host = |n| {
            let conf = OrdersConf {
                host: format!("h{n}").parse().unwrap(),
                incarnation: Incarnation(1),
                fencing: FencingSupport::Ignored,
                weight_size: ByteSize(GIB),
                load_size_per_second: ByteSize(load_gib_per_second * GIB),
            };
            let mut orders = Orders::new(conf, now);
            orders.set_engines(&ids);
            orders
        };
        let fake = |id: UpstreamId| {
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
            hosts: (0..host_count).map(host).collect(),
            paused_until: vec![now; host_count],
            away_until: vec![now; host_count],
            engines: ids.iter().cloned().map(fake).collect(),
            lease: None,
            has_faults: false,
            orders_in_flight: Vec::new(),
            loaded_min: engine_count,
            loads: 0,
        }
    }

    fn want(&mut self, version: &str, loaded_percent_min: u8) {
        for host in &mut self.hosts {
            host.set_wanted(wanted(version, loaded_percent_min));
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
        self.arrive();
        let loaded = self.engines.values().filter(|engine| !engine.state.loading);
        self.loaded_min = self.loaded_min.min(loaded.count());
        for host in 0..self.hosts.len() {
            if self.now < self.paused_until[host] {
                continue;
            }
            for action in self.hosts[host].tick(self.now) {
                // Failure: the process is paused between the decision and what it does of it.
                let is_send = matches!(action, OrderAction::SendOrder { .. });
                let one_in = if is_send { 8 } else { 100 };
                if self.has_faults && self.rng.random_ratio(1, one_in) {
                    let pause = Duration::from_secs(self.rng.random_range(1..90));
                    self.paused_until[host] = self.now + pause;
                }
                self.act(host, action);
            }
        }
    }

    fn arrive(&mut self) {
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

    fn act(&mut self, host: usize, action: OrderAction) {
        // What a paused process does, it does when it wakes.
        let at = self.now.max(self.paused_until[host]);
        match action {
            OrderAction::Lease(action) => self.lease_call(host, action),
            OrderAction::ReadEngine { id } => {
                let state = self.engines[&id].state.clone();
                self.hosts[host].engine_read(&id, state, self.now);
            }
            OrderAction::SendOrder {
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
        // Now and then a host is cut from the platform for a while.
        if fault == 0 {
            self.away_until[host] = self.now + Duration::from_secs(self.rng.random_range(10..60));
        }
        let is_away = self.now < self.away_until[host];
        match action {
            LeaseAction::Read => {
                let read = self.lease.clone().map(|(version, value)| Object {
                    key: ObjectKey::new(ObjectKind::Leases, "pool"),
                    version,
                    value,
                });
                let result = match is_away {
                    true => Err(PlatformError::Unavailable("busy".to_owned())),
                    false => read.ok_or(PlatformError::NotFound),
                };
                self.hosts[host].lease_read(result, self.now);
            }
            LeaseAction::Write { spec, expected } => {
                let result = match fault {
                    _ if is_away => Err(PlatformError::Unavailable("busy".to_owned())),
                    1 => Err(PlatformError::OutcomeUnknown("lost".to_owned())),
                    _ => self.write(serde_json::to_value(spec).unwrap(), expected),
                };
                let result = match fault {
                    2 | 3 => Err(PlatformError::OutcomeUnknown("lost".to_owned())),
                    _ => result,
                };
                self.hosts[host].lease_written(result, self.now);
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
            Precondition::Version(wanted) => version == Some(wanted),
        };
        if !is_expected {
            return Err(PlatformError::Conflict);
        }
        let next = ObjectVersion(version.unwrap_or_default().0 + 1);
        self.lease = Some((next, value));
        Ok(next)
    }
}

/// A new version of a model is published. If all engines loaded it at once, callers would find
/// none; if too many loaded at once, the weight store would turn them away.
#[parameterized(
    six = { 6, 75, 4 },
    three = { 3, 75, 2 },
    one = { 1, 75, 0 },
    twenty = { 20, 75, 15 },
)]
fn enough_engines_stay_loaded(engine_count: usize, percent: u8, at_least: usize) {
    let mut site = Site::new(2, engine_count, 1);
    site.want("2", percent);
    site.run(Duration::from_secs(400));
    assert!(site.all_have("2"));
    assert_eq!(site.loads, engine_count);
    assert!(site.loaded_min >= at_least, "{}", site.loaded_min);
}

/// All engines come back empty after a power cut. The weight store gives one engine's weights a
/// second; more loads than that would make it turn all away.
#[test]
fn loads_keep_to_the_rate_of_the_weight_store() {
    let mut site = Site::new(1, 30, 1);
    for engine in site.engines.values_mut() {
        engine.state = EngineState::default();
    }
    site.want("2", 75);
    let start = site.now;
    while !site.all_have("2") {
        site.step();
        let elapsed = (site.now - start).as_secs();
        assert!(
            site.loads as u64 <= elapsed,
            "{} in {elapsed} s",
            site.loads
        );
        assert!(elapsed < 120);
    }
}

/// A third version is published while the second one is being loaded.
#[test]
fn a_change_in_the_middle_of_a_change_ends_at_the_last() {
    let mut site = Site::new(2, 8, 1);
    site.want("2", 50);
    while site.loads < 3 {
        site.step();
    }
    site.want("3", 50);
    site.run(Duration::from_secs(200));
    assert!(site.all_have("3"));
    assert!(site.loads <= 3 + 8, "{}", site.loads);
    assert!(site.loaded_min >= 4);
}

/// The holder is stopped right after it decided on an order and wakes when another host has taken
/// the lease and has ordered something newer. If it sent what it had decided, the engine would go
/// back to the old version.
#[test]
fn a_paused_holder_that_wakes_sends_nothing() {
    let mut site = Site::new(1, 1, 100);
    site.want("2", 0);
    let not_after = loop {
        site.now += STEP;
        let now = site.now;
        let mut sent = None;
        for action in site.hosts[0].tick(now) {
            match action {
                OrderAction::SendOrder { not_after, .. } => sent = Some(not_after),
                action => site.act(0, action),
            }
        }
        if let Some(not_after) = sent {
            break not_after;
        }
    };
    assert!(not_after < site.now + Duration::from_secs(15));
    site.now += Duration::from_secs(60);
    let now = site.now;
    let actions = site.hosts[0].tick(now);
    let sends = |action: &OrderAction| matches!(action, OrderAction::SendOrder { .. });
    assert!(!actions.iter().any(sends));
}

/// Several hosts believe to be the home of a pool whose engines obey every order. They are paused at
/// any moment, also between decision and send; calls to the platform fail and their answers get
/// lost; orders arrive up to five seconds late or never. If an order of an earlier holder arrived
/// after one of a later holder, an engine would be turned back.
#[test]
fn orders_of_earlier_holders_never_arrive_after_those_of_later_ones() {
    let mut orders = 0;
    let mut changes_of_holder = 0;
    for seed in 0..60 {
        let mut site = Site::new(3, 4, 100);
        site.rng = StdRng::seed_from_u64(seed);
        site.has_faults = true;
        for round in 0..80 {
            site.want(&format!("{}", round + 2), 0);
            let time = site.rng.random_range(2..30);
            site.run(Duration::from_secs(time));
        }
        // Numbers grow with each write of the lease; a holder's own grow too.
        let mut arrived: Vec<(Instant, usize, u64)> = Vec::new();
        for engine in site.engines.values() {
            arrived.extend(&engine.arrived);
        }
        arrived.sort();
        orders += arrived.len();
        for pair in arrived.windows(2) {
            let ((_, first, number), (_, second, later)) = (pair[0], pair[1]);
            if first != second {
                changes_of_holder += 1;
                assert!(number < later, "seed {seed}: {number} before {later}");
            }
        }
        site.has_faults = false;
        site.paused_until = vec![site.now; 3];
        site.away_until = vec![site.now; 3];
        site.want("last", 0);
        site.run(Duration::from_secs(120));
        assert!(site.all_have("last"), "seed {seed}");
    }
    assert!(
        orders > 500 && changes_of_holder > 20,
        "{orders} {changes_of_holder}"
    );
}

/// An engine whose state nobody could read yet may be serving: it is left alone.
#[test]
fn unknown_engines_are_left_alone() {
    let seen = |reported: Option<EngineState>, is_ordered| EngineSeen {
        id: engine(0),
        reported,
        is_ordered,
    };
    let wanted = wanted("2", 0);
    assert!(plan(&wanted, &[seen(None, false)]).is_empty());
    assert!(plan(&wanted, &[seen(Some(state("1")), true)]).is_empty());
    assert!(plan(&wanted, &[seen(Some(state("2")), false)]).is_empty());
    assert_eq!(plan(&wanted, &[seen(Some(state("1")), false)]).len(), 1);
}
