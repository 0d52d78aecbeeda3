//! The decisions of one home as an interface, so that a baseline can stand in.

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

/// The decisions for one pool of upstreams.
///
/// All calls are quick and do no I/O. `offer` and `finish` may make other requests ready, which
/// [`Policy::poll`] then returns; the caller polls after every call and at [`Policy::next_wake`].
pub trait Policy: Send {
    /// Replaces the set of upstreams. One that has vanished or is leaving gets no new grant.
    fn set_upstreams(&mut self, upstreams: &[UpstreamInfo], now: Instant);

    /// Takes in a new manifest; what waits and what runs stays. A policy that takes nothing from
    /// the manifest has nothing to do.
    fn set_config(&mut self, _conf: &PolicyConfig, _now: Instant) {}

    /// Takes in a request. The decision comes from `poll`, at once or later.
    fn offer(&mut self, work: Work, now: Instant);

    /// Forgets a request that still waits, since its caller or its host is gone.
    fn withdraw(&mut self, request: RequestId, now: Instant);

    /// The decisions that are due now.
    fn poll(&mut self, now: Instant) -> Vec<Decision>;

    /// When `poll` has something to do even if nothing else is called.
    fn next_wake(&self) -> Option<Instant>;

    /// Takes in that a grant has ended.
    fn finish(&mut self, grant: GrantId, done: AttemptSummary, now: Instant);

    /// Takes in a grant that an earlier home gave, as its entry host announces it.
    fn adopt(&mut self, grant: LiveGrant, now: Instant);

    /// The grants that have not ended, for reconciling with hosts and engines.
    fn live_grants(&self) -> Vec<LiveGrant>;

    /// Takes in an engine's lagging report.
    fn on_load_report(&mut self, upstream: &UpstreamId, report: &LoadReport, now: Instant);

    /// Takes in cache events, which are late and have gaps.
    fn on_cache_events(&mut self, upstream: &UpstreamId, events: &[CacheEvent], now: Instant);

    /// A summary for entry hosts that choose between pools, and for status.
    fn load(&self, now: Instant) -> PoolLoad;
}

/// An upstream as the platform's list and the manifest show it.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamInfo {
    /// Its name.
    pub id: UpstreamId,
    /// Its memory for keys and values, in tokens; 0 for plain services.
    pub memory_tokens: Tokens,
    /// How many attempts it works on at once; a bound for plain services and batches.
    pub slots: u32,
    /// Whether it may get new work.
    pub health: UpstreamHealth,
}

impl UpstreamInfo {
    /// Whether it is not leaving.
    pub fn is_live(&self) -> bool {
        self.health == UpstreamHealth::Live
    }
}

/// Whether an upstream may get new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpstreamHealth {
    /// It may.
    Live,
    /// It is leaving: running work goes on, new work goes elsewhere.
    Leaving,
}

/// What a policy wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// The request may be dispatched.
    Dispatch(Grant),
    /// The request is turned away, not run.
    Refuse {
        /// The request.
        request: RequestId,
        /// Why.
        reason: RefuseReason,
        /// When the caller should come back, jittered.
        retry_after: Duration,
    },
}

/// Permission to dispatch one request once.
#[derive(Clone, Debug, PartialEq)]
pub struct Grant {
    /// The grant. Its number is the id of the attempt that uses it up, so that a ledger can be
    /// compared with what engines list.
    pub id: GrantId,
    /// For which request.
    pub request: RequestId,
    /// The engines: one, or a gang that holds the prompt together, the leader first.
    pub upstreams: Vec<UpstreamId>,
    /// How long it waited in the queue.
    pub waited: Duration,
    /// Why these upstreams, in a few words for `explain`.
    pub why: &'static str,
}

/// A grant that has not ended, with what it holds.
#[derive(Clone, Debug, PartialEq)]
pub struct LiveGrant {
    /// The grant.
    pub id: GrantId,
    /// The work it was given for.
    pub work: Work,
    /// The engines that hold memory for it.
    pub upstreams: Vec<UpstreamId>,
}

/// How a granted attempt ended.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptSummary {
    /// The end.
    pub ended: AttemptOutcome,
    /// From dispatch to the first token, where one came.
    pub first_token: Option<Duration>,
    /// From dispatch to the end.
    pub total: Duration,
    /// The prompt's length as the engine counted it; 0 if it did not say.
    pub prompt_tokens: Tokens,
    /// Prompt tokens that the engine found in its cache.
    pub cached_tokens: Tokens,
    /// Tokens of the answer.
    pub output_tokens: Tokens,
}

/// The end of an attempt, as it matters to placement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The whole answer came.
    Completed,
    /// The caller went away or the time ran out, and the engine confirmed the cancel.
    Cancelled,
    /// It never left for the upstream.
    NotSent,
    /// The upstream refused it.
    Refused,
    /// The upstream failed, died or answered wrongly.
    Failed,
}

/// Why a request was turned away.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RefuseReason {
    /// The customer is over its rate or share.
    CustomerLimit,
    /// It can't finish within its time limit.
    Deadline,
    /// No set of upstreams is large enough for it.
    TooLarge,
    /// There is no upstream that may get work.
    NoUpstream,
    /// Its time ran out while it waited.
    Expired,
    /// The queue is full.
    QueueFull,
    /// It crashed upstreams before.
    Poison,
    /// The upstreams of the service are failing and the retry budget is spent.
    RetryBudget,
    /// The platform can't be reached, which a request that is not repeatable needs.
    NoClaim,
    /// All upstreams of the service have named a limit, and it is used up.
    RateLimited,
}

impl RefuseReason {
    /// The reason as one word for headers, metrics and logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::CustomerLimit => "customer_limit",
            Self::Deadline => "deadline",
            Self::TooLarge => "too_large",
            Self::NoUpstream => "no_upstream",
            Self::Expired => "expired",
            Self::QueueFull => "queue_full",
            Self::Poison => "poison",
            Self::RetryBudget => "retry_budget",
            Self::NoClaim => "no_claim",
            Self::RateLimited => "rate_limited",
        }
    }

    /// The reason with this name.
    pub fn from_name(name: &str) -> Option<Self> {
        let all = [
            Self::CustomerLimit,
            Self::Deadline,
            Self::TooLarge,
            Self::NoUpstream,
            Self::Expired,
            Self::QueueFull,
            Self::Poison,
            Self::RetryBudget,
            Self::NoClaim,
            Self::RateLimited,
        ];
        all.into_iter().find(|reason| reason.name() == name)
    }
}

impl fmt::Display for RefuseReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// A pool's load in a few numbers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PoolLoad {
    /// Requests that wait.
    pub waiting: u64,
    /// Requests that were granted and have not ended.
    pub running: u64,
    /// How long a short request that came now would wait, roughly.
    pub short_wait: Duration,
    /// Memory that is not promised to anyone, over all upstreams.
    pub free_tokens: Tokens,
    /// Upstreams that may get work.
    pub upstreams: u32,
}
