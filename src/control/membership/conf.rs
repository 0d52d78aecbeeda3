//! The configuration of the membership, and its timing.

use std::net::SocketAddr;
use std::time::Duration;

use crate::settings::PeerSeed;
use crate::units::FailureDomainId;
use crate::units::HostId;
use crate::units::Incarnation;

/// Time between the probes of one host. A probe without any answer within this time has failed.
pub(crate) const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// Time after which other hosts are asked to repeat an unanswered probe: many times a round trip
/// within a site, and short enough that the indirect probes end within the probe interval.
pub(crate) const DIRECT_PROBE_TIMEOUT: Duration = Duration::from_millis(200);

/// Number of hosts that are asked to repeat an unanswered probe, so that no host is suspected
/// because of one lost connection between two hosts.
pub(crate) const INDIRECT_PROBES: usize = 3;

/// Time that a suspect has to refute, per doubling of the hosts in the failure domain. The
/// suspicion and its refutation each need more gossip rounds to reach a larger domain.
pub(crate) const SUSPICION_PER_DOUBLING: Duration = Duration::from_millis(300);

/// Minimum time that a suspect has to refute. Under load, a process is often not scheduled for half
/// a second; a longer absence costs its callers more than a takeover.
pub(crate) const SUSPICION_MIN: Duration = Duration::from_millis(600);

/// A gap between ticks, which should come every 100 ms, from which on the process counts as paused.
/// From about this time on, the other hosts declare it dead and may have taken over its homes.
pub(crate) const PAUSE_MIN: Duration = Duration::from_secs(1);

/// Time between attempts to join while no other host of the failure domain is known.
pub(crate) const JOIN_INTERVAL: Duration = Duration::from_secs(1);

/// Number of attempts to join through seeds of the own failure domain before seeds of other domains
/// are asked too.
pub(crate) const LOCAL_JOIN_ATTEMPTS: usize = 3;

/// Time between attempts to reach a dead host or a seed that is not known. These attempts reunite
/// hosts that a network partition had separated for so long that each side declared the other dead.
pub(crate) const RECONNECT_INTERVAL: Duration = Duration::from_secs(5);

/// Time between the digests that one host sends to other failure domains.
pub(crate) const DIGEST_INTERVAL: Duration = Duration::from_secs(2);

/// Number of hosts of a failure domain that exchange digests with other domains. There are several,
/// so that the loss of one does not delay the exchange.
pub(crate) const DIGEST_HOSTS: usize = 3;

/// How long views have to differ before a host pulls a list. Broadcasts, also from other failure
/// domains, settle in about ten seconds; with a limit of 4 s, each restart made most hosts pull
/// whole lists.
pub(crate) const MISMATCH_MIN: Duration = Duration::from_secs(15);

/// A difference between views that no probe has shown for this long counts as resolved.
pub(crate) const MISMATCH_GAP_MAX: Duration = Duration::from_secs(10);

/// Time between the pulls of one host.
pub(crate) const PULL_INTERVAL: Duration = Duration::from_secs(5);

/// How long a host counts as new after its start.
pub(crate) const NEW_HOST_PERIOD: Duration = Duration::from_secs(60);

/// Time between the pulls of a new host. Each pull may cost the answering host ten seconds of its
/// byte budget.
pub(crate) const PULL_INTERVAL_NEW_HOST: Duration = Duration::from_secs(3);

/// How long a dead host is remembered. If it were forgotten earlier, an outdated broadcast could
/// bring it back as alive.
pub(crate) const DEAD_RETENTION: Duration = Duration::from_secs(600);

/// A failure domain that was not heard for this long is reported as cut off. One host sends digests
/// to five other domains in turn, so this is the time of three turns.
pub(crate) const DOMAIN_SILENCE_MAX: Duration = Duration::from_secs(30);

/// Byte budget for a burst: the size of the list of 400 hosts for one new host.
pub(crate) const BURST_BYTES: f64 = 32_768.0;

/// Part of the byte budget that is reserved for probes and their answers. Without it, hosts that
/// are busy with broadcasts would be suspected.
pub(crate) const PROBE_RESERVE_BYTES: f64 = 4_096.0;

/// Maximum number of broadcasts attached to one message.
pub(crate) const BROADCASTS_PER_MESSAGE_MAX: usize = 6;

/// Maximum number of host records in one message of a list.
pub(crate) const RECORDS_PER_MESSAGE_MAX: usize = 16;

/// The configuration of the membership of one host.
#[derive(Clone, Debug)]
pub struct MembershipConf {
    /// This host.
    pub host: HostId,
    /// Its failure domain.
    pub domain: FailureDomainId,
    /// The address on which this host listens for peers.
    pub peer_addr: SocketAddr,
    /// The incarnation of this process. It has to be larger than that of any earlier process of
    /// this host, as the time of day in seconds is. If the clock was set back, the only cost is one
    /// refutation.
    pub incarnation: Incarnation,
    /// Long-term limit on the bytes sent per second.
    pub bytes_per_second: u64,
    /// Hosts through which this host joins.
    pub seeds: Vec<PeerSeed>,
}
