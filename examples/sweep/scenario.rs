//! Loads of the sweep. Twenty engines, each with a prefill speed of 8,000 tokens a second and
//! 300,000 tokens of memory, together serve about 120 prompts of 1,000 tokens a second.

use std::time::Duration;

use banyanarch::decide::LengthClass;
use banyanarch::decide::Policy;
use banyanarch::decide::PolicyConfig;
use banyanarch::decide::RetryBudget;
use banyanarch::decide::Tuning;
use banyanarch::decide::policy_for;
use banyanarch::manifest::Objective;
use banyanarch::settings::PolicyName;
use banyanarch::upstream::LoadReport;

use crate::decide_fakes::Engine;
use crate::decide_fakes::Outcomes;
use crate::decide_fakes::RequestSpec;
use crate::decide_fakes::Simulation;
use crate::decide_fakes::Workload;
use crate::decide_fakes::config;

const ENGINES: usize = 20;
const SPEED: f64 = 8_000.0;
const ONE_MINUTE: (f64, f64) = (0.0, 60.0);

/// A function that runs a load and returns the figures to print.
pub(crate) type Scenario = fn(&Setup) -> String;

/// All loads with their names.
pub(crate) const ALL: [(&str, Scenario); 12] = [
    ("short-among-long", short_among_long),
    ("short-among-long-no-ranks", short_among_long_no_ranks),
    ("burst", burst),
    ("two-customers", two_customers),
    ("hot-prefix", hot_prefix),
    ("slow-upstream", slow_upstream),
    ("saturation", saturation),
    ("mixed-saturation", mixed_saturation),
    ("outage", outage),
    ("wrong-reports", wrong_reports),
    ("wrong-speed", wrong_speed),
    ("seven-hosts", seven_hosts),
];

/// The policy and tuning that a load runs with.
pub(crate) struct Setup {
    pub(crate) policy: PolicyName,
    pub(crate) objective: Objective,
    pub(crate) tuning: Tuning,
}

impl Setup {
    pub(crate) fn of(policy: PolicyName) -> Self {
        Self {
            policy,
            objective: Objective::ShortSlowdown,
            tuning: Tuning::of(Objective::ShortSlowdown),
        }
    }

    fn conf(&self) -> PolicyConfig {
        PolicyConfig {
            tuning: self.tuning.clone(),
            ..config(self.objective, SPEED)
        }
    }

    fn simulation(&self, host_count: u64) -> Simulation {
        let policies = (0..host_count).map(|seed| policy_for(self.policy, &self.conf(), seed));
        let policies: Vec<Box<dyn Policy>> = policies.collect();
        let engines = (0..ENGINES).map(|_| Engine::new(300_000, SPEED)).collect();
        Simulation::new(engines, policies)
    }

    fn run(&self, load: Workload) -> Outcomes {
        self.simulation(1).run(load).0
    }
}

fn short_load(seed: u64, rate: f64) -> Workload {
    Workload::new(seed).stream(rate, (0.0, 120.0), &RequestSpec::short())
}

/// Adds long prompts that take about half of the engines' time.
fn add_long_prompts(load: Workload) -> Workload {
    let long = |prompt| RequestSpec {
        customer: "studio",
        ..RequestSpec::long(prompt)
    };
    let two_minutes = (0.0, 120.0);
    load.stream(0.6, two_minutes, &long(60_000))
        .stream(0.1, two_minutes, &long(200_000))
        .stream(0.02, two_minutes, &long(500_000))
}

fn compare_short_among_long(setup: &Setup, change: fn(&mut Engine)) -> String {
    let play = |load| {
        let mut simulation = setup.simulation(1);
        simulation.engines.iter_mut().for_each(change);
        simulation.run(load).0
    };
    let alone = play(short_load(7, 24.0));
    let all = play(add_long_prompts(short_load(7, 24.0)));
    let short = all.class(LengthClass::Short);
    format!(
        "short slowdown p50 {:.3} p95 {:.3} p99 {:.3}, {}, all p95 {:.3} s, done {:.3}",
        short.ttft(0.5) / alone.ttft(0.5),
        short.ttft(0.95) / alone.ttft(0.95),
        short.ttft(0.99) / alone.ttft(0.99),
        format_classes(&all),
        all.ttft(0.95),
        all.completed_fraction(),
    )
}

fn format_classes(all: &Outcomes) -> String {
    let classes = [LengthClass::Short, LengthClass::Long, LengthClass::Huge];
    let figures = classes.map(|class| {
        let outcomes = all.class(class);
        format!(
            "{class} p50 {:.2} p95 {:.2} s",
            outcomes.ttft(0.5),
            outcomes.ttft(0.95)
        )
    });
    figures.join(", ")
}

