//! Requests of one lane that wait, and how fast they leave.

use std::time::Duration;
use std::time::Instant;

use crate::decide::DrainRate;
use crate::decide::FairQueue;
use crate::decide::QueuedRequest;
use crate::decide::placement::duration_from_secs;
use crate::units::RequestId;

/// Requests of one lane that wait.
#[derive(Debug, Default)]
pub(crate) struct LaneQueue {
    pub(crate) queue: FairQueue,
    drain: DrainRate,
}

impl LaneQueue {
    /// Takes a request out to be served.
    pub(crate) fn take(&mut self, request: &RequestId, now: Instant) -> Option<QueuedRequest> {
        let waiting = self.queue.take(request)?;
        self.drain.observe(waiting.cost(), true, now);
        Some(waiting)
    }

    /// Takes in that nothing more can be served now.
    pub(crate) fn on_blocked(&mut self, now: Instant) {
        self.drain.observe(0.0, !self.queue.is_empty(), now);
    }

    /// How long the whole queue takes to drain, at `nominal` cost a second if nothing is known.
    pub(crate) fn drain_time(&self, nominal: f64, now: Instant) -> Duration {
        duration_from_secs(self.queue.cost() / self.drain.per_second(nominal, now))
    }

    /// How long a request like this one would wait.
    pub(crate) fn wait(&self, waiting: &QueuedRequest, nominal: f64, now: Instant) -> Duration {
        let rank = waiting.work.priority;
        let ahead = self.queue.cost_ahead(rank, &waiting.account, waiting.share);
        duration_from_secs(ahead / self.drain.per_second(nominal, now))
    }
}
