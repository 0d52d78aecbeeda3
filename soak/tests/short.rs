//! A short run of real daemons, and tests of the checks on constructed observations.

use std::time::Duration;

use daemon::daemon_path;
use soak::DeploymentSize;
use soak::SoakConf;
use soak::call;
use soak::call::CallClass;
use soak::checks::GuaranteeSet;
use soak::checks::check;
use soak::draw_faults;
use soak::history::CallerAttempt;
use soak::history::CallerOutcome;
use soak::history::FaultRecord;
use soak::history::FaultScope;
use soak::history::LimitPeriod;
use soak::history::Observations;
use soak::history::StoreChange;
use soak::history::UpstreamRefusal;
use soak::history::UpstreamRun;
use yare::parameterized;

mod daemon;

const SIZE: DeploymentSize = DeploymentSize {
    hosts: 3,
    engines: 4,
    instances: 2,
};

fn conf(seed: u64, faults_for_s: u64, guarantees: GuaranteeSet) -> SoakConf {
    SoakConf {
        seed,
        faults_for: Duration::from_secs(faults_for_s),
        size: SIZE,
        guarantees,
        only_path_cuts: false,
        only_floods: false,
        only_parts: false,
        restarts_all: false,
        only_outages: false,
        crash_point: None,
        crashes_after_calls: false,
        crash_cause: None,
        crash_requests: 1,
        crash_parts: 1,
        crash_share_percent: 100,
        crashes_services: false,
        crash_ratio: 6,
        only_silences: false,
        stretch: 1.0,
    }
}

