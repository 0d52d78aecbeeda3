//! The bound on retries that all hosts share, with hosts that restart.

use std::time::Duration;
use std::time::Instant;

use banyanarch::decide::RetryBound;
use banyanarch::decide::RetryWindow;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use yare::parameterized;

const BOUND: RetryBound = RetryBound {
    per_request: 0.2,
    allowance: 100.0,
    window: Duration::from_secs(10),
};

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// The record of a process that has been running for longer than the window.
fn steady_window(now: Instant) -> RetryWindow {
    RetryWindow::new(now.checked_sub(2 * BOUND.window).unwrap())
}

/// All upstreams of a service fail, and seven hosts that cannot reach each other retry at once. If
/// each of them used the whole allowance, the service would get seven times the retries that the
/// bound allows.
#[test]
fn the_retries_of_all_hosts_together_stay_within_the_bound() {
    let now = Instant::now();
    let retries: usize = (0..7)
        .map(|_| {
            let mut window = steady_window(now);
            for _ in 0..50 {
                window.on_request(&BOUND, now);
            }
            (0..500)
                .filter(|_| window.try_retry(&BOUND, Some(7), now).is_allowed)
                .count()
        })
        .sum();
    assert!(retries <= 100 + 70, "{retries} retries for 350 requests");
    assert!(retries >= 90, "the budget has to be usable: {retries}");
}

#[test]
fn a_retry_is_available_again_when_its_window_has_passed() {
    let now = Instant::now();
    let mut window = steady_window(now);
    while window.try_retry(&BOUND, Some(7), now).is_allowed {}
    assert!(
        !window
            .try_retry(&BOUND, Some(7), now + ms(9_999))
            .is_allowed
    );
    assert!(
        window
            .try_retry(&BOUND, Some(7), now + ms(10_001))
            .is_allowed
    );
}

#[test]
fn the_share_of_a_process_grows_with_its_uptime() {
    let now = Instant::now();
    let budget_after = |uptime| {
        let mut window = RetryWindow::new(now);
        window.try_retry(&BOUND, Some(1), now + uptime).budget
    };
    assert!(budget_after(ms(0)) < 1.0);
    assert!((budget_after(ms(5_000)) * 2.0 - budget_after(ms(10_000))).abs() < 1e-9);
    assert!((budget_after(ms(60_000)) - budget_after(ms(10_000))).abs() < 1e-9);
}

/// Failure: a host that does not know how many hosts there are uses the allowance of all hosts.
#[test]
fn without_a_number_of_hosts_only_earned_retries_are_allowed() {
    let now = Instant::now();
    let mut window = steady_window(now);
    assert!(!window.try_retry(&BOUND, None, now).is_allowed);
    for _ in 0..50 {
        window.on_request(&BOUND, now);
    }
    let allowed = (0..500).filter(|_| window.try_retry(&BOUND, None, now).is_allowed);
    let allowed = allowed.count();
    assert!(
        (1..=10).contains(&allowed),
        "{allowed} retries for 50 requests"
    );
}

/// What happens to the processes of a model of hosts.
#[derive(Clone, Copy, Debug)]
enum Restarts {
    /// All hosts restart at the same time, at this interval.
    All(Duration),
    /// The hosts restart one after the other, at this interval.
    InTurn(Duration),
    /// Random hosts restart, this many times per host and window on average.
    Random(f64),
}

impl Restarts {
    /// Whether a host restarts in the step of length `step` that ends `elapsed` after the start.
    fn restarts(
        self,
        host: usize,
        hosts: usize,
        elapsed: Duration,
        step: Duration,
        rng: &mut StdRng,
    ) -> bool {
        let is_due = |interval: Duration, at: Duration| {
            let count = |at: Duration| at.as_millis() / interval.as_millis();
            count(at) > count(at.saturating_sub(step))
        };
        match self {
            Self::All(interval) => is_due(interval, elapsed),
            Self::InTurn(interval) => {
                let turn = elapsed.as_millis() / interval.as_millis();
                is_due(interval, elapsed) && turn as usize % hosts == host
            }
            Self::Random(per_window) => {
                let steps = BOUND.window.as_secs_f64() / step.as_secs_f64();
                rng.random_bool(per_window / steps)
            }
        }
    }
}

