//! Compares ways to divide a service among its customers: how many calls of a customer that floods
//! it, and of all others, arrive while their customer is above its share. Draws are seeded, so each
//! run prints the same.
//!
//! ```text
//! cargo run --locked --example customer_shares
//! ```

mod load;

use std::time::Duration;
use std::time::Instant;

use banyanarch::decide::CustomerShares;
use banyanarch::decide::ShareFigures;
use banyanarch::units::CustomerId;
use banyanarch::units::ServiceId;

use load::Call;
use load::Load;

/// When the load changes, and when the calls that are counted begin and end.
const CHANGES_AT: Duration = Duration::from_secs(40);
const COUNTED_FROM: Duration = Duration::from_millis(40_500);
const ENDS_AT: Duration = Duration::from_secs(50);
const SEEDS: u64 = 8;

/// A way to derive a customer's share from its figures, in microseconds per second.
type Model = fn(&ShareFigures) -> f64;

const MODELS: [(&str, Model); 5] = [
    ("equal", |figures| figures.equal_part_us_per_s),
    ("usual", |figures| 1.5 * figures.usual_us_per_s),
    ("larger of both", larger_of_both),
    ("with growth", |figures| {
        let usual = 1.5 * figures.usual_us_per_s * figures.growth_of_others;
        usual.max(figures.equal_part_us_per_s)
    }),
    ("built", ShareFigures::share_us_per_s),
];

fn larger_of_both(figures: &ShareFigures) -> f64 {
    (1.5 * figures.usual_us_per_s).max(figures.equal_part_us_per_s)
}

/// The counted calls of one customer, and those of them that were above the share.
#[derive(Clone, Copy, Default)]
struct Tally {
    calls: u32,
    above: u32,
}

impl Tally {
    fn add(&mut self, is_above: bool) {
        self.calls += 1;
        self.above += u32::from(is_above);
    }

    fn fraction(self) -> f64 {
        f64::from(self.above) / f64::from(self.calls.max(1))
    }
}

fn main() {
    for customers in [24, 333] {
        println!(
            "\n{customers} customers: calls above the share, of the customer that changes | of all \
             others | of the worst other"
        );
        print!("{:<34}", "load");
        for (name, _) in MODELS {
            print!("{name:>22}");
        }
        println!();
        for load in load::all(customers) {
            let tallies = tallies(&load);
            print!("{:<34}", load.name);
            for tallies in &tallies {
                print!("{:>22}", summary(&load, tallies));
            }
            println!();
        }
    }
}

/// The fractions of calls above the share: of the customer that changes, of all others, and of the
/// other customer with the largest fraction.
fn summary(load: &Load, tallies: &[Tally]) -> String {
    let changed = load.changed.map(|changed| tallies[changed].fraction());
    let others = || (0..tallies.len()).filter(|customer| Some(*customer) != load.changed);
    let mut all = Tally::default();
    for customer in others() {
        all.calls += tallies[customer].calls;
        all.above += tallies[customer].above;
    }
    let frequent = others().filter(|customer| tallies[*customer].calls >= 20);
    let worst = frequent.map(|customer| tallies[customer].fraction());
    let worst = worst.fold(0.0, f64::max);
    let changed = changed.map_or_else(|| "-".to_owned(), |changed| format!("{changed:.3}"));
    format!("{changed} | {:.3} | {worst:.3}", all.fraction())
}

/// The tallies of each model, by customer, over all seeds.
fn tallies(load: &Load) -> Vec<Vec<Tally>> {
    let mut tallies = vec![vec![Tally::default(); load.customers]; MODELS.len()];
    for seed in 1..=SEEDS {
        play(load, seed, &mut tallies);
    }
    tallies
}

fn play(load: &Load, seed: u64, tallies: &mut [Vec<Tally>]) {
    let started_at = Instant::now();
    let service: ServiceId = "chat".parse().unwrap_or_else(|_| unreachable!());
    let ids: Vec<CustomerId> = (0..load.customers).map(load::customer_id).collect();
    let mut shares = CustomerShares::default();
    for Call {
        at,
        customer,
        cost,
        is_sent,
    } in load.draw(CHANGES_AT, ENDS_AT, seed)
    {
        let now = started_at + at;
        let id = &ids[customer];
        shares.on_arrival(&service, id, cost, now);
        if is_sent {
            shares.on_send(&service, id, cost, now);
        }
        if at < COUNTED_FROM {
            continue;
        }
        let figures = shares.figures(&service, id, now);
        for ((_, share), tallies) in MODELS.iter().zip(tallies.iter_mut()) {
            tallies[customer].add(figures.wanted_us_per_s > share(&figures));
        }
    }
}
