//! Measures the processor time that one host needs to choose an engine and to process a load
//! message of another host, by the size of the fleet.
//!
//! `cargo bench --locked --bench placement` prints a line for each size: microseconds to read the
//! loads of all engines, to read them and choose, and to process one message. Two further lines give
//! the time to record a call and compare its customer with its share, by the number of customers.

use std::hint::black_box;
use std::time::Duration;
use std::time::Instant;

use banyanarch::decide::CustomerShares;
use banyanarch::decide::EngineModel;
use banyanarch::decide::HostLoad;
use banyanarch::decide::LimitState;
use banyanarch::decide::LoadLedger;
use banyanarch::decide::PrefillSent;
use banyanarch::decide::engines::EngineRequest;
use banyanarch::decide::engines::EngineView;
use banyanarch::decide::engines::choose_engines;
use banyanarch::units::CustomerId;
use banyanarch::units::ServiceId;
use banyanarch::units::Slowdown;
use banyanarch::units::Tokens;
use banyanarch::units::UpstreamId;
use indexmap::IndexMap;

/// Fleet sizes, from the smallest deployment to the target size.
const SIZES: [usize; 4] = [8, 70, 195, 400];
/// Number of upstreams on which one host has work at a time.
const UPSTREAMS_PER_HOST: usize = 12;
/// Repetitions of each measurement.
const ROUNDS: u32 = 200;

fn main() {
    println!("hosts  read_us  choose_us  hear_us");
    for size in SIZES {
        let (read, choose, record) = measure(size);
        println!("{size:>5}  {read:>7.1}  {choose:>9.1}  {record:>7.1}");
    }
    println!("customers  arrival_us  standing_us");
    for customers in [24, 333] {
        let (arrival, standing) = measure_shares(customers);
        println!("{customers:>9}  {arrival:>10.2}  {standing:>11.2}");
    }
}

/// Returns the mean times to record the arrival of a call and to compare its customer with its
/// share, in microseconds.
fn measure_shares(customers: usize) -> (f64, f64) {
    let now = Instant::now();
    let service: ServiceId = "chat".parse().unwrap();
    let ids: Vec<CustomerId> = (0..customers)
        .map(|index| format!("customer-{index}").parse().unwrap())
        .collect();
    let cost = Duration::from_millis(50);
    let mut shares = CustomerShares::default();
    let mut call = 0_usize;
    let arrival = mean_time_us(|| {
        call += 1;
        let at = now + Duration::from_millis(call as u64);
        shares.on_arrival(&service, &ids[call % customers], cost, at);
    });
    let at = now + Duration::from_millis(call as u64);
    let standing = mean_time_us(|| {
        call += 1;
        black_box(shares.standing(&service, &ids[call % customers], at));
    });
    (arrival, standing)
}

/// Returns the mean times to read the loads, to read them and choose, and to record a message, in
/// microseconds.
fn measure(size: usize) -> (f64, f64, f64) {
    let ids: Vec<UpstreamId> = (0..size)
        .map(|index| format!("engine-{index:04}@1764720000000").parse().unwrap())
        .collect();
    let now = Instant::now();
    let mut ledger = LoadLedger::default();
    for host in 0..size {
        record_message(&mut ledger, host, &ids, now);
    }
    let model = model();
    let request = engine_request();
    let views = |ledger: &LoadLedger| -> Vec<EngineView> {
        let view = |id: &UpstreamId| EngineView {
            id: id.clone(),
            load: ledger.load(id, now),
            is_near: true,
            slowdown: Slowdown::NONE,
            limit: LimitState::Unlimited,
        };
        ids.iter().map(view).collect()
    };
    let read = mean_time_us(|| {
        black_box(views(&ledger));
    });
    let choose = mean_time_us(|| {
        black_box(choose_engines(&model, &views(&ledger), &request));
    });
    let mut host = 0;
    let record = mean_time_us(|| {
        host = (host + 1) % size;
        record_message(&mut ledger, host, &ids, now);
    });
    (read, choose, record)
}

/// Returns the mean time of one call of `work` over `ROUNDS` calls, in microseconds.
fn mean_time_us(mut work: impl FnMut()) -> f64 {
    let start = Instant::now();
    for _ in 0..ROUNDS {
        work();
    }
    start.elapsed().as_secs_f64() * 1e6 / f64::from(ROUNDS)
}

fn record_message(ledger: &mut LoadLedger, host: usize, ids: &[UpstreamId], now: Instant) {
    let loads: IndexMap<UpstreamId, HostLoad> = (0..UPSTREAMS_PER_HOST.min(ids.len()))
        .map(|step| (ids[(host * 7 + step * 3) % ids.len()].clone(), load()))
        .collect();
    let host = format!("host-{host:03}").parse().unwrap();
    ledger.record_host_loads(host, 1, loads, now);
}

fn load() -> HostLoad {
    HostLoad {
        in_flight: 1,
        short_in_flight: 1,
        helping: 0,
        strictest_pause: Some(Duration::from_millis(250)),
        held_tokens: Tokens(6_700),
        prefill: PrefillSent::default(),
        prefill_due: None,
    }
}

fn engine_request() -> EngineRequest {
    EngineRequest {
        prompt: Tokens(5_000),
        output: Tokens(1_800),
        objective_left: Duration::from_millis(300),
        patience_left: Duration::from_millis(1_500),
        time_left: Duration::from_secs(10),
        slot_wait_left: Duration::from_millis(75),
        strictest_pause: Some(Duration::from_millis(200)),
        local_load_age_max: Duration::from_millis(100),
        remote_load_age_max: Duration::from_millis(100),
        spans_domains: false,
        shuffle_seed: 0x5EED,
    }
}

fn model() -> EngineModel {
    EngineModel {
        slots: 10,
        memory_tokens: Tokens(450_000),
        stride: 73,
        step_ms: 0.925,
        step_per_sequence_ms: 0.004_83,
        step_per_kilotoken_ms: 0.002_54,
        prefill_tokens_per_ms: 256.0,
        prefill_per_megapair_ms: 0.091_7,
    }
}
