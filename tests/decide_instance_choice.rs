//! The choice of an instance of a plain service by its expected time, slots and connections.

use std::num::NonZeroU32;
use std::time::Duration;

use banyanarch::decide::InstanceChoice;
use banyanarch::decide::InstanceView;
use banyanarch::decide::SlotCompetition;
use banyanarch::decide::choose_instance;
use banyanarch::units::BoundedTime;
use banyanarch::units::UpstreamId;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use yare::parameterized;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn id(name: &str) -> UpstreamId {
    name.parse().unwrap()
}

fn send(name: &str) -> InstanceChoice {
    InstanceChoice::Send(id(name))
}

/// A local instance with 6 slots that answers in 60 ms.
fn instance(name: &str, in_flight: u32) -> InstanceView {
    InstanceView {
        id: id(name),
        in_flight,
        slots: NonZeroU32::new(6),
        connections_max: NonZeroU32::new(48),
        service_time: Some(ms(60)),
        is_local: true,
        is_failing: false,
    }
}

/// Guards against calls on an instance that takes several times longer while others have slots.
#[parameterized(
    idle = { 0, "fast" },
    half_full = { 3, "fast" },
    last_slot = { 5, "fast" },
    full = { 6, "slow" },
)]
fn a_slow_instance_gets_a_call_only_when_faster_ones_are_full(in_flight: u32, chosen: &str) {
    let slow = InstanceView {
        service_time: Some(ms(240)),
        ..instance("slow", 0)
    };
    let views = [slow, instance("fast", in_flight)];
    assert_eq!(choose_instance(&views, None, 0), send(chosen));
}

/// Guards against a preference that chance differences of a few answers decide: the choice must
/// then be by calls in flight, the own domain and the draw alone.
#[test]
fn about_equal_service_times_leave_the_choice_as_it_is() {
    let with_time = |name, in_flight, time_ms, is_local| InstanceView {
        service_time: Some(ms(time_ms)),
        is_local,
        ..instance(name, in_flight)
    };
    let near = [
        with_time("near", 1, 80, true),
        with_time("far", 0, 60, false),
    ];
    assert_eq!(choose_instance(&near, None, 0), send("near"));
    let busier = [
        with_time("near", 3, 60, true),
        with_time("far", 0, 80, false),
    ];
    assert_eq!(choose_instance(&busier, None, 0), send("far"));
    let equal = [with_time("a", 2, 60, true), with_time("b", 2, 80, true)];
    let draws: Vec<InstanceChoice> = (0..2)
        .map(|draw| choose_instance(&equal, None, draw))
        .collect();
    assert_eq!(draws, [send("a"), send("b")]);
}

/// Guards against an instance with few slots that gets as many calls as one with many.
#[test]
fn an_instance_with_more_slots_gets_more_calls() {
    let large = InstanceView {
        slots: NonZeroU32::new(24),
        ..instance("large", 7)
    };
    assert_eq!(
        choose_instance(&[instance("small", 3), large], None, 0),
        send("large")
    );
}

/// Guards against calls that full instances turn away, each of which costs a retry.
#[test]
fn a_call_waits_while_all_slots_are_taken() {
    let full = [instance("a", 6), instance("b", 7)];
    assert_eq!(
        choose_instance(&full, None, 0),
        InstanceChoice::Wait(ms(10))
    );
    let deep = [instance("a", 18), instance("b", 18)];
    assert_eq!(
        choose_instance(&deep, None, 0),
        InstanceChoice::Wait(ms(130))
    );
}

/// Guards against an instance that fails at once, looks idle and draws the calls, and against calls
/// that wait although only failing instances have room.
#[test]
fn a_failing_instance_gets_a_call_only_when_the_others_are_full() {
    let failing = InstanceView {
        is_failing: true,
        ..instance("failing", 0)
    };
    let views = |in_flight| [failing.clone(), instance("healthy", in_flight)];
    assert_eq!(choose_instance(&views(5), None, 0), send("healthy"));
    assert_eq!(choose_instance(&views(6), None, 0), send("failing"));
}

/// Guards against upstreams without listed slots whose calls wait for ever.
#[test]
fn an_instance_with_unknown_slots_is_never_full() {
    let unknown = InstanceView {
        slots: None,
        connections_max: None,
        service_time: None,
        ..instance("unknown", 4_000)
    };
    assert_eq!(choose_instance(&[unknown], None, 0), send("unknown"));
}

