//! The boundary between the engines for short prompts and those for long ones.

use crate::decide::EngineModel;
use crate::decide::engines::EngineView;

/// Fraction of an engine's slots that short prompts fill before the next engine is used for them.
/// The remaining slots absorb a burst until the boundary has moved.
const SHORT_FILL_FRACTION: f64 = 0.7;
/// Fraction of all engines that is always kept for long prompts.
const LONG_ENGINES_FRACTION_MIN: f64 = 0.1;

/// Of each this many engines, one more is used for short prompts however few are in flight. When
/// callers arrive after a pause, no report shows their prompts yet, and all hosts of a large fleet
/// would send them to the same engine.
const ENGINES_PER_SHORT_ENGINE: usize = 32;

/// The fewest engines over which short prompts are spread, out of this number.
pub(super) fn short_spread_min(engines: usize) -> usize {
    1 + engines / ENGINES_PER_SHORT_ENGINE
}

/// The number of engines, counted from the front, that are for short prompts now. The engines after
/// them are for long prompts.
///
/// The number follows the short prompts in flight, so it adapts to rising as well as falling load
/// within the time of one answer.
pub fn short_engine_count(model: &EngineModel, engines: &[EngineView]) -> usize {
    let count = engines.len();
    if count < 2 {
        return count;
    }
    let short: u32 = engines.iter().map(|e| e.load.short_in_flight).sum();
    let fill = (f64::from(model.slots) * SHORT_FILL_FRACTION).max(1.0);
    let wanted = ceil(f64::from(short + 1) / fill).max(short_spread_min(count)) + 1;
    let kept_for_long = ceil(count as f64 * LONG_ENGINES_FRACTION_MIN).max(1);
    wanted.clamp(1, count.saturating_sub(kept_for_long).max(1))
}

/// Rounds up and limits the result to the range of 0 to 1,000,000.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
pub(super) fn ceil(number: f64) -> usize {
    number.ceil().clamp(0.0, 1e6) as usize
}
