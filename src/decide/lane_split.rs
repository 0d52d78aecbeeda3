//! How many upstreams are open to long prefill; the others are kept free of it.
//!
//! Load it answers: long prompts among short ones. A long prefill slows every short prompt on the
//! same engine, so if long work may go anywhere a handful of long prompts slows nearly all short
//! ones. If too few upstreams are open to it, long work misses its time limits instead; if the
//! number follows each change at once it swings, and both kinds meet on the same engines.

use std::time::Duration;
use std::time::Instant;

use crate::decide::Tuning;
use crate::decide::WorkRate;

/// The memory of the rates of long and short work: longer than a burst, shorter than an operator's
/// patience.
const RATE_MEMORY: Duration = Duration::from_secs(20);
/// Steps up and down. Down is slower: an upstream that is taken from long work still carries it.
const RAISE_EVERY: Duration = Duration::from_secs(1);
const LOWER_EVERY: Duration = Duration::from_secs(5);
/// The number goes down only when it is too large by more than this.
const LOWER_MARGIN: f64 = 0.75;

/// What the split is worked out from.
#[derive(Clone, Copy, Debug)]
pub struct SplitInput {
    /// Upstreams that may get work.
    pub upstreams: usize,
    /// Their prefill speed, on average.
    pub speed: f64,
    /// How long the first long request in the queue has waited.
    pub long_waited: Option<Duration>,
}

/// The number of upstreams that are open to long prefill.
#[derive(Debug)]
pub struct LaneSplit {
    open: usize,
    changed_at: Option<Instant>,
    long: WorkRate,
    short: WorkRate,
}

impl LaneSplit {
    /// One upstream is open.
    pub fn new() -> Self {
        Self {
            open: 1,
            changed_at: None,
            long: WorkRate::new(RATE_MEMORY),
            short: WorkRate::new(RATE_MEMORY),
        }
    }

    /// Takes in prefill that was let in.
    pub fn on_admitted(&mut self, tokens: f64, is_long: bool, now: Instant) {
        let rate = if is_long {
            &mut self.long
        } else {
            &mut self.short
        };
        rate.add(tokens, now);
    }

    /// The number of open upstreams.
    pub fn open_to_long(&self) -> usize {
        self.open
    }

    /// Follows the load.
    pub fn update(&mut self, input: &SplitInput, tuning: &Tuning, now: Instant) {
        let most = self.most(input, tuning, now);
        let by_load = self.long.get(now) / input.speed / tuning.long_utilization_max;
        let since = |at| now.saturating_duration_since(at);
        let since_change = self.changed_at.map_or(Duration::MAX, since);
        let is_waiting = input
            .long_waited
            .is_some_and(|waited| waited > tuning.long_wait_threshold);
        let is_short = ceil(by_load) > self.open || is_waiting;
        if self.open > most {
            self.set(most, now);
        } else if is_short && self.open < most && since_change >= RAISE_EVERY {
            let step = (input.upstreams / 4).max(1);
            let wanted = ceil(by_load).max(self.open + 1);
            self.set(wanted.min(self.open + step).min(most), now);
        } else if !is_waiting
            && by_load + LOWER_MARGIN < (self.open - 1) as f64
            && since_change >= LOWER_EVERY
        {
            self.set(self.open - 1, now);
        }
    }

    /// The most that long work may have: what short work leaves, or its sure part.
    fn most(&self, input: &SplitInput, tuning: &Tuning, now: Instant) -> usize {
        let upstreams = input.upstreams;
        let short = ceil(self.short.get(now) / input.speed / tuning.short_utilization_max).max(1);
        let sure = ceil(upstreams as f64 * tuning.long_fraction_min).max(1);
        let left = upstreams.saturating_sub(short);
        left.max(sure).clamp(1, upstreams.saturating_sub(1).max(1))
    }

    fn set(&mut self, open: usize, now: Instant) {
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
    reason = "a float saturates when it becomes a whole number"
)]
#[allow(clippy::cast_sign_loss, reason = "never negative")]
fn ceil(number: f64) -> usize {
    number.ceil() as usize
}
