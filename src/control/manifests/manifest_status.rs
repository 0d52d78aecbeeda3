//! What a host knows of manifests, for status and readiness.

use std::time::Duration;

use crate::units::Generation;

/// What a host knows of manifests.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize)]
pub struct ManifestStatus {
    /// The generation in force, if any.
    pub generation: Option<Generation>,
    /// How long ago the platform said, to this host or to one that told it, that there is no newer
    /// one; none if it never did.
    pub confirmed_ago: Option<Duration>,
    /// Whether this host may serve: it has the newest generation that the platform, or enough
    /// hosts of its failure domain, told it of.
    pub is_ready: bool,
    /// Why not, where it may not.
    pub why_not_ready: Option<&'static str>,
    /// The published manifest that this host refused, if there is one.
    pub refused: Option<ManifestRefusal>,
}

/// A published manifest that a host refused; the one before stays in force.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize)]
pub struct ManifestRefusal {
    /// Its generation.
    pub generation: Generation,
    /// Why.
    pub why: String,
}
