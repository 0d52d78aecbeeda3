//! What a home says of a request.

use std::time::Duration;
use std::time::Instant;

use crate::decide::Grant;
use crate::decide::RefuseReason;
use crate::units::AttemptId;
use crate::units::GrantId;
use crate::units::RequestId;
use crate::units::UpstreamId;

/// Hosts ask every 500 ms, so only one that stood still has asked longer ago; a home gives a grant up
/// no sooner than after three seconds.
const FRESH: Duration = Duration::from_secs(1);

/// What a home says of one request.
#[derive(Clone, Debug, PartialEq)]
pub struct HomeAnswer {
    /// The request.
    pub request: RequestId,
    /// Where it stands.
    pub status: GrantStatus,
}

/// Where a request stands at its home.
#[derive(Clone, Debug, PartialEq)]
pub enum GrantStatus {
    /// The receiver is not the home of that pool.
    NotHome,
    /// It waits; the decision is pushed, and asking again is harmless.
    Queued,
    /// It may be dispatched, once.
    Granted(IssuedGrant),
    /// It is turned away, not run.
    Refused {
        /// Why.
        reason: RefuseReason,
        /// When the caller should come back.
        retry_after: Duration,
    },
}

/// A grant as its entry host gets it.
#[derive(Clone, Debug, PartialEq)]
pub struct IssuedGrant {
    /// The grant.
    pub grant: GrantId,
    /// The engines, the leader first.
    pub upstreams: Vec<UpstreamId>,
    /// How long it waited in the home's queue.
    pub waited: Duration,
    /// Why these upstreams, in a few words for `explain`.
    pub why: String,
}

impl IssuedGrant {
    /// Whether the entry host may still dispatch by this grant, as it last asked for it at
    /// `asked_at`. Where not, it asks again and gets the same grant or another one.
    ///
    /// The failure this guards against: a host was paused with a grant on its way and wakes up. Its
    /// home has given the grant up meanwhile and cancels the attempt, whenever it comes.
    pub fn is_fresh(&self, asked_at: Instant, now: Instant) -> bool {
        now.saturating_duration_since(asked_at) <= FRESH
    }

    /// The attempt that uses up the grant: it has the same number.
    pub fn attempt(&self) -> AttemptId {
        AttemptId(self.grant.0)
    }
}

impl From<&Grant> for IssuedGrant {
    fn from(grant: &Grant) -> Self {
        Self {
            grant: grant.id,
            upstreams: grant.upstreams.clone(),
            waited: grant.waited,
            why: grant.why.to_owned(),
        }
    }
}