/// Failure: hosts that restart while all upstreams fail use their shares of the retries again, and a
/// service receives more retries in a window than the bound allows.
#[parameterized(
    never = { 8, Restarts::Random(0.0), 50.0 },
    all_once_a_window = { 8, Restarts::All(ms(10_000)), 50.0 },
    all_every_2500_ms = { 8, Restarts::All(ms(2_500)), 50.0 },
    all_every_700_ms = { 8, Restarts::All(ms(700)), 50.0 },
    in_turn = { 8, Restarts::InTurn(ms(300)), 50.0 },
    random_once_a_window = { 8, Restarts::Random(1.0), 50.0 },
    random_ten_times_a_window = { 8, Restarts::Random(10.0), 50.0 },
    little_traffic = { 8, Restarts::Random(4.0), 0.5 },
    one_host = { 1, Restarts::All(ms(1_000)), 50.0 },
    large_fleet = { 195, Restarts::Random(3.0), 500.0 },
)]
fn the_bound_holds_however_often_hosts_restart(
    hosts: usize,
    restarts: Restarts,
    requests_per_s: f64,
) {
    for seed in 0..5 {
        play(hosts, restarts, requests_per_s, Duration::ZERO, seed);
    }
}

/// Failure: upstreams fail after a calm time, in which requests have earned retries. Hosts use them at
/// once, restart, and use what the requests since then earn as well.
#[parameterized(
    all_at_the_beginning = { 8, Restarts::All(ms(20_000)), 43.0 },
    all_soon_and_again = { 8, Restarts::All(ms(2_500)), 43.0 },
    in_turn = { 8, Restarts::InTurn(ms(150)), 43.0 },
    random = { 8, Restarts::Random(2.0), 43.0 },
    much_traffic = { 8, Restarts::All(ms(20_000)), 300.0 },
    one_host = { 1, Restarts::All(ms(20_000)), 43.0 },
    large_fleet = { 195, Restarts::All(ms(20_000)), 500.0 },
)]
fn the_bound_holds_when_hosts_restart_after_a_calm_time(
    hosts: usize,
    restarts: Restarts,
    requests_per_s: f64,
) {
    for seed in 0..5 {
        let calm = 2 * BOUND.window - ms(500);
        play(hosts, restarts, requests_per_s, calm, seed);
    }
}

/// Lets hosts send as many retries as they may after a calm time, and asserts the bound.
fn play(hosts: usize, restarts: Restarts, requests_per_s: f64, calm: Duration, seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let start = Instant::now();
    let step = ms(20);
    // Steady shares have to be used before the first restart.
    let mut windows: Vec<RetryWindow> = (0..hosts).map(|_| steady_window(start)).collect();
    let mut requests: Vec<Duration> = Vec::new();
    let mut retries: Vec<Duration> = Vec::new();
    let mut elapsed = Duration::ZERO;
    while elapsed < 4 * BOUND.window {
        elapsed += step;
        let now = start + elapsed;
        for (host, window) in windows.iter_mut().enumerate() {
            if restarts.restarts(host, hosts, elapsed, step, &mut rng) {
                *window = RetryWindow::new(now);
            }
            if rng.random_bool(requests_per_s / hosts as f64 * step.as_secs_f64()) {
                window.on_request(&BOUND, now);
                requests.push(elapsed);
            }
            while elapsed > calm && window.try_retry(&BOUND, Some(hosts), now).is_allowed {
                retries.push(elapsed);
            }
        }
    }
    assert_windows_within_bound(&requests, &retries, seed);
}

/// Asserts the bound for every window that ends at a retry.
fn assert_windows_within_bound(requests: &[Duration], retries: &[Duration], seed: u64) {
    let within = |times: &[Duration], to: Duration| {
        let from = to.saturating_sub(BOUND.window);
        let first = times.partition_point(|at| *at <= from);
        times.partition_point(|at| *at <= to) - first
    };
    let mut ends = retries.to_vec();
    ends.dedup();
    for end in ends {
        let retries = within(retries, end);
        // Requests shortly before the window have earned retries in it.
        let shifts = [Duration::ZERO, BOUND.window / 2, BOUND.window];
        let shifted = shifts.map(|shift| within(requests, end.saturating_sub(shift)));
        let requests = shifted.into_iter().max().unwrap_or_default();
        let allowed = BOUND.allowance + BOUND.per_request * requests as f64;
        assert!(
            retries as f64 <= allowed,
            "seed {seed}: {retries} retries for {requests} requests in the window until {end:?}, \
             {allowed} allowed"
        );
    }
}
