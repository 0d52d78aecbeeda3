//! The kind of a load update: a snapshot or a delta.

/// Whether a load update covers all work of its source or only what has changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadUpdateKind {
    /// The update is complete: its source has no work at upstreams that it does not list.
    Snapshot,
    /// The update lists only the upstreams whose load has changed.
    Delta,
}
