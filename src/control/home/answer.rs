//! The answer of a home to a request.

use std::time::Duration;
use std::time::Instant;

use crate::decide::Grant;
use crate::decide::RefuseReason;
use crate::units::AttemptId;
use crate::units::GrantId;
use crate::units::RequestId;
use crate::units::UpstreamId;

/// The age up to which a grant may be used, counted from the host's last request for it. Hosts
/// repeat a request every 500 ms, so only a host that was paused has an older one. A home abandons
/// an unannounced grant after three seconds at the earliest.
const GRANT_AGE_MAX: Duration = Duration::from_secs(1);

/// The answer of a home to one request.
#[derive(Clone, Debug, PartialEq)]
pub struct HomeAnswer {
    /// The request.
    pub request: RequestId,
    /// The status of the request.
    pub status: GrantStatus,
}

/// The status of a request at its home.
#[derive(Clone, Debug, PartialEq)]
pub enum GrantStatus {
    /// The host that was asked is not the home of the pool.
    NotHome,
    /// The request is queued. The home pushes its decision; repeating the request is harmless.
    Queued,
    /// The request may be dispatched once.
    Granted(IssuedGrant),
    /// The request is refused and has not run.
    Refused {
        /// The reason for the refusal.
        reason: RefuseReason,
        /// The time after which the caller should retry.
        retry_after: Duration,
    },
}

/// A grant as it is sent to the entry host.
#[derive(Clone, Debug, PartialEq)]
pub struct IssuedGrant {
    /// The id of the grant.
    pub grant: GrantId,
    /// The engines to dispatch to, leader first.
    pub upstreams: Vec<UpstreamId>,
    /// The time that the request waited in the queue of the home.
    pub waited: Duration,
    /// The reason for the choice of upstreams, in a few words for `explain`.
    pub why: String,
}

impl IssuedGrant {
    /// Whether the entry host, which last sent its request at `asked_at`, may still dispatch with
    /// this grant. If not, the host repeats the request and gets the same grant or another one.
    ///
    /// This guards against a host that is paused while a grant is on its way: by the time it
    /// resumes, its home may have abandoned the grant and would cancel the attempt.
    pub fn is_fresh(&self, asked_at: Instant, now: Instant) -> bool {
        now.saturating_duration_since(asked_at) <= GRANT_AGE_MAX
    }

    /// The attempt that uses the grant; it has the same number.
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
