//! Prints the figures of docs/DECISIONS.md.

#[path = "../tests/decide_fakes/mod.rs"]
mod decide_fakes;

use banyanarch::decide::LengthClass;
use banyanarch::decide::Policy;
use banyanarch::decide::policy_for;
use banyanarch::manifest::Objective;
use banyanarch::settings::PolicyName;
use decide_fakes::Ask;
use decide_fakes::Bench;
use decide_fakes::Engine;
use decide_fakes::Load;
use decide_fakes::config;

fn main() {
    for honours in [true] {
        for policy in [PolicyName::Shipped] {
            run(policy, honours, false);
            run(policy, honours, true);
        }
    }
}

fn run(name: PolicyName, honours_rank: bool, with_long: bool) {
    let mut engines: Vec<Engine> = (0..20).map(|_| Engine::new(300_000, 8_000.0)).collect();
    for engine in &mut engines {
        engine.honours_rank = honours_rank;
    }
    let conf = config(Objective::ShortSlowdown, 8_000.0);
    let policies: Vec<Box<dyn Policy>> = vec![policy_for(name, &conf, 1)];
    let mut load = Load::new(7).stream(24.0, (0.0, 120.0), &Ask::short());
    if with_long {
        load = load
            .stream(
                0.6,
                (0.0, 120.0),
                &Ask {
                    customer: "studio",
                    ..Ask::long(60_000)
                },
            )
            .stream(
                0.1,
                (0.0, 120.0),
                &Ask {
                    customer: "studio",
                    ..Ask::long(250_000)
                },
            )
            .stream(
                0.02,
                (0.0, 120.0),
                &Ask {
                    customer: "studio",
                    ..Ask::long(500_000)
                },
            );
    }
    let began = std::time::Instant::now();
    let (all, bench) = Bench::new(engines, policies).play(load);
    print!("{name:?} rank={honours_rank} long={with_long}: ");
    for class in LengthClass::ALL {
        let of = all.class(class);
        print!(
            "{class} n {} ok {:.3} ref {} p50 {:.3} p95 {:.3} p99 {:.3}; ",
            of.0.len(),
            of.part(),
            of.refused(),
            of.ttft(0.5),
            of.ttft(0.95),
            of.ttft(0.99)
        );
    }
    if with_long {
        let s = all.class(LengthClass::Short);
        let slow = s.only(|o| {
            o.first_token
                .is_some_and(|t| t.as_secs_f64() > o.ask.prompt as f64 / 6000.0 * 1.3)
        });
        let mut by: std::collections::BTreeMap<usize, (usize, usize)> = Default::default();
        for o in &s.0 {
            by.entry(o.engines.first().copied().unwrap_or(99))
                .or_default()
                .0 += 1;
        }
        for o in &slow.0 {
            by.entry(o.engines.first().copied().unwrap_or(99))
                .or_default()
                .1 += 1;
        }
        println!("slow {} of {}: {by:?}", slow.0.len(), s.0.len());
        let mut t: std::collections::BTreeMap<u64, usize> = Default::default();
        for o in &slow.0 {
            *t.entry(o.ask.at.as_secs() / 5 * 5).or_default() += 1;
        }
        println!("{t:?}");
    }
    println!(
        "goodput {:.0} decide {:.1} us/req wall {:?}",
        all.goodput() / 1e3,
        bench.decided_in.as_secs_f64() * 1e6 / all.0.len() as f64,
        began.elapsed()
    );
}
