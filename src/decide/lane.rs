//! Lanes: classes of requests that compete for the same upstreams.

use crate::units::Tokens;

/// A prefill above this length is heavy: an upstream runs at most one of them at a time.
const HEAVY_TOKENS_MIN: u64 = 32_000;

/// A class of requests that compete for the same upstreams.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Lane {
    /// Short prefill, which may go to any upstream.
    Short,
    /// Long prefill, which goes only to upstreams that are open to it.
    Long,
}

/// Whether a prefill of this length is heavy, so that an upstream runs only one at a time.
pub fn is_heavy(prefill: Tokens) -> bool {
    prefill.0 > HEAVY_TOKENS_MIN
}
