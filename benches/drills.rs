//! Measures how long the failover of a home takes with real daemons.
//!
//! `cargo bench --locked --bench drills` prints the median and the worst time to the first grant.

#[path = "../tests/site/mod.rs"]
mod site;

use std::time::Duration;
use std::time::Instant;

use nix::sys::signal::Signal;
use tokio::time::sleep;

use site::TestSite;
use site::call;
use site::completion;

const RUNS: usize = 10;

#[tokio::main]
async fn main() {
    measure_failover().await;
}

/// Kills the home under a steady load through the other hosts. The time of the first grant of the
/// next home is that of the first successful response to a request sent after the kill.
async fn measure_failover() {
    let mut first_grants = Vec::new();
    let mut slowest = Duration::ZERO;
    let mut unanswered = 0;
    for run in 0..RUNS {
        let mut site = TestSite::with(2, 3).await;
        site.wait_until_joined().await;
        sleep(Duration::from_secs(2)).await;
        let home = site.home_of("geet-model").await;
        let killed = site.hosts.remove(home);
        killed.signal(Signal::SIGKILL);
        let killed_at = Instant::now();
        let mut first_grant = None;
        for number in 0..100 {
            let body = completion(&format!("take-over {run}, request {number}"), 1, false);
            let sent_at = Instant::now();
            let response = call(
                site.hosts[number % 2].callers_addr,
                "/v1/completions",
                &[],
                &body,
            )
            .await;
            let is_served = response.is_ok_and(|res| res.status() == 200);
            unanswered += usize::from(!is_served);
            slowest = slowest.max(sent_at.elapsed());
            if is_served {
                first_grant.get_or_insert(killed_at.elapsed());
            }
            sleep(Duration::from_millis(20)).await;
        }
        first_grants.push(first_grant.unwrap_or(Duration::MAX));
    }
    first_grants.sort();
    println!(
        "take-over: runs {RUNS}, first grant after the kill median {} ms, worst {} ms, slowest \
         request {} ms, not answered {unanswered}",
        first_grants[RUNS / 2].as_millis(),
        first_grants[RUNS - 1].as_millis(),
        slowest.as_millis()
    );
}
