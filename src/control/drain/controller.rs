//! The state machine of a shutdown.

use std::time::Duration;
use std::time::Instant;

use crate::settings::DrainSettings;

/// The times of a shutdown.
#[derive(Clone, Debug, PartialEq)]
pub struct DrainConf {
    /// How long new work is still taken after readiness fails. The balancer asks for readiness every
    /// few seconds; until it has seen that it fails, it goes on sending, and what it sends must not
    /// be turned away.
    pub notice: Duration,
    /// How long to wait, when nothing is in flight any more, for claims to be given back or ended in
    /// the platform. A claim left behind makes a resend "may have run", which is no harm worth
    /// staying for while the platform is away.
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

/// How far a shutdown is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainPhase {
    /// There is none.
    Serving,
    /// Readiness fails, and new work is still taken.
    Notice,
    /// New work is turned away, not run; what is in flight goes on.
    Draining,
    /// Nothing is in flight; claims are being brought to the platform.
    ReleasingClaims,
    /// The process ends.
    Exiting,
}

/// What a shutdown hears.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainEvent {
    /// SIGTERM or SIGINT.
    Signal,
    /// How much is left.
    Remaining {
        /// Requests of callers that have not ended, queued ones included.
        in_flight: usize,
        /// Claims that the platform does not know the end of.
        claims: usize,
    },
    /// Time has passed.
    Tick,
}

/// What a shutdown wants done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainAction {
    /// Tell membership that this host is leaving, so that no home is given to it.
    AnnounceLeaving,
    /// Hand over all homes of this host.
    HandOverHomes,
    /// Stop accepting callers' connections, and close idle ones.
    StopAccepting,
    /// End the process with this code.
    Exit(i32),
}

/// A second signal ends the process as one that was not shut down in an orderly way.
const EXIT_CODE_FORCED: i32 = 1;

/// Shuts a host down: it fails readiness, goes on taking work until the balancer has seen it, hands
/// its homes over, and ends when nothing is in flight.
///
/// The failure this guards against: a request is cut off, or turned away by a closed port, because
/// the host went faster than the balancer looks. No phase after `Notice` ends by time as long as a
/// caller waits: each request has a limit of its own.
#[derive(Clone, Debug)]
pub struct DrainController {
    conf: DrainConf,
    phase: DrainPhase,
    phase_started_at: Instant,
    in_flight: usize,
    claims: usize,
}

impl DrainController {
    /// A host that serves.
    pub fn new(conf: DrainConf, now: Instant) -> Self {
        Self {
            conf,
            phase: DrainPhase::Serving,
            phase_started_at: now,
            in_flight: 0,
            claims: 0,
        }
    }

    /// How far it is.
    pub fn phase(&self) -> DrainPhase {
        self.phase
    }

    /// Whether the balancer may send work, as far as the shutdown is concerned.
    pub fn is_ready(&self) -> bool {
        self.phase == DrainPhase::Serving
    }

    /// Whether new work is taken. Where not, it is told "not run", with Retry-After: the balancer
    /// will have chosen another host by then.
    pub fn accepts_work(&self) -> bool {
        matches!(self.phase, DrainPhase::Serving | DrainPhase::Notice)
    }

    /// When [`DrainEvent::Tick`] is due.
    pub fn next_wake(&self) -> Option<Instant> {
        match self.phase {
            DrainPhase::Notice => Some(self.phase_started_at + self.conf.notice),
            DrainPhase::ReleasingClaims => Some(self.phase_started_at + self.conf.claims_timeout),
            DrainPhase::Serving | DrainPhase::Draining | DrainPhase::Exiting => None,
        }
    }

    /// Takes in an event and returns what is to be done.
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

    fn on_signal(&mut self, now: Instant, actions: &mut Vec<DrainAction>) {
        match self.phase {
            DrainPhase::Serving => {
                log::info!("drain: readiness fails, {} in flight", self.in_flight);
                self.enter(DrainPhase::Notice, now);
                actions.push(DrainAction::AnnounceLeaving);
            }
            DrainPhase::Exiting => (),
            DrainPhase::Notice | DrainPhase::Draining | DrainPhase::ReleasingClaims => {
                log::warn!("drain: second signal, {} cut off", self.in_flight);
                self.enter(DrainPhase::Exiting, now);
                actions.push(DrainAction::Exit(EXIT_CODE_FORCED));
            }
        }
    }

    fn advance(&mut self, now: Instant, actions: &mut Vec<DrainAction>) {
        let waited = |limit: Duration| now.duration_since(self.phase_started_at) >= limit;
        if self.phase == DrainPhase::Notice && waited(self.conf.notice) {
            self.enter(DrainPhase::Draining, now);
            actions.push(DrainAction::HandOverHomes);
            actions.push(DrainAction::StopAccepting);
        }
        if self.phase == DrainPhase::Draining && self.in_flight == 0 {
            self.enter(DrainPhase::ReleasingClaims, now);
        }
        let waited = now.duration_since(self.phase_started_at) >= self.conf.claims_timeout;
        if self.phase == DrainPhase::ReleasingClaims && (self.claims == 0 || waited) {
            log::info!("drain: done, {} claims left", self.claims);
            self.enter(DrainPhase::Exiting, now);
            actions.push(DrainAction::Exit(0));
        }
    }

    fn enter(&mut self, phase: DrainPhase, now: Instant) {
        self.phase = phase;
        self.phase_started_at = now;
    }
}
