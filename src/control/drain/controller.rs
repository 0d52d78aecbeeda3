//! The state machine of a graceful shutdown.

use std::time::Duration;
use std::time::Instant;

use crate::settings::DrainSettings;

/// Durations of the phases of a shutdown.
#[derive(Clone, Debug, PartialEq)]
pub struct DrainConf {
    /// How long new work is still accepted after readiness fails. The load balancer polls readiness
    /// every few seconds and goes on sending requests until it has seen the failure; these requests
    /// must not be refused.
    pub notice: Duration,
    /// How long to wait, once no request is in flight, until the platform has recorded that all
    /// claims of this host were released or have ended. A claim that is left behind makes a resend
    /// of its request report "may have run", which does not justify waiting longer while the
    /// platform is unavailable.
    pub claims_timeout: Duration,
}

impl From<&DrainSettings> for DrainConf {
    fn from(settings: &DrainSettings) -> Self {
        Self {
            notice: Duration::from_millis(settings.notice_ms),
            claims_timeout: Duration::from_secs(10),
        }
    }
}

/// The phase of a shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainPhase {
    /// No shutdown was requested.
    Serving,
    /// Readiness fails, and new work is still accepted.
    Notice,
    /// New work is refused with "not run"; requests in flight continue.
    Draining,
    /// No request is in flight; the platform is being told which claims are released or have ended.
    ReleasingClaims,
    /// The process exits.
    Exiting,
}

/// Input of the shutdown state machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainEvent {
    /// The process received SIGTERM or SIGINT.
    Signal,
    /// The amount of work that remains.
    Remaining {
        /// Requests that have not ended, including queued ones.
        in_flight: usize,
        /// Claims whose release or end the platform has not recorded yet.
        claims: usize,
    },
    /// Time has passed; see [`DrainController::next_wake`].
    Tick,
}

/// An action that the shutdown state machine requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainAction {
    /// Announce through the membership that this host is leaving, so that it becomes the home of no
    /// further pool.
    AnnounceLeaving,
    /// Hand over all homes of this host to other hosts.
    HandOverHomes,
    /// Stop accepting callers' connections, and close idle ones.
    StopAccepting,
    /// Exit the process with this code.
    Exit(i32),
}

/// Exit code after a second signal, which ends the process without waiting for the requests in
/// flight.
const EXIT_CODE_FORCED: i32 = 1;

/// Shuts a host down: readiness fails, work is still accepted until the load balancer has noticed,
/// the homes are handed over, and the process exits once no request is in flight.
///
/// The failure this guards against: a request is interrupted or its connection refused because the
/// host closed its port before the load balancer noticed. [`DrainPhase::Draining`] has no time
/// limit of its own, since each request in flight has one.
#[derive(Clone, Debug)]
pub struct DrainController {
    conf: DrainConf,
    phase: DrainPhase,
    phase_started_at: Instant,
    in_flight: usize,
    claims: usize,
}

impl DrainController {
    /// A controller in the phase [`DrainPhase::Serving`].
    pub fn new(conf: DrainConf, now: Instant) -> Self {
        Self {
            conf,
            phase: DrainPhase::Serving,
            phase_started_at: now,
            in_flight: 0,
            claims: 0,
        }
    }

    /// The current phase.
    pub fn phase(&self) -> DrainPhase {
        self.phase
    }

    /// Whether the load balancer may send work to this host, as far as the shutdown is concerned.
    pub fn is_ready(&self) -> bool {
        self.phase == DrainPhase::Serving
    }

    /// Whether new work is accepted. Where it is not, callers get "not run" with a Retry-After
    /// header; by the time they retry, the load balancer has chosen another host.
    pub fn accepts_work(&self) -> bool {
        matches!(self.phase, DrainPhase::Serving | DrainPhase::Notice)
    }

    /// When the next [`DrainEvent::Tick`] is due; `None` if the current phase has no time limit.
    pub fn next_wake(&self) -> Option<Instant> {
        match self.phase {
            DrainPhase::Notice => Some(self.phase_started_at + self.conf.notice),
            DrainPhase::ReleasingClaims => Some(self.phase_started_at + self.conf.claims_timeout),
            DrainPhase::Serving | DrainPhase::Draining | DrainPhase::Exiting => None,
        }
    }

    /// Handles an event and returns the resulting actions.
    pub fn handle(&mut self, event: DrainEvent, now: Instant) -> Vec<DrainAction> {
        let mut actions = Vec::new();
        match event {
            DrainEvent::Signal => self.on_signal(now, &mut actions),
            DrainEvent::Remaining { in_flight, claims } => {
                self.in_flight = in_flight;
                self.claims = claims;
            }
            DrainEvent::Tick => (),
        }
        self.advance(now, &mut actions);
        actions
    }

    /// Starts the shutdown at the first signal. A second signal exits at once and interrupts the
    /// requests in flight.
    fn on_signal(&mut self, now: Instant, actions: &mut Vec<DrainAction>) {
        match self.phase {
            DrainPhase::Serving => {
                log::info!(
                    "drain: started, readiness fails, {} requests in flight",
                    self.in_flight
                );
                self.enter_phase(DrainPhase::Notice, now);
                actions.push(DrainAction::AnnounceLeaving);
            }
            DrainPhase::Exiting => (),
            DrainPhase::Notice | DrainPhase::Draining | DrainPhase::ReleasingClaims => {
                log::warn!(
                    "drain: second signal, {} requests interrupted",
                    self.in_flight
                );
                self.enter_phase(DrainPhase::Exiting, now);
                actions.push(DrainAction::Exit(EXIT_CODE_FORCED));
            }
        }
    }

    /// Enters the next phases whose conditions are met, and requests the actions that belong to
    /// them.
    fn advance(&mut self, now: Instant, actions: &mut Vec<DrainAction>) {
        let waited = |limit: Duration| now.duration_since(self.phase_started_at) >= limit;
        if self.phase == DrainPhase::Notice && waited(self.conf.notice) {
            self.enter_phase(DrainPhase::Draining, now);
            actions.push(DrainAction::HandOverHomes);
            actions.push(DrainAction::StopAccepting);
        }
        if self.phase == DrainPhase::Draining && self.in_flight == 0 {
            self.enter_phase(DrainPhase::ReleasingClaims, now);
        }
        let waited = now.duration_since(self.phase_started_at) >= self.conf.claims_timeout;
        if self.phase == DrainPhase::ReleasingClaims && (self.claims == 0 || waited) {
            log::info!(
                "drain: finished, {} claims not recorded by the platform",
                self.claims
            );
            self.enter_phase(DrainPhase::Exiting, now);
            actions.push(DrainAction::Exit(0));
        }
    }

    /// Changes the phase and restarts the timer of the phase. Requests no action.
    fn enter_phase(&mut self, phase: DrainPhase, now: Instant) {
        self.phase = phase;
        self.phase_started_at = now;
    }
}
