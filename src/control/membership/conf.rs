//! What a membership starts from, and its timing.

use std::net::SocketAddr;
use std::time::Duration;

use crate::settings::PeerSeed;
use crate::units::FailureDomainId;
use crate::units::HostId;
use crate::units::Incarnation;

/// One probe a host a round.
pub(crate) const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// How long a direct probe may take before others are asked to probe: many times a round trip
/// inside a site, and still short enough that the indirect probes end within the round.
pub(crate) const DIRECT_PROBE_TIMEOUT: Duration = Duration::from_millis(200);

/// Others that are asked to probe. One lost connection between two hosts must not make a suspect.
pub(crate) const INDIRECT_PROBES: usize = 3;

/// How long a suspect has to refute, a doubling of the failure domain: the suspicion and its
/// refutation each need some rounds more to reach everyone.
pub(crate) const SUSPICION_PER_DOUBLING: Duration = Duration::from_millis(300);

/// The least time to refute. A process that the machine does not run for half a second is common
/// under load; one that is away longer costs its callers more than a take-over.
pub(crate) const SUSPICION_MIN: Duration = Duration::from_millis(600);

/// A gap between ticks, which should come every 100 ms, that means that the process was paused.
/// What it held may be someone else's by now: the others declare it dead from about this time on.
pub(crate) const PAUSE_MIN: Duration = Duration::from_secs(1);

/// Between tries to find the others of the failure domain while none is known.
pub(crate) const JOIN_INTERVAL: Duration = Duration::from_secs(1);

/// Tries to join by seeds of the own failure domain before others are asked too.
pub(crate) const LOCAL_JOIN_ATTEMPTS: usize = 3;

/// Between tries to reach a host that is dead or a seed that is not known: finds again what a cut
/// had separated, when each side has declared the other dead.
pub(crate) const RECONNECT_INTERVAL: Duration = Duration::from_secs(5);

/// Between digests to other failure domains, of each host that sends them.
pub(crate) const DIGEST_INTERVAL: Duration = Duration::from_secs(2);

/// Hosts of a failure domain that send digests; more than one, so that losing one delays nothing.
pub(crate) const DIGEST_HOSTS: usize = 3;

/// News settles by itself, also from other failure domains, in some ten seconds; only a difference
/// that lasts is worth a pull. At 4 s each restart made most hosts pull whole lists.
pub(crate) const MISMATCH_MIN: Duration = Duration::from_secs(15);

/// A difference that nobody showed for this long is over.
pub(crate) const MISMATCH_GAP_MAX: Duration = Duration::from_secs(10);

/// Between pulls of one host.
pub(crate) const PULL_INTERVAL: Duration = Duration::from_secs(5);

/// How long a host counts as one that has just come.
pub(crate) const NEW_HOST_PERIOD: Duration = Duration::from_secs(60);

/// Between pulls of a host that has just come. Each may cost the other ten seconds of its budget.
pub(crate) const PULL_INTERVAL_NEW_HOST: Duration = Duration::from_secs(3);

/// How long a dead host is remembered. Forgetting it earlier would let old news bring it back.
pub(crate) const DEAD_RETENTION: Duration = Duration::from_secs(600);

/// A failure domain that was not heard for this long is shown as cut off: three turns of the digests
/// of one host over five others.
pub(crate) const DOMAIN_SILENCE_MAX: Duration = Duration::from_secs(30);

/// The longest burst of bytes: the list of 400 hosts for one that has just come.
pub(crate) const BURST_BYTES: f64 = 32_768.0;

/// What is kept for probes and their answers when the budget runs out: without them, hosts that
/// are busy with news would be suspected.
pub(crate) const PROBE_RESERVE_BYTES: f64 = 4_096.0;

/// News on one message.
pub(crate) const BROADCASTS_PER_MESSAGE_MAX: usize = 6;

/// Hosts on one message of a list.
pub(crate) const RECORDS_PER_MESSAGE_MAX: usize = 16;

/// What a membership starts from.
#[derive(Clone, Debug)]
pub struct MembershipConf {
    /// This host.
    pub host: HostId,
    /// Its failure domain.
    pub domain: FailureDomainId,
    /// Where it listens for peers.
    pub peer_addr: SocketAddr,
    /// Its incarnation: larger than that of any earlier process of this name, as the seconds of the
    /// time of day are. A clock that went back only costs one refutation.
    pub incarnation: Incarnation,
    /// The bound on bytes that it sends a second, in the long run.
    pub bytes_per_second: u64,
    /// Hosts to ask first.
    pub seeds: Vec<PeerSeed>,
}
