//! A prefill that is not done yet, by the ledger's reckoning.

use crate::decide::Lane;
use crate::units::GrantId;
use crate::units::Priority;

/// A prefill that is not done yet.
#[derive(Clone, Debug, PartialEq)]
pub struct Prefill {
    /// The grant.
    pub grant: GrantId,
    /// The rank that the engine was given.
    pub rank: Priority,
    /// Its lane.
    pub lane: Lane,
    /// Whether it was heavy when it began.
    pub is_heavy: bool,
    /// Tokens that are left.
    pub left: f64,
}
