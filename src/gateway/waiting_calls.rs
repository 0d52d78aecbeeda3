//! The calls that wait on this host for places at upstreams.
//!
//! Each call decides about its own placement when it is its turn. A turn comes when a send of this
//! host has ended, or when the time is over after which the call wanted to be tried again.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;
use tokio::sync::Notify;
use tokio::time::sleep;

use crate::decide::CallLane;
use crate::decide::CallQueue;
use crate::decide::WaitRank;
use crate::decide::WaitingCall;
use crate::gateway::Gateway;
use crate::units::RequestId;
use crate::units::ServiceId;

/// The calls of a service that wait for the same kind of place.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct LaneKey {
    pub(crate) service: ServiceId,
    pub(crate) lane: CallLane,
    /// Whether the calls may not use all upstreams of the service: their regions are limited, or
    /// they were sent to some before.
    pub(crate) is_limited: bool,
}

/// The waiting calls of one lane, and how to wake each of them.
#[derive(Debug)]
struct LaneCalls {
    queue: CallQueue,
    wakeups: IndexMap<RequestId, Arc<Notify>>,
}

impl LaneCalls {
    fn new(key: &LaneKey) -> Self {
        let queue = if key.is_limited {
            CallQueue::of_limited_calls()
        } else {
            CallQueue::new(key.lane)
        };
        Self {
            queue,
            wakeups: IndexMap::new(),
        }
    }

    /// Wakes the calls that may be tried now, if they wait for slots. Calls of other lanes are tried
    /// at their own times: woken at each change, late ones would take every engine that is idle for
    /// a moment.
    fn wake_heads(&self) {
        if !self.queue.has_equal_needs() {
            return;
        }
        for id in self.queue.heads() {
            if let Some(wakeup) = self.wakeups.get(&id) {
                wakeup.notify_one();
            }
        }
    }
}

/// All waiting calls of a host, by lane.
#[derive(Debug, Default)]
pub(crate) struct WaitingCalls(Mutex<IndexMap<LaneKey, LaneCalls>>);

impl WaitingCalls {
    /// Whether a call of this rank that has just come must wait behind others.
    pub(crate) fn is_behind_others(&self, key: &LaneKey, rank: WaitRank) -> bool {
        let lanes = self.lock();
        let calls = lanes.get(key);
        calls.is_some_and(|calls| calls.queue.is_behind_others(rank))
    }

    /// Wakes the first calls of all lanes that wait for slots, because one may have become free.
    /// Prompts that several engines read wait for more than a slot.
    pub(crate) fn wake_for_slot(&self) {
        for calls in self.lock().values() {
            calls.wake_heads();
        }
    }

    /// Adds a call. Returns false if its lane is full.
    fn push(&self, key: &LaneKey, call: WaitingCall, wakeup: &Arc<Notify>) -> bool {
        let id = call.id;
        let mut lanes = self.lock();
        let calls = lanes.entry(key.clone());
        let calls = calls.or_insert_with(|| LaneCalls::new(key));
        if !calls.queue.push(call) {
            return false;
        }
        calls.wakeups.insert(id, Arc::clone(wakeup));
        true
    }

    /// Calls `access` with the locked calls of a lane; returns none if no call ever waited there.
    fn with_lane<T>(&self, key: &LaneKey, access: impl FnOnce(&mut LaneCalls) -> T) -> Option<T> {
        self.lock().get_mut(key).map(access)
    }

    fn lock(&self) -> MutexGuard<'_, IndexMap<LaneKey, LaneCalls>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The place of a call among the waiting ones, which it leaves when this is dropped.
pub(crate) struct WaitingPlace {
    gateway: Arc<Gateway>,
    key: LaneKey,
    id: RequestId,
    wakeup: Arc<Notify>,
    joined_at: Instant,
}

impl WaitingPlace {
    /// Adds a call to a lane; none if the lane is full.
    pub(crate) fn join(gateway: &Arc<Gateway>, key: LaneKey, call: WaitingCall) -> Option<Self> {
        let id = call.id;
        let wakeup = Arc::new(Notify::new());
        gateway.waiting.push(&key, call, &wakeup).then(|| Self {
            gateway: Arc::clone(gateway),
            key,
            id,
            wakeup,
            joined_at: gateway.clock.now(),
        })
    }

    /// How long the call has waited here.
    pub(crate) fn waited(&self) -> Duration {
        let now = self.gateway.clock.now();
        now.saturating_duration_since(self.joined_at)
    }

    /// Waits for the turn of this call: until it is woken, or `retry_in` is over, and it is among
    /// the first ones. Returns at `until` at the latest.
    pub(crate) async fn turn(&self, rank: WaitRank, retry_in: Duration, until: Instant) {
        let calls = &self.gateway.waiting;
        calls.with_lane(&self.key, |calls| {
            calls.queue.set_rank(&self.id, rank);
            if !calls.queue.heads().contains(&self.id) {
                calls.wake_heads();
            }
        });
        loop {
            let left = until.saturating_duration_since(self.gateway.clock.now());
            // A call that was woken and is no longer among the first ones passes the turn on. One
            // whose own time is over does not, since the first ones have times of their own.
            let was_woken = tokio::select! {
                () = self.wakeup.notified() => true,
                () = sleep(retry_in.min(left)) => false,
            };
            let is_over = self.gateway.clock.now() >= until;
            let is_next = calls.with_lane(&self.key, |calls| {
                let is_next = calls.queue.heads().contains(&self.id);
                if was_woken && !is_next {
                    calls.wake_heads();
                }
                is_next
            });
            if is_over || is_next.unwrap_or(true) {
                return;
            }
        }
    }

    /// Leaves the waiting calls because the call has got a place, whose cost its customer is
    /// charged.
    pub(crate) fn leave_for_send(self) {
        let calls = &self.gateway.waiting;
        calls.with_lane(&self.key, |calls| calls.queue.take(&self.id));
    }
}

impl Drop for WaitingPlace {
    fn drop(&mut self) {
        self.gateway.waiting.with_lane(&self.key, |calls| {
            calls.queue.remove(&self.id);
            calls.wakeups.swap_remove(&self.id);
            calls.wake_heads();
        });
    }
}
