//! The ejections, probes and learned slowdown of one upstream.

use std::time::Duration;
use std::time::Instant;

use crate::decide::EjectionChange;
use crate::decide::OutcomeSums;
use crate::decide::UpstreamUsage;
use crate::decide::outlier_ejection::EJECTED_FAILURE_RATE_MIN;
use crate::units::Slowdown;

/// How long the failures must be too many, since the reports of hosts whose calls succeeded arrive
/// later than those of the failures.
const SUSPICION_TIME: Duration = Duration::from_millis(500);
/// The first pause of an ejected upstream: longer than the window of the outcomes and the time that
/// reports take, so that the outcomes from before the ejection no longer count when it ends.
const PAUSE_BASE: Duration = Duration::from_secs(3);
/// The longest pause.
const PAUSE_MAX: Duration = Duration::from_secs(30);
/// The time in use after which an earlier ejection no longer makes the next pause longer.
const RECORD_RETENTION: Duration = Duration::from_secs(60);
/// The probes that must have ended before an upstream is reinstated.
const PROBES_MIN: u32 = 8;
/// The failed probes from which an upstream is ejected again.
const PROBE_FAILURES_MIN: u32 = 3;
/// The highest failure rate of the probes of an upstream that is reinstated.
const REINSTATED_FAILURE_RATE_MAX: f64 = 0.2;
/// The time after which an upstream is reinstated although too few calls came to probe it.
const PROBING_MAX: Duration = Duration::from_secs(10);
/// How long a learned slowdown counts after it was last seen. A slow engine gets few calls.
const SLOWDOWN_RETENTION: Duration = Duration::from_secs(4);

/// The state of one upstream that has been suspected, ejected or slow.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EjectionRecord {
    usage: UpstreamUsage,
    /// The ejections that count for the next pause.
    ejections: u32,
    ejected_at: Option<Instant>,
    reinstated_at: Option<Instant>,
    /// The learned slowdown, and when it was last seen.
    slowdown: Option<(Slowdown, Instant)>,
}

impl EjectionRecord {
    /// The record of an upstream in full use.
    pub(crate) fn new() -> Self {
        Self {
            usage: UpstreamUsage::FULL,
            ejections: 0,
            ejected_at: None,
            reinstated_at: None,
            slowdown: None,
        }
    }

    /// The use of the upstream.
    pub(crate) fn usage(&self) -> &UpstreamUsage {
        &self.usage
    }

    /// The use of the upstream, for changes other than ejection, probing and reinstatement.
    pub(crate) fn usage_mut(&mut self) -> &mut UpstreamUsage {
        &mut self.usage
    }

    /// Records whether the upstream fails too many calls while in full use. Returns whether it has
    /// for [`SUSPICION_TIME`].
    pub(crate) fn is_suspected_long(&mut self, is_outlier: bool, now: Instant) -> bool {
        let UpstreamUsage::Full { suspected_since } = &mut self.usage else {
            return false;
        };
        if !is_outlier {
            *suspected_since = None;
            return false;
        }
        let since = *suspected_since.get_or_insert(now);
        now.saturating_duration_since(since) >= SUSPICION_TIME
    }

    /// Whether a call that was sent at `sent_at` is from before the last ejection.
    pub(crate) fn is_from_before_ejection(&self, sent_at: Instant) -> bool {
        self.ejected_at
            .is_some_and(|ejected_at| sent_at < ejected_at)
    }

    /// Records a slowdown that was learned from the outcomes.
    pub(crate) fn on_slow(&mut self, slowdown: Slowdown, now: Instant) {
        self.slowdown = Some((slowdown, now));
    }

    /// The learned slowdown; none if it was not seen recently.
    pub(crate) fn slowdown(&self, now: Instant) -> Option<Slowdown> {
        let (slowdown, at) = self.slowdown?;
        let is_valid = now.saturating_duration_since(at) < SLOWDOWN_RETENTION;
        is_valid.then_some(slowdown)
    }

    /// Starts the probes when the pause is over, and ends them by the outcomes of recent calls.
    pub(crate) fn advance(
        &mut self,
        sums: &OutcomeSums,
        first_probe_in: Duration,
        now: Instant,
    ) -> Option<EjectionChange> {
        match self.usage {
            UpstreamUsage::Full { .. } => None,
            UpstreamUsage::Ejected { until } if now < until => None,
            UpstreamUsage::Ejected { .. } => {
                self.usage = UpstreamUsage::Probing {
                    since: now,
                    next_probe_at: now + first_probe_in,
                    sent_at: None,
                };
                Some(EjectionChange::Probed)
            }
            UpstreamUsage::Probing { since, .. } => {
                let rate = sums.failure_rate();
                if sums.failures >= PROBE_FAILURES_MIN && rate >= EJECTED_FAILURE_RATE_MIN {
                    return Some(self.eject(now));
                }
                let is_probed = sums.calls >= PROBES_MIN && rate <= REINSTATED_FAILURE_RATE_MAX;
                let is_over = now.saturating_duration_since(since) >= PROBING_MAX;
                (is_probed || is_over).then(|| self.reinstate(now))
            }
        }
    }

    /// Ejects the upstream. The pause is longer after each recent ejection.
    pub(crate) fn eject(&mut self, now: Instant) -> EjectionChange {
        let is_forgotten = self
            .reinstated_at
            .is_some_and(|at| now.saturating_duration_since(at) >= RECORD_RETENTION);
        if is_forgotten {
            self.ejections = 0;
        }
        let pause = PAUSE_BASE.saturating_mul(1 << self.ejections.min(8));
        let pause = pause.min(PAUSE_MAX);
        self.ejections += 1;
        self.ejected_at = Some(now);
        self.usage = UpstreamUsage::Ejected { until: now + pause };
        EjectionChange::Ejected {
            pause,
            ejections: self.ejections,
        }
    }

    fn reinstate(&mut self, now: Instant) -> EjectionChange {
        self.usage = UpstreamUsage::FULL;
        self.reinstated_at = Some(now);
        EjectionChange::Reinstated
    }

    /// Whether the record still matters.
    pub(crate) fn is_retained(&self, now: Instant) -> bool {
        let is_within = |at: Instant, time| now.saturating_duration_since(at) < time;
        self.usage != UpstreamUsage::FULL
            || self
                .reinstated_at
                .is_some_and(|at| is_within(at, RECORD_RETENTION))
            || self
                .slowdown
                .is_some_and(|(_, at)| is_within(at, SLOWDOWN_RETENTION))
    }
}
