//! Which parts of prompts are refused after calls were lost with upstreams at any point of their
//! answers, decided without a network.

use std::time::Duration;
use std::time::Instant;

use banyanarch::decide::CrashSuspect;
use banyanarch::decide::LossPoint;
use banyanarch::decide::LostCall;
use banyanarch::decide::PartEvidence;
use banyanarch::decide::PartQuarantine;
use banyanarch::decide::RequestPart;
use banyanarch::exchange::PartEvidenceEntry;
use banyanarch::units::CrashId;
use banyanarch::units::PromptPartId;
use banyanarch::units::RequestHash;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use yare::parameterized;

const BAD: u64 = 0xbad;
const COMMON: u64 = 0xc0;

fn ids(parts: &[u64]) -> Vec<RequestPart> {
    parts
        .iter()
        .map(|part| PromptPartId(*part).into())
        .collect()
}

fn lost(crash: u64, request: u64, parts: &[u64]) -> LostCall {
    LostCall {
        crash: CrashId(crash),
        request: RequestHash(request),
        parts: ids(parts),
        point: LossPoint::Early,
    }
}

fn is_refused(quarantine: &PartQuarantine, parts: &[u64], now: Instant) -> bool {
    quarantine.find(&ids(parts), now).is_some()
}

/// What happens in a second between two crashes.
#[derive(Clone, Copy, Debug, PartialEq)]
enum ServedBetween {
    /// Requests without the part are served.
    Others,
    /// Nothing is served.
    Nothing,
    /// Requests without the part are served, and one with it.
    Part,
}

/// Three crashes, a second apart, each with a call that has the part. Returns whether requests with it
/// are refused after them.
fn is_found(between: ServedBetween, requests: [u64; 3]) -> bool {
    let start = Instant::now();
    let mut quarantine = PartQuarantine::default();
    let mut now = start;
    for (crash, request) in (1..).zip(requests) {
        quarantine.on_lost(&lost(crash, request, &[COMMON, BAD]), now);
        quarantine.on_lost(&lost(crash, 100 + crash, &[COMMON]), now);
        let served_at = now + Duration::from_millis(500);
        match between {
            ServedBetween::Nothing => {}
            ServedBetween::Others => {
                quarantine.on_served(&ids(&[COMMON]), served_at);
            }
            ServedBetween::Part => {
                quarantine.on_served(&ids(&[COMMON, BAD]), served_at);
            }
        }
        now += Duration::from_secs(1);
    }
    assert!(!is_refused(&quarantine, &[COMMON, 0x1], now));
    is_refused(&quarantine, &[0x1, BAD], now)
}

/// Guards against parts that crash upstreams before an answer or after an event and are never found,
/// and against sound parts that are refused: of upstreams that end for other reasons, with nothing
/// served between, with requests served that have the part, or under one request that comes again.
#[parameterized(
    by_three_requests = { ServedBetween::Others, [1, 2, 3], true },
    while_nothing_is_served = { ServedBetween::Nothing, [1, 2, 3], false },
    while_it_is_served = { ServedBetween::Part, [1, 2, 3], false },
    by_one_request_again = { ServedBetween::Others, [1, 1, 1], false },
)]
fn a_part_is_found_by_calls_that_were_lost(
    between: ServedBetween,
    requests: [u64; 3],
    expected: bool,
) {
    assert_eq!(is_found(between, requests), expected);
}

/// Guards against sound parts that are refused because many upstreams have ended at once.
#[test]
fn upstreams_that_end_together_count_once() {
    let start = Instant::now();
    let mut quarantine = PartQuarantine::default();
    for crash in 0..40 {
        let now = start + Duration::from_millis(4 * crash);
        quarantine.on_lost(&lost(1 + crash, crash, &[COMMON, BAD]), now);
        quarantine.on_served(&ids(&[0x2]), now);
    }
    let now = start + Duration::from_secs(1);
    assert!(!is_refused(&quarantine, &[COMMON, BAD], now));
}

/// Guards against connections that broke, again and again, while their upstreams live on.
#[test]
fn a_call_that_was_lost_with_a_live_upstream_does_not_count() {
    let mut now = Instant::now();
    let mut quarantine = PartQuarantine::default();
    for crash in 1..=5 {
        quarantine.on_lost(&lost(crash, crash, &[BAD]), now);
        now += Duration::from_millis(300);
        quarantine.on_alive(CrashId(crash), now, now);
        quarantine.on_served(&ids(&[COMMON]), now);
        now += Duration::from_millis(300);
    }
    assert!(!is_refused(&quarantine, &[BAD], now));
}

