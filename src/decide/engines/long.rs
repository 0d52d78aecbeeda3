//! Engines for a prompt that several read together.
//!
//! Of the engines for long prompts the last few write the answers and the others only help. An
//! engine that only helps has no answer whose pauses it could stretch. And an engine reads the parts
//! that it helps with before its own prompts: one that both led and helped would put its own prompt
//! off for as long as others come, while all parts of that prompt elsewhere have long been read.

use std::time::Duration;

use crate::decide::EngineModel;
use crate::decide::RefuseReason;
use crate::decide::engines::EngineChoice;
use crate::decide::engines::EnginePlan;
use crate::decide::engines::EngineRequest;
use crate::decide::engines::EngineView;
use crate::decide::engines::PromptClass;
use crate::decide::engines::boundary::ceil;
use crate::decide::engines::group::Group;
use crate::decide::engines::group::group;
use crate::decide::engines::parts::BACKLOG_MAX;
use crate::decide::engines::parts::HELPERS_MAX;
use crate::decide::engines::parts::IN_TIME_PART;
use crate::decide::engines::parts::LATE_BACKLOG_MAX;
use crate::decide::engines::parts::needs_idle_engines;
use crate::units::Tokens;

/// Engines that write the answers to long prompts, as a part of those for long prompts. They read
/// one part of each prompt, as every helper does, and their own only.
const LEADER_PART: f64 = 0.12;
/// The part of the time in which a prompt may wait that has to be left beyond its forecast for it to
/// wait on. Forecasts fall short by up to a tenth of a second per second of backlog; of prompts that
/// were sent with none left a quarter came late, each by some hundred ms, and kept engines from others.
const SLACK_PART: f64 = 0.25;

pub(super) fn choose(
    model: &EngineModel,
    engines: &[EngineView],
    border: usize,
    ask: &EngineRequest,
) -> EngineChoice {
    match best_group(model, engines, border, ask) {
        Some(group) => decide(model, engines, group, ask),
        None => refuse_or_wait(model, engines, ask),
    }
}

/// The best group of the first side on which there is one. A prompt that needs idle engines goes on to the other
/// sides until a group is idle: the engines that write the answers to long prompts are few, and each of them
/// mostly writes one.
pub(super) fn best_group<'a>(
    model: &EngineModel,
    engines: &'a [EngineView],
    border: usize,
    ask: &EngineRequest,
) -> Option<Group<'a>> {
    let (short_side, long_side) = match engines.split_at(border) {
        (short_side, []) => (short_side, engines),
        sides => sides,
    };
    let (helpers, long_leaders) = split_long_side(long_side);
    let needs_idle = needs_idle_engines(model, ask);
    // Parts of a medium prompt are small enough to be read among short answers, and there they do
    // not wait behind long ones.
    let sides = match ask.class(model) {
        // Each domain has a border of its own, so short answers stand anywhere among far engines.
        PromptClass::Long if ask.spans_domains && needs_idle => vec![(engines, engines)],
        PromptClass::Long => vec![
            (long_leaders, helpers),
            (long_side, long_side),
            (engines, engines),
        ],
        _ => vec![(short_side, engines), (engines, engines)],
    };
    let mut best: Option<Group<'a>> = None;
    for (leaders, readers) in sides {
        let Some(group) = group(model, leaders, readers, ask) else {
            continue;
        };
        if !needs_idle || group.is_idle(LATE_BACKLOG_MAX) {
            return Some(group);
        }
        if best.as_ref().is_none_or(|best| group.cost() < best.cost()) {
            best = Some(group);
        }
    }
    best
}

/// The engines that only help to read long prompts, and those that write the answers. The latter
/// stand last, farthest from the border: there short answers are still being written when the
/// border has moved down.
fn split_long_side(long_side: &[EngineView]) -> (&[EngineView], &[EngineView]) {
    if long_side.len() < 2 {
        return (long_side, long_side);
    }
    let leaders = ceil(long_side.len() as f64 * LEADER_PART).max(1);
    long_side.split_at(long_side.len() - leaders.min(long_side.len() - 1))
}

/// Sends the prompt now, keeps it back for more pressed ones, or turns it away.
fn decide(
    model: &EngineModel,
    engines: &[EngineView],
    best: Group<'_>,
    ask: &EngineRequest,
) -> EngineChoice {
    let parts = best.helpers.len() + 1;
    if best.forecast + least_write_time(model, ask, parts) > ask.time_left {
        return refuse_or_wait(model, engines, ask);
    }
    if needs_idle_engines(model, ask) {
        return decide_late(best, ask);
    }
    if best.is_idle(BACKLOG_MAX) && !best.makes_late {
        return EngineChoice::Send(plan(best));
    }
    let waits_for = best.backlog.saturating_sub(BACKLOG_MAX);
    let time_to_wait = ask.objective_left.saturating_sub(best.part_time);
    let slack = ask.objective_left.saturating_sub(best.forecast);
    if slack > time_to_wait.mul_f64(SLACK_PART) {
        return EngineChoice::wait(waits_for);
    }
    if best.stretched == 0 && best.forecast <= ask.objective_left.mul_f64(IN_TIME_PART) {
        return EngineChoice::Send(plan(best));
    }
    decide_late(best, ask)
}

/// What can't be on time any more waits, behind all that still can, for engines that have nearly nothing
/// else to read.
///
/// Load it answers: for some seconds more archives than engines can read in. Turned away, each came
/// back, was taken for a new one and turned away again, the longest first: half of the longest tenth were
/// not served at all, while most callers stay long enough for engines to be free again. What will not be
/// read before its caller leaves is turned away at once.
fn decide_late(best: Group<'_>, ask: &EngineRequest) -> EngineChoice {
    if best.forecast > ask.patience_left {
        return EngineChoice::refuse(RefuseReason::QueueFull, best.backlog);
    }
    if best.is_idle(LATE_BACKLOG_MAX) {
        return EngineChoice::Send(plan(best));
    }
    EngineChoice::wait(best.backlog.saturating_sub(LATE_BACKLOG_MAX))
}

/// No group can serve the prompt now. It waits while as many engines as may read it together could serve it in
/// time if they were idle, and is turned away where not even these can.
fn refuse_or_wait(
    model: &EngineModel,
    engines: &[EngineView],
    ask: &EngineRequest,
) -> EngineChoice {
    let count = engines.len().clamp(1, HELPERS_MAX);
    let parts = u32::try_from(count).unwrap_or(1);
    if ask.needed().0 > u64::from(parts) * model.memory_tokens.0 {
        return EngineChoice::refuse_soon(RefuseReason::TooLarge);
    }
    let read_time = model.read_time(ask.prompt) / parts;
    if read_time + least_write_time(model, ask, count) > ask.time_left {
        return EngineChoice::refuse_soon(RefuseReason::Deadline);
    }
    EngineChoice::wait(Duration::MAX)
}

fn plan(group: Group<'_>) -> EnginePlan {
    EnginePlan {
        leader: group.leader.id.clone(),
        helpers: group.helpers.iter().map(|e| e.id.clone()).collect(),
        reservations: group.reserves,
        part_time: group.part_time,
        forecast: group.forecast,
    }
}

/// Time that half of the longest answer takes; most answers are shorter than the longest. A step takes as long as
/// the context of one part of the prompt does.
fn least_write_time(model: &EngineModel, ask: &EngineRequest, parts: usize) -> Duration {
    let parts = u64::try_from(parts).unwrap_or(u64::MAX).max(1);
    model.write_time(ask.output, 1, Tokens(ask.prompt.0.div_ceil(parts))) / 2
}
