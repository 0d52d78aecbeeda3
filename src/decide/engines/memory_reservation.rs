//! Planning of the memory reservations for a long prompt.

use std::time::Duration;

use crate::decide::EngineModel;
use crate::decide::engines::EngineRequest;
use crate::decide::engines::EngineView;
use crate::decide::engines::PromptClass;
use crate::decide::engines::parts::GROUP_SIZE_MAX;
use crate::decide::engines::parts::accepts_part;
use crate::units::Tokens;
use crate::units::UpstreamId;

/// Engines that share the memory of a long prompt where all of them have enough.
///
/// If the leader alone held the prompt, the few leaders would run out of memory with two prompts
/// each. Every further engine is one more whose failure ends the answer, and costs three more
/// requests to engines.
const RESERVING_ENGINES: u64 = 3;

/// Memory that one engine reserves for a prompt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemoryReservation {
    /// The leader or one of the helpers.
    pub engine: UpstreamId,
    /// The amount of memory, in tokens.
    pub tokens: Tokens,
}

/// Plans the reservations for a long prompt: a share at the leader and the rest at helpers. Prompts
/// of other classes get an empty list. `None` if the engines do not have enough memory together.
///
/// If shares of equal size do not suffice, each engine reserves as much as it has free.
///
/// Engines grant reservations themselves. Otherwise two hosts that choose the same engine at the
/// same moment could send it more than it can hold, and the later prompt would wait inside the
/// engine for seconds although its other parts have been read elsewhere. Medium prompts are small
/// compared with an engine's memory and need no reservation.
pub(super) fn plan_reservations(
    model: &EngineModel,
    leader: &EngineView,
    others: &[&EngineView],
    part_time: Duration,
    request: &EngineRequest,
) -> Option<Vec<MemoryReservation>> {
    if request.class(model) != PromptClass::Long {
        return Some(Vec::new());
    }
    let mut by_preference: Vec<&EngineView> = others.to_vec();
    by_preference.sort_by_key(|engine| {
        let accepts_part = accepts_part(model, engine, part_time, request);
        (!accepts_part, engine.load.held_tokens)
    });
    split_memory(
        model,
        leader,
        &by_preference,
        request.memory_needed(),
        reservation_share(request),
    )
    .or_else(|| {
        split_memory(
            model,
            leader,
            &by_preference,
            request.memory_needed(),
            request.memory_needed(),
        )
    })
}

/// The memory that each of [`RESERVING_ENGINES`] reserves for a long prompt and its answer.
pub(super) fn reservation_share(request: &EngineRequest) -> Tokens {
    Tokens(request.memory_needed().0.div_ceil(RESERVING_ENGINES))
}

/// Splits `needed` into reservations of at most `max_per_engine`, the leader's first. `None` if the
/// engines do not have that much memory together.
fn split_memory(
    model: &EngineModel,
    leader: &EngineView,
    others: &[&EngineView],
    needed: Tokens,
    max_per_engine: Tokens,
) -> Option<Vec<MemoryReservation>> {
    let mut missing = needed;
    let mut reservations = Vec::new();
    let engines = [leader].into_iter().chain(others.iter().copied());
    for engine in engines.take(GROUP_SIZE_MAX) {
        let free = engine.free_tokens(model);
        let tokens = missing.min(free).min(max_per_engine);
        if tokens == Tokens::ZERO {
            break;
        }
        missing = missing.saturating_sub(tokens);
        reservations.push(MemoryReservation {
            engine: engine.id.clone(),
            tokens,
        });
    }
    (missing == Tokens::ZERO).then_some(reservations)
}
