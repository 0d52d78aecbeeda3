//! What one grant holds of one upstream.

use std::time::Duration;
use std::time::Instant;

use crate::decide::Lane;
use crate::units::Priority;
use crate::units::Tokens;

/// What one grant holds of one upstream.
#[derive(Clone, Debug)]
pub struct Hold {
    /// Engine memory.
    pub memory_tokens: Tokens,
    /// The prefill expected for it, less what is probably cached.
    pub prefill_tokens: Tokens,
    /// The part of that which is not done yet, by the ledger's reckoning.
    pub prefill_left: f64,
    /// The rank that the engine was given.
    pub rank: Priority,
    /// Its lane.
    pub lane: Lane,
    /// Whether another upstream failed the request before.
    pub is_suspect: bool,
    /// When it was granted.
    pub since: Instant,
    /// How long it is expected to take in all.
    pub expected: Duration,
    /// Prefill that the upstream had when it was granted.
    pub backlog_before: f64,
    /// The upstream's count of granted prefill right after this grant.
    pub granted_mark: f64,
}

impl Hold {
    /// Whether its prefill is still going on, by the ledger's reckoning.
    pub fn is_prefilling(&self) -> bool {
        self.prefill_left > 0.0
    }
}