/// Hosts are killed, stopped and paused, links and the store fail, routes are moved and keys are
/// revoked under load. Only the guarantees that hold however slow the machine is are checked.
#[test]
fn safety_guarantees_hold_under_faults() {
    let dir = std::env::temp_dir().join(format!("soak-test-{}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .unwrap();
    let conf = conf(7, 8, GuaranteeSet::Safety);
    let report = runtime
        .block_on(soak::run(&conf, &daemon_path(), &dir))
        .unwrap();
    std::fs::remove_dir_all(&dir).unwrap();
    assert!(report.violations.is_empty(), "{:#?}", report.violations);
    assert!(report.faults > 0 && report.served > 0, "{report:?}");
}

#[test]
fn a_seed_draws_the_same_faults_each_time() {
    let first = draw_faults(&conf(5, 60, GuaranteeSet::All));
    let second = draw_faults(&conf(5, 60, GuaranteeSet::All));
    assert_eq!(format!("{first:?}"), format!("{second:?}"));
    let other = draw_faults(&conf(6, 60, GuaranteeSet::All));
    assert_ne!(format!("{first:?}"), format!("{other:?}"));
}

const REQUEST: &str = "00010000aa";

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn attempt(class: CallClass, outcome: CallerOutcome) -> CallerAttempt {
    CallerAttempt {
        class,
        host: 0,
        key: "key-1-0".to_owned(),
        deadline: class.timeout(),
        sent_at: at(10_000),
        first_data_after: Some(at(90)),
        ended_at: at(10_100),
        outcome,
    }
}

fn run_at(arrived_ms: u64) -> UpstreamRun {
    UpstreamRun {
        upstream: "u001".to_owned(),
        domain: 0,
        service: call::PLAIN_SERVICES[0].to_owned(),
        arrived_at: at(arrived_ms),
        deadline: Some(at(2_900)),
        customer: Some("customer-1".to_owned()),
        is_unchanged: true,
        has_key: false,
        advertised_limit_per_s: None,
        says_leaving: false,
        is_sound: true,
    }
}

fn served(class: CallClass) -> (CallerAttempt, Vec<UpstreamRun>) {
    let body = vec![call::plain_response_body(REQUEST, "u001")];
    let outcome = CallerOutcome::Success {
        signature: "u001".to_owned(),
        body,
    };
    (attempt(class, outcome), vec![run_at(10_010)])
}

fn violated_guarantees(
    attempt: CallerAttempt,
    runs: Vec<UpstreamRun>,
    changes: Vec<(Duration, StoreChange)>,
) -> Vec<&'static str> {
    let mut observations = Observations::default();
    observations.attempts.insert(REQUEST.to_owned(), attempt);
    observations.runs.insert(REQUEST.to_owned(), runs);
    observations.changes = changes;
    let violations = check(&observations, GuaranteeSet::All, at(10_000));
    let of_request = violations
        .iter()
        .filter(|violation| !violation.guarantee.starts_with("callers are served"));
    of_request.map(|violation| violation.guarantee).collect()
}

#[test]
fn a_correct_response_violates_no_guarantee() {
    let (attempt, runs) = served(CallClass::Idempotent);
    assert!(violated_guarantees(attempt, runs, Vec::new()).is_empty());
}

fn response_to_another_request() -> (CallerAttempt, Vec<UpstreamRun>) {
    let (mut attempt, runs) = served(CallClass::Idempotent);
    attempt.outcome = CallerOutcome::Success {
        signature: "u001".to_owned(),
        body: vec![call::plain_response_body("another", "u001")],
    };
    (attempt, runs)
}

fn first_event_missing() -> (CallerAttempt, Vec<UpstreamRun>) {
    let events = (2..=call::event_count(REQUEST))
        .map(|id| format!("id: {id}\ndata: {}", call::event_data(REQUEST, id)));
    let outcome = CallerOutcome::Success {
        signature: "u001".to_owned(),
        body: events.collect(),
    };
    (
        attempt(CallClass::ShortPrompt, outcome),
        vec![run_at(10_010)],
    )
}

fn ran_but_reported_not_run() -> (CallerAttempt, Vec<UpstreamRun>) {
    (
        attempt(CallClass::Idempotent, CallerOutcome::Failure(503, None)),
        vec![run_at(12_000)],
    )
}

fn ran_twice() -> (CallerAttempt, Vec<UpstreamRun>) {
    let (attempt, mut runs) = served(CallClass::AtMostOnce);
    runs.push(run_at(10_050));
    (attempt, runs)
}

fn run_for_another_customer() -> (CallerAttempt, Vec<UpstreamRun>) {
    let (attempt, mut runs) = served(CallClass::Idempotent);
    runs[0].customer = Some("customer-2".to_owned());
    (attempt, runs)
}

fn ended_after_deadline() -> (CallerAttempt, Vec<UpstreamRun>) {
    let mut attempt = attempt(CallClass::Idempotent, CallerOutcome::TimedOut);
    attempt.ended_at = at(15_000);
    (attempt, vec![run_at(10_010)])
}

fn deadline_too_long() -> (CallerAttempt, Vec<UpstreamRun>) {
    let (attempt, mut runs) = served(CallClass::Idempotent);
    runs[0].deadline = Some(at(9_000));
    (attempt, runs)
}

#[parameterized(
    is_response_to_another_request = { response_to_another_request(), "a response is complete and belongs to its request" },
    is_first_event_missing = { first_event_missing(), "a response is complete and belongs to its request" },
    is_ran_but_reported_not_run = { ran_but_reported_not_run(), "a request reported as not run has not run" },
    is_ran_twice = { ran_twice(), "a request that must not be repeated runs at most once" },
    is_run_for_another_customer = { run_for_another_customer(), "upstreams receive requests unchanged" },
    is_ended_after_deadline = { ended_after_deadline(), "a request ends by its deadline" },
    is_deadline_too_long = { deadline_too_long(), "upstreams are given no more than the remaining time" },
)]
fn a_violation_is_found(case: (CallerAttempt, Vec<UpstreamRun>), guarantee: &str) {
    let (attempt, runs) = case;
    let violations = violated_guarantees(attempt, runs, Vec::new());
    assert!(violations.contains(&guarantee), "{violations:?}");
}