/// Guards against a sound part that is refused because calls with it waited at upstreams that a known
/// part has ended.
#[test]
fn bystanders_of_a_known_part_are_not_refused() {
    let mut now = Instant::now();
    let mut quarantine = PartQuarantine::default();
    for crash in 1..=20 {
        quarantine.on_lost(&lost(crash, crash, &[BAD]), now);
        if crash > 3 {
            quarantine.on_lost(&lost(crash, 100 + crash, &[0x1]), now);
        }
        now += Duration::from_millis(300);
        quarantine.on_served(&ids(&[COMMON]), now);
        now += Duration::from_millis(300);
    }
    assert!(is_refused(&quarantine, &[BAD], now));
    assert!(!is_refused(&quarantine, &[0x1], now));
}

/// Guards against a part that is not found because engines end at different points of the answer.
#[test]
fn crashes_at_different_points_count_together() {
    let mut now = Instant::now();
    let mut quarantine = PartQuarantine::default();
    for crash in 1..=3 {
        let call = lost(crash, crash, &[BAD]);
        if crash == 2 {
            let mut parts = call.parts.clone();
            parts.push(call.request.into());
            let crash = call.crash;
            quarantine.on_crash(CrashSuspect { crash, parts }, now);
        } else {
            quarantine.on_lost(&call, now);
        }
        now += Duration::from_millis(300);
        quarantine.on_served(&ids(&[COMMON]), now);
        now += Duration::from_millis(300);
    }
    assert!(is_refused(&quarantine, &[BAD], now));
}

/// Guards against hosts that find a part alone: crashes of several hosts count together, and a host
/// that starts later is told.
#[test]
fn what_a_host_tells_of_lost_calls_lets_others_refuse_the_part() {
    let mut now = Instant::now();
    let mut hosts = [const { None }; 3].map(|_: Option<()>| PartQuarantine::default());
    for crash in 1..=3 {
        let host = usize::try_from(crash).unwrap() - 1;
        hosts[host].on_lost(&lost(crash, crash, &[COMMON, BAD]), now);
        let told = hosts[host].evidence(now);
        for other in (0..3).filter(|other| *other != host) {
            for evidence in &told {
                let entry = PartEvidenceEntry::from(evidence.clone());
                hosts[other].on_evidence(entry.evidence().unwrap(), now);
            }
        }
        now += Duration::from_millis(300);
        for host in &mut hosts {
            host.on_served(&ids(&[COMMON]), now);
        }
        now += Duration::from_millis(300);
    }
    for host in &hosts {
        assert!(is_refused(host, &[0x1, BAD], now));
    }
    let later = now + Duration::from_secs(600);
    let mut started = PartQuarantine::default();
    for evidence in hosts[0].evidence(later) {
        started.on_evidence(evidence, later);
    }
    assert!(is_refused(&started, &[0x1, BAD], later));
    assert!(!is_refused(&started, &[COMMON], later));
}

/// Guards against a sound part that one host refuses although another one serves it, and knows of the
/// calls that the first has lost.
#[test]
fn a_part_that_another_host_has_served_is_not_refused() {
    let mut now = Instant::now();
    let (mut here, mut there) = (PartQuarantine::default(), PartQuarantine::default());
    there.on_served(&ids(&[COMMON, 0x1]), now);
    now += Duration::from_secs(60);
    for crash in 1..=4 {
        here.on_lost(&lost(crash, crash, &[0x1]), now);
        for evidence in here.evidence(now) {
            there.on_evidence(evidence, now);
        }
        for evidence in there.evidence(now) {
            let entry = PartEvidenceEntry::from(evidence);
            here.on_evidence(entry.evidence().unwrap(), now);
        }
        now += Duration::from_millis(300);
        here.on_served(&ids(&[COMMON]), now);
        now += Duration::from_millis(300);
    }
    assert!(!is_refused(&here, &[0x1], now));
}

/// Guards against hosts of an earlier version that take a lost call for something else: they know the
/// request as a whole.
#[test]
fn a_lost_call_is_understood_by_the_previous_version() {
    let call = lost(7, 0x1, &[COMMON, BAD]);
    let evidence = PartEvidence::Lost(call, Duration::ZERO);
    let entry = PartEvidenceEntry::from(evidence.clone());
    assert_eq!(entry.evidence(), Some(evidence));
    let as_read_before = PartEvidenceEntry {
        lost_parts: Vec::new(),
        ..entry
    };
    let whole = CrashSuspect {
        crash: CrashId(7),
        parts: vec![RequestHash(0x1).into()],
    };
    let expected = PartEvidence::Crash(whole, Duration::ZERO);
    assert_eq!(as_read_before.evidence(), Some(expected));
}

