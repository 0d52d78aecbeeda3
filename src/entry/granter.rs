//! Grants as the entry asks for them.

use std::time::Duration;

use futures_util::future::BoxFuture;

use crate::control::claims::Claim;
use crate::decide::AttemptSummary;
use crate::decide::RefuseReason;
use crate::decide::Work;
use crate::units::AttemptId;
use crate::units::GrantId;
use crate::units::PoolId;
use crate::units::TargetId;
use crate::units::UpstreamId;

/// A grant with what is needed to give it back.
#[derive(Clone, Debug, PartialEq)]
pub struct HeldGrant {
    /// The pool whose home gave it.
    pub pool: PoolId,
    /// The grant.
    pub grant: GrantId,
    /// The engines, the leader first.
    pub upstreams: Vec<UpstreamId>,
    /// How long it waited in the home's queue.
    pub waited: Duration,
    /// Why these upstreams.
    pub why: String,
    /// The work it was given for.
    pub work: Work,
}

impl HeldGrant {
    /// Stands in for the grant of an earlier sending whose answer is read; it is never given back.
    pub fn of_claim(claim: &Claim, work: &Work) -> Self {
        Self {
            pool: PoolId::placeholder(),
            grant: GrantId(claim.attempt.0),
            upstreams: vec![claim.upstream.clone()],
            waited: Duration::ZERO,
            why: "answer of an earlier sending".to_owned(),
            work: work.clone(),
        }
    }

    /// The attempt that uses the grant up.
    pub fn attempt(&self) -> AttemptId {
        AttemptId(self.grant.0)
    }
}

/// What came of asking for a grant.
#[derive(Clone, Debug, PartialEq)]
pub enum GrantAnswer {
    /// One dispatch is allowed.
    Granted(Box<HeldGrant>),
    /// The request is turned away.
    Refused {
        /// Why.
        reason: RefuseReason,
        /// When to come back.
        retry_after: Duration,
    },
}

/// Whoever grants dispatches.
pub trait Granter: Send + Sync {
    /// Asks for a grant and waits for the decision. Dropped before that, the request is withdrawn.
    fn request_grant(&self, target: TargetId, work: Work) -> BoxFuture<'_, GrantAnswer>;

    /// Gives a grant back.
    fn finish(&self, grant: &HeldGrant, summary: AttemptSummary);
}
