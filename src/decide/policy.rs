//! The interface of a policy, which makes the decisions of one home.
//!
//! The interface allows a baseline to replace the shipped policy.

use std::fmt;
use std::time::Duration;
use std::time::Instant;

use crate::decide::PolicyConfig;
use crate::decide::Work;
use crate::units::GrantId;
use crate::units::RequestId;
use crate::units::Tokens;
use crate::units::UpstreamId;
use crate::upstream::CacheEvent;
use crate::upstream::LoadReport;

/// A policy makes the decisions for one pool of upstreams.
///
/// No call blocks or does I/O. `offer` and `finish` may make other requests ready, whose decisions
/// [`Policy::poll`] then returns. The caller polls after every call and at [`Policy::next_wake`].
pub trait Policy: Send {
    /// Replaces the set of upstreams. An upstream that is gone or leaving gets no new grant. An
    /// upstream that stays listed keeps its state, and the grants of one that is gone stay live
    /// until they end.
    fn set_upstreams(&mut self, upstreams: &[UpstreamInfo], now: Instant);

    /// Applies a new configuration. Queued and running requests are kept. The default does nothing,
    /// for policies that take nothing from the manifest.
    fn set_config(&mut self, _conf: &PolicyConfig, _now: Instant) {}

    /// Submits a request. `poll` returns the decision, at once or later.
    fn offer(&mut self, work: Work, now: Instant);

    /// Removes a queued request whose caller or host is gone, without a decision. A request that is
    /// not queued is ignored.
    fn withdraw(&mut self, request: RequestId, now: Instant);

    /// Makes the decisions that are due now and returns them. Each decision is returned once.
    fn poll(&mut self, now: Instant) -> Vec<Decision>;

    /// The next time at which `poll` has to be called even without any other call.
    fn next_wake(&self) -> Option<Instant>;

    /// Ends a grant and frees what it holds. A grant that is unknown or has already ended is
    /// ignored.
    fn finish(&mut self, grant: GrantId, done: AttemptSummary, now: Instant);

    /// Adopts a live grant of an earlier home, announced by the grant's entry host. The grant
    /// counts from now on even if it exceeds the memory of its upstreams. A grant that is already
    /// known is ignored.
    fn adopt(&mut self, grant: LiveGrant, now: Instant);

    /// The grants that have not ended, for reconciliation with hosts and engines.
    fn live_grants(&self) -> Vec<LiveGrant>;

    /// Applies an engine's load report, which lags.
    fn on_load_report(&mut self, upstream: &UpstreamId, report: &LoadReport, now: Instant);

    /// Applies an engine's cache events, which are late and have gaps.
    fn on_cache_events(&mut self, upstream: &UpstreamId, events: &[CacheEvent], now: Instant);

    /// The load of the pool, for entry hosts that choose between pools and for status pages.
    fn load(&self, now: Instant) -> PoolLoad;
}

/// An upstream as listed by the platform and described by the manifest.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamInfo {
    /// The upstream's id.
    pub id: UpstreamId,
    /// The memory for keys and values, in tokens; 0 for plain services.
    pub memory_tokens: Tokens,
    /// The number of attempts that the upstream runs concurrently; an upper bound for plain
    /// services and batches.
    pub slots: u32,
    /// Whether the upstream may get new work.
    pub health: UpstreamHealth,
}

impl UpstreamInfo {
    /// Whether the upstream is not leaving.
    pub fn is_live(&self) -> bool {
        self.health == UpstreamHealth::Live
    }
}

/// Whether an upstream may get new work or is leaving. Failures and ejection are not part of this
/// state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpstreamHealth {
    /// The upstream may get new work.
    Live,
    /// The upstream is leaving: running work continues, new work goes to other upstreams.
    Leaving,
}

/// A policy's decision on one request.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// The request may be dispatched.
    Dispatch(Grant),
    /// The request is refused and has not run.
    Refuse {
        /// The refused request.
        request: RequestId,
        /// The reason for the refusal.
        reason: RefuseReason,
        /// The time after which the caller should retry, with jitter.
        retry_after: Duration,
    },
}

/// Permission to dispatch one request once.
#[derive(Clone, Debug, PartialEq)]
pub struct Grant {
    /// The id of the grant. The same number identifies the attempt that uses the grant, so that a
    /// ledger can be compared with the attempts that engines list.
    pub id: GrantId,
    /// The request that may be dispatched.
    pub request: RequestId,
    /// The upstreams to dispatch to: one, or a gang that holds the prompt together, leader first.
    pub upstreams: Vec<UpstreamId>,
    /// The time that the request waited in the queue.
    pub waited: Duration,
    /// The reason for the choice of upstreams, in a few words for `explain`.
    pub why: &'static str,
}

