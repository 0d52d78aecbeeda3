//! The queues of a pool: one for each lane and one for requests that need a gang of engines.

use std::time::Instant;

use crate::decide::FairQueue;
use crate::decide::Lane;
use crate::decide::QueuedRequest;
use crate::decide::shipped::GangQueue;
use crate::decide::shipped::LaneQueue;
use crate::units::RequestId;

/// The waiting requests of a pool, by queue.
#[derive(Debug, Default)]
pub(crate) struct PoolQueues {
    pub(crate) short: LaneQueue,
    pub(crate) long: LaneQueue,
    pub(crate) gangs: GangQueue,
}

impl PoolQueues {
    /// The queue of a lane.
    pub(crate) fn get(&self, lane: Lane) -> &LaneQueue {
        match lane {
            Lane::Short => &self.short,
            Lane::Long => &self.long,
        }
    }

    /// The queue of a lane, for changes.
    pub(crate) fn get_mut(&mut self, lane: Lane) -> &mut LaneQueue {
        match lane {
            Lane::Short => &mut self.short,
            Lane::Long => &mut self.long,
        }
    }

    /// The queues of both lanes and of the gangs.
    pub(crate) fn all(&self) -> impl Iterator<Item = &FairQueue> {
        [&self.short.queue, &self.long.queue, &self.gangs.queue].into_iter()
    }

    /// The number of requests in all queues.
    pub(crate) fn len(&self) -> usize {
        self.all().map(FairQueue::len).sum()
    }

    /// Removes a request that is not served, from whichever queue holds it.
    pub(crate) fn remove(&mut self, request: &RequestId) {
        self.short.queue.remove(request);
        self.long.queue.remove(request);
        self.gangs.queue.remove(request);
    }

    /// Removes and returns the requests whose deadline has passed.
    pub(crate) fn take_expired(&mut self, now: Instant) -> Vec<QueuedRequest> {
        let mut expired = self.short.queue.take_expired(now);
        expired.extend(self.long.queue.take_expired(now));
        expired.extend(self.gangs.queue.take_expired(now));
        expired
    }
}
