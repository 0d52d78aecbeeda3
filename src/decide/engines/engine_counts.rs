//! Counts of the engines that a choice is made from, for logs.

use std::time::Duration;

use crate::decide::EngineModel;
use crate::decide::engines::EngineRequest;
use crate::decide::engines::EngineView;
use crate::decide::engines::boundary::short_engine_count;
use crate::decide::engines::long::best_group;
use crate::decide::engines::memory_reservation::reservation_share;
use crate::decide::engines::parts::smallest_part_time;

/// Numbers of engines, counted by what each could do for one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineCounts {
    /// All engines.
    pub engines: usize,
    /// Engines for short prompts, before the boundary in the order of the engines.
    pub short_side: usize,
    /// Engines with a free slot, which could write one more answer.
    pub with_place: usize,
    /// Engines that may be named as a helper of one more prompt.
    pub can_help: usize,
    /// Engines with enough memory for one share of the prompt and its answer.
    pub with_memory: usize,
    /// Engines that can read the smallest part without lengthening the pauses of an answer too far.
    pub with_room: usize,
    /// Engines counted in `with_room` that have no read backlog.
    pub idle: usize,
    /// The best group that can be formed now; none if no group has the slots and the memory.
    pub best: Option<BestGroup>,
}

/// Summary of the group of engines that a choice would use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BestGroup {
    /// Number of engines that read a part.
    pub engines: usize,
    /// Expected time until the first event.
    pub forecast: Duration,
    /// Engine time of one part.
    pub part_time: Duration,
    /// The longest read backlog among the engines of the group.
    pub backlog: Duration,
    /// Number of answers whose pauses would become too long.
    pub stretched: u32,
    /// Whether the group would make another prompt late that is already being read.
    pub makes_late: bool,
}

impl EngineCounts {
    /// Counts `engines` by what each could do for `request`.
    pub fn of(model: &EngineModel, engines: &[EngineView], request: &EngineRequest) -> Self {
        let short_engines = short_engine_count(model, engines);
        let part_time = smallest_part_time(model, request);
        let share = reservation_share(request);
        let fits_part = |engine: &EngineView| engine.fits_part(model, part_time);
        let is_idle = |engine: &EngineView| fits_part(engine) && engine.backlog().is_zero();
        let count = |is_counted: &dyn Fn(&EngineView) -> bool| {
            engines.iter().filter(|engine| is_counted(engine)).count()
        };
        let best = best_group(model, engines, short_engines, request);
        Self {
            engines: engines.len(),
            short_side: short_engines,
            with_place: count(&|engine| engine.has_free_slot(model)),
            can_help: count(&|engine| engine.can_help(model)),
            with_memory: count(&|engine| engine.free_tokens(model) >= share),
            with_room: count(&fits_part),
            idle: count(&is_idle),
            best: best.map(|group| group.summary()),
        }
    }
}