/// Guards against connections beyond those that an instance accepts, which it resets. A few are
/// left to hosts whose connections are not known yet.
#[parameterized(
    some_left = { 48, 41, true },
    kept_for_others = { 48, 42, false },
    few = { 3, 1, true },
    few_taken = { 3, 2, false },
    single = { 1, 0, true },
    single_taken = { 1, 1, false },
)]
fn connections_stay_below_those_that_an_instance_accepts(max: u32, in_flight: u32, has_room: bool) {
    let view = InstanceView {
        slots: None,
        connections_max: NonZeroU32::new(max),
        ..instance("a", in_flight)
    };
    let choice = choose_instance(&[view], None, 0);
    assert_eq!(choice == send("a"), has_room, "{choice:?}");
}

/// Guards against hosts whose calls all wait for the same slot, and all take it when it is free.
#[test]
fn hosts_whose_calls_wait_share_the_free_slots() {
    let views = [instance("a", 5), instance("b", 5)];
    let sends = |draw| {
        let competition = SlotCompetition { hosts: 8, draw };
        choose_instance(&views, Some(competition), 0) == send("a")
    };
    assert_eq!((0..80).filter(|draw| sends(*draw)).count(), 20);
    let idle = [instance("a", 1)];
    let competition = SlotCompetition { hosts: 8, draw: 7 };
    assert_eq!(choose_instance(&idle, Some(competition), 0), send("a"));
}

/// One tick of the model below.
const TICK: Duration = Duration::from_millis(5);
/// The ticks after which a host knows of the calls of another one.
const UPDATE_TICKS: usize = 8;
/// The ticks after which a call that waits is refused.
const PATIENCE_TICKS: usize = 48;
/// The calls that an instance of the model queues beyond its slots.
const QUEUE_MAX: usize = 4;
/// The ticks of a run.
const RUN_TICKS: usize = 400;

/// A call that an instance of the model has accepted.
struct ModelCall {
    host: usize,
    left: Duration,
}

/// An instance of the model.
struct ModelInstance {
    name: String,
    service_time: Duration,
    slots: usize,
    /// The calls that are processed, as many as there are slots, and those that are queued.
    calls: Vec<ModelCall>,
    turned_away: u32,
    served: u32,
}

impl ModelInstance {
    fn new(index: usize, service_time_ms: u64, slots: usize) -> Self {
        Self {
            name: format!("i{index}"),
            service_time: ms(service_time_ms),
            slots,
            calls: Vec::new(),
            turned_away: 0,
            served: 0,
        }
    }

    /// The calls of each host.
    fn by_host(&self, hosts: usize) -> Vec<u32> {
        let mut counts = vec![0; hosts];
        for call in &self.calls {
            counts[call.host] += 1;
        }
        counts
    }

    /// Returns whether the instance accepts the call.
    fn accept(&mut self, host: usize) -> bool {
        let is_accepted = self.calls.len() < self.slots + QUEUE_MAX;
        if is_accepted {
            let left = self.service_time;
            self.calls.push(ModelCall { host, left });
        } else {
            self.turned_away += 1;
        }
        is_accepted
    }

    fn pass_tick(&mut self) {
        for call in self.calls.iter_mut().take(self.slots) {
            call.left = call.left.saturating_sub(TICK);
        }
        let before = self.calls.len();
        self.calls.retain(|call| !call.left.is_zero());
        self.served += u32::try_from(before - self.calls.len()).unwrap();
    }
}

/// A call that waits at a host of the model.
struct WaitingCall {
    arrived_tick: usize,
    decide_tick: usize,
}

/// The sums of a run.
#[derive(Debug, Default)]
struct RunResult {
    offered: u32,
    served: Vec<u32>,
    turned_away: u32,
    refused: u32,
}

impl RunResult {
    fn served(&self) -> f64 {
        f64::from(self.served.iter().sum::<u32>())
    }
}

