//! Outcomes of calls that hosts add up, and the upstreams that they eject because of them.

use std::time::Duration;
use std::time::Instant;

use banyanarch::decide::CallOutcome;
use banyanarch::decide::EjectionChange;
use banyanarch::decide::EjectionEvent;
use banyanarch::decide::HealthTracker;
use banyanarch::decide::LoadSource;
use banyanarch::units::BoundedTime;
use banyanarch::units::FailureDomainId;
use banyanarch::units::HostId;
use banyanarch::units::ServiceId;
use banyanarch::units::UpstreamId;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use yare::parameterized;

/// The time between two rounds of calls of the model.
const TICK: Duration = Duration::from_millis(50);
/// The rounds between two reports of a host.
const REPORT_TICKS: u32 = 3;
/// The rounds between two evaluations.
const EVALUATION_TICKS: u32 = 5;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn service() -> ServiceId {
    "llm".parse().unwrap()
}

fn domain() -> FailureDomainId {
    "here".parse().unwrap()
}

/// A host of the model.
struct ModelHost {
    id: HostId,
    health: HealthTracker,
    /// Whether the host runs a build that neither sends nor reads outcomes.
    is_older: bool,
    is_dead: bool,
    hears_others: bool,
    /// The changes with the time at which each was decided.
    events: Vec<(Duration, EjectionEvent)>,
}

impl ModelHost {
    fn ejected(&self, upstream: &UpstreamId) -> usize {
        let of_upstream = self.events.iter().filter(|(_, e)| e.upstream == *upstream);
        of_upstream
            .filter(|(_, e)| matches!(e.change, EjectionChange::Ejected { .. }))
            .count()
    }
}

/// Hosts that call the upstreams of one service, each at random among those that it may use.
struct Fleet {
    hosts: Vec<ModelHost>,
    upstreams: Vec<UpstreamId>,
    start: Instant,
    time: Duration,
    ticks: u32,
    /// The mean number of calls by a host in one round.
    calls_per_tick: f64,
    rng: StdRng,
    /// The calls to each upstream.
    calls: Vec<u32>,
}

impl Fleet {
    fn new(hosts: usize, upstreams: usize, calls_per_s: f64) -> Self {
        let host = |index| ModelHost {
            id: format!("host-{index}").parse().unwrap(),
            health: HealthTracker::default(),
            is_older: false,
            is_dead: false,
            hears_others: true,
            events: Vec::new(),
        };
        Self {
            hosts: (0..hosts).map(host).collect(),
            upstreams: (0..upstreams)
                .map(|index| format!("u-{index}").parse().unwrap())
                .collect(),
            start: Instant::now(),
            time: Duration::ZERO,
            ticks: 0,
            calls_per_tick: calls_per_s * TICK.as_secs_f64() / hosts as f64,
            rng: StdRng::seed_from_u64(17),
            calls: vec![0; upstreams],
        }
    }

    fn now(&self) -> Instant {
        self.start + self.time
    }

    /// Lets time pass. `outcome` returns the outcome of a call to the upstream with this index.
    fn run(
        &mut self,
        time: Duration,
        outcome: impl Fn(usize, Duration, &mut StdRng) -> CallOutcome,
    ) {
        let end = self.time + time;
        while self.time < end {
            self.time += TICK;
            self.ticks += 1;
            for host in 0..self.hosts.len() {
                let mut calls = self.calls_per_tick;
                while calls > 0.0 && !self.hosts[host].is_dead {
                    if self.rng.random_bool(calls.min(1.0)) {
                        self.call(host, &outcome);
                    }
                    calls -= 1.0;
                }
            }
            if self.ticks.is_multiple_of(REPORT_TICKS) {
                self.exchange();
            }
            if self.ticks.is_multiple_of(EVALUATION_TICKS) {
                self.evaluate();
            }
        }
    }

    fn call(
        &mut self,
        host: usize,
        outcome: &impl Fn(usize, Duration, &mut StdRng) -> CallOutcome,
    ) {
        let (now, hosts) = (self.now(), self.hosts.len());
        let health = &mut self.hosts[host].health;
        let usable = |index: &usize| health.is_usable(&self.upstreams[*index], &domain(), now);
        let usable: Vec<usize> = (0..self.upstreams.len()).filter(usable).collect();
        let Some(index) = usable.get(self.rng.random_range(0..usable.len().max(1))) else {
            return;
        };
        self.calls[*index] += 1;
        let upstream = &self.upstreams[*index];
        health.on_sent(upstream, hosts, now);
        let outcome = outcome(*index, self.time, &mut self.rng);
        health.on_outcome(upstream, &service(), outcome, now);
    }

