//! The settings' fields.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::units::ByteSize;
use crate::units::FailureDomainId;
use crate::units::HostId;

/// All settings of a daemon.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// This host's name.
    pub host: HostId,
    /// The deployment whose manifests this host takes.
    pub deployment: String,
    /// The failure domain it stands in.
    pub failure_domain: FailureDomainId,
    /// Where it listens.
    pub listen: ListenSettings,
    /// The platform's object service.
    pub platform: PlatformSettings,
    /// Other hosts.
    pub peers: PeerSettings,
    /// The decisions under load; others than `shipped` are baselines for measurements.
    #[serde(default)]
    pub policy: PolicyName,
    /// How it shuts down.
    #[serde(default)]
    pub drain: DrainSettings,
    /// Logs.
    #[serde(default)]
    pub logs: LogSettings,
    /// Worker threads; 0 takes one a core.
    #[serde(default)]
    pub threads: usize,
    /// Memory for the bodies of requests that have not ended.
    #[serde(default = "default_body_memory_size")]
    pub body_memory_size: ByteSize,
}

/// Where a host listens. Port 0 lets the machine choose.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ListenSettings {
    /// For callers.
    pub callers: SocketAddr,
    /// For other hosts.
    pub peers: SocketAddr,
    /// For health, metrics and status.
    pub status: SocketAddr,
}

/// How to reach the platform.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// Its address.
    pub address: SocketAddr,
    /// How long a call may take.
    #[serde(default = "default_platform_timeout_ms")]
    pub timeout_ms: u64,
}

/// How to reach and to trust other hosts.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PeerSettings {
    /// Hosts to ask first.
    #[serde(default)]
    pub seeds: Vec<PeerSeed>,
    /// Keys that peers share. The first one signs, all are accepted, so that a new key is first
    /// added everywhere at the end, then moved to the front, then the old one is removed.
    pub keys: Vec<PeerKey>,
    /// The bound on bytes a second that this host sends for membership and manifests.
    #[serde(default = "default_control_bytes_per_second")]
    pub control_bytes_per_second: u64,
}

/// A host to ask first.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PeerSeed {
    /// Its name.
    pub host: HostId,
    /// Its failure domain.
    pub failure_domain: FailureDomainId,
    /// Where it listens for peers.
    pub address: SocketAddr,
}

/// A key that peers share.
#[derive(Clone, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PeerKey {
    /// The key's name, which is sent in the clear.
    pub id: String,
    /// The secret: at least 16 characters.
    pub secret: String,
}

impl std::fmt::Debug for PeerKey {
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
    /// How long new work is still taken after readiness fails, so that the balancer sees it.
    pub notice_ms: u64,
}

impl Default for DrainSettings {
    fn default() -> Self {
        Self { notice_ms: 5_000 }
    }
}

/// What is logged and how.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
#[serde(default)]
pub struct LogSettings {
    /// The form of a line.
    pub format: LogFormat,
    /// The least level: `error`, `warn`, `info`, `debug` or `trace`.
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

/// The form of a log line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// For people.
    #[default]
    Text,
    /// For machines.
    Json,
}

/// The decisions under load that a home runs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum PolicyName {
    /// The project's own.
    #[default]
    Shipped,
    /// Baseline: each host in turn, without a queue.
    RoundRobin,
    /// Baseline: the upstream with the fewest requests in flight, without a queue.
    LeastInFlight,
    /// Baseline: each host decides alone from lagging reports and its own work.
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
