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
    let selected: Vec<String> = std::env::args().skip(1).collect();
    let is_selected =
        |name: &str| selected.is_empty() || selected.iter().any(|selection| selection == name);
    for (name, play) in scenario::ALL {
        if is_selected(name) {
            println!("\n## {name}");
            for policy in POLICIES {
                println!("{:<15} {}", format!("{policy:?}"), play(&Setup::of(policy)));
            }
        }
    }
    if is_selected("objective") {
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
    if is_selected("thresholds") {
        sweep_thresholds();
    }
    if is_selected("timing") {
        timing::print();
    }
}

fn sweep_thresholds() {
    let base = || Setup::of(PolicyName::Shipped).tuning;
    let ms = Duration::from_millis;
    sweep_threshold("headroom, ms", &[0, 10, 30, 100, 300], |value| Tuning {
        headroom: ms(value),
        ..base()
    });
    sweep_threshold(
        "equal_speed_ratio, percent",
        &[100, 120, 140, 200, 400],
        |value| Tuning {
            equal_speed_ratio: value as f64 / 100.0,
            ..base()
        },
    );
    sweep_threshold(
        "short_tokens_max",
        &[1_000, 2_000, 4_000, 8_000, 16_000],
        |value| Tuning {
            short_tokens_max: Tokens(value),
            ..base()
        },
    );
    sweep_threshold("long_prefills_max", &[1, 2, 4, 8], |value| Tuning {
        long_prefills_max: usize::try_from(value).unwrap_or(usize::MAX),
        ..base()
    });
    sweep_threshold(
        "long_utilization_max, percent",
        &[50, 70, 85, 100],
        |value| Tuning {
            long_utilization_max: value as f64 / 100.0,
            ..base()
        },
    );
    sweep_threshold(
        "short_utilization_max, percent",
        &[30, 45, 60, 80, 100],
        |value| Tuning {
            short_utilization_max: value as f64 / 100.0,
            ..base()
        },
    );
    sweep_threshold("long_fraction_min, percent", &[0, 10, 25, 50], |value| {
        Tuning {
            long_fraction_min: value as f64 / 100.0,
            ..base()
        }
    });
    sweep_threshold(
        "short_fraction_beside_long_max, percent",
        &[0, 10, 25, 50, 100],
        |value| Tuning {
            short_fraction_beside_long_max: value as f64 / 100.0,
            ..base()
        },
    );
    sweep_threshold(
        "admit_fraction, percent",
        &[60, 80, 90, 100, 120],
        |value| Tuning {
            admit_fraction: value as f64 / 100.0,
            ..base()
        },
    );
    sweep_threshold("wait_ratio_max, percent", &[0, 50, 80, 100], |value| {
        Tuning {
            wait_ratio_max: value as f64 / 100.0,
            ..base()
        }
    });
    sweep_threshold("slow_fraction, percent", &[0, 20, 40, 60, 80], |value| {
        Tuning {
            slow_fraction: value as f64 / 100.0,
            ..base()
        }
    });
    sweep_threshold(
        "ejected_fraction_max, percent",
        &[0, 25, 50, 100],
        |value| Tuning {
            ejected_fraction_max: value as f64 / 100.0,
            ..base()
        },
    );
}

/// Runs three loads with each value of a threshold, and prints their figures.
fn sweep_threshold(name: &str, values: &[u64], tuning: impl Fn(u64) -> Tuning) {
    println!("\n## threshold {name}");
    for value in values {
        let setup = Setup {
            tuning: tuning(*value),
            ..Setup::of(PolicyName::Shipped)
        };
        println!("{value:>6} mixed: {}", scenario::short_among_long(&setup));
        println!("{:>6} slow one: {}", "", scenario::slow_upstream(&setup));
        println!(
            "{:>6} saturated: {}",
            "",
            scenario::mixed_saturation(&setup)
        );
    }
}
