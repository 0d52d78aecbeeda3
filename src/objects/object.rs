//! Objects of the platform and how they are named.

use std::fmt;

use crate::units::ObjectVersion;

/// The kinds of objects the system reads and writes. The plural is what stands in the URL.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ObjectKind {
    /// The one manifest.
    Manifests,
    /// Shards of claims for requests that are not repeatable.
    Claims,
    /// Leases to give orders to upstreams.
    Leases,
    /// Reports of hosts.
    Statuses,
    /// The platform's own list of live and leaving machines; read only.
    Machines,
}

impl ObjectKind {
    /// The plural in the URL.
    pub fn plural(self) -> &'static str {
        match self {
            Self::Manifests => "manifests",
            Self::Claims => "claims",
            Self::Leases => "leases",
            Self::Statuses => "statuses",
            Self::Machines => "machines",
        }
    }

    /// The kind with this plural.
    pub fn from_plural(plural: &str) -> Option<Self> {
        let kinds = [
            Self::Manifests,
            Self::Claims,
            Self::Leases,
            Self::Statuses,
            Self::Machines,
        ];
        kinds.into_iter().find(|kind| kind.plural() == plural)
    }
}

/// The name of one object.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ObjectKey {
    /// What kind of object.
    pub kind: ObjectKind,
    /// Its name within the kind.
    pub name: String,
}

impl ObjectKey {
    /// The object `name` of a kind.
    pub fn new(kind: ObjectKind, name: impl Into<String>) -> Self {
        Self {
            kind,
            name: name.into(),
        }
    }
}

impl fmt::Display for ObjectKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.kind.plural(), self.name)
    }
}

/// An object as read.
#[derive(Clone, Debug, PartialEq)]
pub struct Object {
    /// Its name.
    pub key: ObjectKey,
    /// The version that a conditional write can expect.
    pub version: ObjectVersion,
    /// The object's `spec`.
    pub value: serde_json::Value,
}

/// Objects of one kind.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ObjectList {
    /// The objects.
    pub items: Vec<Object>,
    /// The version to watch after.
    pub version: ObjectVersion,
}

/// What a conditional write expects to find.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Precondition {
    /// No object of that name.
    Absent,
    /// The object in this version.
    Version(ObjectVersion),
}
