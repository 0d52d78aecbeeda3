//! When an upstream crashed, and who told of it.

use std::time::Duration;
use std::time::Instant;

/// The crash of an upstream under a call that may be the cause.
#[derive(Clone, Copy, Debug)]
pub(crate) struct KnownCrash {
    /// When the upstream crashed.
    pub(crate) at: Instant,
    /// When this host learned of it.
    pub(crate) known_at: Instant,
    /// Whether the call was one of this host.
    pub(crate) is_own: bool,
}

impl KnownCrash {
    /// A crash that this host has seen now.
    pub(crate) fn own(now: Instant) -> Self {
        Self {
            at: now,
            known_at: now,
            is_own: true,
        }
    }

    /// A crash of this age of which another host has told now.
    pub(crate) fn told(age: Duration, now: Instant) -> Self {
        Self {
            at: time_before(now, age),
            known_at: now,
            is_own: false,
        }
    }
}

/// The time of something of this age; now if the clock does not reach back so far.
pub(crate) fn time_before(now: Instant, age: Duration) -> Instant {
    now.checked_sub(age).unwrap_or(now)
}
