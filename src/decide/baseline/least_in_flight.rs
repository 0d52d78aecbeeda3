//! Baseline: the upstream with the fewest requests in flight.

use std::time::Instant;

use crate::decide::Work;
use crate::decide::baseline::Member;
use crate::decide::baseline::Picker;

/// Takes the upstream with the fewest requests in flight, whatever their length.
#[derive(Debug, Default)]
pub struct LeastInFlight;

impl Picker for LeastInFlight {
    fn pick(&mut self, _work: &Work, members: &[&Member], _now: Instant) -> usize {
        let fewest = members
            .iter()
            .enumerate()
            .min_by_key(|(_, member)| member.in_flight);
        fewest.map_or(0, |(index, _)| index)
    }
}
