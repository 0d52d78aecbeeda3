//! The events that a home handles.

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

/// An event that a home handles.
#[derive(Clone, Debug, PartialEq)]
pub enum HomeEvent {
    /// A host requests a grant or repeats its request. The reply is among the returned actions.
    Request {
        /// The host that sent the request.
        from: HostId,
        /// The work that the host wants to dispatch.
        work: Work,
    },
    /// A host announces all its live grants of this pool, whichever home issued them.
    Announce {
        /// The host that announces its grants.
        from: HostId,
        /// All live grants of the host in this pool.
        grants: Vec<LiveGrant>,
    },
    /// A grant has ended at the host that held it.
    Finish {
        /// The host that held the grant.
        from: HostId,
        /// The grant that ended.
        grant: GrantId,
        /// The outcome and the measurements of the attempt.
        done: AttemptSummary,
    },
    /// A host withdraws its request.
    Withdraw {
        /// The host that sent the request.
        from: HostId,
        /// The request to forget.
        request: RequestId,
    },
    /// Membership considers a host dead. Hosts of all failure domains count, since the home acts on
    /// deaths only while at least as many members are alive as have died.
    HostDead(HostId),
    /// Membership considers a host alive. A home that has just taken over is told of all living
    /// hosts, its own included.
    HostAlive(HostId),
    /// An engine has listed its running attempts.
    EngineListed {
        /// The engine that answered.
        upstream: UpstreamId,
        /// The sequence number of the query that the engine answered.
        seq: u64,
        /// The attempts that hold memory of the engine.
        running: Vec<RunningAttempt>,
    },
    /// An engine has ended an attempt or does not know it.
    CancelConfirmed {
        /// The engine that confirmed the cancel.
        upstream: UpstreamId,
        /// The attempt that holds no memory of the engine any more.
        attempt: AttemptId,
    },
    /// The complete list of upstreams of the pool.
    Upstreams(Vec<UpstreamInfo>),
    /// A load report of an engine, which lags behind the engine's state.
    LoadReport {
        /// The engine that sent the report.
        upstream: UpstreamId,
        /// The load report.
        report: LoadReport,
    },
    /// Cache events of an engine, which come late and with gaps.
    CacheEvents {
        /// The engine that sent the events.
        upstream: UpstreamId,
        /// The cache events.
        events: Vec<CacheEvent>,
    },
    /// This host drains, or another host has become the home: the home hands over.
    HandOver,
    /// A timer tick, due at [`super::HomeController::next_wake`].
    Tick,
}
