//! The thresholds of the shipped policy for engines.
//!
//! The sweep example varies each of them, and docs/DECISIONS.md gives the resulting figures.

use std::time::Duration;

use crate::decide::Lane;
use crate::manifest::Objective;
use crate::units::Tokens;

/// The thresholds of the shipped policy for engines.
#[derive(Clone, Debug, PartialEq)]
pub struct Tuning {
    /// The fraction of the remaining time that the forecast of an admitted request may take.
    pub admit_fraction: f64,
    /// Prompts up to this length use the short lane.
    pub short_tokens_max: Tokens,
    /// The short prefill that an upstream may have left when it gets more. It covers the round trip
    /// of the next grant. All other work stays in the home's queue, where its order can still
    /// change.
    pub headroom: Duration,
    /// Speeds that differ from the median by less than this factor count as equal. Estimates of
    /// equal engines differ by chance, and the one that looks fastest would get all the work.
    pub equal_speed_ratio: f64,
    /// A request waits for a better upstream only if waiting reduces the expected time to the first
    /// token to less than this fraction of the time at the best upstream that is ready.
    pub wait_ratio_max: f64,
    /// The most concurrent long prefills of one upstream, of which at most one may be heavy.
    pub long_prefills_max: usize,
    /// The target utilization of upstreams that are open to long prefill.
    pub long_utilization_max: f64,
    /// The utilization by short work of the other upstreams above which none of them is opened to
    /// long work.
    pub short_utilization_max: f64,
    /// The fraction of the upstreams that are open to long work regardless of the short load.
    pub long_fraction_min: f64,
    /// The fraction of an upstream's time that short work may take during a long prefill there.
    pub short_fraction_beside_long_max: f64,
    /// One more upstream is opened to long work that has waited longer than this.
    pub long_wait_threshold: Duration,
    /// An upstream below this fraction of the pool's median speed is slow and is ejected.
    pub slow_fraction: f64,
    /// The largest fraction of a pool that may be ejected at the same time.
    pub ejected_fraction_max: f64,
}

impl Tuning {
    /// The thresholds for a deployment's objective.
    pub fn of(objective: Objective) -> Self {
        let base = Self {
            admit_fraction: 0.8,
            short_tokens_max: Tokens(4_000),
            headroom: Duration::from_millis(30),
            equal_speed_ratio: 1.4,
            wait_ratio_max: 0.5,
            long_prefills_max: 2,
            long_utilization_max: 0.7,
            short_utilization_max: 0.45,
            long_fraction_min: 0.25,
            short_fraction_beside_long_max: 0.25,
            long_wait_threshold: Duration::from_secs(1),
            slow_fraction: 0.4,
            ejected_fraction_max: 0.5,
        };
        match objective {
            Objective::ShortSlowdown => base,
            Objective::FirstToken => Self {
                long_utilization_max: 0.5,
                short_utilization_max: 0.6,
                long_wait_threshold: Duration::from_millis(500),
                ..base
            },
        }
    }

    /// The lane of a prefill.
    pub fn lane(&self, prefill: Tokens) -> Lane {
        if prefill <= self.short_tokens_max {
            Lane::Short
        } else {
            Lane::Long
        }
    }
}
