//! Baseline: each upstream in turn.

use std::time::Instant;

use crate::decide::Work;
use crate::decide::baseline::BaselineUpstream;
use crate::decide::baseline::Picker;

/// Picks each upstream in turn, regardless of its load.
#[derive(Debug, Default)]
pub struct RoundRobin {
    next: usize,
}

impl Picker for RoundRobin {
    fn pick(&mut self, _work: &Work, upstreams: &[&BaselineUpstream], _now: Instant) -> usize {
        self.next = self.next.wrapping_add(1);
        self.next % upstreams.len()
    }
}
