//! The state of the manifest on one host, for status and readiness.

use std::time::Duration;

use crate::units::Generation;

/// The state of the manifest on one host.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize)]
pub struct ManifestStatus {
    /// The generation in force, if there is one.
    pub generation: Option<Generation>,
    /// Time since the platform last confirmed, directly or through other hosts, that there is no
    /// newer generation; `None` if it never did.
    pub confirmed_ago: Option<Duration>,
    /// Whether this host may serve: it has the newest generation that the platform or enough hosts
    /// of its failure domain reported.
    pub is_ready: bool,
    /// Why this host may not serve; `None` if it may.
    pub why_not_ready: Option<&'static str>,
    /// The published manifest that this host refused, if there is one.
    pub refused: Option<ManifestRefusal>,
}

/// A published manifest that a host refused. The earlier manifest stays in force.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize)]
pub struct ManifestRefusal {
    /// The refused generation.
    pub generation: Generation,
    /// The reason for the refusal.
    pub why: String,
}
