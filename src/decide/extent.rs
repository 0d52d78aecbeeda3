//! How much of what it knows a source of news says.

/// Whether what is heard is all that its source has to say.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Extent {
    /// It is: upstreams that it does not name have no work of it.
    Whole,
    /// It names only what has changed.
    Changes,
}
