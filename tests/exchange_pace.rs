//! When the updates of a host are due: after idle time, in a burst, and in fleets of all sizes.

use std::time::Duration;
use std::time::Instant;

use banyanarch::exchange::SendPacer;
use banyanarch::exchange::SendReason;
use banyanarch::exchange::update_interval;
use yare::parameterized;

/// Time without a message after which a host is treated as dead and its load is forgotten.
const HOST_TIMEOUT: Duration = Duration::from_secs(1);

/// Sends the heartbeats of an idle host until `end`.
fn idle(pacer: &mut SendPacer, peers: usize, end: Instant) -> Instant {
    let mut now = pacer.due_at(update_interval(peers));
    while now < end {
        pacer.on_sent(update_interval(peers), now);
        now = pacer.due_at(update_interval(peers));
    }
    end
}

/// If heartbeats count as changes, the first urgent change after an idle time waits for seconds in
/// a large fleet. When all hosts get their first requests at the same moment, nobody then knows the
/// load of the others, and all choose the same engines.
#[parameterized(
    pair = { 1 },
    eight = { 7 },
    hundred = { 99 },
    large = { 194 },
    target = { 399 },
)]
fn an_idle_host_sends_its_first_load_at_once(peers: usize) {
    let start = Instant::now();
    let mut pacer = SendPacer::new(start);
    let now = idle(&mut pacer, peers, start + Duration::from_secs(60));
    pacer.request_send(SendReason::UrgentChange);
    let waits = pacer
        .due_at(update_interval(peers))
        .saturating_duration_since(now);
    assert!(waits <= Duration::from_millis(10), "waits for {waits:?}");
}

/// Under continuous requests, urgent changes are sent at once during the burst and at the fleet's
/// interval after it. The host is never silent for so long that others forget its load.
#[parameterized(
    eight = { 7 },
    seventy = { 69 },
    large = { 194 },
    target = { 399 },
)]
fn a_busy_host_keeps_its_pace_and_never_times_out(peers: usize) {
    let start = Instant::now();
    let end = start + Duration::from_secs(60);
    let mut pacer = SendPacer::new(start);
    let mut now = start;
    let mut sent = 0_u32;
    while now < end {
        pacer.request_send(SendReason::UrgentChange);
        let due_at = pacer.due_at(update_interval(peers));
        assert!(due_at.saturating_duration_since(now) < HOST_TIMEOUT);
        now = due_at;
        pacer.on_sent(update_interval(peers), now);
        sent += 1;
    }
    let interval = update_interval(peers);
    let paced = (end - start).as_secs_f64() / interval.as_secs_f64();
    let sent_max = paced + 5.0;
    assert!(f64::from(sent) <= sent_max, "{sent} of at most {sent_max}");
}

/// When most of a fleet leaves the list right after a burst, the next urgent change must be sent at
/// the interval of a small fleet.
#[test]
fn a_shrunken_fleet_is_updated_at_its_own_interval() {
    let start = Instant::now();
    let mut pacer = SendPacer::new(start);
    let mut now = start;
    for _ in 0..4 {
        pacer.request_send(SendReason::UrgentChange);
        now = pacer.due_at(update_interval(399)).max(now);
        pacer.on_sent(update_interval(399), now);
    }
    pacer.request_send(SendReason::UrgentChange);
    let waits = pacer
        .due_at(update_interval(7))
        .saturating_duration_since(now);
    assert!(waits <= update_interval(7), "waits for {waits:?}");
}
