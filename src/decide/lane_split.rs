//! The number of upstreams that are open to long prefill. The others serve short prefill only.
//!
//! A long prefill slows every short prompt on the same engine, so a few long prompts would slow
//! nearly all short ones if long work could go anywhere. With too few open upstreams long work
//! misses its deadlines instead. If the number followed each change of load at once it would
//! oscillate, and both kinds of work would meet on the same engines.

use std::time::Duration;
use std::time::Instant;

use crate::decide::Tuning;
use crate::decide::WorkRate;

/// The time constant of the rates of long and short work: longer than a burst, short enough for an
/// operator to see the effect of a change.
const RATE_TIME_CONSTANT: Duration = Duration::from_secs(20);
/// The least time from one change to the next step up or down. Down is slower because an upstream
/// that is closed to long work still has long work to finish.
const RAISE_INTERVAL: Duration = Duration::from_secs(1);
const LOWER_INTERVAL: Duration = Duration::from_secs(5);
/// The number is lowered only when it exceeds the required number by more than this.
const LOWER_MARGIN: f64 = 0.75;

/// The state of the pool that the split is computed from: the number of upstreams that may get
/// work, their mean prefill speed in tokens a second, and how long the head of the long lane has
/// waited.
#[derive(Clone, Copy, Debug)]
pub struct SplitInput {
    /// The number of upstreams that may get work.
    pub upstreams: usize,
    /// The mean prefill speed of these upstreams, in tokens a second.
    pub speed: f64,
    /// How long the first request in the queue of the long lane has been waiting; `None` if that
    /// queue is empty.
    pub long_head_wait: Option<Duration>,
}

/// The split of a pool into upstreams that are open to long prefill and upstreams for short prefill
/// only.
#[derive(Debug)]
pub struct LaneSplit {
    /// The number of upstreams that are open to long prefill.
    open: usize,
    /// The time at which `open` was last changed.
    changed_at: Option<Instant>,
    /// The rates of admitted prefill, in tokens a second.
    long_rate: WorkRate,
    short_rate: WorkRate,
}

impl LaneSplit {
    /// Creates a split with one upstream open to long prefill.
    pub fn new() -> Self {
        Self {
            open: 1,
            changed_at: None,
            long_rate: WorkRate::new(RATE_TIME_CONSTANT),
            short_rate: WorkRate::new(RATE_TIME_CONSTANT),
        }
    }

    /// Records the prompt tokens of an admitted request of the long or of the short lane.
    pub fn on_admitted(&mut self, tokens: f64, is_long: bool, now: Instant) {
        let rate = if is_long {
            &mut self.long_rate
        } else {
            &mut self.short_rate
        };
        rate.add(tokens, now);
    }

    /// The number of upstreams that are open to long prefill.
    pub fn open_to_long(&self) -> usize {
        self.open
    }

    /// Adjusts the number of upstreams that are open to long prefill to the recent load.
    pub fn update(&mut self, input: &SplitInput, tuning: &Tuning, now: Instant) {
        let open_max = self.open_max(input, tuning, now);
        let required = self.long_rate.get(now) / input.speed / tuning.long_utilization_max;
        let since = |at| now.saturating_duration_since(at);
        let since_change = self.changed_at.map_or(Duration::MAX, since);
        let is_long_waiting = input
            .long_head_wait
            .is_some_and(|waited| waited > tuning.long_wait_threshold);
        let is_too_few = ceil(required) > self.open || is_long_waiting;
        if self.open > open_max {
            self.set_open(open_max, now);
        } else if is_too_few && self.open < open_max && since_change >= RAISE_INTERVAL {
            let step = (input.upstreams / 4).max(1);
            let wanted = ceil(required).max(self.open + 1);
            self.set_open(wanted.min(self.open + step).min(open_max), now);
        } else if !is_long_waiting
            && required + LOWER_MARGIN < (self.open - 1) as f64
            && since_change >= LOWER_INTERVAL
        {
            self.set_open(self.open - 1, now);
        }
    }

    /// The most upstreams that may be open to long work: those that short work does not need, but
    /// at least the guaranteed fraction.
    fn open_max(&self, input: &SplitInput, tuning: &Tuning, now: Instant) -> usize {
        let upstreams = input.upstreams;
        let short_required =
            ceil(self.short_rate.get(now) / input.speed / tuning.short_utilization_max).max(1);
        let guaranteed = ceil(upstreams as f64 * tuning.long_fraction_min).max(1);
        let available = upstreams.saturating_sub(short_required);
        available
            .max(guaranteed)
            .clamp(1, upstreams.saturating_sub(1).max(1))
    }

    fn set_open(&mut self, open: usize, now: Instant) {
        self.open = open;
        self.changed_at = Some(now);
    }
}

impl Default for LaneSplit {
    fn default() -> Self {
        Self::new()
    }
}

#[allow(
    clippy::cast_possible_truncation,
    reason = "the cast from a float saturates"
)]
#[allow(clippy::cast_sign_loss, reason = "never negative")]
fn ceil(number: f64) -> usize {
    number.ceil() as usize
}
