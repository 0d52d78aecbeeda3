//! What a [`FairQueue`](crate::decide::FairQueue) must know of an entry to order it.

use std::time::Instant;

use crate::units::CustomerId;
use crate::units::Priority;
use crate::units::RequestId;

/// An entry of a [`FairQueue`](crate::decide::FairQueue).
pub trait QueueEntry {
    /// The id of the entry, unique in its queue.
    fn request(&self) -> RequestId;

    /// The priority; 0 is served first.
    fn priority(&self) -> Priority;

    /// The account that is charged when the entry is served.
    fn account(&self) -> &CustomerId;

    /// The weight of the account among all accounts with entries of the same priority.
    fn share(&self) -> u32;

    /// When the entry is due. The earliest of an account is served first.
    fn deadline(&self) -> Instant;

    /// The cost that is charged to the account.
    fn cost(&self) -> f64;
}
