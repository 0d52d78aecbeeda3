//! The faults with their parameters.

use std::time::Duration;

use crate::flood::Flood;
use crate::link_proxy::LinkMode;
use crate::silent_share::SilentShare;
use crate::store::StoreMode;
use crate::upstream::UpstreamMode;

use banyanarch::units::BoundedTime;

/// A disturbance with its parameters: a failure, or a planned change such as a stop, a route move
/// or a key revocation. Hosts and failure domains are given by index. Upstreams and customers are
/// given by a number that is taken modulo their count.
#[derive(Clone, Debug)]
pub enum Fault {
    /// A host is killed and started again after this time.
    KillHost(usize, Duration),
    /// All hosts are killed at once and started again after this time.
    KillAllHosts(Duration),
    /// A host gets SIGTERM and is started again after its exit.
    StopHost(usize),
    /// The process of a host is paused for this time.
    PauseHost(usize, Duration),
    /// A host gets SIGHUP and reloads its settings.
    ReloadHostSettings(usize),
    /// The store is in this mode for this time.
    Store(StoreMode, Duration),
    /// The store turns these hosts away with status 503 for this time and serves the others.
    StoreTurnsAway(Vec<usize>, Duration),
    /// The store is restored from a snapshot. The times are, in order: how long the store runs
    /// after the snapshot, how long it then does not respond before it is restored, and how long
    /// after the restore upstreams register again.
    RestoreStore([Duration; 3]),
    /// The link from a host to the store is in this mode for this time.
    StoreLink(usize, LinkMode, Duration),
    /// The link from callers to a host is in this mode for this time.
    CallerLink(usize, LinkMode, Duration),
    /// The links between a host and all other hosts are in this mode for this time.
    PeerLinks(usize, LinkMode, Duration),
    /// The links from the first failure domain to the upstreams of the second are in this mode for
    /// this time.
    UpstreamLinks(usize, usize, LinkMode, Duration),
    /// The links from all hosts of these failure domains to all upstreams are in this mode for this
    /// time, also those to upstreams that start meanwhile.
    UpstreamPaths(Vec<usize>, LinkMode, Duration),
    /// The links between a failure domain and the other domains and from its hosts to the store are
    /// in this mode for this time.
    DomainLinks(usize, LinkMode, Duration),
    /// An upstream is in this mode for this time.
    Upstream(usize, UpstreamMode, Duration),
    /// All upstreams are in this mode for this time.
    AllUpstreams(UpstreamMode, Duration),
    /// Upstreams of a service fall silent for this time and then go on where they were.
    SilenceUpstreams(SilentShare, Duration),
    /// An upstream advertises this limit, in requests per second, for this time.
    LimitUpstream(usize, f64, Duration),
    /// An upstream crashes, and a replacement is started after this time.
    KillUpstream(usize, Duration),
    /// An upstream gets a replacement, announces that it leaves, and ends later.
    LeaveUpstream(usize),
    /// The same, but for this time only the responses of the upstream say that it leaves.
    LeaveUpstreamUnlisted(usize, Duration),
    /// For the second time, an upstream refuses all requests and wants no more from the host for
    /// the first time.
    BackOffUpstream(usize, Duration, Duration),
    /// A failure domain is evacuated for this time.
    EvacuateDomain(usize, Duration),
    /// Another writer has an odd entry among those of the upstreams for this time, in one of some ways.
    OddEntry(usize, Duration),
    /// A customer floods the deployment for this time.
    Flood(Flood, Duration),
    /// The moving route is moved to the other plain service.
    MoveRoute,
    /// The oldest key of a customer is revoked and a new one is issued.
    RevokeKey(usize),
}

impl Fault {
    /// Returns the same fault with the times for which it lasts multiplied by `factor`. Delays
    /// inside modes stay as they are.
    pub fn stretched(mut self, factor: f64) -> Self {
        match &mut self {
            Self::KillHost(_, time)
            | Self::KillAllHosts(time)
            | Self::PauseHost(_, time)
            | Self::Store(_, time)
            | Self::StoreTurnsAway(_, time)
            | Self::StoreLink(_, _, time)
            | Self::CallerLink(_, _, time)
            | Self::PeerLinks(_, _, time)
            | Self::UpstreamLinks(_, _, _, time)
            | Self::UpstreamPaths(_, _, time)
            | Self::DomainLinks(_, _, time)
            | Self::Upstream(_, _, time)
            | Self::AllUpstreams(_, time)
            | Self::SilenceUpstreams(_, time)
            | Self::LimitUpstream(_, _, time)
            | Self::LeaveUpstreamUnlisted(_, time)
            | Self::BackOffUpstream(_, _, time)
            | Self::EvacuateDomain(_, time)
            | Self::OddEntry(_, time)
            | Self::Flood(_, time)
            | Self::KillUpstream(_, time) => *time = time.scaled(factor),
            Self::RestoreStore(times) => {
                for time in times {
                    *time = time.scaled(factor);
                }
            }
            Self::StopHost(_)
            | Self::ReloadHostSettings(_)
            | Self::LeaveUpstream(_)
            | Self::MoveRoute
            | Self::RevokeKey(_) => {}
        }
        self
    }
}