    fn exchange(&mut self) {
        let now = self.now();
        let senders = self
            .hosts
            .iter()
            .filter(|host| !host.is_older && !host.is_dead);
        let reports: Vec<_> = senders
            .map(|host| (host.id.clone(), host.health.outcome_reports(now)))
            .collect();
        for host in self.hosts.iter_mut().filter(|host| host.hears_others) {
            for (sender, reports) in reports.iter().filter(|(sender, _)| *sender != host.id) {
                for (subject, report) in reports {
                    let source = LoadSource::Host(sender.clone());
                    let subject = subject.clone();
                    host.health.on_outcome_report(source, subject, *report, now);
                }
            }
        }
    }

    fn evaluate(&mut self) {
        let now = self.now();
        let upstreams = self.upstreams.iter().map(|id| (id.clone(), domain()));
        let upstreams: Vec<_> = upstreams.collect();
        let count = self.hosts.len();
        for host in self
            .hosts
            .iter_mut()
            .filter(|host| !host.is_older && !host.is_dead)
        {
            let draw = self.rng.random_range(0.0..1.0);
            let events = host
                .health
                .evaluate_outcomes(&service(), &upstreams, count, draw, now);
            host.events
                .extend(events.into_iter().map(|event| (self.time, event)));
        }
    }

    /// The hosts that may not use the upstream now.
    fn hosts_without(&self, upstream: usize) -> usize {
        let is_unused = |host: &&ModelHost| {
            !host.is_older
                && !host
                    .health
                    .is_usable(&self.upstreams[upstream], &domain(), self.now())
        };
        self.hosts.iter().filter(is_unused).count()
    }

    fn ejections(&self) -> usize {
        let events = self.hosts.iter().flat_map(|host| &host.events);
        events
            .filter(|(_, event)| matches!(event.change, EjectionChange::Ejected { .. }))
            .count()
    }
}

fn fails(rng: &mut StdRng, rate: f64) -> CallOutcome {
    if rng.random_bool(rate) {
        CallOutcome::Failed
    } else {
        CallOutcome::Completed
    }
}

/// Guards against engines that fail half of their calls at once, look idle and draw calls: each of
/// many hosts sees too few calls to tell.
#[parameterized(
    few_hosts = { 6, 18, 300.0 },
    some_hosts = { 33, 45, 500.0 },
    many_hosts = { 82, 45, 500.0 },
)]
fn a_fifth_that_fails_half_of_its_calls_is_ejected(hosts: usize, upstreams: usize, per_s: f64) {
    let mut fleet = Fleet::new(hosts, upstreams, per_s);
    let faulty = upstreams / 5;
    let outcome = |index: usize, _: Duration, rng: &mut StdRng| {
        fails(rng, if index < faulty { 0.5 } else { 0.0 })
    };
    fleet.run(ms(3_000), outcome);
    let ejected = fleet.hosts.iter().map(|host| {
        let of_host = fleet.upstreams[..faulty].iter();
        of_host.filter(|id| host.ejected(id) > 0).count()
    });
    let ejected = ejected.sum::<usize>() as f64 / (hosts * faulty) as f64;
    assert!(ejected >= 0.9, "{ejected} of the faulty ones ejected");
    let wrongly = fleet.upstreams[faulty..]
        .iter()
        .filter(|id| fleet.hosts.iter().any(|host| host.ejected(id) > 0));
    assert_eq!(wrongly.count(), 0);
    fleet.calls.fill(0);
    fleet.run(ms(10_000), outcome);
    let drawn: u32 = fleet.calls[..faulty].iter().sum();
    let all: u32 = fleet.calls.iter().sum();
    let share = f64::from(drawn) / f64::from(all);
    assert!(share < 0.06, "the faulty fifth gets {share} of the calls");
}

