//! The number and size of the parts of a prompt, and the check whether an engine can take a part
//! now.

use std::time::Duration;

use crate::decide::EngineModel;
use crate::decide::engines::EngineRequest;
use crate::decide::engines::EngineView;
use crate::decide::engines::boundary::ceil;
use crate::units::BoundedTime;

/// Target for the engine time of one part. Two such parts in one pass that also writes answers stay
/// within a pause of 200 ms.
const PART_TIME_TARGET: Duration = Duration::from_millis(60);
/// The longest part that is read on an engine that also writes answers. Callers accept pauses of at
/// most a second, which also has to cover a pass and the prompts of other hosts.
const PART_TIME_BESIDE_ANSWERS_MAX: Duration = Duration::from_millis(800);
/// The most engines that read or hold one prompt, including the leader.
pub(super) const GROUP_SIZE_MAX: usize = 16;
/// The largest read backlog with which an engine still gets another prompt. A prompt that waits at
/// its host instead can still be overtaken by a more urgent one. Engines read new parts first, so
/// this bounds how much work one prompt delays.
pub(super) const BACKLOG_MAX: Duration = Duration::from_secs(1);
/// Like [`BACKLOG_MAX`], for prompts that will be late anyway. It is shorter than a pass, so that
/// late prompts go behind all prompts that can still be on time.
pub(super) const LATE_BACKLOG_MAX: Duration = Duration::from_millis(10);
/// Fraction of the remaining time to the first event within which a prompt has to be read to count
/// as on time. The margin can be small, since the forecast of a prompt that is sent now is nearly
/// exact.
pub(super) const IN_TIME_FRACTION: f64 = 0.9;

/// Whether a prompt is late and so long that even its smallest parts would lengthen the pauses of
/// any answer too far. Only engines that write no answers can read such a prompt.
pub(super) fn needs_idle_engines(model: &EngineModel, request: &EngineRequest) -> bool {
    request.objective_left.is_zero()
        && smallest_part_time(model, request) > PART_TIME_BESIDE_ANSWERS_MAX
}

/// Engine time of one part if the prompt is split among [`GROUP_SIZE_MAX`] engines.
pub(super) fn smallest_part_time(model: &EngineModel, request: &EngineRequest) -> Duration {
    let parts = u32::try_from(GROUP_SIZE_MAX).unwrap_or(u32::MAX);
    model.prefill_time(request.prompt) / parts
}

/// The largest read backlog that an engine may have and still get a part of `part_time`: that for
/// late prompts if the request could not be on time even without a backlog.
fn backlog_max(request: &EngineRequest, part_time: Duration) -> Duration {
    let is_late = request.objective_left.scaled(IN_TIME_FRACTION) < part_time;
    if is_late {
        LATE_BACKLOG_MAX
    } else {
        BACKLOG_MAX
    }
}

/// Whether an engine can take a part of `part_time` now: no pause becomes too long, and the read
/// backlog is small. Whether a prompt is sent to a group depends on the same two conditions, so its
/// engines are chosen by them.
pub(super) fn accepts_part(
    model: &EngineModel,
    engine: &EngineView,
    part_time: Duration,
    request: &EngineRequest,
) -> bool {
    engine.fits_part(model, part_time) && engine.backlog() <= backlog_max(request, part_time)
}

/// The number of engines, out of `available`, that should read a prompt of this total prefill time
/// together; at least 1.
pub(super) fn parts_wanted(prefill_time: Duration, available: usize) -> usize {
    let wanted = ceil(prefill_time.as_secs_f64() / PART_TIME_TARGET.as_secs_f64());
    wanted.clamp(1, available.clamp(1, GROUP_SIZE_MAX))
}
