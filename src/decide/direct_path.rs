//! What is known of a direct path to an upstream.

/// What is known of the direct path to an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DirectPath {
    /// Nothing speaks against it.
    Usable,
    /// The latest connections to other upstreams all failed.
    InDoubt,
    /// It is lost: other hosts reach the upstream, this one does not.
    Lost,
}
