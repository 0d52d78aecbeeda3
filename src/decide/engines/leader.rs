//! Choice of the leader: the engine that writes the answer to a prompt that several engines read.

use std::time::Duration;

use crate::decide::EngineModel;
use crate::decide::engines::EngineRequest;
use crate::decide::engines::EngineView;
use crate::decide::engines::PromptClass;
use crate::decide::engines::memory_reservation::reservation_share;
use crate::decide::engines::parts::accepts_part;

/// Chooses the leader among the `engines` with a free slot; `None` if no engine qualifies.
///
/// For a long prompt the leader is the first engine that has the memory for its share and accepts
/// its part, so that the answers to long prompts are concentrated on few engines. A choice that
/// spans domains picks one of these engines at random. If no engine has the memory, the leader is
/// the engine with the least memory in use. For a medium prompt the leader is the engine with the
/// shortest backlog out of those with enough memory, preferably one whose pauses do not become too
/// long.
pub(super) fn choose_leader<'a>(
    model: &EngineModel,
    engines: &'a [EngineView],
    part_time: Duration,
    request: &EngineRequest,
) -> Option<&'a EngineView> {
    let with_slot = || engines.iter().filter(|engine| engine.has_free_slot(model));
    let fits = |engine: &&EngineView| engine.fits_part(model, part_time);
    if request.class(model) == PromptClass::Long {
        let share = reservation_share(request);
        let with_memory = || with_slot().filter(|engine| engine.free_tokens(model) >= share);
        let accepts_part = |engine: &&EngineView| accepts_part(model, engine, part_time, request);
        let first = if request.spans_domains {
            pick_random(with_memory().filter(accepts_part), request)
        } else {
            with_memory().find(accepts_part)
        };
        return first
            .or_else(|| with_memory().find(fits))
            .or_else(|| with_memory().min_by_key(|engine| engine.backlog()))
            .or_else(|| with_slot().min_by_key(|engine| engine.load.held_tokens));
    }
    let with_memory =
        || with_slot().filter(|engine| engine.free_tokens(model) >= request.memory_needed());
    with_memory()
        .filter(fits)
        .min_by_key(|engine| (engine.backlog(), engine.load.in_flight))
        .or_else(|| with_memory().min_by_key(|engine| engine.backlog()))
}

/// One of `engines` at random. If hosts that learn of each other's work late all took the first
/// engine, they would reserve the same memory, and all but one would be refused.
fn pick_random<'a>(
    engines: impl Iterator<Item = &'a EngineView>,
    request: &EngineRequest,
) -> Option<&'a EngineView> {
    let shuffled = engines.enumerate();
    let shuffled = shuffled.min_by_key(|(index, _)| request.shuffle_key(*index));
    shuffled.map(|(_, engine)| engine)
}
