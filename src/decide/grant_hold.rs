//! What one grant holds of one upstream.

use std::time::Duration;
use std::time::Instant;

use crate::decide::Lane;
use crate::units::Priority;
use crate::units::Tokens;

/// What one grant holds of one upstream.
#[derive(Clone, Debug)]
pub struct GrantHold {
    /// Engine memory.
    pub memory_tokens: Tokens,
    /// The prefill expected for it, less what is probably cached.
    pub prefill_tokens: Tokens,
    /// The rank that the engine was given.
    pub rank: Priority,
    /// Its lane.
    pub lane: Lane,
    /// Whether another upstream failed the request before.
    pub is_suspect: bool,
    /// Whether it waited in the home's queue, so that its engine was probably full.
    pub has_waited: bool,
    /// When it was granted.
    pub since: Instant,
    /// How long it is expected to take in all.
    pub expected: Duration,
    /// Prefill that the upstream had before it when it was granted; the ledger fills it in.
    pub prefill_ahead: f64,
    /// The upstream's count of granted prefill of higher rank then; the ledger fills it in.
    pub higher_prefill_mark: f64,
}
