//! Thresholds that the sweep varies. docs/DECISIONS.md gives the figures behind each.

use std::time::Duration;

use crate::decide::Lane;
use crate::manifest::Objective;
use crate::units::Tokens;

/// Thresholds of the shipped policy for engines.
#[derive(Clone, Debug, PartialEq)]
pub struct Tuning {
    /// The part of the time that remains which a request's forecast may fill for it to be let in.
    pub admit_fraction: f64,
    /// Prompts up to this length share the short lane.
    pub short_tokens_max: Tokens,
    /// Short prefill that an upstream may have left when it gets more. It covers the round trip of
    /// the next grant; all else stays in the home's queue, where order can still be decided.
    pub headroom: Duration,
    /// Speeds that differ from the median by less than this factor count as equal. Estimates of
    /// equal engines differ by chance, and the one that looks the fastest would draw all the work.
    pub equal_speed_ratio: f64,
    /// Waiting for a better upstream must save at least the rest of this part of the time.
    pub wait_ratio_max: f64,
    /// Long prefills that one upstream carries at once, a heavy one among them at most.
    pub long_prefills_max: usize,
    /// How busy upstreams that are open to long prefill may be.
    pub long_utilization_max: f64,
    /// How busy short work leaves the others at most, before long work gets no more of them.
    pub short_utilization_max: f64,
    /// The part of the upstreams that long work gets whatever the short load is.
    pub long_fraction_min: f64,
    /// The part of its time that short work may take of an upstream while long prefill goes on there.
    pub short_fraction_beside_long_max: f64,
    /// Long work that has waited this long asks for one upstream more.
    pub long_wait_threshold: Duration,
    /// Below this part of the pool's median speed an upstream is slow and taken out.
    pub slow_fraction: f64,
    /// The part of a pool that may be out at the same time.
    pub ejected_fraction_max: f64,
}

impl Tuning {
    /// The thresholds for what a deployment weighs more heavily.
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
