//! The queue of one lane and the rate at which requests leave it.

use std::time::Duration;
use std::time::Instant;

use crate::decide::DrainRate;
use crate::decide::FairQueue;
use crate::decide::QueuedRequest;
use crate::decide::placement::duration_from_secs;
use crate::units::RequestId;

/// The waiting requests of one lane.
#[derive(Debug, Default)]
pub(crate) struct LaneQueue {
    pub(crate) queue: FairQueue,
    drain: DrainRate,
}

impl LaneQueue {
    /// Removes a request that is to be served.
    pub(crate) fn take(&mut self, request: &RequestId, now: Instant) -> Option<QueuedRequest> {
        let waiting = self.queue.take(request)?;
        self.drain.observe(waiting.cost(), true, now);
        Some(waiting)
    }

    /// Records that no further request can be served now.
    pub(crate) fn on_blocked(&mut self, now: Instant) {
        self.drain.observe(0.0, !self.queue.is_empty(), now);
    }

    /// Time until the whole queue has drained, at `nominal` cost per second while no rate is known.
    pub(crate) fn drain_time(&self, nominal: f64, now: Instant) -> Duration {
        duration_from_secs(self.queue.cost() / self.drain.per_second(nominal, now))
    }

    /// Time that a request like `waiting` would wait in this queue.
    pub(crate) fn wait(&self, waiting: &QueuedRequest, nominal: f64, now: Instant) -> Duration {
        let rank = waiting.work.priority;
        let ahead = self.queue.cost_ahead(rank, &waiting.account, waiting.share);
        duration_from_secs(ahead / self.drain.per_second(nominal, now))
    }
}
