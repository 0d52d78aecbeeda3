//! The configuration of a gateway.

use std::net::SocketAddr;
use std::time::Duration;

use indexmap::IndexMap;

use crate::decide::RetryBound;
use crate::units::ByteSize;
use crate::units::FailureDomainId;
use crate::units::HostId;
use crate::units::Millicores;
use crate::units::RegionId;

/// The validated configuration of one host: its names, addresses and processors, how long revoked
/// keys and evacuated upstreams may still be used, the bounds on connections of this host and on retries of all hosts
/// together, and the grace period of a stop.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewayConf {
    /// The name of this host.
    pub host: HostId,
    /// The failure domain of this host.
    pub domain: FailureDomainId,
    /// The region of each failure domain.
    pub regions: IndexMap<FailureDomainId, RegionId>,
    /// The address for callers.
    pub callers_addr: SocketAddr,
    /// The address of the readiness page for the balancer.
    pub ready_addr: SocketAddr,
    /// The address on which hosts exchange updates.
    pub exchange_addr: SocketAddr,
    /// The address of the metrics page.
    pub metrics_addr: SocketAddr,
    /// How long a key may still be accepted after it was revoked; none where keys are never
    /// revoked.
    pub key_lease: Option<Duration>,
    /// How long upstreams may still get requests after their failure domain was evacuated; none
    /// where operators evacuate none. If there is a lease, a host serves only once it knows which
    /// failure domains are evacuated.
    pub evacuation_lease: Option<Duration>,
    /// The processor capacity that this host may use. Among the hosts of a failure domain the one
    /// with the largest capacity collects updates.
    pub processors: Millicores,
    /// The number of connections of callers that may be open; further ones are closed unread.
    pub caller_connections_max: usize,
    /// The bytes of bodies and long heads that this host may hold for callers at the same time.
    pub held_bytes_max: ByteSize,
    /// The bound on retries for all hosts together.
    pub retry_bound: RetryBound,
    /// The grace period: the time from the stop request until the process is killed.
    pub stop_grace: Duration,
}
