//! Lanes: requests that compete for the same upstreams.

use crate::units::Tokens;

/// Prompts up to this length share the short lane. It is where a prompt's own prefill is still well
/// under a second on the engines in use, so that one beside another does no harm.
const SHORT_TOKENS_MAX: u64 = 4_000;
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

impl Lane {
    /// The lane of a prefill.
    pub fn of(prefill: Tokens) -> Self {
        if prefill.0 <= SHORT_TOKENS_MAX {
            Self::Short
        } else {
            Self::Long
        }
    }
}

/// Whether an upstream carries only one prefill of this length at a time.
pub fn is_heavy(prefill: Tokens) -> bool {
    prefill.0 > HEAVY_TOKENS_MIN
}
