//! A call that waits on a host for a place at its service.

use std::time::Duration;
use std::time::Instant;

use crate::decide::QueueEntry;
use crate::decide::WaitRank;
use crate::units::ByteSize;
use crate::units::CustomerId;
use crate::units::Priority;
use crate::units::RequestId;

/// A waiting call, as its queue orders it.
#[derive(Clone, Debug, PartialEq)]
pub struct WaitingCall {
    /// The id of the call in its queue.
    pub id: RequestId,
    /// The rank among the calls of all customers.
    pub rank: WaitRank,
    /// The customer, or [`CustomerId::none`].
    pub account: CustomerId,
    /// When the response becomes late.
    pub due_at: Instant,
    /// The time of an engine that the call takes.
    pub engine_time: Duration,
    /// The memory that the call takes while it waits.
    pub size: ByteSize,
}

impl QueueEntry for WaitingCall {
    fn request(&self) -> RequestId {
        self.id
    }

    fn priority(&self) -> Priority {
        self.rank.into()
    }

    fn account(&self) -> &CustomerId {
        &self.account
    }

    fn share(&self) -> u32 {
        1
    }

    fn deadline(&self) -> Instant {
        self.due_at
    }

    /// The engine time, in ms.
    fn cost(&self) -> f64 {
        (self.engine_time.as_secs_f64() * 1e3).max(1.0)
    }
}
