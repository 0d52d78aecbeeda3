//! Selection of the engines that read a prompt (prefill) and of the one that writes the answer
//! (decode).
//!
//! Engines serve prompts of a thousand to a million tokens side by side. If one engine reads a long
//! prompt alone, all answers on that engine stop for seconds, and the long prompt itself is late.
//! Therefore short prompts are packed onto as few engines as can serve them ([`boundary`]), and the
//! other engines read long prompts together in equal parts. An engine gets no part that would
//! lengthen the pauses in an answer beyond what the caller accepts
//! ([`EngineView::prefill_headroom`]).

pub mod boundary;
mod engine_counts;
mod engine_request;
mod group;
mod leader;
mod locality;
mod long;
mod memory_reservation;
mod occupancy;
mod parts;
mod plan;
mod short;
mod view;

pub use engine_counts::BestGroup;
pub use engine_counts::EngineCounts;
pub use engine_request::EngineRequest;
pub use engine_request::PromptClass;
pub use memory_reservation::MemoryReservation;
pub use occupancy::capacity_taken;
pub use occupancy::slots_taken;
pub use plan::EngineChoice;
pub use plan::EnginePlan;
pub use view::EngineView;

use crate::decide::EngineModel;
use crate::decide::RefuseReason;

/// Chooses the engines for a request, or decides that the request waits or is refused. Changes no
/// state: the caller reserves, sends and records.
///
/// `engines` holds the engines that may get work. The order must be the same on every host, because
/// the boundary between engines for short and for long prompts is an index into it.
pub fn choose_engines(
    model: &EngineModel,
    engines: &[EngineView],
    request: &EngineRequest,
) -> EngineChoice {
    if engines.is_empty() {
        return EngineChoice::refuse_soon(RefuseReason::NoUpstream);
    }
    locality::choose(model, engines, request)
}

/// Counts, for logs, the engines that a choice would be made from now. The first result counts
/// those in the host's own failure domain, the second all.
pub fn count_engines(
    model: &EngineModel,
    engines: &[EngineView],
    request: &EngineRequest,
) -> (EngineCounts, EngineCounts) {
    locality::count_engines(model, engines, request)
}

/// Chooses among exactly these engines, without regard to failure domains.
fn choose_from(
    model: &EngineModel,
    engines: &[EngineView],
    request: &EngineRequest,
) -> EngineChoice {
    let boundary = boundary::short_engine_count(model, engines);
    match request.class(model) {
        PromptClass::Short => short::choose(model, engines, boundary, request),
        PromptClass::Medium | PromptClass::Long => long::choose(model, engines, boundary, request),
    }
}
