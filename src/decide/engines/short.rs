//! Engines for a short prompt.

use std::time::Duration;

use crate::decide::EngineModel;
use crate::decide::RefuseReason;
use crate::decide::engines::EngineChoice;
use crate::decide::engines::EnginePlan;
use crate::decide::engines::EngineRequest;
use crate::decide::engines::EngineView;
use crate::decide::engines::boundary::ceil;
use crate::decide::engines::parts::parts_wanted;
use crate::units::UpstreamId;

/// First events that differ by less than this count as equal: as much as reading two other short
/// prompts takes, which other hosts may have sent there already.
const EQUAL_WITHIN: Duration = Duration::from_millis(40);

/// Of this many drawn engines the one with the fewest answers is taken. One alone fills some engines
/// beyond their slots while others have room; the very best of all would be taken by all hosts.
const COMPARED: usize = 2;

/// Answers on an engine, as a part of its slots, up to which the first engines are filled before the
/// next. The rest is for what other hosts send in the same moment.
///
/// Load it answers: clauses, and then archives within a second. Answers to clauses that are spread over
/// all engines keep archives from each of them for as long as the longest answer takes; filled from the
/// front, the last engines are free.
const FILL_PART: f64 = 0.9;

/// The engine on which the first event comes first, of those for short prompts; another one if none
/// of these has it in time and without stretching the pauses there.
pub(super) fn choose(
    model: &EngineModel,
    engines: &[EngineView],
    border: usize,
    ask: &EngineRequest,
) -> EngineChoice {
    let (short_side, _) = engines.split_at(border);
    let parts = parts_wanted(model.read_time(ask.prompt), short_side.len());
    let part_time = model.read_time(ask.prompt) / u32::try_from(parts).unwrap_or(1);
    let is_good = |engine: &EngineView| {
        engine.first_event(model, part_time) <= ask.objective_left
            && engine.has_room(model, part_time)
    };
    let best_near = best(model, short_side, part_time, ask);
    let leader = match best_near {
        Some(engine) if is_good(engine) => Some(engine),
        _ => best(model, engines, part_time, ask),
    };
    let Some(leader) = leader else {
        return wait_for_place(model, engines, ask);
    };
    let helpers = helpers(model, short_side, &leader.id, part_time, parts - 1);
    let parts = u32::try_from(helpers.len() + 1).unwrap_or(1);
    let part_time = model.read_time(ask.prompt) / parts;
    EngineChoice::Send(EnginePlan {
        leader: leader.id.clone(),
        helpers,
        reservations: Vec::new(),
        part_time,
        forecast: leader.first_event(model, part_time),
    })
}

fn best<'a>(
    model: &EngineModel,
    engines: &'a [EngineView],
    part_time: Duration,
    ask: &EngineRequest,
) -> Option<&'a EngineView> {
    let able = engines
        .iter()
        .filter(|engine| engine.has_place(model) && engine.free_tokens(model) >= ask.needed());
    let rank = |engine: &EngineView| {
        let stretches = !engine.has_room(model, part_time);
        (stretches, engine.first_event(model, part_time))
    };
    let able: Vec<&EngineView> = able.collect();
    let (stretches, soonest) = able.iter().map(|engine| rank(engine)).min()?;
    let is_about_equal = |engine: &&EngineView| {
        let (own_stretches, first_event) = rank(engine);
        own_stretches == stretches && first_event <= soonest + EQUAL_WITHIN
    };
    let about_equal: Vec<&EngineView> = able.into_iter().filter(is_about_equal).collect();
    let drawn_from = to_fill(model, &about_equal, ask);
    let mut drawn: Vec<(usize, &EngineView)> = drawn_from.into_iter().enumerate().collect();
    drawn.sort_by_key(|(index, _)| ask.shuffle(*index));
    let compared = drawn.iter().take(COMPARED).map(|(_, engine)| *engine);
    compared.min_by_key(|engine| engine.load.in_flight)
}

/// The first engines that are not filled yet, as many as what other hosts send unseen needs; all
/// where all are filled.
///
/// Failure it guards against: the hosts of a large fleet hear of each other late and all fill the same
/// engine, beyond its slots. The more may be unseen, the more engines they draw from.
fn to_fill<'a>(
    model: &EngineModel,
    engines: &[&'a EngineView],
    ask: &EngineRequest,
) -> Vec<&'a EngineView> {
    let slots = f64::from(model.slots);
    let is_open = |engine: &&&EngineView| f64::from(engine.load.in_flight) < slots * FILL_PART;
    let open: Vec<&EngineView> = engines.iter().filter(is_open).copied().collect();
    if open.is_empty() {
        return engines.to_vec();
    }
    let in_flight = engines.iter().map(|e| e.load.short_in_flight).sum();
    let kept_free = (slots * (1.0 - FILL_PART)).max(1.0);
    let further = ceil(ask.unseen(model, in_flight) / kept_free);
    open.into_iter().take(1 + further).collect()
}

/// All places are taken: a request that is still on time waits for one; one that is not, or that
/// has no time left for its answer, is told to come back.
fn wait_for_place(
    model: &EngineModel,
    engines: &[EngineView],
    ask: &EngineRequest,
) -> EngineChoice {
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

/// The engines that read a part soonest, without `leader`; those last whose answers would pause too long.
fn helpers(
    model: &EngineModel,
    engines: &[EngineView],
    leader: &UpstreamId,
    part_time: Duration,
    count: usize,
) -> Vec<UpstreamId> {
    let mut others: Vec<&EngineView> = engines
        .iter()
        .filter(|engine| engine.id != *leader && engine.can_help(model))
        .collect();
    others.sort_by_cached_key(|engine| {
        let stretches = !engine.has_room(model, part_time);
        let read_in = engine.backlog() + engine.slowdown.stretch(part_time);
        (stretches, read_in, engine.load.in_flight)
    });
    others
        .into_iter()
        .take(count)
        .map(|engine| engine.id.clone())
        .collect()
}
