//! The order of calls that wait on a host for places at upstreams.

use std::time::Duration;
use std::time::Instant;

use banyanarch::decide::CallLane;
use banyanarch::decide::CallQueue;
use banyanarch::decide::ShareStanding;
use banyanarch::decide::WAITING_CALLS_MAX;
use banyanarch::decide::WAITING_SIZE_MAX;
use banyanarch::decide::WaitRank;
use banyanarch::decide::WaitingCall;
use banyanarch::units::ByteSize;
use banyanarch::units::Priority;
use banyanarch::units::RequestId;
use yare::parameterized;

const WITHIN: ShareStanding = ShareStanding { ratio: 0.8 };
const ABOVE: ShareStanding = ShareStanding { ratio: 3.0 };

/// A call of a customer that is within its share and can be on time.
fn call(id: u128, customer: &str, due_ms: u64, now: Instant) -> WaitingCall {
    WaitingCall {
        id: RequestId(id),
        rank: WaitRank::new(Priority(1), WITHIN, false),
        account: customer.parse().unwrap(),
        due_at: now + Duration::from_millis(due_ms),
        engine_time: Duration::from_millis(100),
        size: ByteSize(1_000),
    }
}

/// The ids of all calls in the order in which they get places.
fn drain(queue: &mut CallQueue) -> Vec<u128> {
    let mut order = Vec::new();
    while let Some(first) = queue.heads().first().copied() {
        queue.take(&first);
        order.push(first.0);
    }
    order
}

/// Guards against calls of a customer above its share, or late ones, that get places before others.
#[test]
fn places_go_by_standing_and_then_by_priority() {
    let now = Instant::now();
    let mut queue = CallQueue::new(CallLane::Short);
    let ranks = [
        WaitRank::new(Priority(0), WITHIN, true),
        WaitRank::new(Priority(0), ABOVE, false),
        WaitRank::new(Priority(2), WITHIN, false),
        WaitRank::new(Priority(0), WITHIN, false),
        WaitRank::RESUMED,
    ];
    for (id, rank) in (0..).zip(ranks) {
        let call = call(id, "a", 300, now);
        // Small costs give lower ranks no credit.
        assert!(queue.push(WaitingCall {
            rank,
            engine_time: Duration::ZERO,
            ..call
        }));
    }
    assert_eq!(drain(&mut queue), [4, 3, 2, 1, 0]);
}

/// Guards against the calls of one customer that hold up those of all others on the same host.
#[test]
fn customers_take_turns() {
    let now = Instant::now();
    let mut queue = CallQueue::new(CallLane::Short);
    for id in 0..20 {
        queue.push(call(id, "flooding", 300, now));
    }
    queue.push(call(100, "small", 300, now));
    queue.push(call(101, "small", 250, now));
    let order = drain(&mut queue);
    let place = |id: u128| order.iter().position(|served| *served == id).unwrap();
    assert!(place(101) <= 1 && place(100) <= 3, "{order:?}");
    assert!(place(101) < place(100), "{order:?}");
}

/// Guards against calls that have just come and take the places that others wait for.
#[parameterized(
    short_prompts = { CallLane::Short, true },
    plain_calls = { CallLane::Plain, true },
    long_prompts_of_unlike_needs = { CallLane::Long, false },
)]
fn a_call_that_has_just_come_waits_behind_others(lane: CallLane, waits: bool) {
    let now = Instant::now();
    let mut queue = CallQueue::new(lane);
    let rank = |priority| WaitRank::new(Priority(priority), WITHIN, false);
    assert!(!queue.is_behind_others(rank(1)));
    queue.push(call(1, "a", 300, now));
    assert_eq!(queue.is_behind_others(rank(1)), waits);
    assert_eq!(queue.is_behind_others(rank(2)), waits);
    assert!(!queue.is_behind_others(rank(0)));
    assert!(!queue.is_behind_others(WaitRank::RESUMED));
}

/// Guards against a long prompt that holds up all prompts behind it while engines are idle.
#[test]
fn several_prompts_of_unlike_needs_are_tried_at_a_time() {
    let now = Instant::now();
    let mut queue = CallQueue::new(CallLane::Long);
    for id in 0..10 {
        queue.push(call(id, "a", 300 + u64::try_from(id).unwrap(), now));
    }
    let heads: Vec<u128> = queue.heads().iter().map(|id| id.0).collect();
    assert_eq!(heads, [0, 1, 2, 3]);
}

#[test]
fn a_call_that_becomes_late_goes_behind_those_that_are_not() {
    let now = Instant::now();
    let mut queue = CallQueue::new(CallLane::Short);
    queue.push(call(1, "a", 100, now));
    queue.push(call(2, "a", 200, now));
    queue.set_rank(&RequestId(1), WaitRank::new(Priority(1), WITHIN, true));
    assert_eq!(drain(&mut queue), [2, 1]);
}

/// Guards against a host that runs out of memory because calls wait without bound.
#[test]
fn the_number_and_the_size_of_waiting_calls_are_bounded() {
    let now = Instant::now();
    let mut queue = CallQueue::new(CallLane::Short);
    for id in 0..WAITING_CALLS_MAX {
        assert!(queue.push(call(id.try_into().unwrap(), "a", 300, now)));
    }
    assert!(!queue.push(call(u128::MAX, "b", 300, now)));
    queue.remove(&RequestId(0));
    assert!(queue.push(call(u128::MAX, "b", 300, now)));

    let mut queue = CallQueue::new(CallLane::Short);
    let large = |id| WaitingCall {
        size: ByteSize(WAITING_SIZE_MAX.0 / 2),
        ..call(id, "a", 300, now)
    };
    assert!(queue.push(large(1)) && queue.push(large(2)));
    assert!(!queue.push(call(3, "a", 300, now)));
    queue.take(&RequestId(1));
    assert!(queue.push(call(3, "a", 300, now)));
}
