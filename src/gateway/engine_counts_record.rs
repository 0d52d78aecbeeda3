//! The input of a choice of engines, as recorded in the decision log.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::decide::engines::BestGroup;
use crate::decide::engines::EngineCounts;
use crate::units::whole_millis;

/// Engines of a service as one host knew them, counted by what they could do for one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct EngineCountsRecord {
    /// Engines that may get work.
    pub engines: usize,
    /// Engines that are reserved for short prompts.
    pub short_side: usize,
    /// Engines with a free slot for one more answer.
    pub with_place: usize,
    /// Engines that may be a helper of one more prompt.
    #[serde(default)]
    pub can_help: usize,
    /// Engines with memory for one share of the prompt.
    pub with_memory: usize,
    /// Engines that can read a smallest part without stretching a pause too far.
    pub with_room: usize,
    /// Engines with room that have nothing left to read.
    pub idle: usize,
    /// The best group that could be formed; none if none could.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub best: Option<EngineGroupRecord>,
}

/// A group of engines that could read a prompt together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct EngineGroupRecord {
    /// Number of engines of the group.
    pub engines: usize,
    /// Expected time until the first event, in ms.
    pub forecast_ms: u64,
    /// Engine time of one part, in ms.
    pub part_ms: u64,
    /// Time to read the backlog of the busiest engine of the group, in ms.
    pub backlog_ms: u64,
    /// Number of answers whose pauses would have been stretched too far.
    pub stretched: u32,
    /// Whether the group would have made another prompt late.
    pub makes_late: bool,
}

impl From<EngineCounts> for EngineCountsRecord {
    fn from(survey: EngineCounts) -> Self {
        Self {
            engines: survey.engines,
            short_side: survey.short_side,
            with_place: survey.with_place,
            can_help: survey.can_help,
            with_memory: survey.with_memory,
            with_room: survey.with_room,
            idle: survey.idle,
            best: survey.best.map(EngineGroupRecord::from),
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
