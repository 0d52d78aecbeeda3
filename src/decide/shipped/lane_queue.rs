//! The queue of one lane and the rate at which it drains.

use std::time::Duration;
use std::time::Instant;

use crate::decide::DrainRate;
use crate::decide::FairQueue;
use crate::decide::QueueEntry;
use crate::decide::QueuedRequest;
use crate::units::RequestId;
use crate::units::seconds;

/// The waiting requests of one lane, and the rate at which they are dispatched.
///
/// Costs are in tokens that engines process.
#[derive(Debug, Default)]
pub(crate) struct LaneQueue {
    pub(crate) queue: FairQueue,
    drain: DrainRate,
}

impl LaneQueue {
    /// Removes a request that is dispatched, charges its account and counts its cost for the drain
    /// rate. `None` if the request is not in this queue.
    pub(crate) fn take(&mut self, request: &RequestId, now: Instant) -> Option<QueuedRequest> {
        let waiting = self.queue.take(request)?;
        self.drain.observe(waiting.cost(), true, now);
        Some(waiting)
    }

    /// Records for the drain rate that no further request can be dispatched now.
    pub(crate) fn on_dispatch_end(&mut self, now: Instant) {
        self.drain.observe(0.0, !self.queue.is_empty(), now);
    }

    /// The time until the whole queue has drained. `nominal`, in cost per second, stands in for the
    /// drain rate while none has been measured.
    pub(crate) fn drain_time(&self, nominal: f64, now: Instant) -> Duration {
        seconds(self.queue.cost() / self.drain.per_second(nominal, now))
    }

    /// The time that a new request with the priority and account of `waiting` would wait in this
    /// queue. `nominal`, in cost per second, stands in for the drain rate while none has been
    /// measured.
    pub(crate) fn wait_time(
        &self,
        waiting: &QueuedRequest,
        nominal: f64,
        now: Instant,
    ) -> Duration {
        let priority = waiting.work.priority;
        let ahead = self
            .queue
            .cost_ahead(priority, &waiting.account, waiting.share);
        seconds(ahead / self.drain.per_second(nominal, now))
    }
}
