//! How much of the engines of a service is taken.

use crate::decide::EngineModel;
use crate::decide::LimitState;
use crate::decide::engines::EngineRequest;
use crate::decide::engines::EngineView;
use crate::decide::engines::PromptClass;
use crate::decide::engines::parts::accepts_part;
use crate::decide::engines::parts::smallest_part_time;

/// The fraction of the engines' slots that is taken; 1 without engines, and more than 1 if requests
/// wait inside engines.
pub fn slots_taken(model: &EngineModel, engines: &[EngineView]) -> f64 {
    if engines.is_empty() {
        return 1.0;
    }
    let taken = |engine: &EngineView| match engine.limit {
        LimitState::Exhausted => engine.load.in_flight.max(model.slots),
        LimitState::Unlimited | LimitState::Open => engine.load.in_flight,
    };
    let in_flight: u32 = engines.iter().map(taken).sum();
    f64::from(in_flight) / (engines.len() as f64 * slots(model))
}

/// The fraction of the engines' capacity that could not serve a prompt like this one in time; 1
/// without engines. An engine counts by its free slots, or wholly if the prompt needs no slot there
/// because several engines read it.
pub fn capacity_taken(model: &EngineModel, engines: &[EngineView], request: &EngineRequest) -> f64 {
    if engines.is_empty() {
        return 1.0;
    }
    let free = engines
        .iter()
        .map(|engine| capacity_free(model, engine, request));
    1.0 - free.sum::<f64>() / engines.len() as f64
}

/// The fraction of an engine that could serve a prompt like this one in time.
fn capacity_free(model: &EngineModel, engine: &EngineView, request: &EngineRequest) -> f64 {
    let class = request.class(model);
    let part_time = match class {
        PromptClass::Short => model.prefill_time(request.prompt),
        PromptClass::Medium | PromptClass::Long => smallest_part_time(model, request),
    };
    let is_in_time = engine.time_to_first_event(model, part_time) <= request.objective_left;
    if engine.limit == LimitState::Exhausted {
        return 0.0;
    }
    if !is_in_time || !accepts_part(model, engine, part_time, request) {
        return 0.0;
    }
    match class {
        PromptClass::Long => 1.0,
        PromptClass::Short | PromptClass::Medium => {
            let free = model.slots.saturating_sub(engine.load.in_flight);
            f64::from(free) / slots(model)
        }
    }
}

fn slots(model: &EngineModel) -> f64 {
    f64::from(model.slots.max(1))
}