#[parameterized(
    key = { CallClass::Idempotent, StoreChange::KeyRevoked("key-1-0".to_owned()), 4_000, "revoked keys stop working" },
    route = { CallClass::Moving, StoreChange::RouteMoved(call::PLAIN_SERVICES[1].to_owned()), 6_000, "a manifest change takes effect in time" },
    upstream = { CallClass::Idempotent, StoreChange::UpstreamLeaving("u001".to_owned()), 6_000, "a leaving upstream gets no new requests" },
    domain = { CallClass::Idempotent, StoreChange::DomainEvacuated(0), 6_000, "an evacuated failure domain gets no new requests" },
)]
fn a_change_that_is_in_force_late_is_found(
    class: CallClass,
    change: StoreChange,
    changed_ms: u64,
    guarantee: &str,
) {
    let (attempt, runs) = served(class);
    let with_late_run = violated_guarantees(
        attempt.clone(),
        runs.clone(),
        vec![(at(changed_ms), change.clone())],
    );
    assert_eq!(with_late_run, [guarantee]);
    let with_early_run = violated_guarantees(attempt, runs, vec![(at(9_000), change)]);
    assert!(with_early_run.is_empty(), "{with_early_run:?}");
}

#[test]
fn a_planned_stop_must_not_interrupt_requests_but_other_faults_may() {
    let mut interrupted = attempt(
        CallClass::Idempotent,
        CallerOutcome::ConnectionBroken("closed".to_owned()),
    );
    interrupted.ended_at = at(10_300);
    let fault = |scope| FaultRecord {
        from: at(10_050),
        to: at(11_000),
        scope,
    };
    let is_stop_violated = |interrupted: &CallerAttempt, faults: Vec<FaultRecord>| {
        let mut observations = Observations::default();
        observations
            .attempts
            .insert(REQUEST.to_owned(), interrupted.clone());
        observations.faults = faults;
        let violations = check(&observations, GuaranteeSet::All, at(20_000));
        violations
            .iter()
            .any(|violation| violation.guarantee == "a planned stop interrupts no request")
    };
    assert!(is_stop_violated(
        &interrupted,
        vec![fault(FaultScope::PlannedStop(0))]
    ));
    let others = vec![
        fault(FaultScope::PlannedStop(0)),
        fault(FaultScope::Upstream),
    ];
    assert!(!is_stop_violated(&interrupted, others));
    // Seed 1032: a request was sent between the exit of a process and its next start, when the link
    // proxy still accepts connections.
    interrupted.ended_at = at(10_001);
    assert!(!is_stop_violated(
        &interrupted,
        vec![fault(FaultScope::PlannedStop(0))]
    ));
}

/// Whether this number of requests of one host, one every 100 ms, violates the guarantee of rate
/// limits while `host_fault` affects the host.
fn is_limit_violated(requests: u64, host_fault: Option<FaultRecord>) -> bool {
    let mut observations = Observations::default();
    for index in 0..requests {
        let (caller, _) = served(CallClass::ALL[0]);
        let request = format!("{index:04}{}", &REQUEST[4..]);
        let limited = UpstreamRun {
            advertised_limit_per_s: Some(1.0),
            ..run_at(10_000 + index * 100)
        };
        observations.attempts.insert(request.clone(), caller);
        observations.runs.insert(request, vec![limited]);
    }
    observations.limit_periods = vec![LimitPeriod {
        upstream: "u001".to_owned(),
        per_s: 1.0,
        from: at(9_900),
        to: at(30_000),
    }];
    observations.faults.extend(host_fault);
    let violations = check(&observations, GuaranteeSet::All, at(10_000));
    let mut guarantees = violations.iter().map(|violation| violation.guarantee);
    guarantees
        .any(|guarantee| guarantee == "an upstream gets no more requests than its advertised limit")
}

/// Guards against a check that never finds an exceeded limit, or that counts requests of hosts that
/// were paused or could not know the limit yet.
#[test]
fn a_limit_is_enforced_after_three_seconds_by_hosts_without_faults() {
    assert!(is_limit_violated(60, None));
    assert!(
        !is_limit_violated(30, None),
        "the limit is not yet enforced"
    );
    let paused = FaultRecord {
        from: at(12_000),
        to: at(13_000),
        scope: FaultScope::Hosts(vec![0]),
    };
    assert!(!is_limit_violated(60, Some(paused)));
    let store = FaultRecord {
        from: at(12_000),
        to: at(13_000),
        scope: FaultScope::Store,
    };
    assert!(is_limit_violated(60, Some(store)));
}

