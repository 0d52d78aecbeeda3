//! The queue of requests that need a gang of engines. The first request has its engines reserved.

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

/// The requests that wait for a gang.
#[derive(Debug, Default)]
pub(crate) struct GangQueue {
    pub(crate) queue: FairQueue,
    reservation: Option<Reservation>,
}

/// The next step for the gang queue.
#[derive(Debug)]
pub(crate) enum GangStep {
    /// No request can be granted or refused now.
    Nothing,
    /// All engines together do not have the memory for this request.
    TooLarge(QueuedRequest),
    /// All of these engines have room for the request.
    Grant(QueuedRequest, Vec<UpstreamId>),
}

impl GangQueue {
    /// Returns the next step; call again until the result is [`GangStep::Nothing`].
    pub(crate) fn next(&mut self, fleet: &mut EngineFleet, now: Instant) -> GangStep {
        let Some(head) = self.queue.heads(1).first().copied() else {
            self.release_reservation(fleet);
            return GangStep::Nothing;
        };
        let request = head.work.request;
        let is_reserved = self
            .reservation
            .as_ref()
            .is_some_and(|reservation| reservation.request == request);
        if !is_reserved || self.has_lost_member(fleet, now) {
            let head = head.clone();
            self.release_reservation(fleet);
            match plan_gang(&head, &fleet.upstreams, fleet.split.open_to_long(), now) {
                GangPlan::Wait => return GangStep::Nothing,
                GangPlan::TooLarge => {
                    let removed = self.queue.remove(&request);
                    return removed.map_or(GangStep::Nothing, GangStep::TooLarge);
                }
                GangPlan::Reserve(reservation) => self.reserve(reservation, fleet),
            }
        }
        self.grant_if_room(fleet, now)
    }

    /// Releases the reserved memory.
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

    fn reserve(&mut self, reservation: Reservation, fleet: &mut EngineFleet) {
        for member in &reservation.members {
            if let Some(upstream) = fleet.upstreams.get_mut(member) {
                upstream.ledger.reserve(reservation.share);
            }
        }
        self.reservation = Some(reservation);
    }

    fn has_lost_member(&self, fleet: &EngineFleet, now: Instant) -> bool {
        let has_room = |reservation| gang_has_room(reservation, &fleet.upstreams, now);
        self.reservation
            .as_ref()
            .is_some_and(|reservation| has_room(reservation).is_none())
    }

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
