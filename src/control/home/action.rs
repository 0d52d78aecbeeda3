//! What a home wants done.

use crate::control::home::GrantStatus;
use crate::control::home::HomeAnswer;
use crate::control::home::HomeEvent;
use crate::units::AttemptId;
use crate::units::HostId;
use crate::units::UpstreamId;

/// What a home wants done. All of it may be lost: the home asks again by itself.
#[derive(Clone, Debug, PartialEq)]
pub enum HomeAction {
    /// The reply to the request that was just handled.
    Reply {
        /// The entry host that asked.
        to: HostId,
        /// The answer.
        answer: HomeAnswer,
    },
    /// A decision on a request that was told to wait before.
    Push {
        /// The entry host that waits.
        to: HostId,
        /// The answer.
        answer: HomeAnswer,
    },
    /// An engine's hold of memory has no owner any more: end the attempt there. Both that it was
    /// ended and that the engine does not know it are to be reported as `CancelConfirmed`.
    Cancel {
        /// The engine.
        upstream: UpstreamId,
        /// The attempt.
        attempt: AttemptId,
    },
    /// Ask an engine what it runs, and report it as `EngineListed` with the same number.
    ListAttempts {
        /// The engine.
        upstream: UpstreamId,
        /// The number that the report repeats.
        seq: u64,
    },
    /// Ask a host, which may be this one, to announce its grants of this pool now.
    RequestAnnouncement {
        /// The host.
        to: HostId,
    },
}

impl HomeAction {
    /// What a host that is not the home of a pool does with an event for it.
    pub fn not_home(event: &HomeEvent) -> Option<Self> {
        let HomeEvent::Request { from, work } = event else {
            return None;
        };
        let answer = HomeAnswer {
            request: work.request,
            status: GrantStatus::NotHome,
        };
        Some(Self::Reply {
            to: from.clone(),
            answer,
        })
    }
}
