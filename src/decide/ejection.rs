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

/// Consecutive failures that eject an upstream. A single failure may be caused by the request, and
/// two may be a coincidence.
const CONSECUTIVE_FAILURES_MAX: u32 = 3;
/// Consecutive refusals that count as one failure. A healthy engine refuses requests while it is
/// full.
const REFUSALS_PER_FAILURE: u32 = 10;
const PAUSE_FIRST: Duration = Duration::from_secs(2);
const PAUSE_MAX: Duration = Duration::from_secs(60);
/// Consecutive probes that must succeed before an upstream is reinstated.
const PROBE_SUCCESSES_REQUIRED: u32 = 2;
/// Time after which an unfinished probe no longer blocks the next one.
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

/// The ejection state of one upstream.
#[derive(Clone, Debug, Default)]
pub struct Ejection {
    state: State,
    failures: u32,
    refusals: u32,
    /// Consecutive ejections with no reinstatement in between.
    consecutive_ejections: u32,
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
enum State {
    #[default]
    Active,
    Ejected {
        until: Instant,
    },
    Probing {
        succeeded: u32,
        sent_at: Option<Instant>,
    },
}

/// The consequence of the end of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EjectionAction {
    /// The state of the upstream does not change.
    NoChange,
    /// The upstream should be ejected unless too many upstreams are ejected already.
    Eject,
    /// All required probes have succeeded. The upstream is active again and warms up.
    Reinstate,
}

impl Ejection {
    /// Which requests the upstream may receive at `now`: none while it is leaving.
    pub fn access_of(&self, seen: &UpstreamInfo, now: Instant) -> Access {
        if seen.is_live() {
            self.access(now)
        } else {
            Access::Denied
        }
    }

    /// Which requests the upstream may receive at `now`, whether or not it is leaving.
    pub fn access(&self, now: Instant) -> Access {
        match self.state {
            State::Active => Access::Full,
            State::Ejected { until } if now < until => Access::Denied,
            State::Ejected { .. } => Access::Probe,
            State::Probing { sent_at, .. } => {
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
        self.state != State::Active
    }

    /// When an ejected upstream may be probed; none if the upstream is active or being probed.
    pub fn probe_at(&self) -> Option<Instant> {
        match self.state {
            State::Ejected { until } => Some(until),
            State::Active | State::Probing { .. } => None,
        }
    }

    /// Records that a request was granted to the upstream. On an ejected upstream this is a probe.
    pub fn on_grant(&mut self, now: Instant) {
        let succeeded = match self.state {
            State::Active => return,
            State::Ejected { .. } => 0,
            State::Probing { succeeded, .. } => succeeded,
        };
        self.state = State::Probing {
            succeeded,
            sent_at: Some(now),
        };
    }

    /// Records the end of an attempt on the upstream.
    pub fn on_end(&mut self, ended: AttemptOutcome) -> EjectionAction {
        match ended {
            AttemptOutcome::Completed => self.on_success(),
            AttemptOutcome::Cancelled => EjectionAction::NoChange,
            AttemptOutcome::Failed | AttemptOutcome::NotSent => self.on_failure(),
            AttemptOutcome::Refused => self.on_refusal(),
        }
    }

    /// Ejects the upstream. The pause doubles with each consecutive ejection, up to [`PAUSE_MAX`],
    /// and is jittered by a quarter.
    pub fn eject(&mut self, now: Instant, rng: &mut StdRng) {
        let pause = PAUSE_FIRST
            .saturating_mul(1 << self.consecutive_ejections.min(8))
            .min(PAUSE_MAX);
        self.consecutive_ejections += 1;
        self.failures = 0;
        self.state = State::Ejected {
            until: now + pause.mul_f64(rng.random_range(0.75..1.25)),
        };
    }

    fn on_success(&mut self) -> EjectionAction {
        self.failures = 0;
        self.refusals = 0;
        let State::Probing { succeeded, .. } = self.state else {
            return EjectionAction::NoChange;
        };
        if succeeded + 1 < PROBE_SUCCESSES_REQUIRED {
            self.state = State::Probing {
                succeeded: succeeded + 1,
                sent_at: None,
            };
            return EjectionAction::NoChange;
        }
        self.state = State::Active;
        self.consecutive_ejections = 0;
        EjectionAction::Reinstate
    }

    fn on_failure(&mut self) -> EjectionAction {
        self.failures += 1;
        let is_probe = matches!(self.state, State::Probing { .. });
        let is_active = self.state == State::Active;
        if is_probe || (is_active && self.failures >= CONSECUTIVE_FAILURES_MAX) {
            EjectionAction::Eject
        } else {
            EjectionAction::NoChange
        }
    }

    fn on_refusal(&mut self) -> EjectionAction {
        self.refusals += 1;
        if self.refusals < REFUSALS_PER_FAILURE {
            return EjectionAction::NoChange;
        }
        self.refusals = 0;
        self.on_failure()
    }
}
