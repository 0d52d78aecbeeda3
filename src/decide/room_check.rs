//! Whether a call is let in while the places of its service run short.
//!
//! Load condition: one customer sends many times its usual, or engines are lost, and more calls
//! arrive than can be served. Without this check each call waits until its objective has passed,
//! and callers within their share are served as badly as the one that takes all places.
//!
//! The check is a trunk reservation: the last places are kept for calls of customers within their
//! share, and the very last ones for the more urgent of these. Hosts learn late of places that
//! others have taken, so calls are refused with a probability that rises with the fraction
//! that is taken, and not all at once from a threshold on.

use crate::decide::ShareStanding;

/// The taken fraction from which on calls of customers above their share are refused, some at first.
const ABOVE_SHARE_FROM: f64 = 0.6;
/// The taken fraction from which on a customer above its share gets no more than its share. The places
/// beyond it are for calls that hosts let in before they learn of each other's.
const ABOVE_SHARE_LIMITED: f64 = 0.75;
/// The taken fraction from which on calls of customers within their share are refused, some at first.
const WITHIN_SHARE_FROM: f64 = 0.94;
/// The taken fraction from which on all calls of customers within their share are refused. It is more
/// than all places: upstreams queue a few calls.
const WITHIN_SHARE_ALL: f64 = 1.04;
/// How much sooner both bounds apply for each step of lower priority.
const STEP_PER_PRIORITY: f64 = 0.03;
/// The most steps of lower priority that count.
const PRIORITY_STEPS_MAX: u8 = 3;

/// What the check depends on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RoomRequest {
    /// What the customer wants compared with its share.
    pub standing: ShareStanding,
    /// The fraction of what the customer wants that fits beside what the others want.
    pub fitting_fraction: f64,
    /// How many steps the call is less urgent than the most urgent calls of the service.
    pub priority_steps: u8,
    /// The fraction of the slots of the service that is taken; more than 1 if calls wait there.
    pub slots_taken: f64,
    /// The fraction of the capacity of the service that could not serve the call in time.
    pub capacity_taken: f64,
}

/// Whether a call is let in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RoomCheck {
    /// The call may be placed or wait.
    Admit,
    /// The call is refused because its customer is above its share.
    AboveShare,
    /// The call is refused because too many calls of all customers arrive.
    Full,
}

/// Decides whether a call is let in. `draw` is uniform from 0 to 1.
pub fn check_room(request: &RoomRequest, draw: f64) -> RoomCheck {
    let steps = f64::from(request.priority_steps.min(PRIORITY_STEPS_MAX));
    let priority_step = steps * STEP_PER_PRIORITY;
    if request.standing.is_above_share() {
        let refused = refused_above_share(request, priority_step);
        if draw < refused {
            return RoomCheck::AboveShare;
        }
        return RoomCheck::Admit;
    }
    let from = WITHIN_SHARE_FROM - priority_step;
    if draw < refused_fraction(request.slots_taken, from, WITHIN_SHARE_ALL - priority_step) {
        return RoomCheck::Full;
    }
    RoomCheck::Admit
}

/// The fraction of the calls of a customer above its share that are refused: as many as do not
/// fit beside those of others where places run short, and all where only the last ones are left.
fn refused_above_share(request: &RoomRequest, priority_step: f64) -> f64 {
    let beyond_share = 1.0 - request.fitting_fraction;
    let limited = ABOVE_SHARE_LIMITED - priority_step;
    let from = ABOVE_SHARE_FROM - priority_step;
    let taken = request.slots_taken.max(request.capacity_taken);
    let by_share = beyond_share * refused_fraction(taken, from, limited);
    let all_from = WITHIN_SHARE_FROM - priority_step;
    by_share.max(refused_fraction(taken, limited, all_from))
}

/// The fraction of calls that are refused: none below `from`, all above `all`.
fn refused_fraction(taken: f64, from: f64, all: f64) -> f64 {
    ((taken - from) / (all - from)).clamp(0.0, 1.0)
}
