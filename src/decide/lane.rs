//! Lanes: requests that compete for the same upstreams.

use crate::units::Tokens;

/// An upstream carries at most one prefill above this length at a time.
const HEAVY_TOKENS_MIN: u64 = 32_000;

/// Requests that compete for the same upstreams.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Lane {
    /// Short prefill; may go to any upstream.
    Short,
    /// Long prefill; goes to upstreams that are open to it.
    Long,
}

/// Whether an upstream carries only one prefill of this length at a time.
pub fn is_heavy(prefill: Tokens) -> bool {
    prefill.0 > HEAVY_TOKENS_MIN
}
