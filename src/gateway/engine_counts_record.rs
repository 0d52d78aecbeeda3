//! Counts of the engines that a choice was made from, as recorded in the decision log.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::decide::engines::BestGroup;
use crate::decide::engines::EngineCounts;
use crate::units::whole_millis;

/// The decision log's record of [`EngineCounts`]: engines of a service as one host knew them,
/// counted by what they could do for one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct EngineCountsRecord {
    /// Engines that may get work.
    pub engines: usize,
    /// Engines that are reserved for short prompts.
    pub short_side: usize,
    /// Engines with a free slot for one more answer.
    pub with_place: usize,
    /// Engines that may be a helper for one more prompt.
    #[serde(default)]
    pub can_help: usize,
    /// Engines with memory for one share of the prompt and its answer.
    pub with_memory: usize,
    /// Engines that can read the smallest part without lengthening the pauses of an answer too far.
    pub with_room: usize,
    /// Engines counted in `with_room` that have no backlog.
    pub idle: usize,
    /// The best group that could be formed; none if no group has the slots and the memory.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub best: Option<EngineGroupRecord>,
}

/// The decision log's record of a [`BestGroup`]: a group of engines that could read a prompt
/// together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct EngineGroupRecord {
    /// Number of engines in the group.
    pub engines: usize,
    /// Expected time until the first event, in ms.
    pub forecast_ms: u64,
    /// Engine time of one part, in ms.
    pub part_ms: u64,
    /// Time to read the backlog of the busiest engine of the group, in ms.
    pub backlog_ms: u64,
    /// Number of answers whose pauses would have been stretched too far.
    pub stretched: u32,
    /// Whether the group would have made another prompt late that was already being read.
    pub makes_late: bool,
}

impl From<EngineCounts> for EngineCountsRecord {
    fn from(counts: EngineCounts) -> Self {
        Self {
            engines: counts.engines,
            short_side: counts.short_side,
            with_place: counts.with_place,
            can_help: counts.can_help,
            with_memory: counts.with_memory,
            with_room: counts.with_room,
            idle: counts.idle,
            best: counts.best.map(EngineGroupRecord::from),
        }
    }
}

impl From<BestGroup> for EngineGroupRecord {
    fn from(best: BestGroup) -> Self {
        Self {
            engines: best.engines,
            forecast_ms: whole_millis(best.forecast),
            part_ms: whole_millis(best.part_time),
            backlog_ms: whole_millis(best.backlog),
            stretched: best.stretched,
            makes_late: best.makes_late,
        }
    }
}

impl fmt::Display for EngineCountsRecord {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} engines, {} of them for short prompts, {} with a free slot, {} that may help, {} with memory, {} with room, {} idle",
            self.engines,
            self.short_side,
            self.with_place,
            self.can_help,
            self.with_memory,
            self.with_room,
            self.idle
        )?;
        match &self.best {
            Some(best) => write!(f, "; best group: {best}"),
            None => write!(f, "; no group has the slots and the memory"),
        }
    }
}

impl fmt::Display for EngineGroupRecord {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} engines with parts of {} ms, first event in {} ms, backlog {} ms, {} pauses stretched",
            self.engines, self.part_ms, self.forecast_ms, self.backlog_ms, self.stretched
        )?;
        if self.makes_late {
            write!(f, ", makes another prompt late")?;
        }
        Ok(())
    }
}
