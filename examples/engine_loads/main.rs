//! Plays loads on engines by the published speed model and prints what callers got.
//!
//! `cargo run --release --example engine_loads -- [--seeds N]`

#[path = "../../tests/engine_world/mod.rs"]
mod engine_world;

use engine_world::Load;
use engine_world::Phase;
use engine_world::Site;
use engine_world::World;

fn by_turns(for_s: f64, long: f64) -> Vec<Phase> {
    let phase = |factors| Phase { for_s, factors };
    vec![
        phase([0.35, 1.3, long]),
        phase([2.4, 0.5, 0.05]),
        phase([0.35, 1.3, long]),
    ]
}

fn earned(site: &Site, long: f64, seed: u64) -> [f64; 6] {
    let load = Load::draw(site, &by_turns(9.5, long), seed);
    let tally = World::play(site.clone(), load, seed);
    let (tenth, _, _) = tally.served_by_size(2);
    [
        tally.earned_all(),
        tally.earned(0),
        tally.earned(1),
        tally.earned(2),
        tally.refused_again(),
        tenth,
    ]
}

fn main() {
    let mut args = pico_args::Arguments::from_env();
    let seeds: u64 = args.value_from_str("--seeds").unwrap_or(8);
    let only: Option<String> = args.opt_value_from_str("--site").unwrap_or_default();
    let sites = [
        ("middle", Site::middle()),
        ("small", Site::small()),
        ("large", Site::large()),
    ];
    for (name, site) in sites {
        if only.as_ref().is_some_and(|only| only != name) {
            continue;
        }
        for long in [2.2, 2.8, 4.0] {
            let plays: Vec<[f64; 6]> = std::thread::scope(|scope| {
                let site = &site;
                let play = |seed| scope.spawn(move || earned(site, long, seed));
                let plays: Vec<_> = (1..=seeds).map(play).collect();
                plays.into_iter().map(|play| play.join().unwrap()).collect()
            });
            let mean = |i: usize| plays.iter().map(|p| p[i]).sum::<f64>() / seeds as f64;
            println!(
                "{name} x{long}: earned {:.3} less refused again {:.3} | short {:.3} medium {:.3} long {:.3} largest tenth served {:.2}",
                mean(0),
                mean(0) - 0.3 * mean(4),
                mean(1),
                mean(2),
                mean(3),
                mean(5),
            );
        }
    }
}
