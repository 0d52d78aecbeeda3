//! One send of a call: the choice of the upstream, the memory reservations and the outcome.

use std::sync::Arc;
use std::time::Duration;

use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::decide::RefuseReason;
use crate::gateway::CallRefusal;
use crate::gateway::ShutdownPhase;
use crate::gateway::answer_progress::AnswerProgress;
use crate::gateway::call_dispatcher::CallDispatcher;
use crate::gateway::call_dispatcher::DispatchOutcome;
use crate::gateway::limit_wait::LimitWait;
use crate::gateway::placement::NO_UPSTREAM_RETRY_AFTER;
use crate::gateway::placement::PlacementDecision;
use crate::gateway::placement::SendPlan;
use crate::gateway::placement::decide_placement;
use crate::gateway::reservation::EngineReservation;
use crate::gateway::reservation::ReservationGuard;
use crate::gateway::send::PendingSend;
use crate::gateway::send::SendOutcome;
use crate::gateway::send::response_timeout;
use crate::gateway::silent_sends::EndedSend;

/// Largest number of sends of one call that were certainly not run; at the next one the call is
/// refused. Each costs a round trip. Sends that may have run are limited separately.
const NOT_RUN_SENDS_MAX: u32 = 5;

/// Delay after an engine refused a reservation. It spans several broadcasts of the other hosts, so
/// the next choice is made with newer loads.
const RESERVE_RETRY_DELAY: Duration = Duration::from_millis(40);

/// Time after which a call that has to wait behind others is tried again if nothing wakes it.
const QUEUED_RETRY_DELAY: Duration = Duration::from_millis(60);

/// How far one send has come.
pub(super) enum NextSend {
    /// There is an outcome.
    Ended(DispatchOutcome),
    /// The upstream has not answered in time, and may still answer.
    Silent(BoxFuture<'static, EndedSend>),
}

impl NextSend {
    pub(super) fn refused(refusal: CallRefusal) -> Self {
        Self::Ended(DispatchOutcome::Refused(refusal))
    }
}

impl CallDispatcher {
    /// Sends the call once, as soon as an upstream has capacity and it is the turn of the call.
    pub(super) async fn send_next(&mut self, last_event: Option<&str>) -> NextSend {
        loop {
            let now = self.gateway.clock.now();
            if self.call.time_left(now).is_zero() {
                return NextSend::refused(self.timeout_refusal());
            }
            if self.runs == 0 && self.gateway.phase() >= ShutdownPhase::Completing {
                return NextSend::refused(self.refuse(CallRefusal::Stopping));
            }
            if !self.gateway.may_send(&self.call) {
                return NextSend::refused(self.refuse(CallRefusal::StaleKnowledge));
            }
            if let Some(refusal) = self.crash_refusal(now) {
                return NextSend::refused(self.refuse(refusal));
            }
            if self.must_wait_behind_others(now) {
                if let Some(refusal) = self.check_admission(now) {
                    return NextSend::refused(self.refuse(refusal));
                }
                if let Some(refusal) = self.wait_for_turn(QUEUED_RETRY_DELAY, now).await {
                    return NextSend::refused(self.refuse(refusal));
                }
                continue;
            }
            self.choices += 1;
            let placement = match decide_placement(&self.gateway, &self.call, &self.sends(), now) {
                PlacementDecision::Send(placement) => placement,
                PlacementDecision::Wait(wait) => {
                    self.is_admitted = true;
                    self.log_long_wait(now);
                    if !self.is_ordered {
                        self.sleep_with_jitter(wait, now).await;
                    } else if let Some(refusal) = self.wait_for_turn(wait, now).await {
                        return NextSend::refused(self.refuse(refusal));
                    }
                    continue;
                }
                PlacementDecision::WaitForLimit(wait) => {
                    self.is_admitted = true;
                    self.place = None;
                    let new = || LimitWait::new(&self.gateway, &self.call.service);
                    self.limit_wait.get_or_insert_with(new);
                    self.sleep_with_jitter(wait, now).await;
                    continue;
                }
                PlacementDecision::Refuse(refusal) => {
                    return NextSend::refused(self.refuse(refusal));
                }
            };
            self.is_admitted = true;
            self.limit_wait = None;
            if self.arrivals > 0 && !self.gateway.try_retry(&self.call) {
                return NextSend::refused(self.refuse(CallRefusal::Overload {
                    reason: RefuseReason::RetryBudget,
                    retry_after: NO_UPSTREAM_RETRY_AFTER,
                }));
            }
            let Some(reservation) = self.reserve(&placement).await else {
                continue;
            };
            // The call may have been found to crash upstreams during the reservation.
            if let Some(refusal) = self.final_crash_refusal().await {
                return NextSend::refused(self.refuse(refusal));
            }
            if !self.gateway.accept_requests(placement.upstream_ids()) {
                continue;
            }
            self.gateway.record_use(&self.call);
            let sent = self.send_once(*placement, reservation, last_event).await;
            if let Some(next) = sent {
                return next;
            }
        }
    }

