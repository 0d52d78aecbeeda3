//! Engines that would read a prompt together.

use std::time::Duration;

use crate::decide::EngineModel;
use crate::decide::engines::BestGroup;
use crate::decide::engines::EngineRequest;
use crate::decide::engines::EngineView;
use crate::decide::engines::MemoryReservation;
use crate::decide::engines::leader::leader;
use crate::decide::engines::memory_reservation::reserves;
use crate::decide::engines::parts::is_free;
use crate::decide::engines::parts::needs_idle_engines;
use crate::decide::engines::parts::parts_wanted;

/// What making a prompt late that is being read there counts as in the order of helpers, in reading
/// that waits there: as much as a middling part.
const LATENESS_COST: Duration = Duration::from_millis(200);
/// Backlogs that differ by less than this count as equal.
const EQUAL_WITHIN: Duration = Duration::from_millis(20);
/// What stretching the pauses of one answer counts as in the choice of engines, in time to the first
/// event of the prompt. Only compares groups: none that stretches a pause is sent to, but a prompt
/// waits for a quick group with few answers in its way sooner than it takes a slow one.
const STRETCH_COST: Duration = Duration::from_millis(50);

/// Engines that would read a prompt together.
pub(super) struct Group<'a> {
    pub(super) leader: &'a EngineView,
    /// The helpers, without the leader.
    pub(super) helpers: Vec<&'a EngineView>,
    pub(super) reserves: Vec<MemoryReservation>,
    pub(super) part_time: Duration,
    pub(super) forecast: Duration,
    /// What waits at the busiest of them.
    pub(super) backlog: Duration,
    /// Answers whose pauses are stretched too far by it.
    pub(super) stretched: u32,
    /// Whether prompts that are being read come late by it.
    pub(super) makes_late: bool,
}

impl Group<'_> {
    /// Whether it stretches no pause and has at most this much left to read.
    pub(super) fn is_idle(&self, backlog_max: Duration) -> bool {
        self.stretched == 0 && self.backlog <= backlog_max
    }

    /// What it is compared by: the time to its first event, and what it does to others.
    pub(super) fn cost(&self) -> Duration {
        self.forecast + STRETCH_COST * self.stretched
    }

    /// Its figures.
    pub(super) fn summary(&self) -> BestGroup {
        BestGroup {
            engines: self.helpers.len() + 1,
            forecast: self.forecast,
            part_time: self.part_time,
            backlog: self.backlog,
            stretched: self.stretched,
            makes_late: self.makes_late,
        }
    }
}

/// The best group of one engine up to as many as help, with a leader of `leaders`; none if none has a
/// place and memory.
///
/// The more engines share a prompt, the sooner it is read, and the more answers may have their pauses
/// stretched: a part of an archive on an engine with a dozen clauses makes all of these late for the
/// sake of one.
pub(super) fn group<'a>(
    model: &EngineModel,
    leaders: &'a [EngineView],
    readers: &'a [EngineView],
    ask: &EngineRequest,
) -> Option<Group<'a>> {
    let read_time = model.read_time(ask.prompt);
    let most = parts_wanted(read_time, readers.len() + 1);
    (1..=most)
        .filter_map(|parts| group_of(model, leaders, readers, ask, parts))
        .min_by_key(Group::cost)
}

/// A group of this many engines: the gentlest ones, then those with the least left to read.
fn group_of<'a>(
    model: &EngineModel,
    leaders: &'a [EngineView],
    readers: &'a [EngineView],
    ask: &EngineRequest,
    parts: usize,
) -> Option<Group<'a>> {
    let part_time = model.read_time(ask.prompt) / u32::try_from(parts).unwrap_or(1);
    let leader = leader(model, leaders, part_time, ask)?;
    let mut others: Vec<(usize, &EngineView)> = readers.iter().enumerate().collect();
    let needs_idle = needs_idle_engines(model, ask);
    others.sort_by_cached_key(|(index, engine)| {
        // A prompt that needs idle engines is sent to them alone, so the others come last.
        let is_last = needs_idle && !is_free(model, engine, part_time, ask);
        let makes_late = u32::from(engine.makes_late(model, part_time));
        let cost = engine.backlog()
            + STRETCH_COST * stretched(model, engine, part_time)
            + LATENESS_COST * makes_late;
        (
            is_last,
            cost.as_millis() / EQUAL_WITHIN.as_millis(),
            ask.shuffle(*index),
        )
    });
    let others = others.into_iter().map(|(_, engine)| engine);
    let mut others: Vec<&EngineView> = others
        .filter(|engine| engine.id != leader.id && engine.can_help(model))
        .collect();
    let reserves = reserves(model, leader, &others, part_time, ask)?;
    if reserves.len() > parts || others.len() + 1 < parts {
        return None;
    }
    let is_reserved = |engine: &EngineView| reserves.iter().any(|r| r.engine == engine.id);
    // Stable: beside those that keep memory, the order from before.
    others.sort_by_key(|engine| !is_reserved(engine));
    others.truncate(parts - 1);
    let all = || others.iter().copied().chain([leader]);
    let helped = others.iter().map(|engine| engine.helped(model, part_time));
    let forecasts = helped.chain([leader.first_event(model, part_time)]);
    let backlogs = all().map(EngineView::backlog);
    Some(Group {
        leader,
        part_time,
        forecast: forecasts.max().unwrap_or_default(),
        backlog: backlogs.max().unwrap_or_default(),
        stretched: all()
            .map(|engine| stretched(model, engine, part_time))
            .sum(),
        makes_late: others
            .iter()
            .any(|engine| engine.makes_late(model, part_time)),
        helpers: others,
        reserves,
    })
}

/// Answers on an engine whose pauses a part would stretch too far.
fn stretched(model: &EngineModel, engine: &EngineView, part_time: Duration) -> u32 {
    if engine.has_room(model, part_time) {
        0
    } else {
        engine.load.in_flight
    }
}
