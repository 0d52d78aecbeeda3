//! Ejection of upstreams that fail or are slow, and probing of ejected ones with one request at a
//! time.
//!
//! Load condition: a dead upstream, or one that is many times slower than the others, looks idle.
//! Without ejection the load balancing sends new work to it, and this work fails.

use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use rand::rngs::StdRng;

use crate::decide::AttemptOutcome;
use crate::decide::UpstreamInfo;
use crate::units::BoundedTime;

/// The number of consecutive failures that eject an upstream. A single failure may be caused by the
/// request, and two may be a coincidence.
const CONSECUTIVE_FAILURES_MAX: u32 = 3;
/// The number of refusals without a completed attempt in between that count as one failure. A
/// healthy engine refuses requests while it is full.
const REFUSALS_PER_FAILURE: u32 = 10;
/// How long the first ejection lasts.
const PAUSE_FIRST: Duration = Duration::from_secs(2);
/// The longest ejection before a probe.
const PAUSE_MAX: Duration = Duration::from_secs(60);
/// The number of consecutive probes that must succeed before an upstream is reinstated.
const PROBE_SUCCESSES_REQUIRED: u32 = 2;
/// The time after which an unfinished probe no longer blocks the next one.
const PROBE_TIMEOUT: Duration = Duration::from_secs(30);

/// Which requests an upstream may receive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Access {
    /// All requests.
    Full,
    /// One short request as a probe.
    Probe,
    /// No requests.
    Denied,
}

/// The ejection state of one upstream, with the counts that lead to it.
#[derive(Clone, Debug, Default)]
pub struct Ejection {
    state: EjectionState,
    /// Consecutive failures.
    failures: u32,
    /// Refusals since the last completed attempt that have not counted as a failure yet.
    refusals: u32,
    /// Consecutive ejections with no reinstatement in between.
    consecutive_ejections: u32,
}

/// Whether an upstream is active, ejected, or being probed.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
enum EjectionState {
    /// The upstream receives all requests.
    #[default]
    Active,
    /// The upstream receives no requests until `until`, and then one probe.
    Ejected { until: Instant },
    /// The upstream receives one probe at a time.
    Probing {
        /// Consecutive successful probes.
        succeeded: u32,
        /// When the running probe was sent; none if no probe is running.
        sent_at: Option<Instant>,
    },
}

/// What the caller of [`Ejection::on_end`] has to do after an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EjectionAction {
    /// Nothing: the upstream is neither ejected nor reinstated.
    NoChange,
    /// Call [`Ejection::eject`], unless too many upstreams are ejected already.
    Eject,
    /// Start the warm-up of the upstream, which is active again: all required probes have
    /// succeeded.
    Reinstate,
}

impl Ejection {
    /// Which requests the upstream may receive at `now`: none while the upstream is leaving.
    pub fn access_of(&self, upstream: &UpstreamInfo, now: Instant) -> Access {
        if upstream.is_live() {
            self.access(now)
        } else {
            Access::Denied
        }
    }

    /// Which requests the upstream may receive at `now`, whether or not the upstream is leaving.
    pub fn access(&self, now: Instant) -> Access {
        match self.state {
            EjectionState::Active => Access::Full,
            EjectionState::Ejected { until } if now < until => Access::Denied,
            EjectionState::Ejected { .. } => Access::Probe,
            EjectionState::Probing { sent_at, .. } => {
                let is_pending = |at| now.saturating_duration_since(at) < PROBE_TIMEOUT;
                if sent_at.is_some_and(is_pending) {
                    Access::Denied
                } else {
                    Access::Probe
                }
            }
        }
    }

    /// Whether the upstream is ejected or being probed.
    pub fn is_ejected(&self) -> bool {
        self.state != EjectionState::Active
    }

    /// When an ejected upstream may be probed; none if the upstream is active or being probed.
    pub fn probe_at(&self) -> Option<Instant> {
        match self.state {
            EjectionState::Ejected { until } => Some(until),
            EjectionState::Active | EjectionState::Probing { .. } => None,
        }
    }

    /// Records that a request was granted to the upstream. If the upstream is ejected, the request
    /// is a probe.
    pub fn on_grant(&mut self, now: Instant) {
        let succeeded = match self.state {
            EjectionState::Active => return,
            EjectionState::Ejected { .. } => 0,
            EjectionState::Probing { succeeded, .. } => succeeded,
        };
        self.state = EjectionState::Probing {
            succeeded,
            sent_at: Some(now),
        };
    }

    /// Records the end of an attempt on the upstream. An upstream that is to be ejected stays in
    /// its state until [`Self::eject`] is called.
    pub fn on_end(&mut self, outcome: AttemptOutcome) -> EjectionAction {
        match outcome {
            AttemptOutcome::Completed => self.on_success(),
            AttemptOutcome::Cancelled => EjectionAction::NoChange,
            AttemptOutcome::Failed | AttemptOutcome::NotSent => self.on_failure(),
            AttemptOutcome::Refused => self.on_refusal(),
        }
    }

    /// Ejects the upstream. The pause doubles with each consecutive ejection, up to `PAUSE_MAX`,
    /// and is jittered by a quarter.
    pub fn eject(&mut self, now: Instant, rng: &mut StdRng) {
        let pause = PAUSE_FIRST
            .saturating_mul(1 << self.consecutive_ejections.min(8))
            .min(PAUSE_MAX);
        self.consecutive_ejections += 1;
        self.failures = 0;
        self.state = EjectionState::Ejected {
            until: now + pause.scaled(rng.random_range(0.75..1.25)),
        };
    }

    /// Resets the counts, and reinstates an upstream whose probes have all succeeded.
    fn on_success(&mut self) -> EjectionAction {
        self.failures = 0;
        self.refusals = 0;
        let EjectionState::Probing { succeeded, .. } = self.state else {
            return EjectionAction::NoChange;
        };
        if succeeded + 1 < PROBE_SUCCESSES_REQUIRED {
            self.state = EjectionState::Probing {
                succeeded: succeeded + 1,
                sent_at: None,
            };
            return EjectionAction::NoChange;
        }
        self.state = EjectionState::Active;
        self.consecutive_ejections = 0;
        EjectionAction::Reinstate
    }

    /// Counts a failure. The failure of a probe ejects the upstream again at once.
    fn on_failure(&mut self) -> EjectionAction {
        self.failures += 1;
        let is_probe = matches!(self.state, EjectionState::Probing { .. });
        let is_active = self.state == EjectionState::Active;
        if is_probe || (is_active && self.failures >= CONSECUTIVE_FAILURES_MAX) {
            EjectionAction::Eject
        } else {
            EjectionAction::NoChange
        }
    }

    /// Counts a refusal. Every [`REFUSALS_PER_FAILURE`]th one without a completed attempt in
    /// between counts as a failure.
    fn on_refusal(&mut self) -> EjectionAction {
        self.refusals += 1;
        if self.refusals < REFUSALS_PER_FAILURE {
            return EjectionAction::NoChange;
        }
        self.refusals = 0;
        self.on_failure()
    }
}
