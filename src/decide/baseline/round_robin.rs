//! Baseline: each upstream in turn.

use std::time::Instant;

use crate::decide::Work;
use crate::decide::baseline::Member;
use crate::decide::baseline::Picker;

/// Takes each upstream in turn, whatever its load.
#[derive(Debug, Default)]
pub struct RoundRobin {
    next: usize,
}

impl Picker for RoundRobin {
    fn pick(&mut self, _work: &Work, members: &[&Member], _now: Instant) -> usize {
        self.next = self.next.wrapping_add(1);
        self.next % members.len()
    }
}