/// Guards against what is told without bound, and against a part that others displace.
#[test]
fn many_lost_calls_do_not_displace_a_refused_part() {
    let mut now = Instant::now();
    let mut quarantine = PartQuarantine::default();
    for crash in 1..=3 {
        quarantine.on_lost(&lost(crash, crash, &[BAD]), now);
        now += Duration::from_millis(300);
        quarantine.on_served(&ids(&[COMMON]), now);
        now += Duration::from_millis(300);
    }
    for call in 0..5_000 {
        quarantine.on_lost(&lost(0x100 + call, call, &[0x10_0000 + call]), now);
    }
    assert!(is_refused(&quarantine, &[BAD], now));
    assert!(quarantine.evidence(now).len() <= 256);
}

/// How upstreams end in [`refused_beside_ends`].
#[derive(Clone, Copy, Debug)]
struct Ends {
    /// The time between two moments at which upstreams end.
    interval_ms: u64,
    /// How many of 20 end in such a moment.
    upstreams: u64,
}

/// The pause between two requests.
const REQUEST_INTERVAL_MS: u64 = 20;
/// How long a call waits for its answer.
const ANSWERED_AFTER_MS: u64 = 300;
/// How long an upstream that has ended is away.
const RESTARTED_AFTER_MS: u64 = 3_000;
const UPSTREAMS: usize = 20;

/// A call that waits for its answer.
#[derive(Clone)]
struct Waiting {
    request: u64,
    parts: [u64; 3],
    upstream: usize,
    answered_ms: u64,
}

/// The number of 5,000 requests that are refused while upstreams end that no request crashes. A call
/// that is lost with its upstream is sent once more.
fn refused_beside_ends(ends: Ends, seed: u64) -> usize {
    let mut rng = StdRng::seed_from_u64(seed);
    let start = Instant::now();
    let mut quarantine = PartQuarantine::default();
    let mut up_from_ms = [0; UPSTREAMS];
    let mut waiting: Vec<Waiting> = Vec::new();
    let (mut refused, mut crash) = (0, 0);
    for request in 0..5_000_u64 {
        let now_ms = REQUEST_INTERVAL_MS * request;
        let now = start + Duration::from_millis(now_ms);
        let is_answered = |call: &Waiting| call.answered_ms <= now_ms;
        for call in waiting.iter().filter(|call| is_answered(call)) {
            quarantine.on_served(&ids(&call.parts), now);
        }
        waiting.retain(|call| !is_answered(call));
        let mut to_send = vec![Waiting {
            request,
            parts: parts_of_call(request, &mut rng),
            upstream: 0,
            answered_ms: now_ms + ANSWERED_AFTER_MS,
        }];
        if request > 0 && now_ms % ends.interval_ms < REQUEST_INTERVAL_MS {
            for _ in 0..ends.upstreams {
                let upstream = rng.random_range(0..UPSTREAMS);
                up_from_ms[upstream] = now_ms + RESTARTED_AFTER_MS;
                crash += 1;
                let (lost_calls, others) = waiting
                    .into_iter()
                    .partition(|call| call.upstream == upstream);
                waiting = others;
                for call in lost_calls {
                    quarantine.on_lost(&lost(crash, call.request, &call.parts), now);
                    to_send.push(Waiting {
                        answered_ms: now_ms + ANSWERED_AFTER_MS,
                        ..call
                    });
                }
            }
        }
        for mut call in to_send {
            let is_up = |upstream: &usize| up_from_ms[*upstream] <= now_ms;
            let up: Vec<usize> = (0..UPSTREAMS).filter(is_up).collect();
            if is_refused(&quarantine, &call.parts, now) {
                refused += 1;
            } else if !up.is_empty() {
                call.upstream = up[rng.random_range(0..up.len())];
                waiting.push(call);
            }
        }
    }
    refused
}

/// A few parts are in most prompts, each session has a part of its own, and some documents are asked
/// for now and then.
fn parts_of_call(call: u64, rng: &mut StdRng) -> [u64; 3] {
    let common = 0x10 + rng.random_range(0..8_u64).min(rng.random_range(0..8));
    let document = 0x10_0000 + rng.random_range(0..400_u64);
    [common, document, 0x1000 + call / 6]
}

