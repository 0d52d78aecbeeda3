//! The phases of a graceful shutdown.

use std::time::Duration;
use std::time::Instant;

/// How long a host that was asked to stop goes on serving new requests, on existing and new
/// connections. The balancer checks readiness once a second and removes a host after two failed
/// checks, and connections already on their way still arrive after that. The response to a long
/// request accepted later than this would be truncated when the process ends.
const ACCEPT_DURATION: Duration = Duration::from_millis(2_600);
/// The part of the grace period reserved for the exit of the process before it is killed: the last
/// lines of the log are collected and written, which takes up to half a second on a busy host.
const EXIT_MARGIN: Duration = Duration::from_millis(800);
/// The largest fraction of a short grace period that is reserved for the exit.
const EXIT_MARGIN_FRACTION: u32 = 6;
/// The time before the exit in which the calls that have no answer yet get one: that they may have run,
/// or have not.
const ANSWER_MARGIN: Duration = Duration::from_millis(250);

/// The time before the exit in which no more calls are sent to upstreams: most answers take longer
/// than this, and the caller of a refused call can still reach another host.
const UNSENT_MARGIN: Duration = Duration::from_secs(1);

/// The phases of a host from serving to its exit, in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShutdownPhase {
    /// The host serves requests.
    Serving,
    /// The host reports itself as not ready to the balancer, and closes each connection after its
    /// next response.
    Draining,
    /// The host closes idle connections, refuses new requests, and waits for running ones.
    Refusing,
    /// The host refuses calls that have not run yet, and waits for those that upstreams are running.
    Completing,
    /// The host answers the calls that no upstream has answered, and cuts none but streams.
    Answering,
    /// The grace period is over, and the process exits even if requests are still running.
    Expired,
}

impl ShutdownPhase {
    /// The phase of a host that was asked to stop at `requested_at` and is killed `grace` later.
    pub fn at(requested_at: Option<Instant>, grace: Duration, now: Instant) -> Self {
        let Some(requested_at) = requested_at else {
            return Self::Serving;
        };
        let elapsed = now.saturating_duration_since(requested_at);
        let refusing_after = ACCEPT_DURATION.min(grace / 2);
        let exit_after = exit_after(grace);
        let completing_after = exit_after.saturating_sub(UNSENT_MARGIN).max(refusing_after);
        if elapsed >= exit_after {
            Self::Expired
        } else if elapsed + ANSWER_MARGIN >= exit_after {
            Self::Answering
        } else if elapsed >= completing_after {
            Self::Completing
        } else if elapsed >= refusing_after {
            Self::Refusing
        } else {
            Self::Draining
        }
    }
}

/// How long after the request to stop the process exits.
fn exit_after(grace: Duration) -> Duration {
    grace.saturating_sub(EXIT_MARGIN.min(grace / EXIT_MARGIN_FRACTION))
}

/// Whether a call that takes so long would end before the process exits.
pub(crate) fn ends_in_time(
    requested_at: Option<Instant>,
    grace: Duration,
    takes: Duration,
    now: Instant,
) -> bool {
    requested_at.is_none_or(|requested_at| {
        let elapsed = now.saturating_duration_since(requested_at);
        elapsed + takes + ANSWER_MARGIN < exit_after(grace)
    })
}
