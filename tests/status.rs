//! Tests of the status reports: contents, size and write rate.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use banyanarch::clock::ManualClock;
use banyanarch::cluster_view::ClusterView;
use banyanarch::cluster_view::HostState;
use banyanarch::cluster_view::HostView;
use banyanarch::control::manifests::ManifestRefusal;
use banyanarch::control::manifests::ManifestStatus;
use banyanarch::control::status::EventLog;
use banyanarch::control::status::Reporter;
use banyanarch::control::status::ReporterAction;
use banyanarch::control::status::StatusInputs;
use banyanarch::control::status::StatusReport;
use banyanarch::objects::PlatformError;
use banyanarch::objects::Precondition;
use banyanarch::units::Generation;
use banyanarch::units::HostId;
use banyanarch::units::Incarnation;
use banyanarch::units::ObjectVersion;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

fn cluster_view(host_count: u64) -> ClusterView {
    let cluster_view = ClusterView::new();
    for n in 0..host_count {
        let id: HostId = format!("host-{n}").parse().unwrap();
        let view = HostView {
            id: id.clone(),
            domain: format!("domain-{}", n % 6).parse().unwrap(),
            peer_addr: "127.0.0.1:1".parse().unwrap(),
            incarnation: Incarnation(1),
            state: if n == 7 {
                HostState::Dead
            } else {
                HostState::Alive
            },
            generation: Generation(if n == 13 { 4 } else { 5 }),
        };
        cluster_view.hosts.insert(id, view);
    }
    cluster_view
}

fn report(cluster_view: &ClusterView, events: &EventLog) -> StatusReport {
    StatusReport::new(StatusInputs {
        host: &"host-0".parse().unwrap(),
        domain: &"domain-0".parse().unwrap(),
        cluster_view,
        manifest: ManifestStatus {
            generation: Some(Generation(5)),
            confirmed_ago: Some(Duration::from_secs(90)),
            is_ready: true,
            why_not_ready: None,
            refused: Some(ManifestRefusal {
                generation: Generation(6),
                why: "line 3: unknown key".to_owned(),
            }),
        },
        homes: Vec::new(),
        silent_domains: vec!["domain-2".parse().unwrap()],
        events,
    })
}

/// Guards against a report whose events are all of one host that flaps a thousand times. An operator
/// must still see the earlier events, and the report must not grow with the number of events.
#[test]
fn a_report_stays_small_and_keeps_earlier_events() {
    let clock = Arc::new(ManualClock::new());
    let events = EventLog::new(clock.clone());
    events.record("homes", "took over pool a", "host-7 is dead");
    clock.advance(Duration::from_secs(60));
    for _ in 0..1_000 {
        events.record("membership", "host-9 is suspect", "no answer");
    }
    for n in 0..2_000 {
        let why = "x".repeat(10_000);
        events.record("orders", &format!("ordered engine-{n}"), &why);
    }
    let latest = events.latest(10_000);
    assert_eq!(latest.len(), 256);
    assert!(latest.iter().all(|event| event.why.len() <= 200));

    let events = EventLog::new(clock.clone());
    events.record("homes", "took over pool a", "host-7 is dead");
    clock.advance(Duration::from_secs(60));
    for _ in 0..1_000 {
        events.record("membership", "host-9 is suspect", "no answer");
    }
    let report = report(&cluster_view(400), &events);
    assert_eq!(report.lately.len(), 2);
    assert_eq!(report.lately[0].times, 1_000);
    assert_eq!(report.lately[1].ago_s, 60);
    assert_eq!(report.generation_confirmed_ago_s, Some(90));
    assert_eq!(report.hosts.len(), 400);
    let domain = &report.domains[1];
    assert_eq!((domain.alive, domain.dead), (66, 1));
    assert_eq!(domain.generation_min, Some(Generation(4)));
    assert!(report.manifest_refused.as_ref().unwrap().contains("line 3"));
    let to_platform = serde_json::to_string(&report.for_platform()).unwrap();
    assert!(to_platform.len() < 8_192, "{}", to_platform.len());
}

/// The platform recovers from an outage while 400 hosts have changed reports. If all hosts wrote at
/// once and at each further change, they would overload the platform again.
#[test]
fn four_hundred_reporters_stay_below_a_rate() {
    let start = Instant::now();
    let mut rng = StdRng::seed_from_u64(3);
    let mut reporters: Vec<Reporter> = (0..400)
        .map(|n| Reporter::new(StdRng::seed_from_u64(n), start))
        .collect();
    let mut calls_max = 0;
    let mut writes = 0;
    for second in 0..1_200_u64 {
        let now = start + Duration::from_secs(second);
        let is_outage = (300..600).contains(&second);
        let mut calls = 0;
        for reporter in &mut reporters {
            let Some(action) = reporter.tick(rng.random(), now) else {
                continue;
            };
            calls += 1;
            let outage = || PlatformError::Unavailable("unreachable".to_owned());
            match action {
                ReporterAction::Read if is_outage => reporter.on_read(&Err(outage()), now),
                ReporterAction::Read => reporter.on_read(&Err(PlatformError::NotFound), now),
                ReporterAction::Write(_) if is_outage => reporter.on_written(&Err(outage()), now),
                ReporterAction::Write(_) => {
                    writes += 1;
                    reporter.on_written(&Ok(ObjectVersion(1)), now);
                }
            }
        }
        calls_max = calls_max.max(calls);
    }
    assert!(calls_max <= 60, "{calls_max} calls in a second");
    assert!(writes <= 400 * 900 / 30, "{writes} writes");
}

/// The answer to a write is lost. The reporter must read the version again, or all its later writes
/// would expect the version before the lost one and fail.
#[test]
fn the_object_is_read_again_after_a_lost_answer() {
    let start = Instant::now();
    let mut reporter = Reporter::new(StdRng::seed_from_u64(1), start);
    let at = |seconds| start + Duration::from_secs(seconds);
    assert_eq!(reporter.tick(1, at(60)), Some(ReporterAction::Read));
    reporter.on_read(&Err(PlatformError::NotFound), at(60));
    let write = ReporterAction::Write(Precondition::Absent);
    assert_eq!(reporter.tick(1, at(60)), Some(write));
    reporter.on_written(
        &Err(PlatformError::OutcomeUnknown("lost".to_owned())),
        at(60),
    );
    assert_eq!(reporter.tick(1, at(61)), None);
    assert_eq!(reporter.tick(1, at(120)), Some(ReporterAction::Read));
}

/// A report that never changes is still written from time to time. Otherwise it would look like the
/// report of a dead host.
#[test]
fn an_unchanged_report_is_written_rarely() {
    let start = Instant::now();
    let mut reporter = Reporter::new(StdRng::seed_from_u64(1), start);
    let mut writes = 0;
    for second in 0..3_600 {
        let now = start + Duration::from_secs(second);
        match reporter.tick(1, now) {
            Some(ReporterAction::Read) => reporter.on_read(&Err(PlatformError::NotFound), now),
            Some(ReporterAction::Write(_)) => {
                writes += 1;
                reporter.on_written(&Ok(ObjectVersion(2)), now);
            }
            None => {}
        }
    }
    assert!((8..=13).contains(&writes), "{writes} writes");
}
