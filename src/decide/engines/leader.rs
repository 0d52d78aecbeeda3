//! The engine that writes the answer to a prompt that several read.

use std::time::Duration;

use crate::decide::EngineModel;
use crate::decide::engines::EngineRequest;
use crate::decide::engines::EngineView;
use crate::decide::engines::PromptClass;
use crate::decide::engines::memory_reservation::share_kept;
use crate::decide::engines::parts::is_free;

/// The engine that writes the answer: of those with a place and the memory for its share, the first
/// that can read its part without stretching pauses; so answers to long prompts gather on few
/// engines. Where none has the memory, the one with the most.
pub(super) fn leader<'a>(
    model: &EngineModel,
    engines: &'a [EngineView],
    part_time: Duration,
    ask: &EngineRequest,
) -> Option<&'a EngineView> {
    let placed = || engines.iter().filter(|engine| engine.has_place(model));
    let is_gentle = |engine: &&EngineView| engine.has_room(model, part_time);
    if ask.class(model) == PromptClass::Long {
        let share = share_kept(ask);
        let fitting = || placed().filter(|engine| engine.free_tokens(model) >= share);
        let is_free = |engine: &&EngineView| is_free(model, engine, part_time, ask);
        let first = if ask.spans_domains {
            drawn(fitting().filter(is_free), ask)
        } else {
            fitting().find(is_free)
        };
        return first
            .or_else(|| fitting().find(is_gentle))
            .or_else(|| fitting().min_by_key(|engine| engine.backlog()))
            .or_else(|| placed().min_by_key(|engine| engine.load.held_tokens));
    }
    let fitting = || placed().filter(|engine| engine.free_tokens(model) >= ask.needed());
    fitting()
        .filter(is_gentle)
        .min_by_key(|engine| (engine.backlog(), engine.load.in_flight))
        .or_else(|| fitting().min_by_key(|engine| engine.backlog()))
}

/// One of several engines. Hosts that hear of each other late and all take the first one reserve its
/// memory over and over, and all but one are refused.
fn drawn<'a>(
    engines: impl Iterator<Item = &'a EngineView>,
    ask: &EngineRequest,
) -> Option<&'a EngineView> {
    let drawn = engines.enumerate();
    let drawn = drawn.min_by_key(|(index, _)| ask.shuffle(*index));
    drawn.map(|(_, engine)| engine)
}