const NOTICE_GUARANTEES: [&str; 2] = [
    "an upstream that says that it leaves gets no new requests",
    "an upstream gets no requests while it wants none",
];

/// Checks requests to one upstream, one each 100 ms from 10 s on, the first of which was refused
/// with a backoff of 3 s or was answered by an upstream that leaves. Returns whether a guarantee
/// about this was violated.
fn is_notice_violated(
    requests: u64,
    backoff: Option<Duration>,
    host_fault: Option<FaultRecord>,
) -> bool {
    let mut observations = Observations::default();
    for index in 0..requests {
        let request = format!("00010000{index:02x}");
        let (mut caller, _) = served(CallClass::Idempotent);
        caller.sent_at = at(10_000 + index * 100);
        caller.ended_at = caller.sent_at + at(50);
        if index == 0 && backoff.is_some() {
            let refusal = UpstreamRefusal {
                upstream: "u001".to_owned(),
                service: "app-a".to_owned(),
                arrived_at: at(10_000),
                refused_at: at(10_000),
                backoff,
            };
            observations.refusals.insert(request.clone(), vec![refusal]);
        } else {
            let run = UpstreamRun {
                says_leaving: backoff.is_none(),
                ..run_at(10_000 + index * 100)
            };
            observations.runs.insert(request.clone(), vec![run]);
        }
        observations.attempts.insert(request, caller);
    }
    observations.faults.extend(host_fault);
    let violations = check(&observations, GuaranteeSet::All, at(10_000));
    let mut guarantees = violations.iter().map(|violation| violation.guarantee);
    guarantees.any(|guarantee| NOTICE_GUARANTEES.contains(&guarantee))
}

fn fault(scope: FaultScope) -> Option<FaultRecord> {
    fault_from_to(scope, 10_200, 10_300)
}

fn fault_from_to(scope: FaultScope, from_ms: u64, to_ms: u64) -> Option<FaultRecord> {
    Some(FaultRecord {
        from: at(from_ms),
        to: at(to_ms),
        scope,
    })
}

/// Guards against a check that never finds a request to an upstream that leaves, or that counts
/// those of hosts that were restarted. A cut or a lost store is no excuse.
#[test]
fn requests_to_an_upstream_that_leaves_are_found() {
    assert!(
        !is_notice_violated(20, None, None),
        "within the reaction time"
    );
    assert!(is_notice_violated(24, None, None));
    let (cut, store) = (FaultScope::Hosts(vec![0]), FaultScope::Store);
    assert!(is_notice_violated(24, None, fault(cut)));
    assert!(is_notice_violated(24, None, fault(store)));
    let (paused, stopped) = (FaultScope::Processes(vec![0]), FaultScope::PlannedStop(0));
    assert!(!is_notice_violated(24, None, fault(paused)));
    assert!(!is_notice_violated(24, None, fault(stopped)));
}

/// Guards against a check that never finds a request to an upstream that wants none, or that counts
/// those of hosts that were disturbed.
#[test]
fn requests_to_an_upstream_that_wants_none_are_found() {
    let backoff = Some(at(3_000));
    assert!(!is_notice_violated(8, backoff, None), "two are allowed");
    assert!(is_notice_violated(9, backoff, None));
    assert!(is_notice_violated(9, backoff, fault(FaultScope::Store)));
    let (cut, paused) = (FaultScope::Hosts(vec![0]), FaultScope::Processes(vec![0]));
    assert!(!is_notice_violated(9, backoff, fault(cut)));
    assert!(!is_notice_violated(9, backoff, fault(paused)));
}

