//! Requests that wait for a gang of engines, one of which has its engines reserved.

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

/// Requests that wait for a gang.
#[derive(Debug, Default)]
pub(crate) struct GangQueue {
    pub(crate) queue: FairQueue,
    reservation: Option<Reservation>,
}

/// What to do next about gangs.
#[derive(Debug)]
pub(crate) enum GangStep {
    /// Nothing for now.
    Nothing,
    /// Not all engines together hold this one.
    TooLarge(QueuedRequest),
    /// All of these engines have room for it.
    Grant(QueuedRequest, Vec<UpstreamId>),
}

impl GangQueue {
    /// What to do next; to be asked again until there is nothing.
    pub(crate) fn next(&mut self, fleet: &mut EngineFleet, now: Instant) -> GangStep {
        let Some(head) = self.queue.heads(1).first().copied() else {
            self.unreserve(fleet);
            return GangStep::Nothing;
        };
        let request = head.work.request;
        let is_reserved = self
            .reservation
            .as_ref()
            .is_some_and(|kept| kept.request == request);
        if !is_reserved || self.has_lost_member(fleet, now) {
            let head = head.clone();
            self.unreserve(fleet);
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

    /// Gives reserved memory back.
    pub(crate) fn unreserve(&mut self, fleet: &mut EngineFleet) {
        let members = self.reservation.take().map(|kept| kept.members);
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
        let has_room = |kept| gang_has_room(kept, &fleet.upstreams, now);
        self.reservation
            .as_ref()
            .is_some_and(|kept| has_room(kept).is_none())
    }

    fn grant_if_room(&mut self, fleet: &mut EngineFleet, now: Instant) -> GangStep {
        let kept = self
            .reservation
            .clone()
            .filter(|kept| gang_has_room(kept, &fleet.upstreams, now) == Some(true));
        let Some(kept) = kept else {
            return GangStep::Nothing;
        };
        self.unreserve(fleet);
        let taken = self.queue.take(&kept.request);
        taken.map_or(GangStep::Nothing, |waiting| {
            GangStep::Grant(waiting, kept.members)
        })
    }
}
