//! Runs the graceful shutdown of a host.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use tokio::time::sleep;

use crate::control::drain::DrainAction;
use crate::control::drain::DrainConf;
use crate::control::drain::DrainController;
use crate::control::drain::DrainEvent;
use crate::daemon::host::Host;
use crate::settings::DrainSettings;

/// How often the shutdown checks what remains in flight.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The pause between the end of the last request and the exit, in which the last replies are
/// written to their connections.
const FLUSH_DELAY: Duration = Duration::from_millis(200);

/// The graceful shutdown of a host.
pub(crate) struct Drain {
    controller: Mutex<DrainController>,
}

impl Drain {
    pub(crate) fn new(settings: &DrainSettings, now: Instant) -> Self {
        Self {
            controller: Mutex::new(DrainController::new(DrainConf::from(settings), now)),
        }
    }

    /// Whether the load balancer may send requests, as far as the shutdown is concerned.
    pub(crate) fn is_ready(&self) -> bool {
        self.lock().is_ready()
    }

    /// Shuts the host down and returns the exit code.
    pub(crate) async fn run(&self, host: &Host) -> i32 {
        if let Some(code) = self.step(host, DrainEvent::Signal) {
            return code;
        }
        loop {
            sleep(POLL_INTERVAL).await;
            let remaining = DrainEvent::Remaining {
                in_flight: host.entry.in_flight.count(),
                claims: host.entry.claims.pending(),
            };
            if let Some(code) = self.step(host, remaining) {
                sleep(FLUSH_DELAY).await;
                return code;
            }
        }
    }

    /// Handles the second signal and returns the exit code for an immediate exit.
    pub(crate) fn abort(&self, host: &Host) -> i32 {
        self.step(host, DrainEvent::Signal).unwrap_or(1)
    }

    /// Passes an event to the drain controller, performs its actions, and returns the exit code
    /// once the host must exit.
    fn step(&self, host: &Host, event: DrainEvent) -> Option<i32> {
        let actions = self.lock().handle(event, host.clock.now());
        let mut code = None;
        for action in actions {
            match action {
                DrainAction::AnnounceLeaving => host.membership.leave(),
                DrainAction::HandOverHomes => host.homes.shut_down(),
                DrainAction::StopAccepting => {
                    host.entry.in_flight.close();
                    host.stop_callers.send_replace(true);
                }
                DrainAction::Exit(exit) => code = Some(exit),
            }
        }
        code
    }

    fn lock(&self) -> MutexGuard<'_, DrainController> {
        self.controller
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
