//! The time after which a refused caller should retry.

use std::time::Duration;

use rand::Rng;
use rand::rngs::StdRng;

use crate::units::BoundedTime;

/// The minimum before jitter. A shorter time would bring the caller back into the same queue.
const RETRY_AFTER_MIN: Duration = Duration::from_secs(1);
/// The maximum before jitter. A longer time would keep callers away for longer than most overloads
/// last.
const RETRY_AFTER_MAX: Duration = Duration::from_secs(60);

/// The time after which a refused caller should retry: the time `drain` until the queue has
/// drained, within bounds, plus a jitter of up to the same length.
///
/// Load condition: many callers are refused at the same moment. Without jitter all of them return
/// at the same moment, and the next wave is refused as well.
pub fn retry_after(drain: Duration, rng: &mut StdRng) -> Duration {
    let base = drain.clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX);
    base.scaled(rng.random_range(1.0..2.0))
}
