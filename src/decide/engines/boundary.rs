//! The border between engines for short prompts and engines for long ones.

use crate::decide::EngineModel;
use crate::decide::engines::EngineView;

/// Short answers on an engine before the next engine is opened to short prompts, as a part of its
/// slots. What is left takes up a burst until the border has moved.
const SHORT_FILL_PART: f64 = 0.7;
/// Engines kept for long prompts, as a part of all.
const LONG_PART_MIN: f64 = 0.1;

/// How many engines, from the front, are for short prompts now. It follows the number of answers to
/// short prompts that are being written, so it moves within the time of one answer, both ways.
pub fn short_engine_count(model: &EngineModel, engines: &[EngineView]) -> usize {
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

/// Rounds up; only for small positive numbers.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
pub(super) fn ceil(number: f64) -> usize {
    number.ceil().clamp(0.0, 1e6) as usize
}
