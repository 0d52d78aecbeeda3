//! When a caller that was turned away should come back.

use std::time::Duration;

use rand::Rng;
use rand::rngs::StdRng;

/// Less would only bring the caller back into the same queue.
const RETRY_AFTER_MIN: Duration = Duration::from_secs(1);
/// More would send callers away for longer than most overloads last.
const RETRY_AFTER_MAX: Duration = Duration::from_secs(60);

/// The time in which the queue drains, spread over as much again.
///
/// Load it answers: many callers turned away at the same moment. Without the spread all come back at
/// the same moment and the next wave is turned away as well.
pub fn retry_after(drain: Duration, rng: &mut StdRng) -> Duration {
    let base = drain.clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX);
    base.mul_f64(rng.random_range(1.0..2.0))
}
