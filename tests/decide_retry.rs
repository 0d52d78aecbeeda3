//! Retries, and refusal of requests that crash upstreams.

use std::time::Duration;
use std::time::Instant;

use banyanarch::decide::FailedAttempt;
use banyanarch::decide::GiveUpReason;
use banyanarch::decide::PoisonList;
use banyanarch::decide::PoisonReport;
use banyanarch::decide::RequestFingerprint;
use banyanarch::decide::RetryBudget;
use banyanarch::decide::RetryDecision;
use banyanarch::units::AttemptId;
use banyanarch::units::ContentHash;
use yare::parameterized;

fn failed(now: Instant) -> FailedAttempt {
    FailedAttempt {
        attempts: 1,
        did_not_run: true,
        is_repeatable: true,
        response_started: false,
        retry_after: None,
        deadline: now + Duration::from_secs(10),
    }
}

#[parameterized(
    may_have_run = { |f| FailedAttempt { did_not_run: false, is_repeatable: false, ..f }, GiveUpReason::NotRepeatable },
    started = { |f| FailedAttempt { response_started: true, ..f }, GiveUpReason::ResponseStarted },
    third = { |f| FailedAttempt { attempts: 3, ..f }, GiveUpReason::Attempts },
    no_time = { |f| FailedAttempt { retry_after: Some(Duration::from_secs(11)), ..f }, GiveUpReason::Deadline },
)]
fn some_attempts_are_never_repeated(
    change: fn(FailedAttempt) -> FailedAttempt,
    reason: GiveUpReason,
) {
    let now = Instant::now();
    let decision = RetryBudget::new(1, now).decide(&change(failed(now)), now);
    assert_eq!(decision, RetryDecision::GiveUp(reason));
}

#[test]
fn an_attempt_that_did_not_run_is_retried_although_its_request_may_not_run_twice() {
    let now = Instant::now();
    let attempt = FailedAttempt {
        is_repeatable: false,
        ..failed(now)
    };
    let decision = RetryBudget::new(1, now).decide(&attempt, now);
    assert!(matches!(decision, RetryDecision::Retry { .. }));
}

/// Load condition: all upstreams of a service fail for a minute at a hundred requests per second.
/// If each request were tried three times, the service would receive three hundred requests per
/// second when it recovers.
#[test]
fn an_outage_does_not_multiply_the_load() {
    let start = Instant::now();
    let mut budget = RetryBudget::new(1, start);
    let mut retries = 0;
    let mut pauses = Vec::new();
    for request in 0..6_000 {
        let now = start + Duration::from_millis(10) * request;
        budget.on_first_attempt();
        for attempts in 1..3 {
            let attempt = FailedAttempt {
                attempts,
                ..failed(now)
            };
            if let RetryDecision::Retry { after } = budget.decide(&attempt, now) {
                retries += 1;
                pauses.push(after);
            }
        }
    }
    assert!(
        (1_100..=1_400).contains(&retries),
        "{retries} retries of 6,000 requests"
    );
    pauses.sort();
    pauses.dedup();
    assert!(pauses.len() > 1_000, "pauses must be jittered");
}

fn fingerprint() -> RequestFingerprint {
    RequestFingerprint::of_content(ContentHash(7))
}

fn report(attempt: u128) -> PoisonReport {
    PoisonReport {
        fingerprint: fingerprint(),
        attempts: vec![AttemptId(attempt)],
    }
}

/// Failure: a request crashes the engine that runs it, and its caller sends it again through
/// another host. Hosts report crashes to each other, in any order and more than once. After two
/// crashes of distinct attempts every host refuses the request. One crash that is reported twice
/// counts once.
#[test]
fn two_crashes_anywhere_make_a_request_poison() {
    let now = Instant::now();
    let (mut here, mut there) = (PoisonList::new(), PoisonList::new());
    let reports = here.on_crash(&[fingerprint()], AttemptId(1), now);
    assert!(
        here.on_crash(&[fingerprint()], AttemptId(1), now)
            .is_empty()
    );
    assert!(there.merge(&reports[0], now));
    assert!(!there.merge(&reports[0], now));
    assert!(!here.is_poison(&[fingerprint()], now) && !there.is_poison(&[fingerprint()], now));
    let reports = there.on_crash(&[fingerprint()], AttemptId(2), now);
    assert!(there.is_poison(&[fingerprint()], now));
    reports
        .iter()
        .for_each(|report| assert!(here.merge(report, now)));
    assert!(here.is_poison(&[fingerprint()], now));
    let mut fresh = PoisonList::new();
    here.all(now)
        .iter()
        .rev()
        .for_each(|report| assert!(fresh.merge(report, now)));
    assert!(fresh.is_poison(&[fingerprint()], now));
    assert!(!fresh.is_poison(&[fingerprint()], now + Duration::from_secs(7_200)));
}

/// Guards against a request that crashes engines and is never refused again once the first hour is
/// over.
#[test]
fn a_further_crash_makes_a_request_poison_again() {
    let started_at = Instant::now();
    let mut list = PoisonList::new();
    for attempt in [1, 2] {
        list.on_crash(&[fingerprint()], AttemptId(attempt), started_at);
    }
    let mut now = started_at;
    for attempt in 3..10 {
        now += Duration::from_secs(3_601);
        assert!(!list.is_poison(&[fingerprint()], now));
        let reports = list.on_crash(&[fingerprint()], AttemptId(attempt), now);
        assert_eq!(reports, [report(attempt)]);
        assert!(list.is_poison(&[fingerprint()], now));
    }
}

#[test]
fn the_same_key_is_recognised_with_another_body() {
    let now = Instant::now();
    let key = |customer: &str| {
        RequestFingerprint::of_key(&customer.parse().unwrap(), &"k-1".parse().unwrap())
    };
    let mut list = PoisonList::new();
    for attempt in [1, 2] {
        let body = RequestFingerprint::of_content(ContentHash(attempt));
        list.on_crash(&[body, key("desk")], AttemptId(attempt), now);
    }
    assert!(list.is_poison(&[key("desk")], now));
    assert!(!list.is_poison(&[key("studio")], now));
}

#[test]
fn the_list_stays_bounded_and_keeps_the_newest() {
    let now = Instant::now();
    let mut list = PoisonList::new();
    for number in 0..20_000 {
        let fingerprint = RequestFingerprint::of_content(ContentHash(number + 100));
        list.merge(
            &PoisonReport {
                fingerprint,
                ..report(number)
            },
            now,
        );
    }
    list.merge(&report(1), now);
    list.merge(&report(2), now);
    assert!(list.all(now).len() <= 8_192);
    assert!(list.is_poison(&[fingerprint()], now));
}
