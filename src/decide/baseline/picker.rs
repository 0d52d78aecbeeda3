//! How a baseline chooses an upstream.

use std::time::Instant;

use crate::decide::Work;
use crate::decide::baseline::Member;

/// A choice among upstreams that may get work.
pub trait Picker: Send {
    /// The index of the chosen one; `members` is not empty.
    fn pick(&mut self, work: &Work, members: &[&Member], now: Instant) -> usize;
}