pub(crate) fn short_among_long(setup: &Setup) -> String {
    compare_short_among_long(setup, |_| {})
}

fn short_among_long_no_ranks(setup: &Setup) -> String {
    compare_short_among_long(setup, |engine| engine.honours_priority = false)
}

/// Sends ten times the load for five seconds.
fn burst(setup: &Setup) -> String {
    let request = RequestSpec {
        timeout: Duration::from_secs(8),
        ..RequestSpec::short()
    };
    let load =
        Workload::new(3)
            .stream(30.0, ONE_MINUTE, &request)
            .stream(270.0, (20.0, 25.0), &request);
    let all = setup.run(load);
    let after = all.only(|o| o.request.at >= Duration::from_secs(35));
    format!(
        "done {:.3}, refused {:.3}, p95 {:.2} s; from 10 s after the burst on: p95 {:.3} s",
        all.completed_fraction(),
        all.refused() as f64 / all.0.len() as f64,
        all.ttft(0.95),
        after.ttft(0.95),
    )
}

/// Two of six customers send 90 percent of twice the capacity.
fn two_customers(setup: &Setup) -> String {
    let request = |customer| RequestSpec {
        customer,
        timeout: Duration::from_secs(10),
        ..RequestSpec::short()
    };
    let mut load = Workload::new(5);
    for large in ["studio", "agency"] {
        load = load.stream(108.0, ONE_MINUTE, &request(large));
    }
    for small in ["desk", "karaoke", "branch", "app"] {
        load = load.stream(6.0, ONE_MINUTE, &request(small));
    }
    let all = setup.run(load);
    let small = all.only(|o| !["studio", "agency"].contains(&o.request.customer));
    let large = all.only(|o| ["studio", "agency"].contains(&o.request.customer));
    format!(
        "small done {:.3} p95 {:.2} s, large done {:.3} p95 {:.2} s, goodput {:.0} tok/s",
        small.completed_fraction(),
        small.ttft(0.95),
        large.completed_fraction(),
        large.ttft(0.95),
        all.goodput() / 60.0,
    )
}

/// Half of all prompts begin with the same 3,000 tokens, the others with one of a hundred prefixes.
fn hot_prefix(setup: &Setup) -> String {
    let request = |prefix: u128| RequestSpec {
        prompt: 3_400,
        prefix: Some((prefix, 3_000)),
        ..RequestSpec::short()
    };
    let mut load = Workload::new(9).stream(35.0, ONE_MINUTE, &request(1_000));
    for prefix in 0..100 {
        load = load.stream(0.35, ONE_MINUTE, &request(prefix));
    }
    let all = setup.run(load);
    let on = |index: usize| all.only(|o| o.engines.first() == Some(&index)).0.len();
    let most = (0..ENGINES).map(on).max().unwrap_or(0);
    format!(
        "p50 {:.3} s p95 {:.3} s, done {:.3}, fullest engine {:.3} of all",
        all.ttft(0.5),
        all.ttft(0.95),
        all.completed_fraction(),
        most as f64 / all.0.len() as f64,
    )
}

/// One engine is five times slower.
pub(crate) fn slow_upstream(setup: &Setup) -> String {
    let mut simulation = setup.simulation(1);
    simulation.engines[5].pace = 0.2;
    let all = simulation.run(short_load(11, 60.0)).0;
    let slow = all.only(|o| o.engines.first() == Some(&5)).0.len();
    format!(
        "p50 {:.3} p95 {:.3} p99 {:.3} s, done {:.3}, on the slow one {:.3} of all",
        all.ttft(0.5),
        all.ttft(0.95),
        all.ttft(0.99),
        all.completed_fraction(),
        slow as f64 / all.0.len() as f64,
    )
}

/// Runs twice the capacity for a minute, and compares with the capacity.
pub(crate) fn saturation(setup: &Setup) -> String {
    let request = RequestSpec {
        timeout: Duration::from_secs(6),
        ..RequestSpec::short()
    };
    let play = |rate| setup.run(Workload::new(13).stream(rate, ONE_MINUTE, &request));
    let (once, twice) = (play(110.0), play(240.0));
    format!(
        "goodput at twice {:.3} of that at capacity, done {:.3}, refused {:.3}, p95 {:.2} s",
        twice.goodput() / once.goodput(),
        twice.completed_fraction(),
        twice.refused() as f64 / twice.0.len() as f64,
        twice.ttft(0.95),
    )
}

