//! Choice of engines for a short prompt.

use std::time::Duration;

use crate::decide::EngineModel;
use crate::decide::RefuseReason;
use crate::decide::engines::EngineChoice;
use crate::decide::engines::EnginePlan;
use crate::decide::engines::EngineRequest;
use crate::decide::engines::EngineView;
use crate::decide::engines::boundary::ceil;
use crate::decide::engines::boundary::short_spread_min;
use crate::decide::engines::parts::parts_wanted;
use crate::units::UpstreamId;

/// Times to the first event that differ by at most this count as equal. The value is the time to
/// read two short prompts, which other hosts may already have sent.
const FIRST_EVENT_TOLERANCE: Duration = Duration::from_millis(40);

/// Number of engines that are picked at random, of which the one with the fewest requests in flight
/// is chosen. A single pick fills some engines beyond their slots while others have free ones; the
/// best of all engines would be chosen by all hosts.
const CANDIDATES_COMPARED: usize = 2;

/// Fraction of an engine's slots that is filled before the next engine is used. The rest is for
/// requests that other hosts send at the same moment.
///
/// Engines are filled from the front to keep the last ones free for long prompts. Short answers
/// that are spread over all engines would keep a long prompt that arrives a second later from each
/// of them until the longest of these answers ends.
const FILL_FRACTION: f64 = 0.9;

/// Chooses an engine with about the earliest first event among those for short prompts, and helpers
/// if the prompt is to be read in several parts. If the engine would be late or make pauses too
/// long, all engines are candidates. If no engine has a slot and memory free, the request waits or
/// is refused.
pub(super) fn choose(
    model: &EngineModel,
    engines: &[EngineView],
    short_engines: usize,
    request: &EngineRequest,
) -> EngineChoice {
    let (short_side, _) = engines.split_at(short_engines);
    let spread_min = short_spread_min(engines.len());
    let parts = parts_wanted(model.prefill_time(request.prompt), short_side.len());
    let part_time = model.prefill_time(request.prompt) / u32::try_from(parts).unwrap_or(1);
    let is_acceptable = |engine: &EngineView| {
        engine.time_to_first_event(model, part_time) <= request.objective_left
            && engine.fits_part(model, part_time)
    };
    let best_on_short_side = best_engine(model, short_side, part_time, request, spread_min);
    let leader = match best_on_short_side {
        Some(engine) if is_acceptable(engine) => Some(engine),
        _ => best_engine(model, engines, part_time, request, spread_min),
    };
    let Some(leader) = leader else {
        return wait_or_refuse(model, engines, request);
    };
    let helpers = choose_helpers(model, short_side, &leader.id, part_time, parts - 1);
    let parts = u32::try_from(helpers.len() + 1).unwrap_or(1);
    let part_time = model.prefill_time(request.prompt) / parts;
    EngineChoice::Send(EnginePlan {
        leader: leader.id.clone(),
        helpers,
        reservations: Vec::new(),
        part_time,
        forecast: leader.time_to_first_event(model, part_time),
    })
}

/// One of the engines with a free slot, enough memory and about the earliest first event,
/// preferably one whose pauses do not become too long; `None` if no engine has a slot and the
/// memory.
fn best_engine<'a>(
    model: &EngineModel,
    engines: &'a [EngineView],
    part_time: Duration,
    request: &EngineRequest,
    spread_min: usize,
) -> Option<&'a EngineView> {
    let candidates = engines.iter().filter(|engine| {
        engine.has_free_slot(model) && engine.free_tokens(model) >= request.memory_needed()
    });
    let sort_key = |engine: &EngineView| {
        let lengthens_pauses = !engine.fits_part(model, part_time);
        (
            lengthens_pauses,
            engine.time_to_first_event(model, part_time),
        )
    };
    let candidates: Vec<&EngineView> = candidates.collect();
    let (lengthens_pauses, soonest) = candidates.iter().map(|engine| sort_key(engine)).min()?;
    let is_about_equal = |engine: &&EngineView| {
        let (own_lengthens, first_event) = sort_key(engine);
        own_lengthens == lengthens_pauses && first_event <= soonest + FIRST_EVENT_TOLERANCE
    };
    let about_equal: Vec<&EngineView> = candidates.into_iter().filter(is_about_equal).collect();
    let to_fill = engines_to_fill(model, &about_equal, request, spread_min);
    let mut shuffled: Vec<(usize, &EngineView)> = to_fill.into_iter().enumerate().collect();
    shuffled.sort_by_key(|(index, _)| request.shuffle_key(*index));
    let compared = shuffled
        .iter()
        .take(CANDIDATES_COMPARED)
        .map(|(_, engine)| *engine);
    compared.min_by_key(|engine| engine.load.in_flight)
}

/// The first engines that are not filled up to [`FILL_FRACTION`] yet; all engines if all are
/// filled.
///
/// The hosts of a large fleet learn of each other's requests late and would all fill the same
/// engine beyond its slots. So the more requests are probably in flight that no report includes
/// yet, the more engines are returned, and always `spread_min` if so many are not filled.
fn engines_to_fill<'a>(
    model: &EngineModel,
    engines: &[&'a EngineView],
    request: &EngineRequest,
    spread_min: usize,
) -> Vec<&'a EngineView> {
    let slots = f64::from(model.slots);
    let is_open = |engine: &&&EngineView| f64::from(engine.load.in_flight) < slots * FILL_FRACTION;
    let open: Vec<&EngineView> = engines.iter().filter(is_open).copied().collect();
    if open.is_empty() {
        return engines.to_vec();
    }
    let in_flight = engines.iter().map(|e| e.load.short_in_flight).sum();
    let kept_free = (slots * (1.0 - FILL_FRACTION)).max(1.0);
    let additional = ceil(request.unreported_short_prompts(model, in_flight) / kept_free);
    open.into_iter()
        .take((1 + additional).max(spread_min))
        .collect()
}

/// Decides on a request for which no engine has a slot and memory free. The request waits about as
/// long as a slot takes to become free. It is refused, with a time to retry after, if it has waited
/// for its part of the objective or the time left is too short for its answer.
fn wait_or_refuse(
    model: &EngineModel,
    engines: &[EngineView],
    request: &EngineRequest,
) -> EngineChoice {
    let answer_time = request.answer_time(model);
    let slots = u32::try_from(engines.len())
        .unwrap_or(u32::MAX)
        .saturating_mul(model.slots);
    let next_free_slot = answer_time / slots.max(1);
    let wait_left = request.slot_wait_left.min(request.objective_left);
    if wait_left.is_zero() || request.time_left <= answer_time {
        return EngineChoice::refuse(RefuseReason::QueueFull, answer_time);
    }
    EngineChoice::wait(next_free_slot)
}

/// Up to `count` engines other than `leader` that can help, those that would read a part soonest
/// first. Engines whose answers would pause too long come last.
fn choose_helpers(
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
        let lengthens_pauses = !engine.fits_part(model, part_time);
        let read_after = engine.backlog() + engine.slowdown.scale(part_time);
        (lengthens_pauses, read_after, engine.load.in_flight)
    });
    others
        .into_iter()
        .take(count)
        .map(|engine| engine.id.clone())
        .collect()
}