/// Guards against upstreams that are ejected for what the request, the service or chance is to
/// blame for.
#[parameterized(
    all_fail = { 1.0, 1.0 },
    all_fail_at_times = { 0.4, 0.4 },
    bad_requests_of_one_customer = { 0.25, 0.25 },
    plain_services_that_are_healthy = { 0.143, 0.143 },
    most_fail = { 0.6, 0.0 },
)]
fn what_ails_more_than_half_ejects_nobody(rate: f64, rate_of_a_third: f64) {
    let mut fleet = Fleet::new(33, 12, 300.0);
    fleet.run(ms(12_000), |index, _, rng| {
        fails(
            rng,
            if index % 3 == 0 {
                rate_of_a_third
            } else {
                rate
            },
        )
    });
    assert_eq!(fleet.ejections(), 0);
}

/// Guards against more ejected upstreams than the rest can stand in for.
#[test]
fn at_least_half_of_a_service_stays_in_use() {
    let mut fleet = Fleet::new(10, 6, 300.0);
    let unreachable = fleet.upstreams[5].clone();
    for host in &mut fleet.hosts {
        let fault = banyanarch::decide::UpstreamFault::ConnectRefused;
        host.health
            .on_fault(&unreachable, &domain(), fault, fleet.start);
    }
    fleet.run(ms(450), |_, _, rng| fails(rng, 0.0));
    for _ in 0..100 {
        fleet.run(ms(50), |index, _, rng| {
            fails(rng, if index < 3 { 0.9 } else { 0.0 })
        });
        let unused = (0..6).filter(|index| fleet.hosts_without(*index) == 10);
        assert!(unused.count() <= 3);
    }
    assert!(fleet.ejections() > 0);
}

/// Guards against an upstream that is mended and gets no calls, and against probes by all hosts at
/// once.
#[test]
fn an_ejected_upstream_is_probed_by_few_calls_and_reinstated_when_they_succeed() {
    let mut fleet = Fleet::new(82, 20, 800.0);
    let outcome = |index: usize, time: Duration, rng: &mut StdRng| {
        fails(
            rng,
            if index == 0 && time < ms(8_000) {
                0.6
            } else {
                0.0
            },
        )
    };
    fleet.run(ms(3_000), outcome);
    assert!(fleet.hosts_without(0) > 70);
    fleet.calls.fill(0);
    fleet.run(ms(5_000), outcome);
    assert!(fleet.calls[0] < 60, "{} probes", fleet.calls[0]);
    fleet.run(ms(12_000), outcome);
    fleet.calls.fill(0);
    fleet.run(ms(3_000), outcome);
    let usual = fleet.calls[1..].iter().sum::<u32>() / 19;
    assert!(fleet.calls[0] > usual / 2, "{} of {usual}", fleet.calls[0]);
}

/// Guards against an upstream that is sound whenever it is probed and fails again once it is in
/// use.
#[test]
fn a_flapping_upstream_gets_longer_pauses() {
    let mut fleet = Fleet::new(20, 20, 600.0);
    fleet.run(ms(60_000), |index, time, rng| {
        let is_faulty = index == 0 && time.as_millis() % 8_000 < 4_000;
        fails(rng, if is_faulty { 0.9 } else { 0.0 })
    });
    let pauses = fleet.hosts[0].events.iter().filter_map(|(_, event)| {
        let EjectionChange::Ejected { pause, .. } = event.change else {
            return None;
        };
        Some(pause)
    });
    let pauses: Vec<Duration> = pauses.collect();
    assert!(pauses.len() >= 3, "{pauses:?}");
    assert!(pauses.len() <= 6, "{pauses:?}");
    assert!(
        pauses.is_sorted_by(|a, b| a < b || *a == ms(30_000)),
        "{pauses:?}"
    );
}

/// Guards against engines that work several times slower than forecast without saying so.
#[test]
fn a_fifth_that_is_four_times_slower_is_known_as_slow_by_all_hosts() {
    let mut fleet = Fleet::new(33, 20, 400.0);
    fleet.run(ms(3_000), |index, _, rng| {
        let forecast = ms(rng.random_range(30..300));
        let factor = rng.random_range(0.6..1.4) * if index < 4 { 4.0 } else { 1.0 };
        let taken = forecast.scaled(factor);
        CallOutcome::FirstEvent { forecast, taken }
    });
    for host in &fleet.hosts {
        let slow: Vec<_> = host.health.learned_slowdowns(fleet.now()).collect();
        assert_eq!(slow.len(), 4);
        for (id, slowdown) in slow {
            assert!(fleet.upstreams[..4].contains(id));
            assert!((2.5..6.0).contains(&slowdown.factor()), "{slowdown}");
        }
    }
}