/// Runs twice the capacity in short and long prompts together; only requests of the middle minute
/// are counted.
pub(crate) fn mixed_saturation(setup: &Setup) -> String {
    let short = RequestSpec {
        timeout: Duration::from_secs(10),
        ..RequestSpec::short()
    };
    let long = RequestSpec {
        customer: "studio",
        timeout: Duration::from_secs(60),
        ..RequestSpec::long(60_000)
    };
    let play = |part: f64| {
        let all_along = (0.0, 150.0);
        let load = Workload::new(17).stream(55.0 * part, all_along, &short);
        let all = setup.run(load.stream(0.9 * part, all_along, &long));
        all.only(|o| (30..90).contains(&o.request.at.as_secs()))
    };
    let (once, twice) = (play(1.0), play(2.0));
    let (short, long) = (
        twice.class(LengthClass::Short),
        twice.class(LengthClass::Long),
    );
    format!(
        "goodput at twice {:.3}, {:.0} tok/s, short done {:.3} p95 {:.2} s, long done {:.3} p95 {:.2} s",
        twice.goodput() / once.goodput(),
        twice.goodput() / 60.0,
        short.completed_fraction(),
        short.ttft(0.95),
        long.completed_fraction(),
        long.ttft(0.95),
    )
}

/// Half of the engines fail for five seconds, and hosts retry.
fn outage(setup: &Setup) -> String {
    let request = RequestSpec {
        timeout: Duration::from_secs(10),
        ..RequestSpec::short()
    };
    let mut simulation = setup.simulation(1);
    simulation.enable_retries(|now| RetryBudget::new(1, now));
    simulation.outage = Some((0..10, 20.0, 25.0));
    let all = simulation
        .run(Workload::new(19).stream(80.0, ONE_MINUTE, &request))
        .0;
    let attempts: u32 = all.0.iter().map(|o| o.attempts).sum();
    let after = all.only(|o| o.request.at >= Duration::from_secs(30));
    format!(
        "done {:.3}, attempts a request {:.3}; from 5 s after it on: done {:.3}, p95 {:.3} s",
        all.completed_fraction(),
        f64::from(attempts) / all.0.len() as f64,
        after.completed_fraction(),
        after.ttft(0.95),
    )
}

type Change = fn(&LoadReport) -> LoadReport;

/// Load reports are empty, ten times too high, or correct.
fn wrong_reports(setup: &Setup) -> String {
    let changes: [(&str, Change); 3] = [
        ("right", Clone::clone),
        ("nothing", |_| LoadReport::default()),
        ("tenfold", |report| LoadReport {
            used_tokens: banyanarch::units::Tokens(report.used_tokens.0 * 10),
            prefill_backlog_tokens: banyanarch::units::Tokens(report.prefill_backlog_tokens.0 * 10),
            ..report.clone()
        }),
    ];
    let figures = changes.map(|(name, change)| {
        let mut simulation = setup.simulation(1);
        simulation.alter_report = change;
        let all = simulation.run(add_long_prompts(short_load(7, 24.0))).0;
        let short = all.class(LengthClass::Short);
        format!(
            "{name}: short p95 {:.3} s done {:.3}",
            short.ttft(0.95),
            all.completed_fraction()
        )
    });
    figures.join(", ")
}

/// The prefill speed in the manifest is five times too low, correct, or five times too high.
fn wrong_speed(setup: &Setup) -> String {
    let figures = [0.2, 1.0, 5.0].map(|factor| {
        let conf = PolicyConfig {
            tuning: setup.tuning.clone(),
            ..config(setup.objective, SPEED * factor)
        };
        let engines = (0..ENGINES).map(|_| Engine::new(300_000, SPEED)).collect();
        let simulation = Simulation::new(engines, vec![policy_for(setup.policy, &conf, 1)]);
        let all = simulation.run(add_long_prompts(short_load(7, 24.0))).0;
        let short = all.class(LengthClass::Short);
        format!(
            "x{factor}: short p95 {:.3} s done {:.3}",
            short.ttft(0.95),
            all.completed_fraction()
        )
    });
    figures.join(", ")
}

/// Compares seven hosts that each decide independently with one home.
fn seven_hosts(setup: &Setup) -> String {
    let figures = [1, 7].map(|hosts| {
        let all = setup
            .simulation(hosts)
            .run(add_long_prompts(short_load(7, 60.0)))
            .0;
        format!(
            "{hosts} deciding: {}, done {:.3}",
            format_classes(&all),
            all.completed_fraction()
        )
    });
    figures.join("; ")
}
