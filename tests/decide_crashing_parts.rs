//! Parts of prompts that crash upstreams, by some or all of the tries with them, decided without a network.

mod crash_model;

use std::time::Duration;
use std::time::Instant;

use banyanarch::decide::CallEnd;
use banyanarch::decide::EndedCall;
use banyanarch::decide::LossPoint;
use banyanarch::decide::LostCall;
use banyanarch::decide::PartEvidence;
use banyanarch::decide::PartQuarantine;
use banyanarch::decide::PartTries;
use banyanarch::decide::RequestPart;
use banyanarch::exchange::PartEvidenceEntry;
use banyanarch::units::CrashId;
use banyanarch::units::PromptPartId;
use banyanarch::units::RequestHash;
use banyanarch::units::TellerId;
use crash_model::Ending;
use crash_model::parts::LATE_TRIES_MAX;
use crash_model::parts::PartConf;
use crash_model::parts::PartModel;
use yare::parameterized;

/// The number of seeds of each case.
const SEEDS: u64 = 4;
/// Of the sound requests, at most one in this number may be refused: 0.97 are to be served.
const SOUND_PER_REFUSED: usize = 33;

fn conf(parts: u64, interval_ms: u64, share_percent: u32, ending: Ending) -> PartConf {
    PartConf {
        parts,
        interval: Duration::from_millis(interval_ms),
        share_percent,
        ending,
        ..PartConf::default()
    }
}

/// The same at eight hosts before 18 upstreams.
fn smaller(conf: PartConf) -> PartConf {
    PartConf {
        hosts: 8,
        upstreams: 18,
        ..conf
    }
}

/// Guards against parts that go on crashing upstreams because other tries with them are served, because
/// other parts explain their crashes, or because their requests are repeated.
#[parameterized(
    one = { conf(1, 400, 100, Ending::Open) },
    one_answered = { conf(1, 400, 100, Ending::Answered) },
    eight_of_ten = { conf(1, 400, 80, Ending::Open) },
    seven_of_ten = { conf(1, 400, 70, Ending::Open) },
    half = { smaller(conf(1, 400, 50, Ending::Open)) },
    half_seldom = { PartConf { called_for: Duration::from_secs(60), ..smaller(conf(1, 2_000, 50, Ending::Open)) } },
    a_fifth = { conf(1, 200, 20, Ending::Open) },
    half_answered = { conf(1, 400, 50, Ending::Answered) },
    two_answered = { conf(2, 400, 100, Ending::Answered) },
    two_failed = { conf(2, 400, 100, Ending::Failed) },
    two_abandoned = { smaller(conf(2, 400, 100, Ending::Abandoned)) },
    five_late = { smaller(conf(5, 300, 100, Ending::Open)) },
    repeated = { PartConf { repeats: 3, ..conf(1, 2_000, 100, Ending::Open) } },
    repeated_answered = { PartConf { repeats: 3, ..conf(1, 2_000, 100, Ending::Answered) } },
)]
fn tries_with_a_part_that_crashes_upstreams_stop(conf: PartConf) {
    let runs = (0..SEEDS).map(|seed| PartModel::run(conf, seed));
    let runs: Vec<_> = runs
        .map(|outcome| (outcome.late, outcome.crashes))
        .collect();
    let late = runs.iter().flat_map(|(late, _)| late);
    let most = late.max().copied().unwrap_or(0);
    assert!(most <= LATE_TRIES_MAX, "late tries and crashes: {runs:?}");
}

/// Guards against sound requests that are refused for the parts that they share with others, while
/// upstreams end without a cause, or under other parts.
#[parameterized(
    one_each_second = { PartConf { parts: 0, ends_each: Some(Duration::from_secs(1)), ..PartConf::default() } },
    one_each_300_ms = { PartConf { parts: 0, ends_each: Some(Duration::from_millis(300)), ..PartConf::default() } },
    one_each_300_ms_at_a_low_rate = { PartConf { parts: 0, ends_each: Some(Duration::from_millis(300)), sound_per_s: 5.0, ..PartConf::default() } },
    half = { smaller(conf(1, 400, 50, Ending::Open)) },
    a_fifth = { conf(1, 200, 20, Ending::Open) },
    two_answered = { conf(2, 400, 100, Ending::Answered) },
    five_late = { smaller(conf(5, 300, 100, Ending::Open)) },
)]
fn sound_requests_are_served_beside_parts_that_crash_upstreams(conf: PartConf) {
    for seed in 0..SEEDS {
        let outcome = PartModel::run(conf, seed);
        let refused = outcome.sound_refused;
        assert!(
            refused * SOUND_PER_REFUSED <= outcome.sound,
            "seed {seed}: {outcome:?}"
        );
    }
}

