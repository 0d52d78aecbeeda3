//! Choice of engines for a medium or long prompt, which several engines read together.
//!
//! Of the engines for long prompts, the last few lead: they write the answers. The others only
//! help: they read parts of prompts. An engine that only helps writes no answers whose pauses could
//! become too long. Engines also read the parts that they help with before their own prompts: a
//! leader that helped as well would delay its own prompt as long as others arrive, although all
//! other parts of that prompt have been read.

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
use crate::decide::engines::group::cheapest_group;
use crate::decide::engines::parts::BACKLOG_MAX;
use crate::decide::engines::parts::GROUP_SIZE_MAX;
use crate::decide::engines::parts::IN_TIME_FRACTION;
use crate::decide::engines::parts::LATE_BACKLOG_MAX;
use crate::decide::engines::parts::needs_idle_engines;
use crate::units::BoundedTime;
use crate::units::Tokens;

/// Fraction of the engines for long prompts that write the answers. These engines read parts only
/// of the prompts that they answer.
const LEADER_FRACTION: f64 = 0.12;
/// A prompt that can be on time goes on waiting for idle engines only while the slack, the time
/// left beyond its forecast, exceeds this fraction of the time that it could wait for idle engines.
/// Forecasts are too short by up to a tenth of a second per second of backlog. Of prompts that were
/// sent with no time left, a quarter were late by some hundred ms and kept engines from other
/// prompts.
const SLACK_FRACTION: f64 = 0.25;

/// Sends the prompt to the best group, keeps it waiting, or refuses it.
pub(super) fn choose(
    model: &EngineModel,
    engines: &[EngineView],
    short_engines: usize,
    request: &EngineRequest,
) -> EngineChoice {
    match best_group(model, engines, short_engines, request) {
        Some(group) => send_wait_or_refuse(model, engines, group, request),
        None => refuse_or_wait(model, engines, request),
    }
}

