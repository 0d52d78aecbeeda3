//! How far a host has come in stopping.

use std::time::Duration;
use std::time::Instant;

/// How long a stopping host goes on taking requests on kept and new connections: the balancer asks
/// once a second and takes a host out after two answers, and what is on its way then still comes. A
/// long answer to a request that was taken later would be cut off by the end of the process.
const STILL_TAKING: Duration = Duration::from_millis(2_600);
/// What is left of the grace for the process itself to end before it is killed: the last lines of the
/// log are gathered and written, which takes up to half a second on a busy host.
const END_MARGIN: Duration = Duration::from_millis(800);

/// What a host does with its connections; later phases are greater.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DrainPhase {
    /// It serves.
    Serving,
    /// It tells the balancer that it leaves, and closes each connection after its next answer.
    Leaving,
    /// It closes idle connections, turns away what still comes, and waits for the requests that run.
    Finishing,
    /// Its time is up: it ends with whatever still runs.
    Over,
}

impl DrainPhase {
    /// The phase of a host that was asked to stop at `asked_at` and is killed `grace` later.
    pub fn at(asked_at: Option<Instant>, grace: Duration, now: Instant) -> Self {
        let Some(asked_at) = asked_at else {
            return Self::Serving;
        };
        let since = now.saturating_duration_since(asked_at);
        if since >= grace.saturating_sub(END_MARGIN) {
            Self::Over
        } else if since >= STILL_TAKING.min(grace / 2) {
            Self::Finishing
        } else {
            Self::Leaving
        }
    }
}
