//! The state of one engine at its home: its ledger, its health and its speed.

use std::time::Duration;
use std::time::Instant;

use crate::decide::Access;
use crate::decide::Ejection;
use crate::decide::PrefixHints;
use crate::decide::SpeedEstimate;
use crate::decide::UpstreamInfo;
use crate::decide::UpstreamLedger;
use crate::decide::WarmUp;

/// A frozen engine is detected by attempts of which none ends. An attempt may take its expected
/// time this many times, and this much time in addition, before the engine counts as failed.
const STALL_FACTOR: u32 = 3;
const STALL_MIN: Duration = Duration::from_secs(2);
/// The weight of one sample in the moving average of the time between tokens.
const GAP_SAMPLE_WEIGHT: f64 = 0.1;
/// The least number of prefill speed samples before an upstream can count as slow.
const SLOW_SAMPLES_MIN: u32 = 4;

/// One engine of a pool.
#[derive(Debug)]
pub struct EngineUpstream {
    /// The engine's description from the platform and the manifest.
    pub info: UpstreamInfo,
    /// The grants of the engine with their memory and prefill.
    pub ledger: UpstreamLedger,
    /// Whether the engine is ejected from the pool.
    pub ejection: Ejection,
    /// The state of the engine's warm-up.
    pub warm_up: WarmUp,
    /// The prefixes that the engine's cache probably holds.
    pub prefix: PrefixHints,
    /// The moving average of the time between two tokens of an answer.
    token_gap_seconds: Option<f64>,
    /// The time of the last end of an attempt, or of the first grant since the engine was idle.
    last_progress_at: Instant,
}

impl EngineUpstream {
    /// Creates an engine without work.
    pub fn new(info: UpstreamInfo, speed: SpeedEstimate, warm_up: WarmUp, now: Instant) -> Self {
        Self {
            info,
            ledger: UpstreamLedger::new(speed, now),
            ejection: Ejection::default(),
            warm_up,
            prefix: PrefixHints::new(),
            token_gap_seconds: None,
            last_progress_at: now,
        }
    }

    /// Whether the engine is not leaving.
    pub fn is_live(&self) -> bool {
        self.info.is_live()
    }

    /// Which work the engine may get now: none while it is leaving, ejected or has a probe pending;
    /// one short request as a probe once the ejection has run out; otherwise any work.
    pub fn access(&self, now: Instant) -> Access {
        self.ejection.access_of(&self.info, now)
    }

    /// Whether the engine may get any work.
    pub fn is_open(&self, now: Instant) -> bool {
        self.access(now) == Access::Full
    }

    /// The number of attempts that have not ended.
    pub fn running(&self) -> usize {
        self.ledger.holds().len()
    }

    /// Whether the engine has a free slot for another attempt.
    pub fn has_slot(&self, now: Instant) -> bool {
        let slots = self.warm_up.slots(self.info.slots, now);
        self.running() < usize::try_from(slots).unwrap_or(usize::MAX)
    }

    /// Records that a grant is about to be added to the ledger. The first grant of an idle engine
    /// restarts the stall timer. On an ejected engine, the request is a probe.
    pub fn on_grant(&mut self, now: Instant) {
        if self.running() == 0 {
            self.last_progress_at = now;
        }
        self.ejection.on_grant(now);
    }

    /// Records the end of an attempt, with its mean time between tokens if there is one.
    pub fn on_progress(&mut self, token_gap_seconds: Option<f64>, now: Instant) {
        self.last_progress_at = now;
        if let Some(sample) = token_gap_seconds {
            let gap = self.token_gap_seconds.get_or_insert(sample);
            *gap += GAP_SAMPLE_WEIGHT * (sample - *gap);
        }
    }

    /// Whether an attempt is long overdue and no attempt has ended in the meantime.
    pub fn is_stalled(&self, now: Instant) -> bool {
        self.ledger.holds().values().any(|hold| {
            let since = hold.since.max(self.last_progress_at);
            let allowed = hold
                .expected
                .saturating_mul(STALL_FACTOR)
                .saturating_add(STALL_MIN);
            now.saturating_duration_since(since) > allowed
        })
    }

    /// Whether the engine's prefill speed is below `slow_fraction` of the pool's median, or its
    /// time between tokens above the median divided by `slow_fraction`. Batches of different
    /// lengths spread both by a factor of two.
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

/// Medians over the engines of a pool.
#[derive(Clone, Copy, Debug, Default)]
pub struct PoolMedian {
    /// The median prefill speed, in tokens a second.
    pub speed: f64,
    /// The median time between two tokens in seconds; 0 if there is no sample.
    pub token_gap_seconds: f64,
}

impl PoolMedian {
    /// The medians over these engines.
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
