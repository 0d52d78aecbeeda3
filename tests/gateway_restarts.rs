//! Upstreams that start again under the name of their last life.

mod gateway_world;

use std::time::Duration;
use std::time::Instant;

use banyanarch::decide::HostLoad;
use banyanarch::decide::LoadShare;
use banyanarch::decide::UpstreamFault;
use banyanarch::units::Tokens;
use banyanarch::units::UpstreamId;
use gateway_world::TestHost;
use gateway_world::catalog::FakeCatalog;
use gateway_world::request;
use gateway_world::table;
use gateway_world::until;
use gateway_world::upstream::Act;
use gateway_world::upstream::Upstream;
use indexmap::IndexMap;

fn knows(host: &TestHost, id: &UpstreamId) -> bool {
    host.gateway.beliefs.is_listed(id)
}

/// An engine restarts within a second under its old id and stays without work for seconds: hosts still
/// hold the answers and the memory of its last life against it, and its faults, and go on hearing of
/// them from each other.
#[tokio::test]
async fn what_hosts_held_of_a_former_life_is_not_held_against_the_next() {
    let catalog = FakeCatalog::new(table(1));
    let upstream = Upstream::start([Act::Answer(200, "ok")]).await;
    catalog.list("a", "app", upstream.addr);
    let host = TestHost::start("host", &catalog).await;
    let former: UpstreamId = "a".parse().unwrap();
    let share = LoadShare {
        takes_place: true,
        is_short: true,
        pause: None,
        read_time: Duration::from_secs(5),
        held_tokens: Tokens(9_000),
        helps: None,
        prefill_due: None,
    };
    let now = Instant::now();
    host.gateway.ledger().start(&former, &share, now);
    let domain = "here".parse().unwrap();
    for _ in 0..4 {
        let fault = UpstreamFault::ConnectRefused;
        host.gateway.health().on_fault(&former, &domain, fault, now);
    }
    let id = catalog.restart("a", 2);
    until(|| knows(&host, &id)).await;
    // Another host has not heard of the restart.
    let told = HostLoad {
        in_flight: 7,
        ..HostLoad::default()
    };
    let loads = IndexMap::from([(former.clone(), told)]);
    let other = "other".parse().unwrap();
    host.gateway.ledger().hear(other, 1, loads, Instant::now());
    let load = host.gateway.ledger().load(&id, Instant::now());
    assert_eq!(load.in_flight, 0);
    assert_eq!(load.held_tokens, Tokens::ZERO);
    assert_eq!(load.prefill_backlog, Duration::ZERO);
    let health = host.gateway.health();
    assert!(health.is_usable(&id, &domain, Instant::now()));
}

/// A caller waits out its whole time for an answer that nobody will give. Its upstream was cut off,
/// restarted behind the cut, and the connection of its former life is silent.
#[tokio::test]
async fn a_call_at_a_former_life_is_lost_and_not_waited_for() {
    let catalog = FakeCatalog::new(table(1));
    let upstream = Upstream::start([Act::Hang]).await;
    catalog.list("a", "app", upstream.addr);
    let host = TestHost::start("host", &catalog).await;
    let answer = async {
        let res = host.call(request("/once/1")).await;
        res.status().as_u16()
    };
    let restart = async {
        until(|| upstream.arrivals().len() == 1).await;
        let (former, domain) = ("a".parse().unwrap(), "here".parse().unwrap());
        let fault = UpstreamFault::ConnectTimeout;
        let now = Instant::now();
        host.gateway.health().on_fault(&former, &domain, fault, now);
        catalog.restart("a", 2);
    };
    let (status, ()) = tokio::join!(answer, restart);
    assert_eq!(status, 502, "504 if its time had run out");
    until(|| host.log.text().contains("has started again")).await;
}

/// A call is answered as lost although it runs. It went to an upstream that had restarted already, by
/// its old entry; then the new one is read.
#[tokio::test]
async fn a_call_that_was_sent_after_the_restart_runs_in_the_new_life() {
    let catalog = FakeCatalog::new(table(1));
    let upstream = Upstream::start([Act::AnswerAfter(Duration::from_secs(2), "ok")]).await;
    catalog.list("a", "app", upstream.addr);
    let host = TestHost::start("host", &catalog).await;
    let (former, domain) = ("a".parse().unwrap(), "here".parse().unwrap());
    let fault = UpstreamFault::Broken;
    let now = Instant::now();
    host.gateway.health().on_fault(&former, &domain, fault, now);
    let answer = async { host.call(request("/once/1")).await.status().as_u16() };
    let restart = async {
        until(|| upstream.arrivals().len() == 1).await;
        let id = catalog.restart("a", 2);
        until(|| knows(&host, &id)).await;
    };
    let (status, ()) = tokio::join!(answer, restart);
    assert_eq!(status, 200);
}
