//! How many upstreams are open to long prefill; the others are kept free of it.
//!
//! Load it answers: long prompts among short ones. A long prefill slows every short prompt on the
//! same engine, so if long work may go anywhere a handful of long prompts slows nearly all short
//! ones. If too few upstreams are open to it, long work misses its time limits instead; if the
//! number follows each change at once it swings, and both kinds meet on the same engines.

use std::time::Duration;
use std::time::Instant;

use crate::manifest::Objective;

/// The memory of the rates of long and short work: longer than a burst, shorter than an operator's
/// patience.
const RATE_MEMORY: Duration = Duration::from_secs(20);
/// How busy upstreams that are open to long prefill may be. The weight on short requests packs long
/// ones tightly; the weight on all first tokens gives long ones room.
const LONG_BUSY_SHORT_SLOWDOWN: f64 = 0.85;
const LONG_BUSY_FIRST_TOKEN: f64 = 0.7;
/// How busy short work leaves the others at most, before long work gets no more of them.
const SHORT_BUSY: f64 = 0.6;
/// Long work gets this part of the upstreams whatever the short load is.
const LONG_SURE_PART: f64 = 0.25;
/// Long work that has waited this long asks for one upstream more.
const LONG_WAIT_SHORT_SLOWDOWN: Duration = Duration::from_secs(3);
const LONG_WAIT_FIRST_TOKEN: Duration = Duration::from_secs(1);
/// Steps up and down. Down is slower: an upstream that is taken from long work still carries it.
const RAISE_EVERY: Duration = Duration::from_secs(1);
const LOWER_EVERY: Duration = Duration::from_secs(5);
/// The number goes down only when it is too large by more than this.
const LOWER_MARGIN: f64 = 0.25;

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
    objective: Objective,
    open: usize,
    changed_at: Option<Instant>,
    long: WorkRate,
    short: WorkRate,
}

impl LaneSplit {
    /// One upstream is open.
    pub fn new(objective: Objective) -> Self {
        Self {
            objective,
            open: 1,
            changed_at: None,
            long: WorkRate::default(),
            short: WorkRate::default(),
        }
    }

    /// Takes in what the deployment weighs more heavily.
    pub fn set_objective(&mut self, objective: Objective) {
        self.objective = objective;
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
    pub fn open(&self) -> usize {
        self.open
    }

    /// Follows the load.
    pub fn update(&mut self, input: &SplitInput, now: Instant) {
        let most = self.most(input, now);
        let by_load = self.long.get(now) / input.speed / self.long_busy();
        let since = |at| now.saturating_duration_since(at);
        let since_change = self.changed_at.map_or(Duration::MAX, since);
        let is_waiting = input
            .long_waited
            .is_some_and(|waited| waited > self.long_wait());
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
    fn most(&self, input: &SplitInput, now: Instant) -> usize {
        let upstreams = input.upstreams;
        let short = ceil(self.short.get(now) / input.speed / SHORT_BUSY).max(1);
        let sure = ceil(upstreams as f64 * LONG_SURE_PART).max(1);
        let left = upstreams.saturating_sub(short);
        left.max(sure).clamp(1, upstreams.saturating_sub(1).max(1))
    }

    fn set(&mut self, open: usize, now: Instant) {
        self.open = open;
        self.changed_at = Some(now);
    }

    fn long_busy(&self) -> f64 {
        match self.objective {
            Objective::ShortSlowdown => LONG_BUSY_SHORT_SLOWDOWN,
            Objective::FirstToken => LONG_BUSY_FIRST_TOKEN,
        }
    }

    fn long_wait(&self) -> Duration {
        match self.objective {
            Objective::ShortSlowdown => LONG_WAIT_SHORT_SLOWDOWN,
            Objective::FirstToken => LONG_WAIT_FIRST_TOKEN,
        }
    }
}

/// An exponentially weighted rate.
#[derive(Debug, Default)]
struct WorkRate {
    per_second: f64,
    at: Option<Instant>,
}

impl WorkRate {
    fn add(&mut self, amount: f64, now: Instant) {
        self.per_second = self.get(now) + amount / RATE_MEMORY.as_secs_f64();
        self.at = Some(now);
    }

    fn get(&self, now: Instant) -> f64 {
        let since = |at| now.saturating_duration_since(at).as_secs_f64();
        let elapsed = self.at.map_or(0.0, since);
        self.per_second * (-elapsed / RATE_MEMORY.as_secs_f64()).exp()
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
