//! The queue of requests that need a gang: several engines that hold one prompt together. Memory is
//! reserved for the first request only, until all engines of its gang have room.

use std::time::Instant;

use crate::decide::EngineFleet;
use crate::decide::FairQueue;
use crate::decide::GangPlan;
use crate::decide::QueuedRequest;
use crate::decide::Reservation;
use crate::decide::gang_has_room;
use crate::decide::plan_gang;
use crate::units::Tokens;
use crate::units::UpstreamId;

/// The requests that wait for a gang, and the reservation for the first of them.
#[derive(Debug, Default)]
pub(crate) struct GangQueue {
    pub(crate) queue: FairQueue,
    /// The engines that are reserved for the first request; none if its gang is not planned.
    reservation: Option<Reservation>,
}

/// What the caller does next with the gang queue.
#[derive(Debug)]
pub(crate) enum GangStep {
    /// No request can be granted or refused now.
    Nothing,
    /// The caller refuses this request, which was removed from the queue: all engines together do
    /// not have the memory for it.
    TooLarge(QueuedRequest),
    /// The caller grants this request, which was removed from the queue, on these engines. All of
    /// them have room, and their reservation was released.
    Grant(QueuedRequest, Vec<UpstreamId>),
}

impl GangQueue {
    /// Plans and reserves the gang of the first request if needed, and returns the next step. The
    /// caller calls again until the result is [`GangStep::Nothing`].
    pub(crate) fn next_step(&mut self, fleet: &mut EngineFleet, now: Instant) -> GangStep {
        let Some(head) = self.queue.heads(1).first().copied() else {
            self.release_reservation(fleet);
            return GangStep::Nothing;
        };
        let request = head.work.request;
        let is_reserved = self
            .reservation
            .as_ref()
            .is_some_and(|reservation| reservation.request == request);
        if !is_reserved || self.has_unavailable_member(fleet, now) {
            let head = head.clone();
            self.release_reservation(fleet);
            match plan_gang(&head, &fleet.upstreams, fleet.split.open_to_long(), now) {
                GangPlan::Wait => return GangStep::Nothing,
                GangPlan::TooLarge => {
                    let removed = self.queue.remove(&request);
                    return removed.map_or(GangStep::Nothing, GangStep::TooLarge);
                }
                GangPlan::Reserve(reservation) => self.reserve_members(reservation, fleet),
            }
        }
        self.grant_if_room(fleet, now)
    }

    /// Releases the memory that is reserved at the members of the gang, if there is a reservation.
    pub(crate) fn release_reservation(&mut self, fleet: &mut EngineFleet) {
        let members = self
            .reservation
            .take()
            .map(|reservation| reservation.members);
        for member in members.unwrap_or_default() {
            if let Some(upstream) = fleet.upstreams.get_mut(&member) {
                upstream.ledger.reserve(Tokens::ZERO);
            }
        }
    }

    /// Reserves the share of memory at each member and stores the reservation. An earlier
    /// reservation must have been released.
    fn reserve_members(&mut self, reservation: Reservation, fleet: &mut EngineFleet) {
        for member in &reservation.members {
            if let Some(upstream) = fleet.upstreams.get_mut(member) {
                upstream.ledger.reserve(reservation.share);
            }
        }
        self.reservation = Some(reservation);
    }

    /// Whether an engine of the reservation may get no work any more.
    fn has_unavailable_member(&self, fleet: &EngineFleet, now: Instant) -> bool {
        let has_room = |reservation| gang_has_room(reservation, &fleet.upstreams, now);
        self.reservation
            .as_ref()
            .is_some_and(|reservation| has_room(reservation).is_none())
    }

    /// Releases the reservation and takes the request out of the queue if all members have room
    /// now.
    fn grant_if_room(&mut self, fleet: &mut EngineFleet, now: Instant) -> GangStep {
        let reservation = self
            .reservation
            .clone()
            .filter(|reservation| gang_has_room(reservation, &fleet.upstreams, now) == Some(true));
        let Some(reservation) = reservation else {
            return GangStep::Nothing;
        };
        self.release_reservation(fleet);
        let taken = self.queue.take(&reservation.request);
        taken.map_or(GangStep::Nothing, |waiting| {
            GangStep::Grant(waiting, reservation.members)
        })
    }
}
