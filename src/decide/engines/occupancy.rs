//! How much of the engines of a service is taken.

use crate::decide::EngineModel;
use crate::decide::engines::EngineRequest;
use crate::decide::engines::EngineView;
use crate::decide::engines::PromptClass;
use crate::decide::engines::parts::accepts_part;
use crate::decide::engines::parts::smallest_part_time;

/// The fraction of the engines' capacity for prompts like this one that is taken; 1 without
/// engines. For short prompts it is the fraction of the slots, and more than 1 if prompts wait
/// inside engines. For other prompts it is the fraction of the engines that can't take the smallest
/// part now.
pub fn occupancy(model: &EngineModel, engines: &[EngineView], request: &EngineRequest) -> f64 {
    if engines.is_empty() {
        return 1.0;
    }
    match request.class(model) {
        PromptClass::Short => slots_taken(model, engines),
        PromptClass::Medium | PromptClass::Long => engines_taken(model, engines, request),
    }
}

fn slots_taken(model: &EngineModel, engines: &[EngineView]) -> f64 {
    let in_flight: u32 = engines.iter().map(|engine| engine.load.in_flight).sum();
    let slots = engines.len() as f64 * f64::from(model.slots.max(1));
    f64::from(in_flight) / slots
}

fn engines_taken(model: &EngineModel, engines: &[EngineView], request: &EngineRequest) -> f64 {
    let part_time = smallest_part_time(model, request);
    let is_taken = |engine: &&EngineView| !accepts_part(model, engine, part_time, request);
    let taken = engines.iter().filter(is_taken).count();
    taken as f64 / engines.len() as f64
}