/// Runs hosts for two seconds, which together have `calls_per_s` calls. Each knows the calls of
/// the others as they were [`UPDATE_TICKS`] ago.
fn run_model(mut instances: Vec<ModelInstance>, hosts: usize, calls_per_s: f64) -> RunResult {
    let mut rng = StdRng::seed_from_u64(31);
    let mut result = RunResult::default();
    let mut history: Vec<Vec<Vec<u32>>> = Vec::new();
    let mut waiting: Vec<Vec<WaitingCall>> = (0..hosts).map(|_| Vec::new()).collect();
    for tick in 0..RUN_TICKS {
        history.push(instances.iter().map(|i| i.by_host(hosts)).collect());
        let known = history[history.len().saturating_sub(UPDATE_TICKS)].clone();
        for host in 0..hosts {
            let mut expected = calls_per_s / hosts as f64 * TICK.as_secs_f64();
            while expected > 0.0 && rng.random_bool(expected.min(1.0)) {
                expected -= 1.0;
                result.offered += 1;
                waiting[host].push(WaitingCall {
                    arrived_tick: tick,
                    decide_tick: tick,
                });
            }
            let before = waiting[host].len();
            waiting[host].retain(|call| tick - call.arrived_tick < PATIENCE_TICKS);
            result.refused += u32::try_from(before - waiting[host].len()).unwrap();
            let mut kept = Vec::new();
            for mut call in std::mem::take(&mut waiting[host]) {
                if call.decide_tick > tick {
                    kept.push(call);
                    continue;
                }
                let views = instances.iter().zip(&known).map(|(instance, known)| {
                    let own = instance.by_host(hosts)[host];
                    let in_flight = known.iter().sum::<u32>() - known[host] + own;
                    InstanceView {
                        slots: NonZeroU32::new(u32::try_from(instance.slots).unwrap()),
                        service_time: Some(instance.service_time),
                        in_flight,
                        ..self::instance(&instance.name, 0)
                    }
                });
                let views: Vec<InstanceView> = views.collect();
                let competition = (call.arrived_tick < tick).then(|| SlotCompetition {
                    hosts: u32::try_from(hosts).unwrap(),
                    draw: rng.random(),
                });
                let wait = match choose_instance(&views, competition, rng.random()) {
                    InstanceChoice::Send(id) => {
                        let chosen = instances.iter_mut().find(|i| i.name == id.as_str());
                        if chosen.unwrap().accept(host) {
                            continue;
                        }
                        ms(20)
                    }
                    InstanceChoice::Wait(wait) => wait,
                    InstanceChoice::None => unreachable!(),
                };
                let jitter = rng.random_range(0.5..1.5);
                let ticks = wait.scaled(jitter).as_micros().div_ceil(TICK.as_micros());
                call.decide_tick = tick + usize::try_from(ticks).unwrap().max(1);
                kept.push(call);
            }
            waiting[host] = kept;
        }
        instances.iter_mut().for_each(ModelInstance::pass_tick);
    }
    result.served = instances.iter().map(|i| i.served).collect();
    result.turned_away = instances.iter().map(|i| i.turned_away).sum();
    result
}

/// The instances of the model with the same time and slots.
fn equal_instances(count: usize, slots: usize) -> Vec<ModelInstance> {
    let instances = (0..count).map(|index| ModelInstance::new(index, 60, slots));
    instances.collect()
}

/// Guards against hosts that know the same outdated loads and all choose the same instance, which
/// then turns calls away while others have free slots.
#[parameterized(
    few_instances = { 6, 3, 6 },
    more_hosts = { 20, 3, 6 },
    many_hosts = { 82, 5, 6 },
    many_slots = { 82, 10, 16 },
)]
fn at_half_the_capacity_few_calls_are_turned_away(hosts: usize, count: usize, slots: usize) {
    let capacity_per_s = (count * slots) as f64 / 0.06;
    let result = run_model(equal_instances(count, slots), hosts, 0.5 * capacity_per_s);
    let turned_away = f64::from(result.turned_away) / f64::from(result.offered);
    let served = result.served() / f64::from(result.offered);
    assert!(
        turned_away <= 0.5,
        "{turned_away} of the calls are turned away"
    );
    assert!(served >= 0.95, "{served} of the calls are served");
}

/// Guards against slots that stay empty while calls wait for them, and calls that are all turned
/// away.
#[parameterized(
    few_instances = { 6, 3, 6 },
    more_hosts = { 20, 3, 6 },
    many_hosts = { 82, 5, 6 },
    many_slots = { 82, 10, 16 },
)]
fn at_twice_the_capacity_the_slots_are_used(hosts: usize, count: usize, slots: usize) {
    let capacity_per_s = (count * slots) as f64 / 0.06;
    let result = run_model(equal_instances(count, slots), hosts, 2.0 * capacity_per_s);
    let used = result.served() / (2.0 * capacity_per_s);
    let turned_away = f64::from(result.turned_away) / f64::from(result.offered);
    assert!(used >= 0.85, "{used} of the slots are used");
    assert!(
        turned_away <= 4.5,
        "a call is turned away {turned_away} times"
    );
}

/// Guards against instances of unlike speed and slots that get equal shares: the slow ones would
/// hold up calls while the fast ones have free slots.
#[test]
fn instances_of_unlike_speed_and_slots_serve_by_their_speed() {
    let instances = (0..5).map(|index| match index {
        0 => ModelInstance::new(index, 240, 6),
        1 => ModelInstance::new(index, 60, 12),
        _ => ModelInstance::new(index, 60, 6),
    });
    let result = run_model(instances.collect(), 20, 250.0);
    let slow = f64::from(result.served[0]) / result.served();
    assert!(slow < 0.02, "the slow instance served {slow}");
    let turned_away = f64::from(result.turned_away) / f64::from(result.offered);
    assert!(
        turned_away < 0.05,
        "{turned_away} of the calls are turned away"
    );
    assert_eq!(result.refused, 0);
}
