//! For how long this host has been in contact with the platform without interruption.
//!
//! A host is in contact while it reaches the platform itself, or hears other hosts that do. One that
//! is cut off from both can't learn anything new, and callers that reach it are served by what it
//! knows.

use std::time::Duration;
use std::time::Instant;

/// The time after the last sign of contact from which on the contact counts as interrupted. Reads of
/// the platform and updates of other hosts are more frequent.
pub const CONTACT_GAP_MAX: Duration = Duration::from_secs(2);

/// The signs of contact with the platform.
#[derive(Clone, Copy, Debug, Default)]
pub struct ContactTracker {
    /// The first and the last sign of the current contact; none before the first sign.
    signs: Option<(Instant, Instant)>,
}

impl ContactTracker {
    /// Records that there was contact at `at`. Signs need not arrive in order.
    pub fn on_contact(&mut self, at: Instant) {
        let continued = self.signs.filter(|_| self.lasts(at).is_some());
        self.signs = Some(match continued {
            Some((since, last)) => (since, last.max(at)),
            None => (at, at),
        });
    }

    /// For how long the contact that has not been interrupted at `now` has lasted; none if it is
    /// interrupted.
    pub fn lasts(&self, now: Instant) -> Option<Duration> {
        let (since, last) = self.signs?;
        let gap = now.saturating_duration_since(last);
        (gap <= CONTACT_GAP_MAX).then(|| now.saturating_duration_since(since))
    }
}
