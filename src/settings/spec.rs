//! The fields of the settings file and their defaults.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::units::ByteSize;
use crate::units::FailureDomainId;
use crate::units::HostId;

/// The settings of a daemon.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The name of this host.
    pub host: HostId,
    /// The deployment whose manifests this host accepts.
    pub deployment: String,
    /// The failure domain of this host.
    pub failure_domain: FailureDomainId,
    /// The addresses that this host listens on.
    pub listen: ListenSettings,
    /// The object service of the platform.
    pub platform: PlatformSettings,
    /// The connections to other hosts.
    pub peers: PeerSettings,
    /// The load balancing policy. Policies other than `shipped` are baselines for measurements.
    #[serde(default)]
    pub policy: PolicyName,
    /// The shutdown of this host.
    #[serde(default)]
    pub drain: DrainSettings,
    /// The log output.
    #[serde(default)]
    pub logs: LogSettings,
    /// The number of worker threads; 0 starts one per core.
    #[serde(default)]
    pub threads: usize,
    /// The maximum memory for the bodies of all requests that have not ended.
    #[serde(default = "default_body_memory_size")]
    pub body_memory_size: ByteSize,
}

/// The addresses that a host listens on. With port 0 the operating system chooses the port.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ListenSettings {
    /// The address for callers.
    pub callers: SocketAddr,
    /// The address for other hosts.
    pub peers: SocketAddr,
    /// The address for health, metrics and status pages.
    pub status: SocketAddr,
}

/// The connection to the platform.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// The address of the platform.
    pub address: SocketAddr,
    /// The timeout of one call, in milliseconds.
    #[serde(default = "default_platform_timeout_ms")]
    pub timeout_ms: u64,
}

/// How this host reaches and authenticates other hosts: the seeds, the shared keys, and the limit
/// on what it sends for membership and manifests.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PeerSettings {
    /// The hosts to contact first when this host joins the fleet.
    #[serde(default)]
    pub seeds: Vec<PeerSeed>,
    /// The keys shared by all hosts. A host signs with the first key and accepts all of them. To
    /// rotate keys, append the new key on every host, then move it to the front, then remove the
    /// old key.
    pub keys: Vec<PeerKey>,
    /// The limit, in bytes per second, on what this host sends for membership and manifests.
    #[serde(default = "default_control_bytes_per_second")]
    pub control_bytes_per_second: u64,
}

/// A host to contact first when this host joins the fleet.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PeerSeed {
    /// The name of the host.
    pub host: HostId,
    /// The failure domain of the host.
    pub failure_domain: FailureDomainId,
    /// The address that the host listens on for other hosts.
    pub address: SocketAddr,
}

/// A key shared by all hosts.
#[derive(Clone, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PeerKey {
    /// The name of the key, which is sent unencrypted.
    pub id: String,
    /// The secret, of at least 16 characters.
    pub secret: String,
}

impl std::fmt::Debug for PeerKey {
    /// Shows only the id, so that debug output does not contain the secret.
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "PeerKey({})", self.id)
    }
}

/// How a host shuts down.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
#[serde(default)]
pub struct DrainSettings {
    /// How long new requests are still accepted after the readiness check starts to fail, in
    /// milliseconds. In this time the load balancer notices the failed check.
    pub notice_ms: u64,
}

impl Default for DrainSettings {
    /// New requests are accepted for 5 seconds after the readiness check starts to fail.
    fn default() -> Self {
        Self { notice_ms: 5_000 }
    }
}

/// The log output.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
#[serde(default)]
pub struct LogSettings {
    /// The format of a log line.
    pub format: LogFormat,
    /// The most verbose level that is logged: `off`, `error`, `warn`, `info`, `debug` or `trace`.
    pub level: String,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            format: LogFormat::Text,
            level: "info".to_owned(),
        }
    }
}

/// The format of a log line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// Plain text, for people.
    #[default]
    Text,
    /// One JSON object per line, for programs.
    Json,
}

/// The name of the load balancing policy that a home runs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum PolicyName {
    /// The policy meant for production.
    #[default]
    Shipped,
    /// Baseline: the upstreams in turn, without a queue.
    RoundRobin,
    /// Baseline: the upstream with the fewest requests in flight, without a queue.
    LeastInFlight,
    /// Baseline: each host decides alone, from outdated load reports and its own requests.
    Alone,
}

pub(crate) fn default_platform_timeout_ms() -> u64 {
    1_000
}

pub(crate) fn default_control_bytes_per_second() -> u64 {
    4_096
}

pub(crate) fn default_body_memory_size() -> ByteSize {
    ByteSize(128 << 20)
}