/// Guards against engines that count as slow because the load, or the forecast, is off everywhere.
#[test]
fn engines_that_are_all_late_are_not_slow() {
    let mut fleet = Fleet::new(33, 20, 400.0);
    fleet.run(ms(3_000), |_, _, rng| {
        let forecast = ms(rng.random_range(30..300));
        let taken = forecast.scaled(rng.random_range(2.0..6.0));
        CallOutcome::FirstEvent { forecast, taken }
    });
    let mut slow = fleet.hosts.iter();
    assert!(slow.all(|host| host.health.learned_slowdowns(fleet.now()).count() == 0));
}

/// Guards against a host that nobody tells of failures and that waits for others to decide.
#[test]
fn a_host_that_hears_nobody_decides_by_its_own_calls() {
    let mut fleet = Fleet::new(3, 6, 240.0);
    fleet.hosts[0].hears_others = false;
    fleet.run(ms(4_000), |index, _, rng| {
        fails(rng, if index == 0 { 0.8 } else { 0.0 })
    });
    assert!(fleet.hosts[0].ejected(&fleet.upstreams[0]) > 0);
    assert_eq!(fleet.hosts[0].ejected(&fleet.upstreams[1]), 0);
}

/// Guards against hosts of an earlier build, whose calls nobody reports, that make sound upstreams
/// look faulty or keep faulty ones in use.
#[test]
fn hosts_of_an_earlier_build_change_nothing_for_the_others() {
    let mut fleet = Fleet::new(30, 10, 400.0);
    for host in &mut fleet.hosts[..15] {
        host.is_older = true;
    }
    fleet.run(ms(4_000), |index, _, rng| {
        fails(rng, if index < 2 { 0.5 } else { 0.05 })
    });
    for host in &fleet.hosts[15..] {
        let ejected = fleet.upstreams.iter().map(|id| host.ejected(id) > 0);
        let ejected: Vec<bool> = ejected.collect();
        assert_eq!(ejected.iter().filter(|ejected| **ejected).count(), 2);
        assert!(ejected[0] && ejected[1]);
    }
}

/// Guards against the outcomes of a dead host that count for ever.
#[test]
fn the_reports_of_a_host_that_dies_expire() {
    let mut fleet = Fleet::new(3, 4, 200.0);
    fleet.run(ms(400), |index, _, rng| {
        fails(rng, if index == 0 { 1.0 } else { 0.0 })
    });
    let mut health = HealthTracker::default();
    for (subject, report) in fleet.hosts[0].health.outcome_reports(fleet.now()) {
        let source = LoadSource::Host(fleet.hosts[0].id.clone());
        health.on_outcome_report(source, subject, report, fleet.now());
    }
    let id = &fleet.upstreams[0];
    assert!(health.outcomes(id, fleet.now()).sums.failures > 0);
    let later = fleet.now() + ms(1_100);
    assert_eq!(health.outcomes(id, later).sums.failures, 0);
    assert_eq!(health.outcomes(id, later).sources, 0);
}

/// Guards against an upstream that pays for what its former incarnation has done.
#[test]
fn an_upstream_that_restarts_has_no_record() {
    let mut fleet = Fleet::new(10, 5, 200.0);
    fleet.run(ms(4_000), |index, _, rng| {
        fails(rng, if index == 0 { 0.9 } else { 0.0 })
    });
    assert_eq!(fleet.hosts_without(0), 10);
    let former = std::mem::replace(&mut fleet.upstreams[0], "u-0-again".parse().unwrap());
    for host in &mut fleet.hosts {
        host.health.retain(|id| *id != former);
    }
    assert_eq!(fleet.hosts_without(0), 0);
    fleet.run(ms(4_000), |_, _, rng| fails(rng, 0.0));
    assert_eq!(fleet.hosts_without(0), 0);
}

/// Guards against an instance whose speed each host learns from too few calls of its own.
#[test]
fn the_service_time_of_an_instance_is_the_mean_over_all_hosts() {
    let mut fleet = Fleet::new(20, 3, 60.0);
    fleet.run(ms(4_000), |index, _, _| {
        CallOutcome::Answered(ms(if index == 0 { 240 } else { 60 }))
    });
    let now = fleet.now();
    for host in &fleet.hosts {
        let times = fleet
            .upstreams
            .iter()
            .map(|id| host.health.service_time(id, now));
        let times: Vec<Option<Duration>> = times.collect();
        assert_eq!(times, [Some(ms(240)), Some(ms(60)), Some(ms(60))]);
    }
    let later = now + ms(11_000);
    assert_eq!(
        fleet.hosts[0]
            .health
            .service_time(&fleet.upstreams[0], later),
        None
    );
}

