//! What a choice of engines is made from, as counts for logs.

use std::time::Duration;

use crate::decide::EngineModel;
use crate::decide::engines::EngineRequest;
use crate::decide::engines::EngineView;
use crate::decide::engines::boundary::short_engine_count;
use crate::decide::engines::long::best_group;
use crate::decide::engines::memory_reservation::share_kept;
use crate::decide::engines::parts::smallest_part;

/// The engines that a choice is made among, counted by what each could do for one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineCounts {
    /// All of them.
    pub engines: usize,
    /// Those before the border between short and long prompts.
    pub short_side: usize,
    /// Those with a place for one more answer.
    pub with_place: usize,
    /// Those that may be named as a helper of one more prompt.
    pub can_help: usize,
    /// Those with memory for one share of the prompt and its answer.
    pub with_memory: usize,
    /// Those that can read a smallest part without stretching the pauses of an answer too far.
    pub with_room: usize,
    /// Those with room that have nothing left to read.
    pub idle: usize,
    /// The best group that can be formed now; none if no group has the places and the memory.
    pub best: Option<BestGroup>,
}

/// The group of engines that a choice would take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BestGroup {
    /// How many engines read a part.
    pub engines: usize,
    /// When the first event is expected, from now.
    pub forecast: Duration,
    /// Engine time of one part.
    pub part_time: Duration,
    /// What is left to read at the busiest of them.
    pub backlog: Duration,
    /// Answers whose pauses would be stretched too far.
    pub stretched: u32,
    /// Whether another prompt that is being read would come late by it.
    pub makes_late: bool,
}

impl EngineCounts {
    /// Counts the engines.
    pub fn of(model: &EngineModel, engines: &[EngineView], ask: &EngineRequest) -> Self {
        let border = short_engine_count(model, engines);
        let part_time = smallest_part(model, ask);
        let share = share_kept(ask);
        let has_room = |engine: &EngineView| engine.has_room(model, part_time);
        let is_idle = |engine: &EngineView| has_room(engine) && engine.backlog().is_zero();
        let count = |is_counted: &dyn Fn(&EngineView) -> bool| {
            engines.iter().filter(|engine| is_counted(engine)).count()
        };
        let best = best_group(model, engines, border, ask);
        Self {
            engines: engines.len(),
            short_side: border,
            with_place: count(&|engine| engine.has_place(model)),
            can_help: count(&|engine| engine.can_help(model)),
            with_memory: count(&|engine| engine.free_tokens(model) >= share),
            with_room: count(&has_room),
            idle: count(&is_idle),
            best: best.map(|group| group.summary()),
        }
    }
}