/// A grant that has not ended, with the work that it covers.
#[derive(Clone, Debug, PartialEq)]
pub struct LiveGrant {
    /// The id of the grant.
    pub id: GrantId,
    /// The work that was granted.
    pub work: Work,
    /// The upstreams that hold memory for the work.
    pub upstreams: Vec<UpstreamId>,
}

/// The outcome of a granted attempt with its times and token counts.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptSummary {
    /// How the attempt ended.
    pub ended: AttemptOutcome,
    /// The time from dispatch to the first token, if there was one.
    pub first_token: Option<Duration>,
    /// The time from dispatch to the end.
    pub total: Duration,
    /// The prompt length counted by the engine; 0 if the engine did not report it.
    pub prompt_tokens: Tokens,
    /// The prompt tokens that the engine found in its cache.
    pub cached_tokens: Tokens,
    /// The tokens of the answer.
    pub output_tokens: Tokens,
}

/// How an attempt ended, as far as scheduling is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The whole answer was received.
    Completed,
    /// The caller disconnected or the deadline passed, and the engine confirmed the cancellation.
    Cancelled,
    /// The attempt was never sent to the upstream.
    NotSent,
    /// The upstream refused the attempt.
    Refused,
    /// The upstream failed, died or sent an invalid answer.
    Failed,
}

/// The reason why a request was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RefuseReason {
    /// The customer exceeds its rate or share.
    CustomerLimit,
    /// The request cannot end before its deadline.
    Deadline,
    /// No set of upstreams has enough memory for the request.
    TooLarge,
    /// No upstream may get work.
    NoUpstream,
    /// The deadline passed while the request was queued.
    Expired,
    /// The queue is full.
    QueueFull,
    /// The request crashed upstreams before.
    Poison,
    /// The prompt of the request has parts that crash upstreams.
    PoisonPart,
    /// The upstreams of the service are failing and the retry budget is exhausted.
    RetryBudget,
    /// The platform is unreachable, and a request that is not repeatable needs a claim from it.
    NoClaim,
    /// All upstreams of the service have announced a rate limit, and it is exhausted.
    RateLimited,
    /// All upstreams of the service want no requests for a time.
    UpstreamBackoff,
    /// Operators have evacuated the failure domains of all upstreams of the service that could
    /// serve the request.
    Evacuated,
    /// No upstream of the service is in a region that may serve the request.
    OutsideRegions,
}

impl RefuseReason {
    /// The name of the reason in headers, metrics and logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::CustomerLimit => "customer_limit",
            Self::Deadline => "deadline",
            Self::TooLarge => "too_large",
            Self::NoUpstream => "no_upstream",
            Self::Expired => "expired",
            Self::QueueFull => "queue_full",
            Self::Poison => "poison",
            Self::PoisonPart => "poison_part",
            Self::RetryBudget => "retry_budget",
            Self::NoClaim => "no_claim",
            Self::RateLimited => "rate_limited",
            Self::UpstreamBackoff => "upstream_backoff",
            Self::Evacuated => "evacuated",
            Self::OutsideRegions => "outside_regions",
        }
    }

    /// The reason with this name, if there is one.
    pub fn from_name(name: &str) -> Option<Self> {
        let all = [
            Self::CustomerLimit,
            Self::Deadline,
            Self::TooLarge,
            Self::NoUpstream,
            Self::Expired,
            Self::QueueFull,
            Self::Poison,
            Self::PoisonPart,
            Self::RetryBudget,
            Self::NoClaim,
            Self::RateLimited,
            Self::UpstreamBackoff,
            Self::Evacuated,
            Self::OutsideRegions,
        ];
        all.into_iter().find(|reason| reason.name() == name)
    }
}

impl fmt::Display for RefuseReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// A summary of a pool's load.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PoolLoad {
    /// The number of queued requests.
    pub waiting: u64,
    /// The number of granted requests that have not ended.
    pub running: u64,
    /// A rough estimate of the queue wait of a short request that arrives now.
    pub short_wait: Duration,
    /// The memory in tokens that is neither held by grants nor reserved, over all upstreams that
    /// may get work.
    pub free_tokens: Tokens,
    /// The number of upstreams that may get work.
    pub upstreams: u32,
}
