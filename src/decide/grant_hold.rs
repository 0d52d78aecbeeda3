//! What one grant occupies of one upstream.

use std::time::Duration;
use std::time::Instant;

use crate::decide::Lane;
use crate::units::Priority;
use crate::units::Tokens;

/// The memory and prefill that one grant occupies at one upstream, with its expected duration.
#[derive(Clone, Debug)]
pub struct GrantHold {
    /// Engine memory, in tokens.
    pub memory_tokens: Tokens,
    /// The expected prefill, in tokens, without what is probably cached.
    pub prefill_tokens: Tokens,
    /// The priority that was passed to the engine.
    pub priority: Priority,
    /// The lane of the prefill.
    pub lane: Lane,
    /// Whether the request failed on another upstream before, so that it may cause a failure here.
    pub is_suspect: bool,
    /// Whether the request waited in its home's queue, so that its engine was probably busy.
    pub has_waited: bool,
    /// Time of the grant.
    pub since: Instant,
    /// Expected duration from the grant to the end of the answer.
    pub expected: Duration,
    /// Prefill in tokens that was ahead of this grant at the upstream when it was made; set by the
    /// ledger.
    pub prefill_ahead: f64,
    /// The upstream's running total of granted prefill of higher priority at that time; set by the
    /// ledger.
    pub higher_prefill_mark: f64,
}