    /// Sends the call once and records the result for the upstream. Returns none if the call is to be
    /// sent again.
    pub(super) async fn send_once(
        &mut self,
        placement: SendPlan,
        reservation: Option<ReservationGuard>,
        last_event: Option<&str>,
    ) -> Option<NextSend> {
        let upstream = placement.upstream.clone();
        self.tried.push(upstream.id.clone());
        self.forecast = placement.forecast;
        self.log_send(&placement, self.gateway.clock.now());
        // Counts at once: a send that is cancelled may have run.
        self.runs += 1;
        let silent_after = self
            .may_run_again()
            .then(|| response_timeout(&self.call, &placement))
            .flatten();
        let pending = PendingSend {
            gateway: Arc::clone(&self.gateway),
            call: Arc::clone(&self.call),
            last_event: last_event.map(str::to_owned),
        };
        let place = self.place.take();
        if let Some(place) = &place {
            self.record_queue_wait(place);
        }
        let mut send = pending.send(placement, reservation, place).boxed();
        let outcome = match silent_after {
            None => send.await,
            Some(silent_after) => match timeout(silent_after, send.as_mut()).await {
                Ok(outcome) => outcome,
                Err(_) => {
                    self.arrivals += 1;
                    let progress = AnswerProgress::Unanswered;
                    self.recorder
                        .on_silent(&upstream, "no response in time", progress);
                    let send = send.map(|outcome| (upstream, outcome)).boxed();
                    return Some(NextSend::Silent(send));
                }
            },
        };
        match outcome {
            SendOutcome::Answered(answered) => {
                self.arrivals += 1;
                self.recorder.on_response(&answered);
                let is_retried = answered.head.status.is_server_error()
                    && self.may_run_again()
                    && self.has_time_for_retry()
                    && self.gateway.try_retry(&self.call);
                if is_retried {
                    // The retry budget was charged here and must not be charged again by the next
                    // send.
                    self.arrivals = 0;
                    return None;
                }
                Some(NextSend::Ended(DispatchOutcome::Answered(answered)))
            }
            SendOutcome::NotRun {
                fault,
                arrived,
                at_fault,
                cause,
            } => {
                self.arrivals += u32::from(arrived);
                self.runs -= 1;
                self.not_run += 1;
                self.recorder.on_not_run(&upstream, fault, at_fault, &cause);
                if self.not_run > NOT_RUN_SENDS_MAX {
                    let refusal = CallRefusal::Overload {
                        reason: RefuseReason::NoUpstream,
                        retry_after: NO_UPSTREAM_RETRY_AFTER,
                    };
                    return Some(NextSend::refused(self.refuse(refusal)));
                }
                None
            }
            SendOutcome::Lost { fault, cause } => {
                self.arrivals += 1;
                let progress = AnswerProgress::Unanswered;
                self.recorder
                    .on_connection_lost(&upstream, fault, &cause, progress);
                if self.may_run_again() {
                    return None;
                }
                Some(NextSend::refused(self.lost_refusal()))
            }
        }
    }

    /// Reserves the engine memory that a placement needs. Returns the guard of the reservation, or
    /// `Some(None)` if the placement needs none.
    ///
    /// Returns none if an engine refused: then nothing may be sent. The refusals are recorded, so
    /// that these engines are not asked for as much again immediately, and the function returns
    /// only after [`RESERVE_RETRY_DELAY`].
    pub(super) async fn reserve(&self, placement: &SendPlan) -> Option<Option<ReservationGuard>> {
        if placement.reservations.is_empty() {
            return Some(None);
        }
        let request = &self.call.head.request;
        let parts = placement.reservations.clone();
        match ReservationGuard::acquire(&self.gateway, request, parts).await {
            Ok(reservation) => Some(Some(reservation)),
            Err(refused) => {
                self.on_reservation_refused(&refused);
                sleep(RESERVE_RETRY_DELAY).await;
                None
            }
        }
    }

    /// Records that engines had too little free memory for these reservations.
    pub(super) fn on_reservation_refused(&self, refused: &[EngineReservation]) {
        let now = self.gateway.clock.now();
        let mut ledger = self.gateway.ledger();
        for part in refused {
            ledger.record_memory_refusal(&part.id, part.tokens, now);
        }
    }

    /// Whether more time is left than half of the route's objective.
    pub(super) fn has_time_for_retry(&self) -> bool {
        let left = self.call.time_left(self.gateway.clock.now());
        left > self.call.route.objective / 2
    }

    pub(super) fn timeout_refusal(&self) -> CallRefusal {
        if self.runs > 0 {
            CallRefusal::DeadlineExceeded
        } else {
            CallRefusal::DeadlineExceededNotRun
        }
    }
}
