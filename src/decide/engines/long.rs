//! Engines for a prompt that several read together.
//!
//! Of the engines for long prompts the last few write the answers and the others only help. An
//! engine that only helps has no answer whose pauses it could stretch. And an engine reads the parts
//! that it helps with before its own prompts: one that both led and helped would put its own prompt
//! off for as long as others come, while all parts of that prompt elsewhere have long been read.

use std::time::Duration;

use crate::decide::EngineModel;
use crate::decide::RefuseReason;
use crate::decide::engines::EngineAsk;
use crate::decide::engines::EngineChoice;
use crate::decide::engines::EnginePlan;
use crate::decide::engines::EngineView;
use crate::decide::engines::PromptClass;
use crate::decide::engines::Reserve;
use crate::decide::engines::border::ceil;
use crate::units::Tokens;

/// The aim for one engine's part of a prompt. Two such parts in one pass with writers stay within a
/// pause of 200 ms.
const PART_TIME: Duration = Duration::from_millis(60);
/// The longest part that is read beside answers: no caller accepts a longer pause.
const PART_BESIDE_ANSWERS_MAX: Duration = Duration::from_secs(1);
/// Engines that write the answers to long prompts, as a part of those for long prompts. They read
/// one part of each prompt, as every helper does, and their own only.
const LEADER_PART: f64 = 0.12;
/// Engines that keep a long prompt. If its leader kept all of it, the few leaders would be out of
/// memory with two prompts each; every further engine is one more whose end ends the answer, and
/// three orders.
const KEEPERS: u64 = 3;
/// Engines that may be named as helpers of one prompt, the first with its own reservation included.
const HELPERS_MAX: usize = 16;
/// Reading that waits at engines when another prompt is sent there. What waits at hosts instead can
/// still be overtaken by a prompt that is more pressed for time. Engines read a new part first, so this
/// only bounds what is put off at once.
const BACKLOG_MAX: Duration = Duration::from_secs(1);
/// The same for prompts that will be late anyway: they go behind all that can still be on time. Less than a
/// pass.
const LATE_BACKLOG_MAX: Duration = Duration::from_millis(10);
/// What making a prompt late that is being read there counts as in the order of helpers, in reading
/// that waits there: as much as a middling part.
const LATENESS_COST: Duration = Duration::from_millis(200);
/// Backlogs that differ by less than this count as equal.
const EQUAL_WITHIN: Duration = Duration::from_millis(20);
/// What stretching the pauses of one answer counts as in the choice of engines, in time to the first
/// event of the prompt. Only compares groups: none that stretches a pause is sent to, but a prompt
/// waits for a quick group with few answers in its way sooner than it takes a slow one.
const STRETCH_COST: Duration = Duration::from_millis(50);
/// The part of the time in which a prompt may wait that has to be left beyond its forecast for it to
/// wait on. Forecasts fall short by up to a tenth of a second per second of backlog; of prompts that
/// were sent with none left a quarter came late, each by some hundred ms, and kept engines from others.
const SLACK_PART: f64 = 0.25;
/// The part of the time left to its first event in which a prompt that can't wait any longer has to be
/// read for it to be sent behind others; the forecast of one that goes to engines now is nearly exact.
const IN_TIME_PART: f64 = 0.9;

/// Engines that would read a prompt together.
struct Group<'a> {
    leader: &'a EngineView,
    /// The helpers, without the leader.
    helpers: Vec<&'a EngineView>,
    reserves: Vec<Reserve>,
    part_time: Duration,
    forecast: Duration,
    /// What waits at the busiest of them.
    backlog: Duration,
    /// Answers whose pauses are stretched too far by it.
    stretched: u32,
    /// Whether prompts that are being read come late by it.
    makes_late: bool,
}

