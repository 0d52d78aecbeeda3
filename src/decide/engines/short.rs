//! Engines for a short prompt.

use std::time::Duration;

use crate::decide::EngineModel;
use crate::decide::RefuseReason;
use crate::decide::engines::EngineAsk;
use crate::decide::engines::EngineChoice;
use crate::decide::engines::EnginePlan;
use crate::decide::engines::EngineView;
use crate::decide::engines::long::parts_wanted;
use crate::units::UpstreamId;

/// First events that differ by less than this count as equal: as much as reading one or two other
/// short prompts takes, which other hosts may have sent there already.
const EQUAL_WITHIN: Duration = Duration::from_millis(25);

/// Of this many drawn engines the one with the fewest answers is taken. One alone fills some engines
/// beyond their slots while others have room; the very best of all would be taken by all hosts.
const COMPARED: usize = 2;

/// The engine on which the first event comes first, of those for short prompts; another one if none
/// of these has it in time and without stretching the pauses there.
pub(super) fn choose(
    model: &EngineModel,
    engines: &[EngineView],
    border: usize,
    ask: &EngineAsk,
) -> EngineChoice {
    let (short_side, _) = engines.split_at(border);
    let parts = parts_wanted(model.read_time(ask.prompt), short_side.len());
    let part_time = model.read_time(ask.prompt) / u32::try_from(parts).unwrap_or(1);
    let is_good = |engine: &EngineView| {
        engine.first_event(model, part_time) <= ask.objective_left
            && part_time <= engine.room(model)
    };
    let best_near = best(model, short_side, part_time, ask);
    let leader = match best_near {
        Some(engine) if is_good(engine) => Some(engine),
        _ => best(model, engines, part_time, ask),
    };
    let Some(leader) = leader else {
        return wait_for_place(model, engines, ask);
    };
    EngineChoice::Send(EnginePlan {
        leader: leader.id.clone(),
        helpers: least_busy(short_side, &leader.id, parts - 1),
        reserves: Vec::new(),
        part_time,
        forecast: leader.first_event(model, part_time),
    })
}

fn best<'a>(
    model: &EngineModel,
    engines: &'a [EngineView],
    part_time: Duration,
    ask: &EngineAsk,
) -> Option<&'a EngineView> {
    let able = engines
        .iter()
        .filter(|engine| engine.has_place(model) && engine.free_tokens(model) >= ask.needed());
    let rank = |engine: &EngineView| {
        let stretches = part_time > engine.room(model);
        (stretches, engine.first_event(model, part_time))
    };
    let able: Vec<&EngineView> = able.collect();
    let (stretches, soonest) = able.iter().map(|engine| rank(engine)).min()?;
    let about_equal = able.iter().enumerate().filter(|(_, engine)| {
        let (own_stretches, first_event) = rank(engine);
        own_stretches == stretches && first_event <= soonest + EQUAL_WITHIN
    });
    let mut drawn: Vec<(usize, &&EngineView)> = about_equal.collect();
    drawn.sort_by_key(|(index, _)| ask.shuffle(*index));
    let compared = drawn.iter().take(COMPARED).map(|(_, engine)| **engine);
    compared.min_by_key(|engine| engine.load.in_flight)
}

/// All places are taken: a request that is still on time waits for one; one that is not, or that
/// has no time left for its answer, is told to come back.
fn wait_for_place(model: &EngineModel, engines: &[EngineView], ask: &EngineAsk) -> EngineChoice {
    let write_time = model.write_time(ask.output, model.slots, ask.prompt);
    let places = u32::try_from(engines.len())
        .unwrap_or(u32::MAX)
        .saturating_mul(model.slots);
    let next_place = write_time / places.max(1);
    let has_time = ask.time_left > write_time / 2;
    if ask.objective_left.is_zero() || !has_time {
        return EngineChoice::refuse(RefuseReason::QueueFull, write_time / 2);
    }
    EngineChoice::wait(next_place)
}

/// The engines with the least left to read, without `leader`.
fn least_busy(engines: &[EngineView], leader: &UpstreamId, count: usize) -> Vec<UpstreamId> {
    let mut others: Vec<&EngineView> = engines.iter().filter(|e| e.id != *leader).collect();
    others.sort_by_key(|engine| (engine.load.read_backlog, engine.load.in_flight));
    others
        .into_iter()
        .take(count)
        .map(|engine| engine.id.clone())
        .collect()
}