/// Guards against a check that never finds too many retries, or that counts first arrivals.
#[parameterized(
    allowed = { 100, 2, true },
    too_many = { 140, 2, false },
    many_first_arrivals = { 500, 1, true },
)]
fn too_many_retries_are_found(requests: u64, arrivals: usize, is_kept: bool) {
    let mut observations = Observations::default();
    for index in 0..requests {
        let request = format!("00020000{index:02x}");
        let (attempt, _) = served(CallClass::Idempotent);
        let runs = vec![run_at(10_000 + index * 20); arrivals];
        observations.runs.insert(request.clone(), runs);
        observations.attempts.insert(request, attempt);
    }
    let violations = check(&observations, GuaranteeSet::All, at(10_000));
    let mut guarantees = violations.iter().map(|violation| violation.guarantee);
    let is_found = guarantees.any(|guarantee| guarantee.contains("no more retries"));
    assert_eq!(is_found, !is_kept, "{violations:?}");
}

/// Guards against a check that never finds unserved callers of hosts without links to upstreams, or
/// that counts hosts that were disturbed otherwise.
#[parameterized(
    served_alike = { 40, None, true },
    not_served = { 10, None, false },
    outage_of_all_upstreams = { 10, fault_from_to(FaultScope::AllUpstreams, 12_000, 17_000), true },
    paused_as_well = { 10, fault_from_to(FaultScope::Processes(vec![0]), 12_000, 13_000), true },
    other_cut_meanwhile = { 10, fault_from_to(FaultScope::UpstreamPaths(vec![1]), 10_000, 12_000), true },
)]
fn unserved_callers_of_a_cut_host_are_found(
    served_at_cut: usize,
    other_fault: Option<FaultRecord>,
    is_kept: bool,
) {
    let mut observations = Observations::default();
    for index in 0..40 {
        for host in [0, 1] {
            let (mut attempt, _) = served(CallClass::Idempotent);
            attempt.host = host;
            attempt.sent_at = at(14_000 + index as u64 * 50);
            attempt.ended_at = attempt.sent_at + at(20);
            if host == 0 && index >= served_at_cut {
                attempt.outcome = CallerOutcome::Failure(503, None);
            }
            let request = format!("0003{host:02x}00{index:02x}");
            observations.attempts.insert(request, attempt);
        }
    }
    let cut = fault_from_to(FaultScope::UpstreamPaths(vec![0]), 10_000, 17_000);
    observations.faults.extend(cut);
    observations.faults.extend(other_fault);
    let violations = check(&observations, GuaranteeSet::All, at(10_000));
    let mut guarantees = violations.iter().map(|violation| violation.guarantee);
    let is_found = guarantees.any(|guarantee| guarantee.starts_with("hosts without links"));
    assert_eq!(is_found, !is_kept, "{violations:?}");
}

/// Guards against a check of evacuations that excuses a host for good because a fault affected it
/// before the evacuation.
#[parameterized(
    turned_away_long_ago = { FaultScope::Hosts(vec![0]), 4_000, false },
    turned_away_until_now = { FaultScope::Hosts(vec![0]), 9_000, true },
    store_away_long_ago = { FaultScope::Store, 4_000, false },
    other_host_turned_away = { FaultScope::Hosts(vec![1]), 9_000, false },
)]
fn a_fault_excuses_a_host_from_an_evacuation_for_a_time(
    scope: FaultScope,
    to_ms: u64,
    is_kept: bool,
) {
    let (attempt, runs) = served(CallClass::Idempotent);
    let mut observations = Observations::default();
    observations.runs.insert(REQUEST.to_owned(), runs);
    observations.attempts.insert(REQUEST.to_owned(), attempt);
    observations
        .faults
        .extend(fault_from_to(scope, 1_000, to_ms));
    let change = (at(4_500), StoreChange::DomainEvacuated(0));
    observations.changes.push(change);
    let violations = check(&observations, GuaranteeSet::All, at(20_000));
    let mut guarantees = violations.iter().map(|violation| violation.guarantee);
    let is_found = guarantees.any(|guarantee| guarantee.starts_with("an evacuated"));
    assert_eq!(is_found, !is_kept, "{violations:?}");
}

