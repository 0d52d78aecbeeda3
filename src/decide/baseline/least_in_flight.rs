//! Baseline: the upstream with the fewest requests in flight.

use std::time::Instant;

use crate::decide::Work;
use crate::decide::baseline::BaselineUpstream;
use crate::decide::baseline::Picker;

/// Picks the upstream with the fewest requests in flight, regardless of their length.
#[derive(Debug, Default)]
pub struct LeastInFlight;

impl Picker for LeastInFlight {
    fn pick(&mut self, _work: &Work, upstreams: &[&BaselineUpstream], _now: Instant) -> usize {
        let fewest = upstreams
            .iter()
            .enumerate()
            .min_by_key(|(_, upstream)| upstream.in_flight);
        fewest.map_or(0, |(index, _)| index)
    }
}
