//! The health of one upstream.

use std::time::Duration;
use std::time::Instant;

use crate::decide::UpstreamFault;
use crate::decide::health_tracker::REPORTED_FOR;
use crate::decide::health_tracker::RESPONSE_VALID_FOR;
use crate::decide::health_tracker::is_within;
use crate::units::FailureDomainId;

/// The first pause after a failed connection.
const PAUSE_BASE: Duration = Duration::from_millis(500);
/// The longest pause.
const PAUSE_MAX: Duration = Duration::from_secs(4);
/// The pause after a connection broke during a request. It keeps requests that broke together from
/// returning to the same upstream together, and is short because the next connection shows whether
/// the upstream is up.
const PAUSE_BROKEN: Duration = Duration::from_millis(400);
/// The pause after an upstream refused a request, which means that the upstream is full or about to
/// leave.
const PAUSE_REFUSED: Duration = Duration::from_millis(150);
/// The pause after this host could connect neither to the upstream nor to others. It lets the next
/// call find another way.
const PAUSE_NO_PATH: Duration = Duration::from_millis(100);
/// The weight of the newest response in the moving average of the failure rate.
const FAILURE_RATE_GAIN: f64 = 0.1;
/// The failure rate above which an upstream is used only when the others are full.
const FAILURE_RATE_MAX: f64 = 0.35;

/// The health of one upstream.
#[derive(Clone, Debug)]
pub(crate) struct UpstreamHealthRecord {
    /// The failure domain of the upstream.
    pub(crate) domain: FailureDomainId,
    /// Connection failures and silences since the upstream was last reached, each of which doubles
    /// the pause.
    failures: u32,
    /// When the current pause ends. During a pause the upstream receives no requests.
    paused_until: Option<Instant>,
    /// Whether the last connection could not be established. The upstream receives no requests
    /// until a connection succeeds.
    is_unreachable: bool,
    /// When this host itself last failed to connect; none if it has not since the upstream was last
    /// reached.
    failed_at: Option<Instant>,
    /// When the upstream last responded to this host.
    responded_at: Option<Instant>,
    /// When the upstream was last unreachable or broke a connection. Kept after it is reached
    /// again.
    lost_at: Option<Instant>,
    /// The moving average of the fraction of failed requests, from 0 to 1.
    failure_rate: f64,
}

impl UpstreamHealthRecord {
    /// The record of a reachable upstream of this failure domain.
    pub(crate) fn new(domain: &FailureDomainId) -> Self {
        Self {
            domain: domain.clone(),
            failures: 0,
            paused_until: None,
            is_unreachable: false,
            failed_at: None,
            responded_at: None,
            lost_at: None,
            failure_rate: 0.0,
        }
    }

    /// Records a fault, which raises the failure rate and may start a pause. If a connection failed,
    /// the upstream counts as unreachable.
    pub(crate) fn on_fault(&mut self, fault: UpstreamFault, now: Instant) {
        if !matches!(fault, UpstreamFault::NoPath | UpstreamFault::TunnelLost) {
            self.failure_rate += (1.0 - self.failure_rate) * FAILURE_RATE_GAIN;
        }
        let pause = match fault {
            UpstreamFault::ConnectTimeout
            | UpstreamFault::ConnectRefused
            | UpstreamFault::Silent => {
                let pause = PAUSE_BASE.saturating_mul(1 << self.failures.min(8));
                self.failures += 1;
                pause.min(PAUSE_MAX)
            }
            UpstreamFault::Broken => PAUSE_BROKEN,
            UpstreamFault::RequestRefused => PAUSE_REFUSED,
            UpstreamFault::NoPath => PAUSE_NO_PATH,
            UpstreamFault::Failed | UpstreamFault::TunnelLost => Duration::ZERO,
        };
        self.pause(pause, now);
        if fault.is_unreachable() || fault == UpstreamFault::Broken {
            self.lost_at = Some(now);
        }
        if fault.is_unreachable() {
            self.is_unreachable = true;
            self.failed_at = Some(now);
        }
    }

    /// Records a response, after which the upstream counts as reachable.
    pub(crate) fn on_response(&mut self, now: Instant) {
        self.on_reached();
        self.responded_at = Some(now);
        self.failure_rate -= self.failure_rate * FAILURE_RATE_GAIN;
    }

    /// Ends the pause and marks the upstream as reachable.
    pub(crate) fn on_reached(&mut self) {
        self.failures = 0;
        self.paused_until = None;
        self.is_unreachable = false;
        self.failed_at = None;
    }

    /// Records another host's report that the upstream is unreachable. Returns whether the upstream
    /// counts as unreachable because of this report; not if it has responded to this host recently.
    pub(crate) fn on_unreachable_report(&mut self, now: Instant) -> bool {
        if is_within(self.responded_at, RESPONSE_VALID_FOR, now) || self.is_unreachable {
            return false;
        }
        self.is_unreachable = true;
        self.lost_at = Some(now);
        self.pause(PAUSE_BASE, now);
        true
    }

    /// Records that the upstream is probed, which starts the next pause.
    pub(crate) fn on_probe(&mut self, now: Instant) {
        self.pause(PAUSE_BASE, now);
    }

    /// Pauses the upstream for at least this long.
    fn pause(&mut self, pause: Duration, now: Instant) {
        self.paused_until = self.paused_until.max(Some(now + pause));
    }

    /// When the current pause ends, which may have passed; none if the upstream was reached since.
    pub(crate) fn paused_until(&self) -> Option<Instant> {
        self.paused_until
    }

    /// Whether the upstream is in a pause.
    pub(crate) fn is_paused(&self, now: Instant) -> bool {
        self.paused_until.is_some_and(|until| until > now)
    }

    /// Whether the last connection could not be established.
    pub(crate) fn is_unreachable(&self) -> bool {
        self.is_unreachable
    }

    /// Whether this host reports to others that the upstream is unreachable.
    pub(crate) fn is_reported(&self, now: Instant) -> bool {
        self.is_unreachable && is_within(self.failed_at, REPORTED_FOR, now)
    }

    /// When the upstream was last unreachable or broke a connection; none if that never happened.
    pub(crate) fn lost_at(&self) -> Option<Instant> {
        self.lost_at
    }

    /// Whether the failure rate is so high that other upstreams are preferred.
    pub(crate) fn is_failing(&self) -> bool {
        self.failure_rate > FAILURE_RATE_MAX
    }
}