const BAD: RequestPart = RequestPart::Prompt(PromptPartId(0xbad));

fn served(request: u64, part: RequestPart) -> EndedCall {
    EndedCall {
        crash: CrashId(1_000_000 + request),
        request: RequestHash(request),
        parts: vec![part],
        end: CallEnd::Succeeded,
    }
}

/// A host at which every other try with a part ends its upstream, beside other calls, and the time.
fn half_of_the_tries_crash() -> (PartQuarantine, Instant) {
    let mut quarantine = PartQuarantine::new(TellerId(1));
    let mut now = Instant::now();
    for crash in 1..=6 {
        now += Duration::from_secs(1);
        for other in 0..12 {
            let request = 100 * crash + other;
            let part = PromptPartId(0x1_0000 + request).into();
            quarantine.on_call_ended(served(request, part), now);
        }
        quarantine.on_call_ended(served(100 * crash + 50, BAD), now);
        let lost = LostCall {
            crash: CrashId(crash),
            request: RequestHash(100 * crash + 60),
            parts: vec![BAD],
            point: LossPoint::Early,
        };
        quarantine.on_lost(&lost, now + Duration::from_millis(500));
    }
    (quarantine, now + Duration::from_secs(1))
}

fn is_refused(quarantine: &PartQuarantine, now: Instant) -> bool {
    quarantine.find(&[BAD], now).is_some()
}

/// Guards against a part that is refused no longer since tries that were on their way are served.
#[test]
fn a_part_of_which_some_tries_crash_stays_refused_when_others_are_served() {
    let (mut quarantine, now) = half_of_the_tries_crash();
    assert!(is_refused(&quarantine, now));
    quarantine.on_call_ended(served(9_000, BAD), now);
    quarantine.on_served(&[BAD], now);
    assert!(is_refused(&quarantine, now + Duration::from_secs(60)));
    let after = now + Duration::from_secs(3_700);
    assert!(!is_refused(&quarantine, after));
    quarantine.on_served(&[BAD], after);
    assert!(!is_refused(&quarantine, after));
}

/// Guards against hosts that start and send requests with such a part, which others know to be served now
/// and then.
#[test]
fn hosts_that_start_refuse_a_part_of_which_some_tries_crash() {
    let (quarantine, now) = half_of_the_tries_crash();
    let mut told = PartQuarantine::new(TellerId(2));
    for evidence in quarantine.evidence(now) {
        let entry = PartEvidenceEntry::from(evidence);
        told.on_evidence(entry.evidence().unwrap(), now);
    }
    assert!(is_refused(&told, now));
    let mut restored = PartQuarantine::new(TellerId(3));
    for record in quarantine.records(now) {
        restored.restore(&record, now);
    }
    restored.on_served(&[BAD], now);
    assert!(is_refused(&restored, now));
}

/// Guards against counts that are lost or changed on their way to other hosts.
#[test]
fn counts_of_tries_arrive_as_they_were_told() {
    let (quarantine, now) = half_of_the_tries_crash();
    let told = quarantine.evidence(now).into_iter();
    let tries = told.filter_map(|evidence| match evidence {
        PartEvidence::Tries(tries) if tries.part == BAD => Some(tries),
        _ => None,
    });
    let tries: Vec<PartTries> = tries.collect();
    assert_eq!(tries.len(), 1);
    assert_eq!((tries[0].teller, tries[0].served), (TellerId(1), 5));
    let entry = PartEvidenceEntry::from(PartEvidence::Tries(tries[0]));
    assert_eq!(entry.evidence(), Some(PartEvidence::Tries(tries[0])));
}
