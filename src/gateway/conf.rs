//! What a gateway is told by its settings.

use std::net::SocketAddr;
use std::time::Duration;

use crate::decide::RetryBound;
use crate::units::FailureDomainId;
use crate::units::HostId;
use crate::units::Millicores;

/// One host's settings, checked.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewayConf {
    /// This host's name.
    pub host: HostId,
    /// Its failure domain.
    pub domain: FailureDomainId,
    /// Where callers connect.
    pub callers_addr: SocketAddr,
    /// Where the balancer asks whether this host may get connections.
    pub ready_addr: SocketAddr,
    /// Where hosts exchange news.
    pub exchange_addr: SocketAddr,
    /// Where metrics are served.
    pub metrics_addr: SocketAddr,
    /// How long a key may go on being used after it was taken back; none where keys are never
    /// taken back.
    pub key_lease: Option<Duration>,
    /// What this host may use of its processors; of the hosts of a domain the strongest collects news.
    pub processors: Millicores,
    /// The bound on retries of all hosts.
    pub retry_bound: RetryBound,
    /// How long after the request to stop the process is killed.
    pub stop_grace: Duration,
}
