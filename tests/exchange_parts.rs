//! What hosts learn through the exchange of parts of prompts that crash upstreams: how soon, and at
//! which cost.

mod exchange_world;

use std::time::Duration;

use banyanarch::decide::CrashSuspect;
use banyanarch::decide::RequestPart;
use banyanarch::units::CrashId;
use banyanarch::units::PromptPartId;
use exchange_world::CHANGES_PER_S;
use exchange_world::Measurements;
use exchange_world::World;
use yare::parameterized;

const BAD: RequestPart = RequestPart::Prompt(PromptPartId(0xbad));
const COMMON: RequestPart = RequestPart::Prompt(PromptPartId(0xc0));

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A fleet at its usual load, of which a tenth of the messages are lost.
fn fleet(hosts: usize, domains: usize) -> World {
    let mut world = World::new(hosts, domains, 0, 1);
    world.loss_rate = 0.1;
    world.set_changes(CHANGES_PER_S);
    world.run_for(ms(3_000));
    world
}

/// Upstreams crash under the part, each as seen by another host, and a request without it is served.
fn crash(world: &mut World, crashes: std::ops::Range<u64>) {
    let now = world.instant();
    let count = world.nodes.len();
    let served = &mut world.nodes[count / 2].part_quarantine;
    served.on_served(&[COMMON], now);
    for crash in crashes {
        let host = usize::try_from(crash).unwrap() * 7 % count;
        let suspect = CrashSuspect {
            crash: CrashId(crash),
            parts: vec![COMMON, BAD],
        };
        world.nodes[host].part_quarantine.on_crash(suspect, now);
    }
}

fn refuses(world: &World, host: usize, parts: &[RequestPart]) -> bool {
    let now = world.instant();
    world.nodes[host].part_quarantine.find(parts, now).is_some()
}

fn all_refuse(world: &World, parts: &[RequestPart]) -> bool {
    (0..world.nodes.len()).all(|host| refuses(world, host, parts))
}

/// Guards against hosts that go on sending requests with a part that crashes upstreams, because no
/// host has seen enough of the crashes. The users allow three seconds.
#[parameterized(
    full_mesh = { 8, 3 },
    with_collectors = { 40, 3 },
    largest = { 195, 5 },
)]
fn all_hosts_refuse_the_part_within_a_second(hosts: usize, domains: usize) {
    let mut world = fleet(hosts, domains);
    crash(&mut world, 1..4);
    let took = world.run_until(ms(5_000), |world| all_refuse(world, &[COMMON, BAD]));
    assert!(took < ms(1_000), "{took:?}");
    let took = world.run_until(ms(5_000), |world| all_refuse(world, &[BAD]));
    assert!(took < ms(2_500), "{took:?}");
    let refuses_common = (0..hosts).any(|host| refuses(&world, host, &[COMMON]));
    assert!(!refuses_common);
}

/// Guards against hosts that have started, or have lost touch, after the crashes and send such
/// requests again. The users allow three seconds.
#[parameterized(
    full_mesh = { 8, 3 },
    with_collectors = { 40, 3 },
    two_large_domains = { 40, 2 },
)]
fn hosts_that_start_later_refuse_the_part(hosts: usize, domains: usize) {
    let mut world = fleet(hosts, domains);
    crash(&mut world, 1..5);
    world.run_for(ms(12_000));
    for host in (0..hosts).step_by(9) {
        world.restart(host);
    }
    let took = world.run_until(ms(10_000), |world| all_refuse(world, &[COMMON, BAD]));
    assert!(took < ms(3_000), "{took:?}");
}

/// Guards against a cost that grows with the fleet: for a host at most 4 KB a second are left for
/// control.
#[parameterized(
    full_mesh = { 8, 3 },
    with_collectors = { 40, 3 },
    two_large_domains = { 40, 2 },
)]
fn a_refused_part_costs_few_bytes(hosts: usize, domains: usize) {
    const SECONDS: usize = 6;
    let bytes = |crashes: std::ops::Range<u64>| {
        let mut world = fleet(hosts, domains);
        crash(&mut world, crashes);
        world.run_for(ms(11_000));
        world.measurements = Measurements::new(hosts);
        world.run_for(ms(1_000 * SECONDS as u64));
        world.measurements.sent_bytes.iter().sum::<usize>()
    };
    let (without, with) = (bytes(1..1), bytes(1..11));
    let per_s = with.saturating_sub(without) / SECONDS / hosts;
    println!("{hosts} hosts: {per_s} bytes a second and host more");
    assert!(per_s < 4_096, "{per_s}");
}
