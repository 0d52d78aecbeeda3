//! The requests that a home remembers, so that a repeated request gets the same answer.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;

use crate::control::home::GrantStatus;
use crate::control::home::IssuedGrant;
use crate::decide::RefuseReason;
use crate::decide::Work;
use crate::units::GrantId;
use crate::units::HostId;
use crate::units::RequestId;

/// The state of a request.
#[derive(Clone, Debug)]
pub(crate) enum RequestState {
    /// The request waits until the ledger is rebuilt; the policy has not got it yet.
    Deferred(Work),
    /// The request waits in the queue of the policy.
    Queued,
    /// The request was granted.
    Granted(IssuedGrant),
    /// The request was refused.
    Refused {
        reason: RefuseReason,
        retry_after: Duration,
    },
}

impl RequestState {
    /// The status that the entry host is told.
    pub(crate) fn status(&self) -> GrantStatus {
        match self {
            Self::Deferred(_) | Self::Queued => GrantStatus::Queued,
            Self::Granted(granted) => GrantStatus::Granted(granted.clone()),
            Self::Refused {
                reason,
                retry_after,
            } => GrantStatus::Refused {
                reason: *reason,
                retry_after: *retry_after,
            },
        }
    }
}

/// The state of a request (deferred, queued, granted or refused), its entry host, and when the host
/// last sent it.
#[derive(Clone, Debug)]
pub(crate) struct RequestEntry {
    pub(crate) host: HostId,
    pub(crate) asked_at: Instant,
    pub(crate) state: RequestState,
}

/// The requests that a home remembers. The policy's queue bounds the queued ones, the ledger bounds
/// the granted ones, and a count and a time bound the refused ones.
#[derive(Debug, Default)]
pub(crate) struct RequestTable {
    requests: IndexMap<RequestId, RequestEntry>,
    by_grant: IndexMap<GrantId, RequestId>,
    /// When each refused request was refused.
    refused: IndexMap<RequestId, Instant>,
}

impl RequestTable {
    pub(crate) fn get_mut(&mut self, request: RequestId) -> Option<&mut RequestEntry> {
        self.requests.get_mut(&request)
    }

    pub(crate) fn get(&self, request: RequestId) -> Option<&RequestEntry> {
        self.requests.get(&request)
    }

    /// Adds a request. The table itself does not limit the number of requests.
    pub(crate) fn insert(&mut self, request: RequestId, entry: RequestEntry) {
        self.requests.insert(request, entry);
    }

    /// Forgets a request in any state and returns its entry.
    pub(crate) fn remove(&mut self, request: RequestId) -> Option<RequestEntry> {
        self.refused.swap_remove(&request);
        let entry = self.requests.swap_remove(&request)?;
        if let RequestState::Granted(granted) = &entry.state {
            self.by_grant.swap_remove(&granted.grant);
        }
        Some(entry)
    }

    /// Records that a request is granted. Does nothing if the request is unknown.
    pub(crate) fn set_granted(&mut self, request: RequestId, granted: IssuedGrant) {
        if let Some(entry) = self.requests.get_mut(&request) {
            self.by_grant.insert(granted.grant, request);
            entry.state = RequestState::Granted(granted);
        }
    }

    /// Records that a request is refused; `state` holds the refusal. Does nothing if the request is
    /// unknown.
    pub(crate) fn set_refused(&mut self, request: RequestId, state: RequestState, now: Instant) {
        if let Some(entry) = self.requests.get_mut(&request) {
            entry.state = state;
            self.refused.insert(request, now);
        }
    }

    /// Forgets the request of a grant that has ended.
    pub(crate) fn forget_grant(&mut self, grant: GrantId) {
        if let Some(request) = self.by_grant.swap_remove(&grant) {
            self.requests.swap_remove(&request);
        }
    }

    /// Forgets refusals that are older than `memory`, and the oldest ones above `max`.
    pub(crate) fn forget_refused(&mut self, memory: Duration, max: usize, now: Instant) {
        let is_old = |at: &Instant| now.duration_since(*at) > memory;
        let old = self.refused.values().take_while(|at| is_old(at)).count();
        let count = old.max(self.refused.len().saturating_sub(max));
        for (request, _) in self.refused.drain(..count) {
            self.requests.swap_remove(&request);
        }
    }

    /// The deferred and queued requests that their hosts have not repeated for longer than `grace`.
    pub(crate) fn abandoned_requests(&self, grace: Duration, now: Instant) -> Vec<RequestId> {
        let is_old = |entry: &RequestEntry| now.duration_since(entry.asked_at) > grace;
        let abandoned = self.iter_waiting().filter(|(_, entry)| is_old(entry));
        abandoned.map(|(request, _)| *request).collect()
    }

    /// All requests that are deferred or queued, with their hosts.
    pub(crate) fn waiting_requests(&self) -> Vec<(RequestId, HostId)> {
        let waiting = self.iter_waiting();
        waiting
            .map(|(request, entry)| (*request, entry.host.clone()))
            .collect()
    }

    /// The work of the requests that wait until the ledger is rebuilt, in order of arrival unless
    /// requests were removed meanwhile.
    pub(crate) fn deferred_work(&self) -> Vec<Work> {
        let work = |entry: &RequestEntry| match &entry.state {
            RequestState::Deferred(work) => Some(work.clone()),
            _ => None,
        };
        self.requests.values().filter_map(work).collect()
    }

    pub(crate) fn len(&self) -> usize {
        self.requests.len()
    }

    fn iter_waiting(&self) -> impl Iterator<Item = (&RequestId, &RequestEntry)> {
        let is_waiting = |entry: &RequestEntry| {
            matches!(
                entry.state,
                RequestState::Deferred(_) | RequestState::Queued
            )
        };
        self.requests
            .iter()
            .filter(move |(_, entry)| is_waiting(entry))
    }
}
