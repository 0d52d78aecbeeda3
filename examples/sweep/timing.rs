//! Measures how long decisions take, by the length of the queue.

use std::time::Duration;
use std::time::Instant;

use banyanarch::clock::Clock;
use banyanarch::clock::ManualClock;
use banyanarch::decide::AttemptOutcome;
use banyanarch::decide::AttemptSummary;
use banyanarch::decide::Decision;
use banyanarch::decide::UpstreamHealth;
use banyanarch::decide::UpstreamInfo;
use banyanarch::decide::Work;
use banyanarch::decide::policy_for;
use banyanarch::manifest::Objective;
use banyanarch::settings::PolicyName;
use banyanarch::units::Priority;
use banyanarch::units::RequestId;
use banyanarch::units::Tokens;

use crate::decide_fakes::config;

const ROUNDS: u32 = 20_000;

/// Prints the time of one offer, poll, finish and poll for each queue length.
pub(crate) fn print() {
    println!("\n## timing, 30 upstreams: one offer, poll, finish and poll");
    for waiting in [0, 100, 500, 2_000, 8_000] {
        println!("{waiting:>6} waiting: {:.1} us", round_us(waiting));
    }
}

/// Returns the mean time of one round, in microseconds, with this many requests waiting.
fn round_us(waiting: u64) -> f64 {
    let clock = ManualClock::new();
    let mut policy = policy_for(
        PolicyName::Shipped,
        &config(Objective::ShortSlowdown, 8_000.0),
        1,
    );
    let upstreams: Vec<UpstreamInfo> = (0..30)
        .map(|index| UpstreamInfo {
            id: format!("engine-{index:02}").parse().unwrap(),
            memory_tokens: Tokens(300_000),
            slots: 16,
            health: UpstreamHealth::Live,
        })
        .collect();
    policy.set_upstreams(&upstreams, clock.now());
    let summary = AttemptSummary {
        ended: AttemptOutcome::Completed,
        first_token: Some(Duration::from_millis(160)),
        total: Duration::from_secs(1),
        prompt_tokens: Tokens(1_000),
        cached_tokens: Tokens::ZERO,
        output_tokens: Tokens(32),
    };
    let customers = ["desk", "studio", "agency", "karaoke", "branch", "app"];
    let customer = |number: u64| customers[usize::try_from(number).unwrap() % customers.len()];
    let work = |number: u64, now: Instant| Work {
        request: RequestId(u128::from(number)),
        host: "host-0".parse().unwrap(),
        customer: customer(number).parse().unwrap(),
        priority: Priority(0),
        prompt_tokens: Tokens(1_000),
        output_tokens: Tokens(64),
        prefixes: Vec::new(),
        deadline: now + Duration::from_secs(86_400),
        avoid: Vec::new(),
    };
    let mut granted = std::collections::VecDeque::new();
    let mut number = 0;
    // Fill the slots of the engines, then the queue.
    while policy.load(clock.now()).waiting < waiting.max(1) {
        policy.offer(work(number, clock.now()), clock.now());
        number += 1;
        granted.extend(policy.poll(clock.now()));
        clock.advance(Duration::from_millis(if waiting == 0 { 10 } else { 3 }));
        if waiting == 0 && number > 400 {
            break;
        }
    }
    let works: Vec<Work> = (0..ROUNDS)
        .map(|round| work(number + u64::from(round), clock.now()))
        .collect();
    let start = Instant::now();
    for work in works {
        clock.advance(Duration::from_millis(6));
        policy.offer(work, clock.now());
        granted.extend(policy.poll(clock.now()));
        if let Some(Decision::Dispatch(grant)) = granted.pop_front() {
            policy.finish(grant.id, summary.clone(), clock.now());
        }
        granted.extend(policy.poll(clock.now()));
    }
    start.elapsed().as_secs_f64() * 1e6 / f64::from(ROUNDS)
}