/// Guards against a check of evacuations that overlooks where one ended, or one of two that overlap.
#[parameterized(
    ended = { vec![(2_000, StoreChange::DomainEvacuated(0)), (7_000, StoreChange::EvacuationEnded(0))], true },
    other_domain = { vec![(2_000, StoreChange::DomainEvacuated(1))], true },
    evacuated_again = { vec![
        (1_000, StoreChange::DomainEvacuated(0)),
        (2_000, StoreChange::EvacuationEnded(0)),
        (3_000, StoreChange::DomainEvacuated(0)),
        (4_000, StoreChange::DomainEvacuated(0)),
    ], false },
)]
fn an_evacuation_is_checked_until_it_ends(changes: Vec<(u64, StoreChange)>, is_kept: bool) {
    let (attempt, runs) = served(CallClass::Idempotent);
    let changes = changes.into_iter().map(|(ms, change)| (at(ms), change));
    let violations = violated_guarantees(attempt, runs, changes.collect());
    assert_eq!(violations.is_empty(), is_kept, "{violations:?}");
}

/// The attempts of a customer, one each 50 ms for 2 s before a flood and 3 s during it, of which those
/// during the flood that `outcome_at` selects by their number have the given outcome and time.
fn attempts_of(
    observations: &mut Observations,
    customer: usize,
    outcome_at: impl Fn(u64) -> (CallerOutcome, u64),
) {
    for index in 0..100 {
        let (mut attempt, _) = served(CallClass::Idempotent);
        attempt.key = format!("key-{customer}-0");
        attempt.sent_at = at(8_000 + index * 50);
        attempt.ended_at = attempt.sent_at + at(20);
        if index >= 40 {
            let (outcome, first_data_after_ms) = outcome_at(index - 40);
            attempt.outcome = outcome;
            attempt.first_data_after = Some(at(first_data_after_ms));
        }
        let request = format!("0004{customer:02x}00{index:02x}");
        observations.attempts.insert(request, attempt);
    }
    // Three upstreams, so that one of them may be disturbed.
    for index in 1..=3 {
        let run = UpstreamRun {
            upstream: format!("u00{index}"),
            ..run_at(8_000)
        };
        let request = format!("0004{customer:02x}00{index:02x}");
        observations.runs.insert(request, vec![run]);
    }
}

/// Guards against a check that never finds customers who pay for another one's flood, or that blames
/// the flood for other faults.
#[parameterized(
    all_served = { 0, 0, &[], true },
    five_percent_refused = { 3, 0, &[], true },
    more_refused = { 4, 0, &[], false },
    a_fifth_late = { 0, 12, &[], true },
    more_late = { 0, 13, &[], false },
    an_upstream_slow = { 4, 0, &[FaultScope::Upstream], false },
    too_many_upstreams_slow = { 4, 0, &[FaultScope::Upstream, FaultScope::Upstream], true },
    a_host_killed = { 4, 0, &[FaultScope::Processes(vec![1])], true },
    no_upstream_left = { 4, 0, &[FaultScope::AllUpstreams], true },
)]
fn customers_who_pay_for_a_flood_are_found(
    refused: u64,
    late: u64,
    other_faults: &[FaultScope],
    is_kept: bool,
) {
    let mut observations = Observations::default();
    attempts_of(&mut observations, 1, |index| match index {
        _ if index < refused => (CallerOutcome::Failure(503, None), 5),
        _ => {
            let (attempt, _) = served(CallClass::Idempotent);
            let is_late = index < refused + late;
            (attempt.outcome, if is_late { 401 } else { 400 })
        }
    });
    // The flooding customer itself may be refused.
    attempts_of(&mut observations, 2, |_| {
        (CallerOutcome::Failure(503, None), 5)
    });
    observations
        .faults
        .extend(fault_from_to(FaultScope::Flood(2), 10_000, 13_000));
    for scope in other_faults {
        let fault = fault_from_to(scope.clone(), 9_500, 12_000);
        observations.faults.extend(fault);
    }
    let violations = check(&observations, GuaranteeSet::All, at(10_000));
    let mut guarantees = violations.iter().map(|violation| violation.guarantee);
    let is_found = guarantees.any(|guarantee| guarantee.starts_with("customers at their usual"));
    assert_eq!(is_found, !is_kept, "{violations:?}");
}
