//! The interface through which request handling obtains grants from homes.

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

/// A grant, with the data that is needed to give it back.
#[derive(Clone, Debug, PartialEq)]
pub struct HeldGrant {
    /// The pool whose home issued the grant.
    pub pool: PoolId,
    /// The id of the grant.
    pub grant: GrantId,
    /// The upstreams to dispatch to; of a gang, the leader is first.
    pub upstreams: Vec<UpstreamId>,
    /// How long the request waited in the home's queue.
    pub waited: Duration,
    /// Why the home selected these upstreams, for explanations.
    pub why: String,
    /// The work that the grant was issued for.
    pub work: Work,
}

impl HeldGrant {
    /// Creates a substitute for the grant behind an existing claim, for reading that attempt's
    /// response. The substitute is never given back.
    pub fn of_claim(claim: &Claim, work: &Work) -> Self {
        Self {
            pool: PoolId::placeholder(),
            grant: GrantId(claim.attempt.0),
            upstreams: vec![claim.upstream.clone()],
            waited: Duration::ZERO,
            why: "response to an earlier request with the same key".to_owned(),
            work: work.clone(),
        }
    }

    /// The id of the attempt that uses up the grant.
    pub fn attempt(&self) -> AttemptId {
        AttemptId(self.grant.0)
    }
}

/// The answer to a request for a grant.
#[derive(Clone, Debug, PartialEq)]
pub enum GrantAnswer {
    /// One dispatch is permitted.
    Granted(Box<HeldGrant>),
    /// The request is refused.
    Refused {
        /// Why the request is refused.
        reason: RefuseReason,
        /// How long the caller should wait before it retries.
        retry_after: Duration,
    },
}

/// Obtains grants from homes. Each grant permits one dispatch.
pub trait Granter: Send + Sync {
    /// Requests a grant and waits for the decision. Dropping the future withdraws the request.
    fn request_grant(&self, target: TargetId, work: Work) -> BoxFuture<'_, GrantAnswer>;

    /// Gives a grant back to its home, with the summary of its attempt. This method does not wait
    /// for the home.
    fn finish(&self, grant: &HeldGrant, summary: AttemptSummary);
}
