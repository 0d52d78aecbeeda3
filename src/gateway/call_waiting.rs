//! How a call waits for its turn among the calls of its lane.

use std::time::Duration;
use std::time::Instant;

use tokio::time::sleep;

use crate::decide::RefuseReason;
use crate::decide::WaitRank;
use crate::decide::WaitingCall;
use crate::gateway::CallRefusal;
use crate::gateway::ShutdownPhase;
use crate::gateway::admission::check_admission;
use crate::gateway::call_dispatcher::CallDispatcher;
use crate::gateway::placement::NO_UPSTREAM_RETRY_AFTER;
use crate::gateway::placement::call_lane;
use crate::gateway::server::wait_for_phase;
use crate::gateway::waiting_calls::LaneKey;
use crate::gateway::waiting_calls::WaitingPlace;
use crate::units::BoundedTime;
use crate::units::ByteSize;
use crate::units::CustomerId;
use crate::units::RequestId;

/// The memory of a waiting call besides its body.
const CALL_OVERHEAD: ByteSize = ByteSize(4 << 10);

impl CallDispatcher {
    /// Whether the call has just come and others that wait for the same places come first.
    pub(super) fn must_wait_behind_others(&self, now: Instant) -> bool {
        let is_waiting = self.place.is_some() || self.limit_wait.is_some();
        if is_waiting || self.is_limited() || !self.is_ordered {
            return false;
        }
        let rank = self.rank(now);
        self.gateway
            .waiting
            .is_behind_others(&self.lane_key(), rank)
    }

    /// The refusal of a call that is not let in; none if it is.
    pub(super) fn check_admission(&mut self, now: Instant) -> Option<CallRefusal> {
        let refusal = check_admission(&self.gateway, &self.call, &self.sends(), now);
        self.is_admitted = refusal.is_none();
        refusal
    }

    /// Waits for the turn of the call among those that wait for the same kind of place, and returns
    /// a refusal if too many wait already. `retry_in` is the time, with jitter, after which the call
    /// is tried again if nothing wakes it.
    pub(super) async fn wait_for_turn(
        &mut self,
        retry_in: Duration,
        now: Instant,
    ) -> Option<CallRefusal> {
        if self.place.is_none() {
            let call = self.waiting_call(now);
            self.place = WaitingPlace::join(&self.gateway, self.lane_key(), call);
        }
        let Some(place) = &self.place else {
            return Some(CallRefusal::Overload {
                reason: RefuseReason::QueueFull,
                retry_after: NO_UPSTREAM_RETRY_AFTER,
            });
        };
        let turn = place.turn(self.rank(now), with_jitter(retry_in), self.turn_until(now));
        self.wait_unless_stopping(turn).await;
        None
    }

    /// Records how long the call has waited among others.
    pub(super) fn record_queue_wait(&self, place: &WaitingPlace) {
        let waited = place.waited();
        let customer = self.call.customer.as_ref();
        let customers = &self.gateway.metrics.customers;
        customers.record_queue_wait(customer, self.call.route.kind, waited);
    }

    /// When the call is to be tried even if others come first, because it may have to be refused.
    pub(super) fn turn_until(&self, now: Instant) -> Instant {
        let due_at = self.call.arrived_at + self.call.route.objective;
        let ahead = [self.call.slot_wait_until(), due_at, self.call.deadline];
        let first = ahead.into_iter().find(|at| *at > now);
        first.unwrap_or(self.call.deadline)
    }

    /// The call as its lane orders it.
    pub(super) fn waiting_call(&self, now: Instant) -> WaitingCall {
        let call = &self.call;
        let body = u64::try_from(call.body.len()).unwrap_or(u64::MAX);
        WaitingCall {
            id: RequestId(rand::random()),
            rank: self.rank(now),
            account: call.customer.clone().unwrap_or_else(CustomerId::none),
            due_at: call.arrived_at + call.route.objective,
            engine_time: self.gateway.engine_time(call),
            size: ByteSize(body.saturating_add(CALL_OVERHEAD.0)),
        }
    }

    pub(super) fn rank(&self, now: Instant) -> WaitRank {
        if self.runs > 0 {
            return WaitRank::RESUMED;
        }
        let is_late = self.call.objective_left(now).is_zero();
        WaitRank::new(self.call.priority(), self.standing, is_late)
    }

    pub(super) fn lane_key(&self) -> LaneKey {
        LaneKey {
            service: self.call.service.clone(),
            lane: call_lane(&self.gateway, &self.call),
            is_limited: self.is_limited(),
        }
    }

    /// Whether the call may not use all upstreams of its service.
    pub(super) fn is_limited(&self) -> bool {
        !self.tried.is_empty() || !self.call.may_run_anywhere()
    }

    /// Sleeps with jitter, but no longer than until the deadline of the call.
    pub(super) async fn sleep_with_jitter(&self, wait: Duration, now: Instant) {
        let wait = with_jitter(wait).min(self.call.time_left(now));
        self.wait_unless_stopping(sleep(wait)).await;
    }

    /// Waits for `waiting`. A call that has not run yet waits no longer than until this host refuses
    /// such calls.
    pub(super) async fn wait_unless_stopping(&self, waiting: impl Future<Output = ()>) {
        if self.runs > 0 {
            waiting.await;
            return;
        }
        tokio::select! {
            () = waiting => {}
            () = wait_for_phase(&self.gateway, ShutdownPhase::Completing) => {}
        }
    }
}

/// Half to one and a half of this time, so that requests that wait on several hosts for the same
/// upstreams do not all choose them at the same moment.
fn with_jitter(wait: Duration) -> Duration {
    wait.scaled(rand::random_range(0.5..1.5))
}