/// The best group out of the first set of candidates that has one; `None` if no set has the slots
/// and the memory.
///
/// A prompt that needs idle engines tries the other sets as well until a group is idle: few engines
/// write the answers to long prompts, and each of them usually is writing one. If no group is idle,
/// the result is the group with the lowest cost.
pub(super) fn best_group<'a>(
    model: &EngineModel,
    engines: &'a [EngineView],
    short_engines: usize,
    request: &EngineRequest,
) -> Option<Group<'a>> {
    let (short_side, long_side) = match engines.split_at(short_engines) {
        (short_side, []) => (short_side, engines),
        sides => sides,
    };
    let (helpers, long_leaders) = split_long_side(long_side);
    let needs_idle = needs_idle_engines(model, request);
    // Pairs of the engines that may lead and the engines that may help, in the order of preference.
    // Parts of a medium prompt are small enough for the engines for short prompts, where they do
    // not wait behind long ones.
    let candidates = match request.class(model) {
        // Each domain has a boundary of its own, so engines of other domains may write short
        // answers wherever they are in the order.
        PromptClass::Long if request.spans_domains && needs_idle => vec![(engines, engines)],
        PromptClass::Long => vec![
            (long_leaders, helpers),
            (long_side, long_side),
            (engines, engines),
        ],
        _ => vec![(short_side, engines), (engines, engines)],
    };
    let mut best: Option<Group<'a>> = None;
    for (leaders, readers) in candidates {
        let Some(group) = cheapest_group(model, leaders, readers, request) else {
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

/// Splits the engines for long prompts into those that only help and those that write the answers.
///
/// The leaders come last, farthest from the boundary, because engines next to the boundary may
/// still write short answers after the boundary has moved down.
fn split_long_side(long_side: &[EngineView]) -> (&[EngineView], &[EngineView]) {
    if long_side.len() < 2 {
        return (long_side, long_side);
    }
    let leaders = ceil(long_side.len() as f64 * LEADER_FRACTION).max(1);
    long_side.split_at(long_side.len() - leaders.min(long_side.len() - 1))
}

/// Sends the prompt to the group `best`, lets it wait behind more urgent prompts, or refuses it.
///
/// The prompt is sent at once if the group is idle and makes no other prompt late. It waits for
/// that while it has slack, and is then sent if it can still be on time without long pauses in
/// answers.
fn send_wait_or_refuse(
    model: &EngineModel,
    engines: &[EngineView],
    best: Group<'_>,
    request: &EngineRequest,
) -> EngineChoice {
    let parts = best.helpers.len() + 1;
    if best.forecast + least_write_time(model, request, parts) > request.time_left {
        return refuse_or_wait(model, engines, request);
    }
    if needs_idle_engines(model, request) {
        return choose_for_late_prompt(best, request);
    }
    if best.is_idle(BACKLOG_MAX) && !best.makes_late {
        return EngineChoice::Send(plan_of(best));
    }
    let time_until_idle = best.backlog.saturating_sub(BACKLOG_MAX);
    let wait_limit = request.objective_left.saturating_sub(best.part_time);
    let slack = request.objective_left.saturating_sub(best.forecast);
    if slack > wait_limit.scaled(SLACK_FRACTION) {
        return EngineChoice::wait(time_until_idle);
    }
    if best.stretched == 0 && best.forecast <= request.objective_left.scaled(IN_TIME_FRACTION) {
        return EngineChoice::Send(plan_of(best));
    }
    choose_for_late_prompt(best, request)
}

/// Decides on a prompt that can no longer be on time. The prompt waits until engines have almost no
/// backlog, behind all prompts that can still be on time.
///
/// When engines got more long prompts for some seconds than they could read, refused prompts came
/// back as new ones and were refused again, the longest first. Half of the longest tenth were never
/// served, although most callers wait long enough for engines to become free. A prompt that cannot
/// be read before its caller stops waiting is refused at once.
fn choose_for_late_prompt(best: Group<'_>, request: &EngineRequest) -> EngineChoice {
    if best.forecast > request.patience_left {
        return EngineChoice::refuse(RefuseReason::QueueFull, best.backlog);
    }
    if best.is_idle(LATE_BACKLOG_MAX) {
        return EngineChoice::Send(plan_of(best));
    }
    EngineChoice::wait(best.backlog.saturating_sub(LATE_BACKLOG_MAX))
}

/// Decides on a prompt that no group can serve now. The prompt waits as long as a group of the
/// largest size could serve it in time if its engines were idle, and is refused otherwise.
fn refuse_or_wait(
    model: &EngineModel,
    engines: &[EngineView],
    request: &EngineRequest,
) -> EngineChoice {
    let count = engines.len().clamp(1, GROUP_SIZE_MAX);
    let parts = u32::try_from(count).unwrap_or(1);
    if request.memory_needed().0 > u64::from(parts) * model.memory_tokens.0 {
        return EngineChoice::refuse_soon(RefuseReason::TooLarge);
    }
    let prefill_time = model.prefill_time(request.prompt) / parts;
    if prefill_time + least_write_time(model, request, count) > request.time_left {
        return EngineChoice::refuse_soon(RefuseReason::Deadline);
    }
    EngineChoice::wait(Duration::MAX)
}

/// The plan that sends the prompt to the group.
fn plan_of(group: Group<'_>) -> EnginePlan {
    EnginePlan {
        leader: group.leader.id.clone(),
        helpers: group.helpers.iter().map(|e| e.id.clone()).collect(),
        reservations: group.reservations,
        part_time: group.part_time,
        forecast: group.forecast,
    }
}

/// Time to write half of the longest answer, since most answers are shorter than the longest. The
/// time of a step depends on the context, of which each engine holds one part of the prompt.
fn least_write_time(model: &EngineModel, request: &EngineRequest, parts: usize) -> Duration {
    let parts = u64::try_from(parts).unwrap_or(u64::MAX).max(1);
    model.write_time(request.output, 1, Tokens(request.prompt.0.div_ceil(parts))) / 2
}
