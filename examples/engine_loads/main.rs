//! Simulates loads on engines with the published speed model and prints what callers got, as means
//! over seeds: long and short prompts in alternating phases, on sites of several sizes.
//!
//! ```text
//! cargo run --release --example engine_loads -- [--seeds N] [--site NAME] [--long X]
//!     [--engines N] [--slow known|unknown] [--refusals obeyed|ignored]
//! ```
//!
//! Sites are middle, small, large, shifted, domains and largest. `--long` simulates only this rate
//! of long prompts, and `--engines` replaces the number of engines of the site. With `--slow`, one
//! engine in five takes three and a half times as long from the third to the twelfth second. With
//! `--refusals`, one engine in five refuses all requests and asks for 3 s without any, in turn for 8
//! s each, for the whole run.

#[path = "../../tests/engine_world/mod.rs"]
mod engine_world;

use std::panic::resume_unwind;
use std::time::Duration;

use banyanarch::units::Slowdown;
use banyanarch::units::seconds;
use engine_world::LONG;
use engine_world::Load;
use engine_world::MEDIUM;
use engine_world::Phase;
use engine_world::Refusals;
use engine_world::RequestResult;
use engine_world::RunResults;
use engine_world::SHORT;
use engine_world::Site;
use engine_world::SlowPeriod;
use engine_world::World;
use pico_args::Arguments;

const SEEDS_DEFAULT: u64 = 8;
/// Factors on the usual rate of long prompts in their phases: below, near and beyond the prefill
/// capacity of the engines.
const LONG_RATES: [f64; 3] = [2.2, 2.8, 4.0];
/// Loss of a caller that comes back and is refused again, as a fraction of the value of its answer.
const REPEATED_REFUSAL_COST: f64 = 0.3;

fn simulate(site: &Site, long_rate: f64, seed: u64) -> RunResults {
    let load = Load::draw(site, &Phase::alternating(9.5, long_rate), seed);
    World::run(site.clone(), load, seed)
}

fn simulate_seeds(site: &Site, long_rate: f64, seeds: u64) -> Vec<RunResults> {
    std::thread::scope(|scope| {
        let simulations =
            (1..=seeds).map(|seed| scope.spawn(move || simulate(site, long_rate, seed)));
        let simulations: Vec<_> = simulations.collect();
        simulations
            .into_iter()
            .map(|simulation| {
                simulation
                    .join()
                    .unwrap_or_else(|panic| resume_unwind(panic))
            })
            .collect()
    })
}

fn print_means(name: &str, long_rate: f64, results: &[RunResults]) {
    let mean = |figure: &dyn Fn(&RunResults) -> f64| {
        results.iter().map(figure).sum::<f64>() / results.len() as f64
    };
    println!(
        "{name} x{long_rate}: earned {:.3} less refused again {:.3} | short {:.3} medium {:.3} long {:.3} \
         (largest tenth {:.2} fifth {:.2} rest {:.2} late {:.2}) largest tenth served {:.2} of all {:.2} \
         turned away {:.0} forecast error \
         medium {:.0} {:.0} long {:.0} {:.0} ms (median, 90th percentile)",
        mean(&RunResults::earned_in_total),
        mean(&|result| result.earned_in_total() - REPEATED_REFUSAL_COST * result.refused_again()),
        mean(&|result| result.earned(SHORT)),
        mean(&|result| result.earned(MEDIUM)),
        mean(&|result| result.earned(LONG)),
        mean(&|result| result.earned_by_size(LONG).0),
        mean(&|result| result.earned_by_size(LONG).1),
        mean(&|result| result.earned_by_size(LONG).2),
        mean(&|result| result.fraction(LONG, RequestResult::Late)),
        mean(&|result| result.served_by_size(LONG).0),
        mean(&|result| result.served_by_size(LONG).2),
        mean(&|result| f64::from(result.rejected_sends())),
        mean(&|result| result.error_ms(MEDIUM, 0.5)),
        mean(&|result| result.error_ms(MEDIUM, 0.9)),
        mean(&|result| result.error_ms(LONG, 0.5)),
        mean(&|result| result.error_ms(LONG, 0.9)),
    );
}

/// Returns the period of slow engines. If it is known, hosts learn of it after 0.8 s, and otherwise
/// never.
fn slow_period(is_known: bool) -> SlowPeriod {
    let known_after = if is_known { 0.8 } else { 1e6 };
    SlowPeriod {
        from: Duration::from_secs(3),
        until: Duration::from_secs(12),
        one_in: 5,
        slowdown: Slowdown::new(3.5),
        known_after: seconds(known_after),
    }
}

/// Simulates each selected site with each rate of long prompts, and prints the mean results of
/// callers.
fn main() -> Result<(), pico_args::Error> {
    let mut args = Arguments::from_env();
    let seeds = args.opt_value_from_str("--seeds")?.unwrap_or(SEEDS_DEFAULT);
    let only: Option<String> = args.opt_value_from_str("--site")?;
    let slow: Option<String> = args.opt_value_from_str("--slow")?;
    let slow = slow.map(|slow| slow_period(slow == "known"));
    let refusals: Option<String> = args.opt_value_from_str("--refusals")?;
    let refusals = refusals.map(|refusals| Refusals {
        is_obeyed: refusals == "obeyed",
    });
    let long: Option<f64> = args.opt_value_from_str("--long")?;
    let engines: Option<usize> = args.opt_value_from_str("--engines")?;
    let rates = long.map_or_else(|| LONG_RATES.to_vec(), |long| vec![long]);
    let sites = [
        ("middle", Site::middle()),
        ("small", Site::small()),
        ("large", Site::large()),
        ("shifted", Site::shifted()),
        ("domains", Site::three_domains()),
        ("largest", Site::largest()),
    ];
    for (name, mut site) in sites {
        site.slow = slow;
        site.refusals = refusals;
        site.engines = engines.unwrap_or(site.engines);
        if only.as_ref().is_some_and(|only| only != name) {
            continue;
        }
        for &long_rate in &rates {
            print_means(name, long_rate, &simulate_seeds(&site, long_rate, seeds));
        }
    }
    Ok(())
}
