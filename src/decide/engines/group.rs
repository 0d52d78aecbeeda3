//! Groups of engines that read a prompt together.

use std::time::Duration;

use crate::decide::EngineModel;
use crate::decide::engines::BestGroup;
use crate::decide::engines::EngineRequest;
use crate::decide::engines::EngineView;
use crate::decide::engines::MemoryReservation;
use crate::decide::engines::leader::choose_leader;
use crate::decide::engines::memory_reservation::plan_reservations;
use crate::decide::engines::parts::accepts_part;
use crate::decide::engines::parts::needs_idle_engines;
use crate::decide::engines::parts::parts_wanted;

/// Cost of making a prompt late that a helper is already reading, expressed as read backlog. The
/// value is the time of a part of medium length.
const LATENESS_COST: Duration = Duration::from_millis(200);
/// Resolution of the cost by which helpers are ordered. Costs that are equal after rounding down to
/// multiples of it count as equal.
const HELPER_COST_RESOLUTION: Duration = Duration::from_millis(20);
/// Cost of making the pauses of one answer too long, expressed as time to the first event.
///
/// The cost only serves to compare groups, since no prompt is sent to a group that makes a pause
/// too long. A prompt should wait for a fast group with few answers rather than use a slow group.
const LONG_PAUSE_COST: Duration = Duration::from_millis(50);

/// A group of engines that could read a prompt together.
pub(super) struct Group<'a> {
    pub(super) leader: &'a EngineView,
    /// The engines that read a part, without the leader, which reads one as well.
    pub(super) helpers: Vec<&'a EngineView>,
    pub(super) reservations: Vec<MemoryReservation>,
    /// Engine time of one part.
    pub(super) part_time: Duration,
    /// Expected time until the first event.
    pub(super) forecast: Duration,
    /// The longest read backlog among the engines of the group.
    pub(super) backlog: Duration,
    /// Number of answers whose pauses would become too long.
    pub(super) stretched: u32,
    /// Whether the group would make another prompt late that a helper is already reading.
    pub(super) makes_late: bool,
}

impl Group<'_> {
    /// Whether no pause would become too long and every engine has a backlog of at most
    /// `backlog_max`.
    pub(super) fn is_idle(&self, backlog_max: Duration) -> bool {
        self.stretched == 0 && self.backlog <= backlog_max
    }

    /// The cost by which groups are compared: the time to the first event and the effect on other
    /// answers.
    pub(super) fn cost(&self) -> Duration {
        self.forecast + LONG_PAUSE_COST * self.stretched
    }

    /// The summary of the group, for logs.
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

/// The group with the lowest cost, of any permitted size, with a leader out of `leaders` and
/// helpers out of `readers`; none if no group has the slots and the memory.
///
/// The more engines share a prompt, the sooner it is read, and the more answers may get pauses that
/// are too long: a part of one long prompt can make a dozen short answers on an engine late.
pub(super) fn cheapest_group<'a>(
    model: &EngineModel,
    leaders: &'a [EngineView],
    readers: &'a [EngineView],
    request: &EngineRequest,
) -> Option<Group<'a>> {
    let prefill_time = model.prefill_time(request.prompt);
    let parts_max = parts_wanted(prefill_time, readers.len() + 1);
    (1..=parts_max)
        .filter_map(|parts| best_group_of_size(model, leaders, readers, request, parts))
        .min_by_key(Group::cost)
}

/// The best group of `parts` engines; `None` if too few engines qualify. The helpers are those with
/// the least backlog, where each answer whose pauses would become too long and each prompt that
/// would be late adds to the backlog. Helpers that reserve memory take precedence.
fn best_group_of_size<'a>(
    model: &EngineModel,
    leaders: &'a [EngineView],
    readers: &'a [EngineView],
    request: &EngineRequest,
    parts: usize,
) -> Option<Group<'a>> {
    let part_time = model.prefill_time(request.prompt) / u32::try_from(parts).unwrap_or(1);
    let leader = choose_leader(model, leaders, part_time, request)?;
    let mut others: Vec<(usize, &EngineView)> = readers.iter().enumerate().collect();
    let needs_idle = needs_idle_engines(model, request);
    others.sort_by_cached_key(|(index, engine)| {
        // A prompt that needs idle engines is sent only to those, so the other engines come last.
        let is_last = needs_idle && !accepts_part(model, engine, part_time, request);
        let makes_late = u32::from(engine.makes_late(model, part_time));
        let cost = engine.backlog()
            + LONG_PAUSE_COST * answers_with_long_pauses(model, engine, part_time)
            + LATENESS_COST * makes_late;
        (
            is_last,
            cost.as_millis() / HELPER_COST_RESOLUTION.as_millis(),
            request.shuffle_key(*index),
        )
    });
    let others = others.into_iter().map(|(_, engine)| engine);
    let mut others: Vec<&EngineView> = others
        .filter(|engine| engine.id != leader.id && engine.can_help(model))
        .collect();
    let reservations = plan_reservations(model, leader, &others, part_time, request)?;
    if reservations.len() > parts || others.len() + 1 < parts {
        return None;
    }
    let is_reserved = |engine: &EngineView| reservations.iter().any(|r| r.engine == engine.id);
    // Engines that reserve memory come first. The sort is stable, so the order is kept otherwise.
    others.sort_by_key(|engine| !is_reserved(engine));
    others.truncate(parts - 1);
    let members = || others.iter().copied().chain([leader]);
    let helper_forecasts = others
        .iter()
        .map(|engine| engine.time_to_read_as_helper(model, part_time));
    let forecasts = helper_forecasts.chain([leader.time_to_first_event(model, part_time)]);
    let backlogs = members().map(EngineView::backlog);
    Some(Group {
        leader,
        part_time,
        forecast: forecasts.max().unwrap_or_default(),
        backlog: backlogs.max().unwrap_or_default(),
        stretched: members()
            .map(|engine| answers_with_long_pauses(model, engine, part_time))
            .sum(),
        makes_late: others
            .iter()
            .any(|engine| engine.makes_late(model, part_time)),
        helpers: others,
        reservations,
    })
}

/// The number of answers on an engine whose pauses would become too long with a part.
fn answers_with_long_pauses(model: &EngineModel, engine: &EngineView, part_time: Duration) -> u32 {
    if engine.fits_part(model, part_time) {
        0
    } else {
        engine.load.in_flight
    }
}
