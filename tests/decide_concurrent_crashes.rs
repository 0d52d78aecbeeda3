//! Several requests that crash upstreams at the same time, decided without a network.

mod crash_model;

use std::time::Duration;
use std::time::Instant;

use banyanarch::decide::CrashCheck;
use banyanarch::decide::CrashSuspect;
use banyanarch::decide::PartQuarantine;
use banyanarch::decide::RequestPart;
use banyanarch::exchange::PartEvidenceEntry;
use banyanarch::units::CrashId;
use banyanarch::units::RequestHash;
use crash_model::CrashModel;
use crash_model::Ending;
use crash_model::LATE_ARRIVALS_MAX;
use crash_model::ModelConf;
use yare::parameterized;

/// The number of seeds of each case.
const SEEDS: u64 = 12;
/// Of the sound requests, at most one in this number may be refused.
const SOUND_PER_REFUSED: usize = 50;

const fn conf(upstreams: usize, crashing: u64, interval_ms: u64, ending: Ending) -> ModelConf {
    ModelConf {
        upstreams,
        crashing,
        interval: Duration::from_millis(interval_ms),
        ending,
    }
}

/// Guards against requests that crash upstreams and hide one another: one is not refused, or no longer,
/// while another explains its crashes.
#[parameterized(
    one_late = { conf(23, 1, 500, Ending::Open) },
    two_late = { conf(6, 2, 500, Ending::Open) },
    four_late = { conf(23, 4, 500, Ending::Open) },
    eight_late = { conf(23, 8, 1_000, Ending::Open) },
    two_answered = { conf(6, 2, 500, Ending::Answered) },
    four_answered = { conf(18, 4, 1_000, Ending::Answered) },
    four_abandoned = { conf(18, 4, 1_000, Ending::Abandoned) },
    four_failed = { conf(18, 4, 500, Ending::Failed) },
    eight_failed = { conf(6, 8, 1_000, Ending::Failed) },
    four_seldom = { conf(18, 4, 4_000, Ending::Answered) },
)]
fn requests_that_crash_upstreams_at_the_same_time_each_reach_few(conf: ModelConf) {
    let runs = (0..SEEDS).map(|seed| CrashModel::run(conf, seed));
    let late: Vec<Vec<usize>> = runs.map(|outcome| outcome.late).collect();
    let most = late.iter().flatten().max().copied().unwrap_or(0);
    assert!(most <= LATE_ARRIVALS_MAX, "by seed and request: {late:?}");
}

/// Guards against sound requests, of which one comes again and again, that are refused since they ran
/// beside requests that crash upstreams.
#[parameterized(
    four_late = { conf(23, 4, 500, Ending::Open) },
    eight_late = { conf(23, 8, 1_000, Ending::Open) },
    four_answered = { conf(18, 4, 1_000, Ending::Answered) },
    four_abandoned = { conf(18, 4, 1_000, Ending::Abandoned) },
    four_failed = { conf(18, 4, 500, Ending::Failed) },
)]
fn sound_requests_are_served_beside_several_that_crash_upstreams(conf: ModelConf) {
    for seed in 0..SEEDS {
        let outcome = CrashModel::run(conf, seed);
        let refused = outcome.sound_refused;
        assert!(
            refused * SOUND_PER_REFUSED <= outcome.sound,
            "seed {seed}: {outcome:?}"
        );
    }
}

const MAIN: RequestHash = RequestHash(0xbad1);
const HIDDEN: RequestHash = RequestHash(0xbad2);

fn check(quarantine: &PartQuarantine, request: RequestHash, now: Instant) -> CrashCheck {
    quarantine.check(&[RequestPart::from(request)], now)
}

/// A request that was lost in three crashes, each of which another request explains, and the time.
fn hidden_request() -> (PartQuarantine, Instant) {
    let start = Instant::now();
    let mut quarantine = PartQuarantine::default();
    let mut now = start;
    for crash in 1..=4 {
        now = start + Duration::from_secs(crash);
        let requests = if crash == 4 {
            vec![MAIN]
        } else {
            vec![MAIN, HIDDEN]
        };
        for request in requests {
            quarantine.on_crash(CrashSuspect::of_request(CrashId(crash), request), now);
        }
    }
    let is_refused = matches!(check(&quarantine, MAIN, now), CrashCheck::Refuse(_));
    assert!(is_refused);
    (quarantine, now)
}

/// How long a request is refused from now on; none if it may be probed.
fn refused_for_s(quarantine: &PartQuarantine, request: RequestHash, now: Instant) -> Option<u64> {
    match check(quarantine, request, now) {
        CrashCheck::Refuse(known) => Some(known.time_left(now).as_secs()),
        CrashCheck::Probe(known) => {
            assert_eq!(known.parts, [RequestPart::from(request)]);
            None
        }
        admitted => panic!("{admitted:?}"),
    }
}

/// Guards against a request that is sent without limit since another one explains its crashes, and against
/// a sound one that is refused for that before it was tried.
#[test]
fn a_request_whose_crashes_others_explain_is_probed_at_once_and_then_seldom() {
    let (mut quarantine, mut now) = hidden_request();
    for pause_s in [30, 600, 24 * 3_600] {
        assert_eq!(refused_for_s(&quarantine, HIDDEN, now), None);
        quarantine.on_probe(&[HIDDEN.into()], now, now);
        assert_eq!(refused_for_s(&quarantine, HIDDEN, now), Some(pause_s));
        now += Duration::from_secs(pause_s);
    }
}

/// Guards against a sound request that stays refused after it was tried, since it was lost beside others.
#[test]
fn a_request_whose_crashes_others_explain_is_admitted_once_it_was_answered() {
    let (mut quarantine, now) = hidden_request();
    quarantine.on_probe(&[HIDDEN.into()], now, now);
    quarantine.on_answered(HIDDEN, now + Duration::from_secs(1));
    let later = now + Duration::from_secs(2);
    assert_eq!(check(&quarantine, HIDDEN, later), CrashCheck::Admit);
}

/// Guards against hosts that start and send a request without limit since nobody tells them of crashes that
/// others explain.
#[test]
fn hosts_that_start_know_a_request_whose_crashes_others_explain() {
    let (mut quarantine, now) = hidden_request();
    quarantine.on_probe(&[HIDDEN.into()], now, now);
    let now = now + Duration::from_secs(20);
    let mut told = PartQuarantine::default();
    for evidence in quarantine.evidence(now) {
        let entry = PartEvidenceEntry::from(evidence.clone());
        assert_eq!(entry.evidence(), Some(evidence.clone()));
        told.on_evidence(evidence, now);
    }
    // The probe is known from the platform.
    assert_eq!(refused_for_s(&told, HIDDEN, now), None);
    let mut restored = PartQuarantine::default();
    for record in quarantine.records(now) {
        restored.restore(&record, now);
    }
    assert_eq!(refused_for_s(&restored, HIDDEN, now), Some(10));
    let saved = quarantine.records(now).into_iter();
    let saved = saved.map(|record| record.id());
    assert!(
        saved
            .into_iter()
            .all(|id| quarantine.lasting(now).contains(&id))
    );
}
