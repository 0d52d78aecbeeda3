//! A prefill that is not done yet, as the ledger estimates it.

use crate::decide::Lane;
use crate::units::GrantId;
use crate::units::Priority;

/// A prefill that is not done yet.
#[derive(Clone, Debug, PartialEq)]
pub struct Prefill {
    /// The grant that the prefill belongs to.
    pub grant: GrantId,
    /// The priority that was passed to the engine.
    pub priority: Priority,
    /// The lane of the prefill.
    pub lane: Lane,
    /// Whether the prefill was heavy when it began.
    pub is_heavy: bool,
    /// The estimated number of tokens that are left to process.
    pub tokens_left: f64,
}
