//! How a prompt is divided among engines, and which engines can take a part of it now.

use std::time::Duration;

use crate::decide::EngineModel;
use crate::decide::engines::EngineRequest;
use crate::decide::engines::EngineView;
use crate::decide::engines::boundary::ceil;

/// The aim for one engine's part of a prompt. Two such parts in one pass with writers stay within a
/// pause of 200 ms.
const PART_TIME: Duration = Duration::from_millis(60);
/// The longest part that is read beside answers: callers accept pauses of a second at most, and a pass and
/// other hosts' work need their share of it.
const PART_BESIDE_ANSWERS_MAX: Duration = Duration::from_millis(800);
/// Engines that may be named as helpers of one prompt, the first with its own reservation included.
pub(super) const HELPERS_MAX: usize = 16;
/// Reading that waits at engines when another prompt is sent there. What waits at hosts instead can
/// still be overtaken by a prompt that is more pressed for time. Engines read a new part first, so this
/// only bounds what is put off at once.
pub(super) const BACKLOG_MAX: Duration = Duration::from_secs(1);
/// The same for prompts that will be late anyway: they go behind all that can still be on time. Less than a
/// pass.
pub(super) const LATE_BACKLOG_MAX: Duration = Duration::from_millis(10);
/// The part of the time left to its first event in which a prompt that can't wait any longer has to be
/// read for it to be sent behind others; the forecast of one that goes to engines now is nearly exact.
pub(super) const IN_TIME_PART: f64 = 0.9;

/// Whether a prompt is late and so long that even its smallest parts stretch the pauses of any answer: only
/// engines that write none can read it, wherever they are.
pub(super) fn needs_idle_engines(model: &EngineModel, ask: &EngineRequest) -> bool {
    ask.objective_left.is_zero() && smallest_part(model, ask) > PART_BESIDE_ANSWERS_MAX
}

/// Engine time of one part where as many engines as may read the prompt together do.
pub(super) fn smallest_part(model: &EngineModel, ask: &EngineRequest) -> Duration {
    let parts = u32::try_from(HELPERS_MAX).unwrap_or(u32::MAX);
    model.read_time(ask.prompt) / parts
}

/// What an engine may have left to read when a prompt with parts of this length is sent there.
fn backlog_max(ask: &EngineRequest, part_time: Duration) -> Duration {
    let is_late = ask.objective_left.mul_f64(IN_TIME_PART) < part_time;
    if is_late {
        LATE_BACKLOG_MAX
    } else {
        BACKLOG_MAX
    }
}

/// Whether a part of this length can be sent to an engine now: it stretches no pause there, and little is left to
/// read. A group is judged by the same rule, so its engines are chosen by it.
pub(super) fn is_free(
    model: &EngineModel,
    engine: &EngineView,
    part_time: Duration,
    ask: &EngineRequest,
) -> bool {
    engine.has_room(model, part_time) && engine.backlog() <= backlog_max(ask, part_time)
}

/// How many of `available` engines are to read a prompt together.
pub(super) fn parts_wanted(read_time: Duration, available: usize) -> usize {
    let wanted = ceil(read_time.as_secs_f64() / PART_TIME.as_secs_f64());
    wanted.clamp(1, available.clamp(1, HELPERS_MAX))
}
