//! The actions that a home asks its host to carry out.

use crate::control::home::GrantStatus;
use crate::control::home::HomeAnswer;
use crate::control::home::HomeEvent;
use crate::units::AttemptId;
use crate::units::HostId;
use crate::units::UpstreamId;

/// An action that a home asks its host to carry out. Any action may be lost: the home repeats those
/// that it still needs.
#[derive(Clone, Debug, PartialEq)]
pub enum HomeAction {
    /// Reply to the request that was just handled.
    Reply {
        /// The entry host that sent the request.
        to: HostId,
        /// The answer to the request.
        answer: HomeAnswer,
    },
    /// Send the decision on a request that was queued before.
    Push {
        /// The entry host that waits for the decision.
        to: HostId,
        /// The answer to the request.
        answer: HomeAnswer,
    },
    /// Cancel an attempt that holds engine memory and has no owner any more. The host reports
    /// [`HomeEvent::CancelConfirmed`] both if the engine has ended the attempt and if it does not
    /// know the attempt.
    Cancel {
        /// The engine that holds memory for the attempt.
        upstream: UpstreamId,
        /// The attempt to cancel.
        attempt: AttemptId,
    },
    /// Ask an engine for its running attempts. The host reports them as
    /// [`HomeEvent::EngineListed`] with the same sequence number.
    ListAttempts {
        /// The engine to ask.
        upstream: UpstreamId,
        /// The sequence number of the query, which the report repeats.
        seq: u64,
    },
    /// Ask a host, possibly this one, to announce its grants of this pool now.
    RequestAnnouncement {
        /// The host to ask.
        to: HostId,
    },
}

impl HomeAction {
    /// The action of a host that gets an event for a pool of which it is not the home: a reply to a
    /// request, nothing otherwise.
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