/// Guards against sound requests that are refused while upstreams end for other reasons: a fifth of
/// them at once, all at once, and one at a time at all rates.
#[parameterized(
    a_fifth_each_10_s = { Ends { interval_ms: 10_000, upstreams: 4 } },
    half_each_10_s = { Ends { interval_ms: 10_000, upstreams: 14 } },
    all_each_10_s = { Ends { interval_ms: 10_000, upstreams: 60 } },
    one_each_3_s = { Ends { interval_ms: 3_000, upstreams: 1 } },
    one_each_second = { Ends { interval_ms: 1_000, upstreams: 1 } },
    one_each_300_ms = { Ends { interval_ms: 300, upstreams: 1 } },
    two_each_300_ms = { Ends { interval_ms: 300, upstreams: 2 } },
)]
fn no_sound_request_is_refused_while_upstreams_end(ends: Ends) {
    let refused: usize = (1..=8).map(|seed| refused_beside_ends(ends, seed)).sum();
    assert_eq!(refused, 0, "of 40,000");
}

/// A call that was lost in a crash after several events of its answer.
fn late(crash: u64, request: u64) -> LostCall {
    LostCall {
        point: LossPoint::MidStream,
        ..lost(crash, request, &[])
    }
}

/// Whether a request as a whole is refused.
fn is_request_refused(quarantine: &PartQuarantine, request: u64, now: Instant) -> bool {
    quarantine
        .find(&[RequestHash(request).into()], now)
        .is_some()
}

/// Guards against a request that crashes upstreams after events of its answers and goes on reaching
/// them, and against sound ones that are refused because they were lost beside it.
#[parameterized(
    while_others_are_served = { 300, true, true },
    seldom = { 3_600_000, true, true },
    while_nothing_is_served = { 1_100, false, true },
    together_with_others = { 100, true, false },
    soon_again_while_nothing_is_served = { 300, false, false },
)]
fn a_request_that_was_lost_after_events_is_refused(
    interval_ms: u64,
    are_others_served: bool,
    is_found: bool,
) {
    let start = Instant::now();
    let mut quarantine = PartQuarantine::default();
    let mut now = start;
    for crash in 1..=3 {
        now = start + Duration::from_millis(interval_ms * crash);
        if are_others_served {
            quarantine.on_served(&ids(&[0x5]), now - Duration::from_millis(interval_ms / 2));
        }
        quarantine.on_lost(&late(crash, 7), now);
        quarantine.on_lost(&late(crash, 100 + crash), now);
    }
    assert_eq!(is_request_refused(&quarantine, 7, now), is_found);
    assert!(!is_request_refused(&quarantine, 102, now));
}

/// Guards against sound requests that are refused after they were lost in several crashes, although
/// they were answered between these.
#[test]
fn an_answer_clears_a_request_that_was_lost_after_events() {
    let start = Instant::now();
    let mut quarantine = PartQuarantine::default();
    for crash in 1..=6 {
        let now = start + Duration::from_secs(2 * crash);
        quarantine.on_lost(&late(crash, 7), now);
        assert!(!is_request_refused(&quarantine, 7, now), "crash {crash}");
        if crash % 2 == 0 {
            quarantine.on_answered(RequestHash(7), now + Duration::from_secs(1));
        }
    }
}

/// Guards against requests that are refused because they were lost with connections, not upstreams.
#[test]
fn an_upstream_that_answers_refutes_a_loss_after_events() {
    let start = Instant::now();
    let mut quarantine = PartQuarantine::default();
    for crash in 1..=6 {
        let now = start + Duration::from_secs(2 * crash);
        quarantine.on_lost(&late(crash, 7), now);
        let sent_at = now + Duration::from_millis(200);
        quarantine.on_alive(CrashId(crash), sent_at, sent_at);
        assert!(!is_request_refused(&quarantine, 7, now), "crash {crash}");
    }
}

/// Guards against a request, or a part of prompts, that crashes several more upstreams each time when
/// its quarantine is over.
#[test]
fn one_more_loss_refuses_a_request_again() {
    let start = Instant::now();
    let mut quarantine = PartQuarantine::default();
    for crash in 1..=3 {
        let now = start + Duration::from_secs(2 * crash);
        quarantine.on_lost(&late(crash, 7), now);
    }
    let now = start + Duration::from_secs(120);
    assert!(!is_request_refused(&quarantine, 7, now));
    quarantine.on_lost(&late(4, 7), now);
    assert!(is_request_refused(&quarantine, 7, now));
}

/// Guards against hosts that go on sending a request which others have lost after events.
#[test]
fn what_a_host_tells_of_losses_after_events_lets_others_refuse_the_request() {
    let start = Instant::now();
    let mut own = PartQuarantine::default();
    let mut other = PartQuarantine::default();
    let mut now = start;
    for crash in 1..=3 {
        now = start + Duration::from_secs(2 * crash);
        own.on_lost(&late(crash, 7), now);
        for evidence in own.evidence(now) {
            let entry = PartEvidenceEntry::from(evidence);
            other.on_evidence(entry.evidence().unwrap(), now);
        }
    }
    assert!(is_request_refused(&other, 7, now));
}
