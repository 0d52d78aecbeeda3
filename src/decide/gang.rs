//! Gangs: several engines that hold one prompt together.
//!
//! Load it answers: a prompt of more than one engine's memory on engines that are never empty. If it
//! waits for enough of them to be empty at the same moment it waits for ever; if two such prompts
//! each hold a part of what they need, both do. So one gang at a time has its engines reserved:
//! they get no new long work until all of them have room, and the grant is for all or none.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;

use crate::decide::EngineUpstream;
use crate::decide::QueuedRequest;
use crate::units::RequestId;
use crate::units::Tokens;
use crate::units::UpstreamId;

/// How much sooner an engine that is kept free of long prefill must be empty to be preferred.
const KEPT_FREE_COST: Duration = Duration::from_secs(2);

/// The memory that each member of a gang holds: an even share, rounded up. Home, entry host and
/// adopted grants all work it out the same way.
pub fn gang_share(memory: Tokens, members: usize) -> Tokens {
    let members = u64::try_from(members).unwrap_or(u64::MAX).max(1);
    Tokens(memory.0.div_ceil(members))
}

/// Engines that are being emptied for one request.
#[derive(Clone, Debug, PartialEq)]
pub struct Reservation {
    /// The request.
    pub request: RequestId,
    /// Its engines, in the fixed order in which hosts ask them: by name.
    pub members: Vec<UpstreamId>,
    /// What each of them is to hold.
    pub share: Tokens,
}

/// Whether there is a gang for a request.
#[derive(Clone, Debug, PartialEq)]
pub enum GangPlan {
    /// These engines.
    Reserve(Reservation),
    /// Not all engines together hold it.
    TooLarge,
    /// Engines that could hold it are out for now.
    Wait,
}

/// The smallest gang that holds a request, of the engines that are empty soonest.
pub fn plan_gang(
    waiting: &QueuedRequest,
    upstreams: &IndexMap<UpstreamId, EngineUpstream>,
    open_to_long: usize,
    now: Instant,
) -> GangPlan {
    let memory = waiting.memory_tokens();
    let live: Vec<&EngineUpstream> = upstreams.values().filter(|u| u.is_live()).collect();
    let open: Vec<&EngineUpstream> = live.iter().copied().filter(|u| u.is_open(now)).collect();
    if smallest_gang(memory, &live).is_none() {
        return GangPlan::TooLarge;
    }
    let Some(size) = smallest_gang(memory, &open) else {
        return GangPlan::Wait;
    };
    let share = gang_share(memory, size);
    let mut by_wait: Vec<(Duration, &UpstreamId)> = open
        .iter()
        .enumerate()
        .filter(|(_, upstream)| upstream.info.memory_tokens >= share)
        .map(|(rank, upstream)| {
            let kept_free = rank >= open_to_long;
            let extra = if kept_free {
                KEPT_FREE_COST
            } else {
                Duration::ZERO
            };
            (
                time_to_empty(upstream, share, now) + extra,
                &upstream.info.id,
            )
        })
        .collect();
    by_wait.sort();
    let mut members: Vec<UpstreamId> = by_wait
        .into_iter()
        .take(size)
        .map(|(_, id)| id.clone())
        .collect();
    members.sort();
    GangPlan::Reserve(Reservation {
        request: waiting.work.request,
        members,
        share,
    })
}

/// Whether all members of a reservation have room now; none if one of them may get no work.
pub fn gang_has_room(
    reservation: &Reservation,
    upstreams: &IndexMap<UpstreamId, EngineUpstream>,
    now: Instant,
) -> Option<bool> {
    let mut has_room = true;
    for member in &reservation.members {
        let upstream = upstreams.get(member).filter(|u| u.is_open(now))?;
        let held = upstream.ledger.held_tokens();
        has_room &= held + reservation.share <= upstream.info.memory_tokens;
    }
    Some(has_room)
}

/// How many of these engines hold this much, the fewest possible.
fn smallest_gang(memory: Tokens, upstreams: &[&EngineUpstream]) -> Option<usize> {
    (1..=upstreams.len()).find(|size| {
        let share = gang_share(memory, *size);
        let large_enough = |u: &&&EngineUpstream| u.info.memory_tokens >= share;
        upstreams.iter().filter(large_enough).count() >= *size
    })
}

/// How long until enough of what an engine holds is expected to have ended.
fn time_to_empty(upstream: &EngineUpstream, share: Tokens, now: Instant) -> Duration {
    let mut ends: Vec<(Instant, Tokens)> = upstream
        .ledger
        .holds()
        .values()
        .map(|hold| (hold.since + hold.expected, hold.memory_tokens))
        .collect();
    ends.sort();
    let mut held = upstream.ledger.held_tokens();
    let mut wait = Duration::ZERO;
    for (end, tokens) in ends {
        if held + share <= upstream.info.memory_tokens {
            break;
        }
        held = held.saturating_sub(tokens);
        wait = end.saturating_duration_since(now);
    }
    wait
}
