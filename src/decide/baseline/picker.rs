//! The interface by which a baseline chooses an upstream.

use std::time::Instant;

use crate::decide::Work;
use crate::decide::baseline::BaselineUpstream;

/// A picker chooses among the upstreams that may get work.
pub trait Picker: Send {
    /// The index of the chosen upstream. `upstreams` is not empty.
    fn pick(&mut self, work: &Work, upstreams: &[&BaselineUpstream], now: Instant) -> usize;
}
