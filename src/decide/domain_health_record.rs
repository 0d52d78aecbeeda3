//! The reachability of one failure domain.

use std::time::Duration;
use std::time::Instant;

use crate::decide::health_tracker::REPORTED_FOR;
use crate::decide::health_tracker::RESPONSE_VALID_FOR;
use crate::decide::health_tracker::is_within;

/// Connection timeouts in one failure domain, with no response from the domain in between, after
/// which the whole domain counts as unreachable. A single upstream may have died.
const DOMAIN_TIMEOUT_THRESHOLD: u32 = 2;
/// The time between two probes of an unreachable failure domain.
const DOMAIN_PROBE_INTERVAL: Duration = Duration::from_millis(600);

/// The reachability of one failure domain.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct DomainHealthRecord {
    /// Connection timeouts since the last response from the domain.
    timeouts: u32,
    /// When a connection last timed out, another host reported the domain as unreachable, or the
    /// domain was probed.
    last_timeout_at: Option<Instant>,
    /// When a connection of this host itself last timed out.
    failed_at: Option<Instant>,
    /// When an upstream of the domain was last reached by this host.
    responded_at: Option<Instant>,
}

impl DomainHealthRecord {
    /// Records that a connection of this host to an upstream of the domain timed out.
    pub(crate) fn on_timeout(&mut self, now: Instant) {
        self.timeouts += 1;
        self.last_timeout_at = Some(now);
        self.failed_at = Some(now);
    }

    /// Records that an upstream of the domain was reached, after which the domain counts as
    /// reachable.
    pub(crate) fn on_reached(&mut self, now: Instant) {
        self.timeouts = 0;
        self.responded_at = Some(now);
    }

    /// Records another host's report that the domain is unreachable. Returns whether the domain
    /// counts as unreachable because of this report; not if it has responded to this host recently.
    pub(crate) fn on_unreachable_report(&mut self, now: Instant) -> bool {
        if is_within(self.responded_at, RESPONSE_VALID_FOR, now) || self.is_unreachable() {
            return false;
        }
        self.timeouts = DOMAIN_TIMEOUT_THRESHOLD;
        self.last_timeout_at = Some(now);
        true
    }

    /// Records that the domain is probed.
    pub(crate) fn on_probe(&mut self, now: Instant) {
        self.last_timeout_at = Some(now);
    }

    /// Whether the whole domain counts as unreachable.
    pub(crate) fn is_unreachable(&self) -> bool {
        self.timeouts >= DOMAIN_TIMEOUT_THRESHOLD
    }

    /// When an unreachable domain is to be probed; none if the domain is reachable.
    pub(crate) fn probe_at(&self) -> Option<Instant> {
        let last = self.last_timeout_at.filter(|_| self.is_unreachable())?;
        Some(last + DOMAIN_PROBE_INTERVAL)
    }

    /// Whether this host reports to others that the domain is unreachable.
    pub(crate) fn is_reported(&self, now: Instant) -> bool {
        self.is_unreachable() && is_within(self.failed_at, REPORTED_FOR, now)
    }
}
