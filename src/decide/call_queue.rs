//! The queue of the calls of one lane that wait on a host.
//!
//! Load condition: more calls arrive than upstreams have places. If each call tried again on its
//! own, luck would decide which one gets the next place, and calls that have just come would take
//! places from those that have waited.

use crate::decide::CallLane;
use crate::decide::FairQueue;
use crate::decide::QueueEntry;
use crate::decide::WaitRank;
use crate::decide::WaitingCall;
use crate::units::ByteSize;
use crate::units::Priority;
use crate::units::RequestId;

/// The most calls of a lane that wait on a host. Further calls are refused at once.
pub const WAITING_CALLS_MAX: usize = 512;
/// The most memory of the calls of a lane that wait on a host. Further calls are refused at once.
pub const WAITING_SIZE_MAX: ByteSize = ByteSize(16 << 20);

/// Number of calls with unlike needs that may be tried at a time, in their order. A prompt of half a
/// million tokens waits for as many engines as a few shorter ones together, which should not wait
/// for it while engines are idle.
const TRIED_OF_UNLIKE_CALLS: usize = 4;

/// The calls of one lane that wait on a host for places at one service.
#[derive(Debug)]
pub struct CallQueue {
    /// Whether a place that suits one call suits all.
    has_equal_needs: bool,
    queue: FairQueue<WaitingCall>,
    size: ByteSize,
}

impl CallQueue {
    /// Creates the empty queue of the calls of a lane that may use all upstreams of their service.
    pub fn new(lane: CallLane) -> Self {
        Self::with_needs(lane.has_equal_needs())
    }

    /// Creates the empty queue of calls that may use different upstreams of their service, so that
    /// none of them keeps others from places.
    pub fn of_limited_calls() -> Self {
        Self::with_needs(false)
    }

    fn with_needs(has_equal_needs: bool) -> Self {
        Self {
            has_equal_needs,
            queue: FairQueue::new(),
            size: ByteSize(0),
        }
    }

    /// Adds a call. Returns false, and adds nothing, if the queue has no room for it. Half of the
    /// room is kept for calls that can still be on time and whose customers are within their share.
    pub fn push(&mut self, call: WaitingCall) -> bool {
        let size = ByteSize(self.size.0.saturating_add(call.size.0));
        let (calls_max, size_max) = if call.rank.is_first_group() {
            (WAITING_CALLS_MAX, WAITING_SIZE_MAX.0)
        } else {
            (WAITING_CALLS_MAX / 2, WAITING_SIZE_MAX.0 / 2)
        };
        let is_full = self.queue.len() >= calls_max || size.0 > size_max;
        if is_full && call.rank != WaitRank::RESUMED && !self.queue.is_empty() {
            return false;
        }
        self.size = size;
        self.queue.push(call);
        true
    }

    /// Removes a call that has got a place, and charges its cost to its customer.
    pub fn take(&mut self, id: &RequestId) {
        let taken = self.queue.take(id);
        self.subtract(taken.as_ref());
    }

    /// Removes a call that gets no place.
    pub fn remove(&mut self, id: &RequestId) {
        let removed = self.queue.remove(id);
        self.subtract(removed.as_ref());
    }

    /// Moves a call to another rank.
    pub fn set_rank(&mut self, id: &RequestId, rank: WaitRank) {
        if self.queue.get(id).is_none_or(|call| call.rank == rank) {
            return;
        }
        if let Some(call) = self.queue.remove(id) {
            self.queue.push(WaitingCall { rank, ..call });
        }
    }

    /// The calls that may be tried now, in their order.
    pub fn heads(&self) -> Vec<RequestId> {
        let tried = if self.has_equal_needs {
            1
        } else {
            TRIED_OF_UNLIKE_CALLS
        };
        let heads = self.queue.heads(tried);
        heads.into_iter().map(QueueEntry::request).collect()
    }

    /// Whether a call of this rank that has just come must wait behind others.
    pub fn is_behind_others(&self, rank: WaitRank) -> bool {
        let first = self.queue.first_priority();
        self.has_equal_needs && first.is_some_and(|first| first <= Priority::from(rank))
    }

    /// Whether a place that suits one call suits all.
    pub fn has_equal_needs(&self) -> bool {
        self.has_equal_needs
    }

    /// The number of waiting calls.
    pub fn len(&self) -> usize {
        self.queue.len()
    }

    /// Whether no call waits.
    pub fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    fn subtract(&mut self, call: Option<&WaitingCall>) {
        if let Some(call) = call {
            self.size = ByteSize(self.size.0.saturating_sub(call.size.0));
        }
    }
}
