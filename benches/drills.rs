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

const TAKE_OVERS: usize = 10;

#[tokio::main]
async fn main() {
    take_over().await;
}

/// Kills the home under a steady load through the other hosts. The time of the first grant of the
/// next home is that of the first successful response to a request sent after the kill.
async fn take_over() {
    let mut first_grants = Vec::new();
    let mut slowest = Duration::ZERO;
    let mut lost = 0;
    for run in 0..TAKE_OVERS {
        let mut site = TestSite::with(2, 3).await;
        site.wait_until_joined().await;
        sleep(Duration::from_secs(2)).await;
        let home = site.home_of("geet-model").await;
        let killed = site.hosts.remove(home);
        killed.signal(Signal::SIGKILL);
        let died = Instant::now();
        let mut first = None;
        for number in 0..100 {
            let body = completion(&format!("take-over {run}, request {number}"), 1, false);
            let sent = Instant::now();
            let answered = call(
                site.hosts[number % 2].callers_addr,
                "/v1/completions",
                &[],
                &body,
            )
            .await;
            let is_answered = answered.is_ok_and(|res| res.status() == 200);
            lost += usize::from(!is_answered);
            slowest = slowest.max(sent.elapsed());
            if is_answered {
                first.get_or_insert(died.elapsed());
            }
            sleep(Duration::from_millis(20)).await;
        }
        first_grants.push(first.unwrap_or(Duration::MAX));
    }
    first_grants.sort();
    println!(
        "take-over: runs {TAKE_OVERS}, first grant after the kill median {} ms, worst {} ms, slowest \
         request {} ms, not answered {lost}",
        first_grants[TAKE_OVERS / 2].as_millis(),
        first_grants[TAKE_OVERS - 1].as_millis(),
        slowest.as_millis()
    );
}
