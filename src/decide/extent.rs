//! How much of what it knows a source of news says.

/// Whether what is heard is all that its source has to say.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadUpdateKind {
    /// It is: upstreams that it does not name have no work of it.
    Snapshot,
    /// It names only what has changed.
    Delta,
}
