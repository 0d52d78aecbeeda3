//! Which engines read a prompt and which one writes its answer.
//!
//! Load it answers: prompts from a thousand to a million tokens on the same engines. A long prompt
//! that one engine reads stops every answer there for seconds and comes late itself. So short
//! prompts are packed on as few engines as carry them ([`border`]), the others read long prompts
//! together in equal parts, and no part is put where it would stretch the pauses of an answer that
//! is being written beyond what its caller accepts ([`EngineView::room`]).

pub mod boundary;
mod engine_counts;
mod engine_request;
mod group;
mod leader;
mod locality;
mod long;
mod memory_reservation;
mod parts;
mod plan;
mod short;
mod view;

pub use engine_counts::BestGroup;
pub use engine_counts::EngineCounts;
pub use engine_request::EngineRequest;
pub use engine_request::PromptClass;
pub use memory_reservation::MemoryReservation;
pub use plan::EngineChoice;
pub use plan::EnginePlan;
pub use view::EngineView;

use crate::decide::EngineModel;
use crate::decide::RefuseReason;

/// Chooses engines. `engines` holds those that may get work, in an order that is the same on every
/// host, since the border between short and long prompts is a place in it.
pub fn choose_engines(
    model: &EngineModel,
    engines: &[EngineView],
    ask: &EngineRequest,
) -> EngineChoice {
    if engines.is_empty() {
        return EngineChoice::refuse_soon(RefuseReason::NoUpstream);
    }
    locality::choose(model, engines, ask)
}

/// What a choice would be made from now: the engines of the host's own failure domain, and all of them.
pub fn count_engines(
    model: &EngineModel,
    engines: &[EngineView],
    ask: &EngineRequest,
) -> (EngineCounts, EngineCounts) {
    locality::survey(model, engines, ask)
}

fn choose_among(model: &EngineModel, engines: &[EngineView], ask: &EngineRequest) -> EngineChoice {
    let border = boundary::short_engine_count(model, engines);
    match ask.class(model) {
        PromptClass::Short => short::choose(model, engines, border, ask),
        PromptClass::Medium | PromptClass::Long => long::choose(model, engines, border, ask),
    }
}
