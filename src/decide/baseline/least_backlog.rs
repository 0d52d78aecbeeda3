//! Baseline: a host that decides alone, from lagging reports and the work that it sent itself.

use std::time::Instant;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::decide::Work;
use crate::decide::baseline::BaselineUpstream;
use crate::decide::baseline::Picker;

/// Picks the upstream with the least prefill backlog, by its last report and by the work that this
/// host has sent since. Ties are broken at random.
#[derive(Debug)]
pub struct LeastBacklog {
    rng: StdRng,
}

impl LeastBacklog {
    /// Creates a picker whose random choices are derived from `seed`.
    pub fn new(seed: u64) -> Self {
        Self {
            rng: StdRng::seed_from_u64(seed),
        }
    }
}

impl Picker for LeastBacklog {
    fn pick(&mut self, _work: &Work, upstreams: &[&BaselineUpstream], _now: Instant) -> usize {
        let load = |upstream: &BaselineUpstream| (upstream.backlog_tokens(), upstream.in_flight);
        let least = upstreams.iter().map(|upstream| load(upstream)).min();
        let equal: Vec<usize> = (0..upstreams.len())
            .filter(|index| Some(load(upstreams[*index])) == least)
            .collect();
        equal[self.rng.random_range(0..equal.len())]
    }
}
