//! Measures the load of claims on the platform, in writes and reads a second, and the wait for a
//! claim.
//!
//! `cargo bench --locked --bench claims` prints a line for each number of hosts and rate. The
//! platform is a fake with a round trip of three milliseconds.

#[path = "../tests/fakes/mod.rs"]
mod fakes;

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use banyanarch::clock::Clock;
use banyanarch::clock::SystemClock;
use banyanarch::control::claims::ClaimConf;
use banyanarch::control::claims::ClaimOutcome;
use banyanarch::control::claims::ClaimState;
use banyanarch::control::claims::ClaimStore;
use banyanarch::objects::PlatformClient;
use banyanarch::units::AttemptId;
use banyanarch::units::seconds;
use rand::SeedableRng;
use rand::rngs::StdRng;

use fakes::make::claim;
use fakes::make::claim_key;
use fakes::make::host;
use fakes::platform::FakePlatform;

const ROUND_TRIP: Duration = Duration::from_millis(3);
const RUN_DURATION: Duration = Duration::from_secs(4);
/// Rates of requests that are not repeatable: 1, 5 and 10 percent of 5,600 requests a second.
const RATES: [u64; 3] = [56, 280, 560];
const HOST_COUNTS: [usize; 3] = [1, 7, 50];

#[tokio::main]
async fn main() {
    for hosts in HOST_COUNTS {
        for rate in RATES {
            measure(hosts, rate).await;
        }
    }
}

async fn measure(hosts: usize, rate: u64) {
    let platform = Arc::new(FakePlatform::new(ROUND_TRIP));
    let stores: Vec<_> = (0..hosts).map(|n| store(&platform, n)).collect();
    let mut claims = Vec::new();
    let start = Instant::now();
    for n in 0..rate * RUN_DURATION.as_secs() {
        let due = seconds(n as f64 / rate as f64);
        tokio::time::sleep(due.saturating_sub(start.elapsed())).await;
        let store = Arc::clone(&stores[usize::try_from(n).unwrap() % hosts]);
        claims.push(tokio::spawn(
            async move { claim_and_finish(&store, n).await },
        ));
    }
    let mut waits = Vec::new();
    let mut failed = 0;
    for claim in claims {
        match claim.await.unwrap() {
            Some(wait) => waits.push(wait),
            None => failed += 1,
        }
    }
    let seconds = start.elapsed().as_secs_f64();
    waits.sort();
    let percentile_ms =
        |percent: usize| waits[(waits.len() - 1) * percent / 100].as_secs_f64() * 1_000.0;
    let per_second = |count: u64| count as f64 / seconds;
    println!(
        "hosts {hosts}, claims {rate}/s: writes {:.0}/s and {:.0}/s that met another's, \
         reads {:.0}/s, wait p50 {:.1} ms, p95 {:.1} ms, not run {failed}",
        per_second(platform.sum(|object| object.writes)),
        per_second(platform.sum(|object| object.conflicts)),
        per_second(platform.sum(|object| object.reads)),
        percentile_ms(50),
        percentile_ms(95),
    );
}

/// Claims the key of one request and finishes the claim 200 ms later. Returns the time that the
/// claim took, or `None` if it failed.
async fn claim_and_finish(store: &ClaimStore, n: u64) -> Option<Duration> {
    let key = claim_key(&format!("key-{n}"));
    let attempt = AttemptId(n.into());
    let start = Instant::now();
    let outcome = store.claim(key, claim(attempt.0, &host("entry"), 1)).await;
    let wait = start.elapsed();
    if outcome != ClaimOutcome::Claimed {
        return None;
    }
    tokio::time::sleep(Duration::from_millis(200)).await;
    store.finish(key, attempt, ClaimState::Completed);
    Some(wait)
}

fn store(platform: &Arc<FakePlatform>, number: usize) -> Arc<ClaimStore> {
    let platform: Arc<dyn PlatformClient> = Arc::<FakePlatform>::clone(platform);
    let clock: Arc<dyn Clock> = Arc::new(SystemClock);
    let mut rng = StdRng::seed_from_u64(number as u64);
    Arc::new(ClaimStore::new(
        &platform,
        &clock,
        ClaimConf::default(),
        &mut rng,
    ))
}
