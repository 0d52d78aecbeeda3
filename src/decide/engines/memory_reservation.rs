//! Memory that engines set aside for a long prompt.

use std::time::Duration;

use crate::decide::EngineModel;
use crate::decide::engines::EngineRequest;
use crate::decide::engines::EngineView;
use crate::decide::engines::PromptClass;
use crate::decide::engines::parts::HELPERS_MAX;
use crate::decide::engines::parts::is_free;
use crate::units::Tokens;
use crate::units::UpstreamId;

/// Engines that keep a long prompt. If its leader kept all of it, the few leaders would be out of
/// memory with two prompts each; every further engine is one more whose end ends the answer, and
/// three orders.
const KEEPERS: u64 = 3;

/// Memory that an engine sets aside for a prompt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemoryReservation {
    /// The engine: the leader or one of the helpers.
    pub engine: UpstreamId,
    /// How much.
    pub tokens: Tokens,
}

/// The memory that is set aside for a long prompt: the leader's, and of helpers what the leader has
/// is to have no room for; none if there is not enough.
///
/// The engine itself is the judge of its memory: two hosts that choose it in the same moment would
/// otherwise send it more than it holds, and the later prompt would wait inside for seconds with its
/// parts read everywhere else. Medium prompts are small against the memory and need none of this.
pub(super) fn reserves(
    model: &EngineModel,
    leader: &EngineView,
    others: &[&EngineView],
    part_time: Duration,
    ask: &EngineRequest,
) -> Option<Vec<MemoryReservation>> {
    if ask.class(model) != PromptClass::Long {
        return Some(Vec::new());
    }
    let mut by_room: Vec<&EngineView> = others.to_vec();
    by_room.sort_by_key(|engine| {
        let is_free = is_free(model, engine, part_time, ask);
        (!is_free, engine.load.held_tokens)
    });
    keep(model, leader, &by_room, ask.needed(), share_kept(ask))
        .or_else(|| keep(model, leader, &by_room, ask.needed(), ask.needed()))
}

/// What each keeper sets aside of a long prompt and its answer where all have the memory.
pub(super) fn share_kept(ask: &EngineRequest) -> Tokens {
    Tokens(ask.needed().0.div_ceil(KEEPERS))
}

/// Sets aside at most `each` on every engine, the leader first.
fn keep(
    model: &EngineModel,
    leader: &EngineView,
    others: &[&EngineView],
    needed: Tokens,
    each: Tokens,
) -> Option<Vec<MemoryReservation>> {
    let mut missing = needed;
    let mut reserves = Vec::new();
    let engines = [leader].into_iter().chain(others.iter().copied());
    for engine in engines.take(HELPERS_MAX) {
        let free = engine.free_tokens(model);
        let tokens = missing.min(free).min(each);
        if tokens == Tokens::ZERO {
            break;
        }
        missing = missing.saturating_sub(tokens);
        reserves.push(MemoryReservation {
            engine: engine.id.clone(),
            tokens,
        });
    }
    (missing == Tokens::ZERO).then_some(reserves)
}
