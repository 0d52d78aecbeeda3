//! An engine as its home sees it: the ledger, and how well it works.

use std::time::Duration;
use std::time::Instant;

use crate::decide::Access;
use crate::decide::Ejection;
use crate::decide::PrefixHints;
use crate::decide::SpeedEstimate;
use crate::decide::UpstreamInfo;
use crate::decide::UpstreamLedger;
use crate::decide::WarmUp;

/// A frozen engine shows as attempts of which none ends. This many times what one of them should take
/// is allowed, and this much beside, before the engine counts as failed.
const STALL_FACTOR: u32 = 3;
const STALL_MIN: Duration = Duration::from_secs(2);
/// The weight of one sample of the time between tokens.
const GAP_GAIN: f64 = 0.1;
/// Samples before an upstream can be called slow.
const SLOW_SAMPLES_MIN: u32 = 4;

/// One engine of a pool.
#[derive(Debug)]
pub struct EngineUpstream {
    /// As the platform's list shows it.
    pub info: UpstreamInfo,
    /// What it has been given.
    pub ledger: UpstreamLedger,
    /// Whether it is taken out.
    pub ejection: Ejection,
    /// How warm it is.
    pub warm_up: WarmUp,
    /// What its cache probably holds.
    pub prefix: PrefixHints,
    token_gap_seconds: Option<f64>,
    progress_at: Instant,
}

impl EngineUpstream {
    /// An engine without work.
    pub fn new(info: UpstreamInfo, speed: SpeedEstimate, warm_up: WarmUp, now: Instant) -> Self {
        Self {
            info,
            ledger: UpstreamLedger::new(speed, now),
            ejection: Ejection::default(),
            warm_up,
            prefix: PrefixHints::new(),
            token_gap_seconds: None,
            progress_at: now,
        }
    }

    /// Whether it is not leaving.
    pub fn is_live(&self) -> bool {
        self.info.is_live()
    }

    /// What it may get now.
    pub fn access(&self, now: Instant) -> Access {
        self.ejection.access_of(&self.info, now)
    }

    /// Whether it may get work as usual.
    pub fn is_open(&self, now: Instant) -> bool {
        self.access(now) == Access::Open
    }

    /// Attempts that have not ended.
    pub fn running(&self) -> usize {
        self.ledger.holds().len()
    }

    /// Whether it has room for one attempt more.
    pub fn has_slot(&self, now: Instant) -> bool {
        let slots = self.warm_up.slots(self.info.slots, now);
        self.running() < usize::try_from(slots).unwrap_or(usize::MAX)
    }

    /// Takes in that it was given work: a stall counts from the first of a batch.
    pub fn on_grant(&mut self, now: Instant) {
        if self.running() == 0 {
            self.progress_at = now;
        }
        self.ejection.on_grant(now);
    }

    /// Takes in that an attempt ended.
    pub fn on_progress(&mut self, token_gap_seconds: Option<f64>, now: Instant) {
        self.progress_at = now;
        if let Some(sample) = token_gap_seconds {
            let gap = self.token_gap_seconds.get_or_insert(sample);
            *gap += GAP_GAIN * (sample - *gap);
        }
    }

    /// Whether it has work that is long overdue, and nothing has ended meanwhile.
    pub fn is_stalled(&self, now: Instant) -> bool {
        self.ledger.holds().values().any(|hold| {
            let since = hold.since.max(self.progress_at);
            let allowed = hold
                .expected
                .saturating_mul(STALL_FACTOR)
                .saturating_add(STALL_MIN);
            now.saturating_duration_since(since) > allowed
        })
    }

    /// Whether its prefill is below `slow_fraction` of the median of its pool, or its time between tokens
    /// above the inverse. Batches of unlike lengths spread both by a factor of two.
    pub fn is_slow(&self, median: &PoolMedian, slow_fraction: f64) -> bool {
        if self.ledger.speed.samples() < SLOW_SAMPLES_MIN {
            return false;
        }
        let is_slow_prefill = self.ledger.speed.get() < median.speed * slow_fraction;
        let gap = self.token_gap_seconds.unwrap_or(0.0);
        let is_slow_output =
            median.token_gap_seconds > 0.0 && gap * slow_fraction > median.token_gap_seconds;
        is_slow_prefill || is_slow_output
    }
}

/// Medians over a pool's upstreams.
#[derive(Clone, Copy, Debug, Default)]
pub struct PoolMedian {
    /// The prefill speed, in tokens a second.
    pub speed: f64,
    /// The time between two tokens; 0 if none was seen.
    pub token_gap_seconds: f64,
}

impl PoolMedian {
    /// The medians of these upstreams.
    pub fn of<'a>(upstreams: impl Iterator<Item = &'a EngineUpstream>) -> Self {
        let (speeds, gaps): (Vec<f64>, Vec<Option<f64>>) = upstreams
            .map(|upstream| (upstream.ledger.speed.get(), upstream.token_gap_seconds))
            .unzip();
        Self {
            speed: median(speeds),
            token_gap_seconds: median(gaps.into_iter().flatten().collect()),
        }
    }
}

fn median(mut numbers: Vec<f64>) -> f64 {
    numbers.sort_by(f64::total_cmp);
    numbers.get(numbers.len() / 2).copied().unwrap_or(0.0)
}
