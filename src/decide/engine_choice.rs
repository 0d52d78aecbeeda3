//! Which engines read a prompt and which one writes its answer.
//!
//! Load it answers: prompts from a thousand to a million tokens on the same engines. A long prompt
//! that one engine reads stops every answer there for seconds and comes late itself. So short
//! prompts are packed on as few engines as carry them, and the others read long prompts together,
//! in equal parts. The border follows the number of short answers that are being written, both ways.

use std::time::Duration;

use crate::decide::EngineModel;
use crate::decide::RefuseReason;
use crate::decide::UpstreamLoad;
use crate::units::Tokens;
use crate::units::UpstreamId;

/// A prompt that one engine reads in less than this is short. Answers beside it may pause for
/// 200 ms, of which the pass itself takes 45 to 60.
const SHORT_READ_TIME_MAX: Duration = Duration::from_millis(120);
/// The aim for one engine's part of a prompt. Two such parts in one pass with writers stay within a
/// pause of 200 ms.
const PART_TIME: Duration = Duration::from_millis(60);
/// Engines that may read one prompt: the first and at most 16 helpers, as engines allow.
const READERS_MAX: usize = 17;
/// Short answers on an engine before the next engine is opened to short prompts, as a part of its
/// slots. What is left takes up a burst until the border has moved.
const SHORT_FILL_PART: f64 = 0.75;
/// Engines kept for long prompts while there are any, as a part of all.
const LONG_PART_MIN: f64 = 0.17;
/// Reading that may be outstanding on an engine when it gets part of a long prompt. Answers of long
/// prompts may pause for 500 ms; more than this and a pass comes near it.
const LONG_BACKLOG_MAX: Duration = Duration::from_millis(300);
/// A short prompt goes to an engine of long ones only when that has less than this to read.
const SPILL_BACKLOG_MAX: Duration = Duration::from_millis(60);
/// The part of an engine's memory that is given away; estimates of answers are off.
const MEMORY_PART: f64 = 0.97;
/// The shortest wait before a decision is made again: less would be awake more than it helps.
const WAIT_MIN: Duration = Duration::from_millis(15);
/// The longest wait: other hosts' work changes meanwhile.
const WAIT_MAX: Duration = Duration::from_millis(150);
/// The shortest time after which a caller is asked to come back.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(500);

/// An engine as this host sees it now.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineView {
    /// Its id.
    pub id: UpstreamId,
    /// The work of all hosts there.
    pub load: UpstreamLoad,
    /// How much slower than its model it is; 1 is as it should be.
    pub pace: f64,
}

/// A request that wants engines.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineAsk {
    /// The prompt.
    pub prompt: Tokens,
    /// The longest answer.
    pub output: Tokens,
    /// What is left of the time in which the first event is on time.
    pub objective_left: Duration,
    /// What is left of the time in which the whole answer has to be there.
    pub time_left: Duration,
}

/// Engines for one request.
#[derive(Clone, Debug, PartialEq)]
pub struct EnginePlan {
    /// The engine that gets the request and writes the answer.
    pub leader: UpstreamId,
    /// The engines that read the other parts.
    pub helpers: Vec<UpstreamId>,
    /// Engine time of one part.
    pub part_time: Duration,
    /// When the first event is expected, from now.
    pub forecast: Duration,
}

/// What to do with the request.
#[derive(Clone, Debug, PartialEq)]
pub enum EngineChoice {
    /// Send it.
    Send(EnginePlan),
    /// Ask again after this time.
    Wait(Duration),
    /// Turn it away, not run.
    Refuse {
        /// Why.
        reason: RefuseReason,
        /// When it can be served, as far as is known.
        retry_after: Duration,
    },
}

/// Whether a prompt is short for these engines.
pub fn is_short(model: &EngineModel, prompt: Tokens) -> bool {
    model.read_time(prompt) <= SHORT_READ_TIME_MAX
}

/// Chooses engines. `engines` holds those that may get work, in an order that is the same on every
/// host, since the border between short and long prompts is a place in it.
pub fn choose_engines(
    model: &EngineModel,
    engines: &[EngineView],
    ask: &EngineAsk,
) -> EngineChoice {
    if engines.is_empty() {
        return refuse(RefuseReason::NoUpstream, RETRY_AFTER_MIN);
    }
    let border = short_border(model, engines);
    let (short_side, long_side) = engines.split_at(border);
    if is_short(model, ask.prompt) {
        choose_for_short(model, short_side, long_side, ask)
    } else {
        let long_side = if long_side.is_empty() {
            engines
        } else {
            long_side
        };
        choose_for_long(model, long_side, ask)
    }
}

/// How many engines, from the front, are for short prompts now.
fn short_border(model: &EngineModel, engines: &[EngineView]) -> usize {
    let count = engines.len();
    if count < 2 {
        return count;
    }
    let short: u32 = engines.iter().map(|e| e.load.short_in_flight).sum();
    let fill = (f64::from(model.slots) * SHORT_FILL_PART).max(1.0);
    let wanted = ceil(f64::from(short + 1) / fill) + 1;
    let kept_for_long = ceil(count as f64 * LONG_PART_MIN).max(1);
    wanted.clamp(1, count.saturating_sub(kept_for_long).max(1))
}

