//! How far a host has come in stopping.

use std::time::Duration;
use std::time::Instant;

/// How long a stopping host goes on taking requests on kept and new connections: the balancer asks
/// once a second and takes a host out after two answers, and what is on its way then still comes. A
/// long answer to a request that was taken later would be cut off by the end of the process.
const ACCEPT_TIME: Duration = Duration::from_millis(2_600);
/// What is left of the grace for the process itself to end before it is killed: the last lines of the
/// log are gathered and written, which takes up to half a second on a busy host.
const EXIT_MARGIN: Duration = Duration::from_millis(800);

/// What a host does with its connections; later phases are greater.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShutdownPhase {
    /// It serves.
    Serving,
    /// It tells the balancer that it leaves, and closes each connection after its next answer.
    Draining,
    /// It closes idle connections, turns away what still comes, and waits for the requests that run.
    Refusing,
    /// Its time is up: it ends with whatever still runs.
    Expired,
}

impl ShutdownPhase {
    /// The phase of a host that was asked to stop at `asked_at` and is killed `grace` later.
    pub fn at(asked_at: Option<Instant>, grace: Duration, now: Instant) -> Self {
        let Some(asked_at) = asked_at else {
            return Self::Serving;
        };
        let since = now.saturating_duration_since(asked_at);
        if since >= grace.saturating_sub(EXIT_MARGIN) {
            Self::Expired
        } else if since >= ACCEPT_TIME.min(grace / 2) {
            Self::Refusing
        } else {
            Self::Draining
        }
    }
}