pub(super) fn choose(
    model: &EngineModel,
    engines: &[EngineView],
    border: usize,
    ask: &EngineAsk,
) -> EngineChoice {
    let (short_side, long_side) = match engines.split_at(border) {
        (short_side, []) => (short_side, engines),
        sides => sides,
    };
    let (helpers, long_leaders) = split_long_side(long_side);
    // Parts of a medium prompt are small enough to be read among short answers, and there they do
    // not wait behind long ones.
    let sides = match ask.class(model) {
        // Each domain has a border of its own, so short answers stand anywhere among far engines.
        PromptClass::Long if ask.is_far && needs_idle_engines(model, ask) => {
            vec![(engines, engines)]
        }
        PromptClass::Long => vec![
            (long_leaders, helpers),
            (long_side, long_side),
            (engines, engines),
        ],
        _ => vec![(short_side, engines), (engines, engines)],
    };
    let group = sides
        .into_iter()
        .find_map(|(leaders, readers)| group(model, leaders, readers, ask));
    match group {
        Some(group) => decide(model, group, ask),
        None => refuse_or_wait(model, engines, ask),
    }
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

/// Whether a prompt is late and so long that even its smallest parts stretch the pauses of any answer:
/// only engines that write none can read it, wherever they are.
pub(super) fn needs_idle_engines(model: &EngineModel, ask: &EngineAsk) -> bool {
    let read_time = model.read_time(ask.prompt);
    let parts = u32::try_from(HELPERS_MAX).unwrap_or(u32::MAX);
    ask.objective_left.is_zero() && read_time / parts > PART_BESIDE_ANSWERS_MAX
}

/// How many of `available` engines are to read a prompt together.
pub(super) fn parts_wanted(read_time: Duration, available: usize) -> usize {
    let wanted = ceil(read_time.as_secs_f64() / PART_TIME.as_secs_f64());
    wanted.clamp(1, available.clamp(1, HELPERS_MAX))
}

/// Sends the prompt now, keeps it back for more pressed ones, or turns it away.
fn decide(model: &EngineModel, best: Group<'_>, ask: &EngineAsk) -> EngineChoice {
    if best.forecast + least_write_time(model, ask) > ask.time_left {
        return EngineChoice::refuse(RefuseReason::Deadline, best.backlog);
    }
    if best.stretched == 0 && best.backlog <= BACKLOG_MAX && !best.makes_late {
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
fn decide_late(best: Group<'_>, ask: &EngineAsk) -> EngineChoice {
    if best.forecast > ask.patience_left {
        return EngineChoice::refuse(RefuseReason::QueueFull, best.backlog);
    }
    if best.stretched == 0 && best.backlog <= LATE_BACKLOG_MAX {
        return EngineChoice::Send(plan(best));
    }
    EngineChoice::wait(best.backlog.saturating_sub(LATE_BACKLOG_MAX))
}

/// The best group of one engine up to as many as help, with a leader of `leaders`; none if none has a
/// place and memory.
///
/// The more engines share a prompt, the sooner it is read, and the more answers may have their pauses
/// stretched: a part of an archive on an engine with a dozen clauses makes all of these late for the
/// sake of one.
fn group<'a>(
    model: &EngineModel,
    leaders: &'a [EngineView],
    readers: &'a [EngineView],
    ask: &EngineAsk,
) -> Option<Group<'a>> {
    let read_time = model.read_time(ask.prompt);
    let most = parts_wanted(read_time, readers.len() + 1);
    (1..=most)
        .filter_map(|parts| group_of(model, leaders, readers, ask, parts))
        .min_by_key(|group| group.forecast + STRETCH_COST * group.stretched)
}

/// A group of this many engines: the gentlest ones, then those with the least left to read.
fn group_of<'a>(
    model: &EngineModel,
    leaders: &'a [EngineView],
    readers: &'a [EngineView],
    ask: &EngineAsk,
    parts: usize,
) -> Option<Group<'a>> {
    let part_time = model.read_time(ask.prompt) / u32::try_from(parts).unwrap_or(1);
    let leader = leader(model, leaders, part_time, ask)?;
    let mut others: Vec<(usize, &EngineView)> = readers.iter().enumerate().collect();
    others.sort_by_cached_key(|(index, engine)| {
        let makes_late = u32::from(engine.makes_late(model, part_time));
        let cost = engine.backlog()
            + STRETCH_COST * stretched(model, engine, part_time)
            + LATENESS_COST * makes_late;
        (
            cost.as_millis() / EQUAL_WITHIN.as_millis(),
            ask.shuffle(*index),
        )
    });
    let others = others.into_iter().map(|(_, engine)| engine);
    let mut others: Vec<&EngineView> = others.filter(|e| e.id != leader.id).collect();
    let reserves = reserves(model, leader, &others, ask)?;
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

