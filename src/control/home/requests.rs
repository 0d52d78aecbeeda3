//! The requests that a home has answered, so that asking again gets the same answer.

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

/// Where a request stands.
#[derive(Clone, Debug)]
pub(crate) enum Standing {
    /// It waits for the ledger to be rebuilt; the policy has not seen it yet.
    Held(Work),
    /// It waits in the policy's queue.
    Waiting,
    /// It was granted.
    Granted(IssuedGrant),
    /// It was turned away.
    Refused {
        reason: RefuseReason,
        retry_after: Duration,
    },
}

impl Standing {
    pub(crate) fn verdict(&self) -> GrantStatus {
        match self {
            Self::Held(_) | Self::Waiting => GrantStatus::Queued,
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

/// One request.
#[derive(Clone, Debug)]
pub(crate) struct Asked {
    pub(crate) host: HostId,
    pub(crate) asked_at: Instant,
    pub(crate) standing: Standing,
}

/// The requests that a home remembers. Waiting ones are bounded by the policy's queue, granted ones
/// by the ledger, refused ones by number and time.
#[derive(Debug, Default)]
pub(crate) struct Requests {
    asked: IndexMap<RequestId, Asked>,
    by_grant: IndexMap<GrantId, RequestId>,
    refused: IndexMap<RequestId, Instant>,
}

impl Requests {
    pub(crate) fn get_mut(&mut self, request: RequestId) -> Option<&mut Asked> {
        self.asked.get_mut(&request)
    }

    pub(crate) fn get(&self, request: RequestId) -> Option<&Asked> {
        self.asked.get(&request)
    }

    pub(crate) fn insert(&mut self, request: RequestId, asked: Asked) {
        self.asked.insert(request, asked);
    }

    pub(crate) fn remove(&mut self, request: RequestId) -> Option<Asked> {
        self.refused.swap_remove(&request);
        let asked = self.asked.swap_remove(&request)?;
        if let Standing::Granted(granted) = &asked.standing {
            self.by_grant.swap_remove(&granted.grant);
        }
        Some(asked)
    }

    pub(crate) fn set_granted(&mut self, request: RequestId, granted: IssuedGrant) {
        if let Some(asked) = self.asked.get_mut(&request) {
            self.by_grant.insert(granted.grant, request);
            asked.standing = Standing::Granted(granted);
        }
    }

    pub(crate) fn set_refused(&mut self, request: RequestId, standing: Standing, now: Instant) {
        if let Some(asked) = self.asked.get_mut(&request) {
            asked.standing = standing;
            self.refused.insert(request, now);
        }
    }

    /// Forgets the request of a grant that has ended.
    pub(crate) fn forget_grant(&mut self, grant: GrantId) {
        if let Some(request) = self.by_grant.swap_remove(&grant) {
            self.asked.swap_remove(&request);
        }
    }

    /// Forgets refusals that are old or too many.
    pub(crate) fn forget_refused(&mut self, memory: Duration, max: usize, now: Instant) {
        let is_old = |at: &Instant| now.duration_since(*at) > memory;
        let old = self.refused.values().take_while(|at| is_old(at)).count();
        let count = old.max(self.refused.len().saturating_sub(max));
        for (request, _) in self.refused.drain(..count) {
            self.asked.swap_remove(&request);
        }
    }

    /// Requests that wait and whose host has not asked for them since `grace`.
    pub(crate) fn abandoned(&self, grace: Duration, now: Instant) -> Vec<RequestId> {
        let is_old = |asked: &Asked| now.duration_since(asked.asked_at) > grace;
        let abandoned = self.waiting().filter(|(_, asked)| is_old(asked));
        abandoned.map(|(request, _)| *request).collect()
    }

    pub(crate) fn all_waiting(&self) -> Vec<(RequestId, HostId)> {
        let waiting = self.waiting();
        waiting
            .map(|(request, asked)| (*request, asked.host.clone()))
            .collect()
    }

    /// Requests that wait for the rebuilding to end, the oldest first.
    pub(crate) fn held(&self) -> Vec<Work> {
        let work = |asked: &Asked| match &asked.standing {
            Standing::Held(work) => Some(work.clone()),
            _ => None,
        };
        self.asked.values().filter_map(work).collect()
    }

    pub(crate) fn len(&self) -> usize {
        self.asked.len()
    }

    fn waiting(&self) -> impl Iterator<Item = (&RequestId, &Asked)> {
        let waits = |asked: &Asked| matches!(asked.standing, Standing::Held(_) | Standing::Waiting);
        self.asked.iter().filter(move |(_, asked)| waits(asked))
    }
}
