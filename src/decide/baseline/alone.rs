//! Baseline: a host that decides alone, from lagging reports and what it sent itself.

use std::time::Instant;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::decide::Work;
use crate::decide::baseline::Member;
use crate::decide::baseline::Picker;

/// Takes the upstream with the least prefill work by its last report and by what this host has sent
/// since; equals are drawn.
#[derive(Debug)]
pub struct Alone {
    rng: StdRng,
}

impl Alone {
    /// Draws among equals from `seed`.
    pub fn new(seed: u64) -> Self {
        Self {
            rng: StdRng::seed_from_u64(seed),
        }
    }
}

impl Picker for Alone {
    fn pick(&mut self, _work: &Work, members: &[&Member], _now: Instant) -> usize {
        let load = |member: &Member| (member.backlog_tokens(), member.in_flight);
        let least = members.iter().map(|member| load(member)).min();
        let equal: Vec<usize> = (0..members.len())
            .filter(|index| Some(load(members[*index])) == least)
            .collect();
        equal[self.rng.random_range(0..equal.len())]
    }
}
