//! Gangs: several engines that hold one prompt together.
//!
//! A prompt that exceeds the memory of one engine needs several engines at the same moment. On busy
//! engines it would wait forever for enough of them to be free by chance, and two such prompts that
//! each held some of their engines would deadlock. Engines are therefore reserved for one gang at a
//! time: they get no new long work until all of them have room, and the grant covers all or none.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;

use crate::decide::EngineUpstream;
use crate::decide::QueuedRequest;
use crate::units::RequestId;
use crate::units::Tokens;
use crate::units::UpstreamId;

/// Engines that are not open to long prefill are ranked as if they had room this much later.
const SHORT_ONLY_PENALTY: Duration = Duration::from_secs(2);

/// The memory that each member of a gang holds: an even share of the total, rounded up. The home,
/// the entry host and adopted grants all compute the share by this function.
pub fn gang_share(memory: Tokens, members: usize) -> Tokens {
    let members = u64::try_from(members).unwrap_or(u64::MAX).max(1);
    Tokens(memory.0.div_ceil(members))
}

/// Engines that are reserved for one request until they have room for it.
#[derive(Clone, Debug, PartialEq)]
pub struct Reservation {
    /// The request that the engines are reserved for.
    pub request: RequestId,
    /// The reserved engines, sorted by name, so that all hosts ask them in the same order.
    pub members: Vec<UpstreamId>,
    /// The memory that each member is to hold.
    pub share: Tokens,
}

/// The result of planning a gang for a request.
#[derive(Clone, Debug, PartialEq)]
pub enum GangPlan {
    /// The engines to reserve.
    Reserve(Reservation),
    /// All engines together have too little memory for the request.
    TooLarge,
    /// The engines have enough memory together, but too few of them may get work now.
    Wait,
}

/// Plans the smallest gang that can hold a request, from the engines that have room soonest.
///
/// The first `open_to_long` engines that may get work are open to long prefill.
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
    let mut candidates: Vec<(Duration, &UpstreamId)> = open
        .iter()
        .enumerate()
        .filter(|(_, upstream)| upstream.info.memory_tokens >= share)
        .map(|(index, upstream)| {
            let is_short_only = index >= open_to_long;
            let penalty = if is_short_only {
                SHORT_ONLY_PENALTY
            } else {
                Duration::ZERO
            };
            (
                time_until_room(upstream, share, now) + penalty,
                &upstream.info.id,
            )
        })
        .collect();
    candidates.sort();
    let mut members: Vec<UpstreamId> = candidates
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

/// Whether all members of a reservation have room for their share now; `None` if one of them is
/// gone or may get no work.
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

/// The least number of these engines that can hold `memory` in even shares when they are empty;
/// `None` if even all of them cannot.
fn smallest_gang(memory: Tokens, upstreams: &[&EngineUpstream]) -> Option<usize> {
    (1..=upstreams.len()).find(|size| {
        let share = gang_share(memory, *size);
        let large_enough = |u: &&&EngineUpstream| u.info.memory_tokens >= share;
        upstreams.iter().filter(large_enough).count() >= *size
    })
}

/// The time until enough of an engine's grants are expected to have ended to make room for `share`.
fn time_until_room(upstream: &EngineUpstream, share: Tokens, now: Instant) -> Duration {
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
