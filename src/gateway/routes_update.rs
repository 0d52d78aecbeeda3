//! The result of putting a manifest in force.

use crate::units::Generation;

/// The result of putting a manifest in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RoutesUpdate {
    /// The manifest is in force now.
    Applied,
    /// The manifest was already in force.
    Unchanged,
    /// A newer manifest stays in force.
    Stale {
        /// The generation of the newer manifest.
        in_force: Generation,
    },
}
