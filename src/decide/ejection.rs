//! Taking upstreams out that fail or are slow, and trying them again with one request at a time.
//!
//! Load it answers: an upstream that is dead, or many times slower than the others, and looks idle
//! for just that reason. Without ejection it draws new work to itself and fails it.

use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use rand::rngs::StdRng;

use crate::decide::AttemptOutcome;
use crate::decide::UpstreamInfo;

/// Failures in a row. One may be the request's fault and two a coincidence.
const FAILURES_MAX: u32 = 3;
/// Refusals in a row that count as a failure: an engine that is full says so and is well.
const REFUSALS_PER_FAILURE: u32 = 10;
const PAUSE_FIRST: Duration = Duration::from_secs(2);
const PAUSE_MAX: Duration = Duration::from_secs(60);
/// Probes that must succeed, one after the other.
const PROBES_WANTED: u32 = 2;
/// How long a probe may take before another is tried.
const PROBE_MAX: Duration = Duration::from_secs(30);

/// What an upstream may get.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Access {
    /// Work as usual.
    Open,
    /// One short request, to see.
    Probe,
    /// Nothing.
    Closed,
}

/// The state of one upstream.
#[derive(Clone, Debug, Default)]
pub struct Ejection {
    state: State,
    failures: u32,
    refusals: u32,
    /// Ejections without a success in between.
    rounds: u32,
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
enum State {
    #[default]
    In,
    Out {
        until: Instant,
    },
    Probing {
        succeeded: u32,
        sent_at: Option<Instant>,
    },
}

/// What follows from the end of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EjectionStep {
    /// Nothing changes.
    Stay,
    /// It should be taken out, if not too many are out already.
    Eject,
    /// Its probes have succeeded: it is back and begins with little work.
    Return,
}

impl Ejection {
    /// What an upstream may get now; nothing when it is leaving.
    pub fn access_of(&self, seen: &UpstreamInfo, now: Instant) -> Access {
        if seen.is_live() {
            self.access(now)
        } else {
            Access::Closed
        }
    }

    /// What it may get now.
    pub fn access(&self, now: Instant) -> Access {
        match self.state {
            State::In => Access::Open,
            State::Out { until } if now < until => Access::Closed,
            State::Out { .. } => Access::Probe,
            State::Probing { sent_at, .. } => {
                let is_open = |at| now.saturating_duration_since(at) < PROBE_MAX;
                if sent_at.is_some_and(is_open) {
                    Access::Closed
                } else {
                    Access::Probe
                }
            }
        }
    }

    /// Whether it is out or on probe.
    pub fn is_out(&self) -> bool {
        self.state != State::In
    }

    /// When it may be probed, if it is out.
    pub fn probe_at(&self) -> Option<Instant> {
        match self.state {
            State::Out { until } => Some(until),
            State::In | State::Probing { .. } => None,
        }
    }

    /// Takes in a grant.
    pub fn on_grant(&mut self, now: Instant) {
        let succeeded = match self.state {
            State::In => return,
            State::Out { .. } => 0,
            State::Probing { succeeded, .. } => succeeded,
        };
        self.state = State::Probing {
            succeeded,
            sent_at: Some(now),
        };
    }

    /// Takes in the end of an attempt.
    pub fn on_end(&mut self, ended: AttemptOutcome) -> EjectionStep {
        match ended {
            AttemptOutcome::Completed => self.on_success(),
            AttemptOutcome::Cancelled => EjectionStep::Stay,
            AttemptOutcome::Failed | AttemptOutcome::NotSent => self.on_failure(),
            AttemptOutcome::Refused => self.on_refusal(),
        }
    }

    /// Takes it out for a pause that doubles each time.
    pub fn eject(&mut self, now: Instant, rng: &mut StdRng) {
        let pause = PAUSE_FIRST
            .saturating_mul(1 << self.rounds.min(8))
            .min(PAUSE_MAX);
        self.rounds += 1;
        self.failures = 0;
        self.state = State::Out {
            until: now + pause.mul_f64(rng.random_range(0.75..1.25)),
        };
    }

    fn on_success(&mut self) -> EjectionStep {
        self.failures = 0;
        self.refusals = 0;
        let State::Probing { succeeded, .. } = self.state else {
            return EjectionStep::Stay;
        };
        if succeeded + 1 < PROBES_WANTED {
            self.state = State::Probing {
                succeeded: succeeded + 1,
                sent_at: None,
            };
            return EjectionStep::Stay;
        }
        self.state = State::In;
        self.rounds = 0;
        EjectionStep::Return
    }

    fn on_failure(&mut self) -> EjectionStep {
        self.failures += 1;
        let is_probe = matches!(self.state, State::Probing { .. });
        let is_in = self.state == State::In;
        if is_probe || (is_in && self.failures >= FAILURES_MAX) {
            EjectionStep::Eject
        } else {
            EjectionStep::Stay
        }
    }

    fn on_refusal(&mut self) -> EjectionStep {
        self.refusals += 1;
        if self.refusals < REFUSALS_PER_FAILURE {
            return EjectionStep::Stay;
        }
        self.refusals = 0;
        self.on_failure()
    }
}
