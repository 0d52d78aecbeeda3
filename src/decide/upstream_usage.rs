//! How an upstream may be used, by the outcomes of its calls.

use std::time::Duration;
use std::time::Instant;

/// The time after which a probe without an outcome no longer keeps the host from the next one.
const PROBE_TIMEOUT: Duration = Duration::from_secs(2);

/// How an upstream may be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum UpstreamUsage {
    /// Like any other. The time since which it has failed too many calls, if it has.
    Full { suspected_since: Option<Instant> },
    /// Not at all until this time.
    Ejected { until: Instant },
    /// For probes.
    Probing {
        since: Instant,
        /// When this host may send the next probe.
        next_probe_at: Instant,
        /// When this host has sent the probe that is in flight.
        sent_at: Option<Instant>,
    },
}

impl UpstreamUsage {
    /// The use of an upstream that is not suspected.
    pub(crate) const FULL: Self = Self::Full {
        suspected_since: None,
    };

    /// Whether the upstream is used like any other.
    pub(crate) fn is_full(&self) -> bool {
        matches!(self, Self::Full { .. })
    }

    /// Whether this host may send a call now: the upstream is in full use, or the next probe is due.
    pub(crate) fn may_send(&self, now: Instant) -> bool {
        match *self {
            Self::Full { .. } => true,
            Self::Ejected { .. } => false,
            Self::Probing {
                next_probe_at,
                sent_at,
                ..
            } => {
                let is_pending = |at| now.saturating_duration_since(at) < PROBE_TIMEOUT;
                now >= next_probe_at && !sent_at.is_some_and(is_pending)
            }
        }
    }

    /// Records that this host sends a call, which is a probe if the upstream is being probed. The
    /// next one may follow after `probe_spacing`.
    pub(crate) fn on_sent(&mut self, probe_spacing: Duration, now: Instant) {
        if let Self::Probing {
            next_probe_at,
            sent_at,
            ..
        } = self
        {
            *next_probe_at = now + probe_spacing;
            *sent_at = Some(now);
        }
    }

    /// Records that a call of this host has ended.
    pub(crate) fn on_outcome(&mut self) {
        if let Self::Probing { sent_at, .. } = self {
            *sent_at = None;
        }
    }
}
