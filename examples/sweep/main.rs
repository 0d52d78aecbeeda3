//! Prints the figures of docs/DECISIONS.md: each load with each policy, then each threshold. Loads
//! run on fake engines with a manually advanced clock, so only the measured time of decisions
//! differs between two runs.

#[path = "../../tests/decide_fakes/mod.rs"]
mod decide_fakes;
mod scenario;
mod timing;

use std::time::Duration;

use banyanarch::decide::Tuning;
use banyanarch::manifest::Objective;
use banyanarch::settings::PolicyName;
use banyanarch::units::Tokens;

use scenario::Setup;

const POLICIES: [PolicyName; 4] = [
    PolicyName::Shipped,
    PolicyName::Alone,
    PolicyName::LeastInFlight,
    PolicyName::RoundRobin,
];

fn main() {
    let wanted: Vec<String> = std::env::args().skip(1).collect();
    let is_wanted = |name: &str| wanted.is_empty() || wanted.iter().any(|want| want == name);
    for (name, play) in scenario::ALL {
        if is_wanted(name) {
            println!("\n## {name}");
            for policy in POLICIES {
                println!("{:<15} {}", format!("{policy:?}"), play(&Setup::of(policy)));
            }
        }
    }
    if is_wanted("objective") {
        println!("\n## objective, short-among-long");
        for objective in [Objective::ShortSlowdown, Objective::FirstToken] {
            let setup = Setup {
                objective,
                tuning: Tuning::of(objective),
                ..Setup::of(PolicyName::Shipped)
            };
            println!("{objective:<15?} {}", scenario::short_among_long(&setup));
        }
    }
    if is_wanted("thresholds") {
        thresholds();
    }
    if is_wanted("timing") {
        timing::print();
    }
}

fn thresholds() {
    let base = || Setup::of(PolicyName::Shipped).tuning;
    let ms = Duration::from_millis;
    sweep("headroom, ms", &[0, 10, 30, 100, 300], |at| Tuning {
        headroom: ms(at),
        ..base()
    });
    sweep(
        "equal_speed_ratio, percent",
        &[100, 120, 140, 200, 400],
        |at| Tuning {
            equal_speed_ratio: at as f64 / 100.0,
            ..base()
        },
    );
    sweep(
        "short_tokens_max",
        &[1_000, 2_000, 4_000, 8_000, 16_000],
        |at| Tuning {
            short_tokens_max: Tokens(at),
            ..base()
        },
    );
    sweep("long_prefills_max", &[1, 2, 4, 8], |at| Tuning {
        long_prefills_max: usize::try_from(at).unwrap_or(usize::MAX),
        ..base()
    });
    sweep("long_utilization_max, percent", &[50, 70, 85, 100], |at| {
        Tuning {
            long_utilization_max: at as f64 / 100.0,
            ..base()
        }
    });
    sweep(
        "short_utilization_max, percent",
        &[30, 45, 60, 80, 100],
        |at| Tuning {
            short_utilization_max: at as f64 / 100.0,
            ..base()
        },
    );
    sweep("long_fraction_min, percent", &[0, 10, 25, 50], |at| {
        Tuning {
            long_fraction_min: at as f64 / 100.0,
            ..base()
        }
    });
    sweep(
        "short_fraction_beside_long_max, percent",
        &[0, 10, 25, 50, 100],
        |at| Tuning {
            short_fraction_beside_long_max: at as f64 / 100.0,
            ..base()
        },
    );
    sweep("admit_fraction, percent", &[60, 80, 90, 100, 120], |at| {
        Tuning {
            admit_fraction: at as f64 / 100.0,
            ..base()
        }
    });
    sweep("wait_ratio_max, percent", &[0, 50, 80, 100], |at| Tuning {
        wait_ratio_max: at as f64 / 100.0,
        ..base()
    });
    sweep("slow_fraction, percent", &[0, 20, 40, 60, 80], |at| {
        Tuning {
            slow_fraction: at as f64 / 100.0,
            ..base()
        }
    });
    sweep("ejected_fraction_max, percent", &[0, 25, 50, 100], |at| {
        Tuning {
            ejected_fraction_max: at as f64 / 100.0,
            ..base()
        }
    });
}

fn sweep(name: &str, values: &[u64], tuning: impl Fn(u64) -> Tuning) {
    println!("\n## threshold {name}");
    for at in values {
        let setup = Setup {
            tuning: tuning(*at),
            ..Setup::of(PolicyName::Shipped)
        };
        println!("{at:>6} mixed: {}", scenario::short_among_long(&setup));
        println!("{:>6} slow one: {}", "", scenario::slow_upstream(&setup));
        println!(
            "{:>6} saturated: {}",
            "",
            scenario::mixed_saturation(&setup)
        );
    }
}
