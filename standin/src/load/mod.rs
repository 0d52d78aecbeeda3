//! The load tool: runs a scenario against a fleet of its own and computes what callers got.

mod arrivals;
mod capacity;
mod fairness;
mod figures;
mod html;
mod path_cost;
mod player;
mod run_report;
mod scenario;

use std::time::Duration;

use banyanarch::decide::LengthClass;
use banyanarch::settings::PolicyName;
use banyanarch::units::seconds;

pub use run_report::RunReport;

use crate::caller::CallerRequest;
use crate::fleet::Fleet;
use crate::fleet::FleetError;
use crate::load::arrivals::generate_arrivals;
use crate::load::figures::Figures;
use crate::load::player::Sample;
use crate::load::player::play;
use crate::load::scenario::Scenario;

/// Offset between the request numbers of two parts of a run, so that no part finds prefixes that
/// an earlier part left in the cache.
const PART_NUMBER_OFFSET: u64 = 10_000_000;
/// Pause between the parts of a run, long enough for engines and queues to become empty.
const PART_PAUSE: Duration = Duration::from_millis(500);

/// Time for the homes to settle. A home starts with the first request and rebuilds its ledger for
/// about two seconds before it grants without restriction.
const HOMES_SETTLE_TIME: Duration = Duration::from_millis(2_500);

/// Options of a load run.
#[derive(Clone, Debug)]
pub struct LoadOptions {
    /// The name of the scenario.
    pub scenario: String,
    /// The dispatch policy that the homes run.
    pub policy: PolicyName,
    /// The objective of the manifest.
    pub objective: String,
    /// The seed of the arrivals.
    pub seed: u64,
    /// Whether the logs are kept after the run.
    pub keep: bool,
}

/// Runs a scenario on a fleet of its own and returns its figures. Before the scenario, the fleet
/// gets a warm-up, each class alone and, if the scenario has one, the baseline load.
pub async fn run(options: &LoadOptions) -> Result<RunReport, FleetError> {
    if options.scenario == path_cost::NAME {
        return path_cost::run(options).await;
    }
    let unknown = || FleetError(format!("scenario `{}` does not exist", options.scenario));
    let scenario = Scenario::named(options).ok_or_else(unknown)?;
    let mut fleet = Fleet::start(&scenario.plan).await?;
    if options.keep {
        fleet.keep_dir();
    }
    let requests = generate_arrivals(&scenario, 1.0, options.seed);
    warm_up(&scenario, &fleet, &requests).await;
    let alone = play_alone(&scenario, &fleet, &requests).await;
    let baseline = play_baseline(&scenario, &fleet, options.seed).await;
    let samples = play(&scenario, &fleet, requests, true).await;
    let runs = fleet.runs()?;
    let mut figures = Figures::new(&samples, &alone, &runs, scenario.duration_s);
    if let Some(baseline) = baseline {
        figures.set_baseline(&Figures::new(&baseline, &[], &runs, scenario.duration_s));
    }
    Ok(RunReport::new(
        &scenario, options, &figures, &samples, &alone,
    ))
}

/// Sends a few short requests through each host and waits until the homes have settled.
async fn warm_up(scenario: &Scenario, fleet: &Fleet, requests: &[CallerRequest]) {
    let short = requests
        .iter()
        .filter(|request| request.class() == LengthClass::Short);
    let warm_up_requests = short.take(3 * fleet.hosts.len()).cloned().collect();
    let part = scenario.mix.len() as u64 + 2;
    play(scenario, fleet, renumber(warm_up_requests, part), false).await;
    tokio::time::sleep(HOMES_SETTLE_TIME).await;
}

/// Plays the first seconds of the arrivals of each class without the other classes.
async fn play_alone(
    scenario: &Scenario,
    fleet: &Fleet,
    requests: &[CallerRequest],
) -> Vec<Vec<Sample>> {
    let mut parts = Vec::new();
    for (class, _) in &scenario.mix {
        // The slowdown of short requests is the main figure, so its baseline gets twice the time.
        let duration_factor = if *class == LengthClass::Short {
            2.0
        } else {
            1.0
        };
        let window = seconds(scenario.class_alone_s * duration_factor);
        let own = requests
            .iter()
            .filter(|request| request.class() == *class && request.arrival < window);
        let own = renumber(own.cloned().collect(), parts.len() as u64 + 1);
        parts.push(play(scenario, fleet, own, false).await);
        tokio::time::sleep(PART_PAUSE).await;
    }
    parts
}

/// Plays the baseline load without faults; returns `None` if the scenario has no baseline.
async fn play_baseline(scenario: &Scenario, fleet: &Fleet, seed: u64) -> Option<Vec<Sample>> {
    let load_factor = scenario.baseline_load?;
    let part = scenario.mix.len() as u64 + 1;
    let requests = renumber(generate_arrivals(scenario, load_factor, seed), part);
    let samples = play(scenario, fleet, requests, false).await;
    tokio::time::sleep(PART_PAUSE).await;
    Some(samples)
}

/// Offsets the request numbers and prefix groups, so that no two parts of a run share a prompt.
fn renumber(mut requests: Vec<CallerRequest>, part: u64) -> Vec<CallerRequest> {
    for request in &mut requests {
        request.number += part * PART_NUMBER_OFFSET;
        request.prefix_group += part * PART_NUMBER_OFFSET;
    }
    requests
}