/// Guards against updates that grow with the number of upstreams.
#[test]
fn a_report_holds_the_worst_upstreams_only() {
    let mut health = HealthTracker::default();
    let now = Instant::now();
    for index in 0..200 {
        let upstream = format!("u-{index}").parse().unwrap();
        for _ in 0..=index {
            health.on_outcome(&upstream, &service(), CallOutcome::Failed, now);
        }
    }
    let reports = health.outcome_reports(now);
    assert_eq!(reports.len(), 33, "the worst upstreams and the service");
    assert!(
        reports[..32]
            .iter()
            .all(|(_, report)| report.sums.failures > 168)
    );
}

/// Guards against reports of upstreams of which there is nothing to say.
#[test]
fn upstreams_that_work_as_forecast_are_not_reported() {
    let mut health = HealthTracker::default();
    let (upstream, now) = ("u".parse().unwrap(), Instant::now());
    health.on_outcome(&upstream, &service(), CallOutcome::Completed, now);
    let forecast = ms(100);
    let taken = ms(150);
    let outcome = CallOutcome::FirstEvent { forecast, taken };
    health.on_outcome(&upstream, &service(), outcome, now);
    assert_eq!(health.outcome_reports(now), []);
}

/// Guards against an upstream that seems to fail all calls because only the hosts that have seen a
/// failure report it.
#[test]
fn calls_that_went_well_are_reported_once_another_host_has_seen_a_failure() {
    let (mut here, mut there) = (HealthTracker::default(), HealthTracker::default());
    let (upstream, now): (UpstreamId, _) = ("u".parse().unwrap(), Instant::now());
    here.on_outcome(&upstream, &service(), CallOutcome::Completed, now);
    there.on_outcome(&upstream, &service(), CallOutcome::Failed, now);
    assert_eq!(here.outcome_reports(now), []);
    for (subject, report) in there.outcome_reports(now) {
        let source = LoadSource::Host("there".parse().unwrap());
        here.on_outcome_report(source, subject, report, now);
    }
    let reported = here.outcome_reports(now);
    assert_eq!(reported.len(), 2, "the upstream and its service");
    assert!(reported.iter().all(|(_, report)| report.sums.calls == 1));
}

/// Guards against probes by all hosts at once, and several of one host.
#[test]
fn the_probes_of_hosts_are_staggered_and_one_at_a_time() {
    let (mut health, start) = (HealthTracker::default(), Instant::now());
    let (bad, good): (UpstreamId, UpstreamId) = ("bad".parse().unwrap(), "good".parse().unwrap());
    for _ in 0..40 {
        health.on_outcome(&bad, &service(), CallOutcome::Failed, start);
        health.on_outcome(&good, &service(), CallOutcome::Completed, start);
    }
    let upstreams = [(bad.clone(), domain()), (good, domain())];
    let evaluate = |health: &mut HealthTracker, at| {
        health.evaluate_outcomes(&service(), &upstreams, 40, 0.5, at)
    };
    assert_eq!(evaluate(&mut health, start), []);
    assert_eq!(evaluate(&mut health, start + ms(500)).len(), 1, "ejected");
    let probed_at = start + ms(3_500);
    assert!(!health.is_usable(&bad, &domain(), probed_at - ms(1)));
    assert_eq!(
        evaluate(&mut health, probed_at)[0].change,
        EjectionChange::Probed
    );
    assert!(!health.is_usable(&bad, &domain(), probed_at + ms(999)));
    let first = probed_at + ms(1_000);
    assert!(health.is_usable(&bad, &domain(), first));
    health.on_sent(&bad, 40, first);
    health.on_outcome(&bad, &service(), CallOutcome::Completed, first + ms(10));
    assert!(!health.is_usable(&bad, &domain(), first + ms(1_999)));
    let second = first + ms(2_000);
    assert!(health.is_usable(&bad, &domain(), second));
    health.on_sent(&bad, 1, second);
    assert!(
        !health.is_usable(&bad, &domain(), second + ms(1_000)),
        "one is in flight"
    );
    assert!(
        health.is_usable(&bad, &domain(), second + ms(2_000)),
        "its outcome is not known"
    );
}