fn choose_for_short(
    model: &EngineModel,
    short_side: &[EngineView],
    long_side: &[EngineView],
    ask: &EngineAsk,
) -> EngineChoice {
    let has_place = |engine: &&EngineView| engine.load.in_flight < model.slots;
    let spill = long_side
        .iter()
        .filter(|engine| engine.load.read_backlog < SPILL_BACKLOG_MAX);
    let best = best_for_short(model, short_side.iter().filter(has_place), ask)
        .or_else(|| best_for_short(model, spill.filter(has_place), ask));
    let Some(leader) = best else {
        return wait_for_place(model, short_side, ask);
    };
    let read_time = model.read_time(ask.prompt);
    let parts = part_count(read_time, short_side.len());
    let part_time = read_time / u32::try_from(parts).unwrap_or(1);
    let helpers = least_busy(short_side, &leader.id, parts - 1);
    let forecast = first_event(model, leader, part_time, ask);
    EngineChoice::Send(EnginePlan {
        leader: leader.id.clone(),
        helpers,
        part_time,
        forecast,
    })
}

fn best_for_short<'a>(
    model: &EngineModel,
    engines: impl Iterator<Item = &'a EngineView>,
    ask: &EngineAsk,
) -> Option<&'a EngineView> {
    engines
        .filter(|engine| has_memory(model, engine, ask.prompt + ask.output))
        .min_by_key(|engine| first_event(model, engine, model.read_time(ask.prompt), ask))
}

/// All places are taken: a request that is still on time waits for one; one that is not, or that
/// has no time left for its answer, is told to come back.
fn wait_for_place(model: &EngineModel, engines: &[EngineView], ask: &EngineAsk) -> EngineChoice {
    let write_time = model.write_time(ask.output, model.slots, ask.prompt);
    let places = u32::try_from(engines.len())
        .unwrap_or(u32::MAX)
        .saturating_mul(model.slots);
    let next_place = write_time / places.max(1);
    let has_time = ask.time_left > write_time / 2;
    if ask.objective_left.is_zero() || !has_time {
        return refuse(RefuseReason::QueueFull, write_time / 2);
    }
    EngineChoice::Wait(next_place.clamp(WAIT_MIN, WAIT_MAX))
}

fn choose_for_long(model: &EngineModel, engines: &[EngineView], ask: &EngineAsk) -> EngineChoice {
    let read_time = model.read_time(ask.prompt);
    let parts = part_count(read_time, engines.len());
    let part_time = read_time / u32::try_from(parts).unwrap_or(1);
    let mut by_backlog: Vec<&EngineView> = engines.iter().collect();
    by_backlog.sort_by_key(|engine| (engine.load.read_backlog, engine.load.in_flight));
    by_backlog.truncate(parts);
    let backlog = by_backlog
        .last()
        .map_or(Duration::ZERO, |engine| engine.load.read_backlog);
    let pass_time = model.pass_time(1, ask.prompt);
    let forecast = backlog + part_time + pass_time;
    if forecast + model.write_time(ask.output, 1, ask.prompt) / 2 > ask.time_left {
        return refuse(RefuseReason::Deadline, backlog);
    }
    if backlog > LONG_BACKLOG_MAX {
        let wait = backlog.saturating_sub(LONG_BACKLOG_MAX);
        return EngineChoice::Wait(wait.clamp(WAIT_MIN, WAIT_MAX));
    }
    let needed = ask.prompt + ask.output;
    let leader = engines
        .iter()
        .filter(|e| e.load.in_flight < model.slots && has_memory(model, e, needed))
        .min_by_key(|e| (e.load.held_tokens, e.load.read_backlog));
    let Some(leader) = leader else {
        if needed.as_f64() > model.memory_tokens.as_f64() * MEMORY_PART {
            return refuse(RefuseReason::TooLarge, RETRY_AFTER_MIN);
        }
        return EngineChoice::Wait(WAIT_MAX);
    };
    let helpers = by_backlog
        .iter()
        .map(|engine| &engine.id)
        .filter(|id| **id != leader.id)
        .take(parts - 1)
        .cloned()
        .collect();
    EngineChoice::Send(EnginePlan {
        leader: leader.id.clone(),
        helpers,
        part_time,
        forecast,
    })
}

/// How many of `available` engines read a prompt together.
fn part_count(read_time: Duration, available: usize) -> usize {
    let wanted = ceil(read_time.as_secs_f64() / PART_TIME.as_secs_f64());
    wanted.clamp(1, available.clamp(1, READERS_MAX))
}

/// The engines with the least left to read, without `leader`.
fn least_busy(engines: &[EngineView], leader: &UpstreamId, count: usize) -> Vec<UpstreamId> {
    let mut others: Vec<&EngineView> = engines.iter().filter(|e| e.id != *leader).collect();
    others.sort_by_key(|engine| (engine.load.read_backlog, engine.load.in_flight));
    others
        .into_iter()
        .take(count)
        .map(|engine| engine.id.clone())
        .collect()
}

/// When the first event is expected: what is being read, the own part, and the pass it falls into.
fn first_event(
    model: &EngineModel,
    engine: &EngineView,
    part_time: Duration,
    ask: &EngineAsk,
) -> Duration {
    let pass = model.pass_time(engine.load.in_flight + 1, ask.prompt);
    (engine.load.read_backlog + part_time + pass).mul_f64(engine.pace.max(1.0))
}

fn has_memory(model: &EngineModel, engine: &EngineView, needed: Tokens) -> bool {
    let free = model.memory_tokens.as_f64() * MEMORY_PART - engine.load.held_tokens.as_f64();
    needed.as_f64() <= free
}

fn refuse(reason: RefuseReason, retry_after: Duration) -> EngineChoice {
    EngineChoice::Refuse {
        reason,
        retry_after: retry_after.max(RETRY_AFTER_MIN),
    }
}

/// Rounds up; only for small positive numbers.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn ceil(number: f64) -> usize {
    number.ceil().clamp(0.0, 1e6) as usize
}