/// The engine that writes the answer: of those with a place and the memory for its share, the first
/// that can read its part without stretching pauses; so answers to long prompts gather on few
/// engines. Where none has the memory, the one with the most.
fn leader<'a>(
    model: &EngineModel,
    engines: &'a [EngineView],
    part_time: Duration,
    ask: &EngineAsk,
) -> Option<&'a EngineView> {
    let placed = || engines.iter().filter(|engine| engine.has_place(model));
    let is_gentle = |engine: &&EngineView| engine.has_room(model, part_time);
    if ask.class(model) == PromptClass::Long {
        let share = Tokens(ask.needed().0.div_ceil(KEEPERS));
        let fitting = || placed().filter(|engine| engine.free_tokens(model) >= share);
        let is_free = |engine: &&EngineView| engine.backlog() <= BACKLOG_MAX;
        let is_good = |engine: &&EngineView| is_gentle(engine) && is_free(engine);
        let first = if ask.is_far {
            drawn(fitting().filter(is_good), ask)
        } else {
            fitting().find(is_good)
        };
        return first
            .or_else(|| fitting().find(is_gentle))
            .or_else(|| fitting().min_by_key(|engine| engine.backlog()))
            .or_else(|| placed().min_by_key(|engine| engine.load.held_tokens));
    }
    let fitting = || placed().filter(|engine| engine.free_tokens(model) >= ask.needed());
    fitting()
        .filter(is_gentle)
        .min_by_key(|engine| (engine.backlog(), engine.load.in_flight))
        .or_else(|| fitting().min_by_key(|engine| engine.backlog()))
}

/// One of several engines. Hosts that hear of each other late and all take the first one reserve its
/// memory over and over, and all but one are refused.
fn drawn<'a>(
    engines: impl Iterator<Item = &'a EngineView>,
    ask: &EngineAsk,
) -> Option<&'a EngineView> {
    let drawn = engines.enumerate();
    let drawn = drawn.min_by_key(|(index, _)| ask.shuffle(*index));
    drawn.map(|(_, engine)| engine)
}

/// The memory that is set aside for a long prompt: the leader's, and of helpers what the leader has
/// is to have no room for; none if there is not enough.
///
/// The engine itself is the judge of its memory: two hosts that choose it in the same moment would
/// otherwise send it more than it holds, and the later prompt would wait inside for seconds with its
/// parts read everywhere else. Medium prompts are small against the memory and need none of this.
fn reserves(
    model: &EngineModel,
    leader: &EngineView,
    others: &[&EngineView],
    ask: &EngineAsk,
) -> Option<Vec<Reserve>> {
    if ask.class(model) != PromptClass::Long {
        return Some(Vec::new());
    }
    let mut by_room: Vec<&EngineView> = others.to_vec();
    by_room.sort_by_key(|engine| engine.load.held_tokens);
    let spread = Tokens(ask.needed().0.div_ceil(KEEPERS));
    keep(model, leader, &by_room, ask.needed(), spread)
        .or_else(|| keep(model, leader, &by_room, ask.needed(), ask.needed()))
}

/// Sets aside at most `each` on every engine, the leader first.
fn keep(
    model: &EngineModel,
    leader: &EngineView,
    others: &[&EngineView],
    needed: Tokens,
    each: Tokens,
) -> Option<Vec<Reserve>> {
    let mut missing = needed;
    let mut reserves = Vec::new();
    let engines = [leader].into_iter().chain(others.iter().copied());
    for engine in engines.take(HELPERS_MAX) {
        let free = engine.free_tokens(model);
        let tokens = missing.min(free).min(each);
        if tokens == Tokens::ZERO {
            break;
        }
        missing = missing.saturating_sub(tokens);
        reserves.push(Reserve {
            engine: engine.id.clone(),
            tokens,
        });
    }
    (missing == Tokens::ZERO).then_some(reserves)
}

/// No engine has a place, or all of them together have not the memory now.
fn refuse_or_wait(model: &EngineModel, engines: &[EngineView], ask: &EngineAsk) -> EngineChoice {
    let count = u64::try_from(engines.len().min(HELPERS_MAX)).unwrap_or(1);
    if ask.needed().0 > count * model.memory_tokens.0 {
        return EngineChoice::refuse_soon(RefuseReason::TooLarge);
    }
    let parts = u32::try_from(count).unwrap_or(1);
    let read_time = model.read_time(ask.prompt) / parts;
    if read_time + least_write_time(model, ask) > ask.time_left {
        return EngineChoice::refuse_soon(RefuseReason::Deadline);
    }
    EngineChoice::wait(Duration::MAX)
}

fn plan(group: Group<'_>) -> EnginePlan {
    EnginePlan {
        leader: group.leader.id.clone(),
        helpers: group.helpers.iter().map(|e| e.id.clone()).collect(),
        reserves: group.reserves,
        part_time: group.part_time,
        forecast: group.forecast,
    }
}

/// Time that half of the longest answer takes; most answers are shorter than the longest.
fn least_write_time(model: &EngineModel, ask: &EngineAsk) -> Duration {
    model.write_time(ask.output, 1, ask.prompt) / 2
}
