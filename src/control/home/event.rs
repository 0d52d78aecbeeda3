//! What a home hears.

use crate::decide::AttemptSummary;
use crate::decide::LiveGrant;
use crate::decide::UpstreamInfo;
use crate::decide::Work;
use crate::units::AttemptId;
use crate::units::GrantId;
use crate::units::HostId;
use crate::units::RequestId;
use crate::units::UpstreamId;
use crate::upstream::CacheEvent;
use crate::upstream::LoadReport;
use crate::upstream::RunningAttempt;

/// What a home hears.
#[derive(Clone, Debug, PartialEq)]
pub enum HomeEvent {
    /// A host asks for a grant, or asks again. The reply is among the actions.
    Request {
        /// The host.
        from: HostId,
        /// What it wants to dispatch.
        work: Work,
    },
    /// A host's live grants of this pool, all of them, whichever home gave them.
    Announce {
        /// The host.
        from: HostId,
        /// Its grants.
        grants: Vec<LiveGrant>,
    },
    /// A grant has ended at the host that held it.
    Finish {
        /// The host.
        from: HostId,
        /// The grant.
        grant: GrantId,
        /// How it ended.
        done: AttemptSummary,
    },
    /// A request that waits is to be forgotten.
    Withdraw {
        /// The host.
        from: HostId,
        /// The request.
        request: RequestId,
    },
    /// Membership holds a host for dead. Hosts of all failure domains count: deaths are believed
    /// only while more hosts live than have died.
    HostDead(HostId),
    /// Membership holds a host for alive. A home that has just taken over is told all of them, this
    /// host included.
    HostAlive(HostId),
    /// What an engine says it runs.
    EngineListed {
        /// The engine.
        upstream: UpstreamId,
        /// The number of the question.
        seq: u64,
        /// The attempts that hold its memory.
        running: Vec<RunningAttempt>,
    },
    /// An engine has ended an attempt, or does not know it.
    CancelConfirmed {
        /// The engine.
        upstream: UpstreamId,
        /// The attempt.
        attempt: AttemptId,
    },
    /// The upstreams of the pool, all of them.
    Upstreams(Vec<UpstreamInfo>),
    /// An engine's lagging report.
    LoadReport {
        /// The engine.
        upstream: UpstreamId,
        /// The report.
        report: LoadReport,
    },
    /// Late cache events with gaps.
    CacheEvents {
        /// The engine.
        upstream: UpstreamId,
        /// The events.
        events: Vec<CacheEvent>,
    },
    /// This host drains or another one is the home now: hand over.
    HandOver,
    /// Time has passed; at most [`super::HomeController::next_wake`] late.
    Tick,
}
