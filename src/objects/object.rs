//! The objects of the platform, their kinds and their keys.

use std::fmt;

use crate::units::ObjectVersion;

/// The kinds of objects that the system reads and writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ObjectKind {
    /// The manifest, of which there is one.
    Manifests,
    /// The shards of the claims that are made for requests which are not repeatable.
    Claims,
    /// The leases that permit a host to send orders to the engines of a pool.
    Leases,
    /// The status reports of hosts.
    Statuses,
    /// The machines that the platform runs, with those that are leaving. This kind is read-only.
    Machines,
}

impl ObjectKind {
    /// The plural name of the kind, as it stands in URLs.
    pub fn plural(self) -> &'static str {
        match self {
            Self::Manifests => "manifests",
            Self::Claims => "claims",
            Self::Leases => "leases",
            Self::Statuses => "statuses",
            Self::Machines => "machines",
        }
    }

    /// The kind with the given plural name; none if there is no such kind.
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

/// The key of an object: its kind and its name.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ObjectKey {
    /// The kind of the object.
    pub kind: ObjectKind,
    /// The name of the object, unique within its kind.
    pub name: String,
}

impl ObjectKey {
    /// The key of the object `name` of a kind.
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

/// An object as read from the platform.
#[derive(Clone, Debug, PartialEq)]
pub struct Object {
    /// The key of the object.
    pub key: ObjectKey,
    /// The version of the object, which a conditional write can require.
    pub version: ObjectVersion,
    /// The `spec` of the object.
    pub value: serde_json::Value,
}

/// Objects of one kind: all of them, or those that a watch returned.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ObjectList {
    /// The objects.
    pub items: Vec<Object>,
    /// The version up to which the list includes all changes. A watch after this version returns
    /// the later changes.
    pub version: ObjectVersion,
}

/// The precondition of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Precondition {
    /// No object with the key exists.
    Absent,
    /// The object exists in this version.
    Version(ObjectVersion),
}
