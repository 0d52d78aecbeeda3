//! What came of putting a manifest in force.

use crate::units::Generation;

/// What came of putting a manifest in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RoutesUpdate {
    /// It is in force now.
    Applied,
    /// It was in force already.
    Unchanged,
    /// A newer one stays in force.
    Stale {
        /// The number of that one.
        in_force: Generation,
    },
}
