//! The load tool: runs a scenario against a fleet of its own and computes what callers got.

mod arrivals;
mod capacity;
mod fairness;
mod figures;
mod html;
mod outcome;
mod path_cost;
mod player;
mod scenario;

use std::time::Duration;

use banyanarch::decide::LengthClass;
use banyanarch::settings::PolicyName;

pub use outcome::Outcome;

use crate::caller::Ask;
use crate::fleet::Fleet;
use crate::fleet::FleetError;
use crate::load::arrivals::arrivals;
use crate::load::figures::Figures;
use crate::load::player::Sample;
use crate::load::player::play;
use crate::load::scenario::Scenario;

/// Offset between the request numbers of two parts of a run, so that no part profits from prefixes
/// cached by the one before.
const PART_STEP: u64 = 10_000_000;
/// Pause between the parts of a run, in which engines and queues become empty.
const PAUSE: Duration = Duration::from_millis(500);

/// Time for the homes to settle. A home starts with the first request and rebuilds its ledger for
/// about two seconds before it grants without restriction.
const SETTLE: Duration = Duration::from_millis(2_500);

/// Options of a load run.
#[derive(Clone, Debug)]
pub struct LoadOptions {
    /// The name of the scenario.
    pub scenario: String,
    /// The dispatch policy of the hosts.
    pub policy: PolicyName,
    /// The objective of the manifest.
    pub objective: String,
    /// The seed of the arrivals.
    pub seed: u64,
    /// Whether the logs are kept after the run.
    pub keep: bool,
}

/// Runs a scenario.
pub async fn run(options: &LoadOptions) -> Result<Outcome, FleetError> {
    if options.scenario == path_cost::NAME {
        return path_cost::run(options).await;
    }
    let unknown = || FleetError(format!("no scenario `{}`", options.scenario));
    let scenario = Scenario::named(options).ok_or_else(unknown)?;
    let mut fleet = Fleet::start(&scenario.plan).await?;
    if options.keep {
        fleet.keep_dir();
    }
    let asks = arrivals(&scenario, 1.0, options.seed);
    warm_up(&scenario, &fleet, &asks).await;
    let alone = play_alone(&scenario, &fleet, &asks).await;
    let compared = play_compared(&scenario, &fleet, options.seed).await;
    let samples = play(&scenario, &fleet, asks, true).await;
    let runs = fleet.runs()?;
    let mut figures = Figures::new(&samples, &alone, &runs, scenario.lasts_s);
    if let Some(compared) = compared {
        figures.compare_with(&Figures::new(&compared, &[], &runs, scenario.lasts_s));
    }
    Ok(Outcome::of_scenario(
        &scenario, options, &figures, &samples, &alone,
    ))
}

/// Sends a few short requests through each host and waits until the homes have settled.
async fn warm_up(scenario: &Scenario, fleet: &Fleet, asks: &[Ask]) {
    let short = asks.iter().filter(|ask| ask.class() == LengthClass::Short);
    let some = short.take(3 * fleet.hosts.len()).cloned().collect();
    let part = scenario.mix.len() as u64 + 2;
    play(scenario, fleet, numbered(some, part), false).await;
    tokio::time::sleep(SETTLE).await;
}

/// Plays the first seconds of each class without the other classes.
async fn play_alone(scenario: &Scenario, fleet: &Fleet, asks: &[Ask]) -> Vec<Vec<Sample>> {
    let mut parts = Vec::new();
    for (class, _) in &scenario.mix {
        // The slowdown of short requests is the main figure, so its baseline gets twice the time.
        let times = if *class == LengthClass::Short {
            2.0
        } else {
            1.0
        };
        let window = Duration::from_secs_f64(scenario.alone_s * times);
        let own = asks
            .iter()
            .filter(|ask| ask.class() == *class && ask.at < window);
        let own = numbered(own.cloned().collect(), parts.len() as u64 + 1);
        parts.push(play(scenario, fleet, own, false).await);
        tokio::time::sleep(PAUSE).await;
    }
    parts
}

async fn play_compared(scenario: &Scenario, fleet: &Fleet, seed: u64) -> Option<Vec<Sample>> {
    let times = scenario.compare_with?;
    let part = scenario.mix.len() as u64 + 1;
    let asks = numbered(arrivals(scenario, times, seed), part);
    let samples = play(scenario, fleet, asks, false).await;
    tokio::time::sleep(PAUSE).await;
    Some(samples)
}

fn numbered(mut asks: Vec<Ask>, part: u64) -> Vec<Ask> {
    for ask in &mut asks {
        ask.number += part * PART_STEP;
        ask.prefix_group += part * PART_STEP;
    }
    asks
}
