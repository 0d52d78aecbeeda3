//! Upstreams that restart under the name of their former incarnation.

mod gateway_world;

use std::time::Duration;
use std::time::Instant;

use banyanarch::decide::HostLoad;
use banyanarch::decide::RequestLoad;
use banyanarch::decide::UpstreamFault;
use banyanarch::units::Tokens;
use banyanarch::units::UpstreamId;
use gateway_world::TestHost;
use gateway_world::catalog::FakeCatalog;
use gateway_world::request;
use gateway_world::table;
use gateway_world::upstream::ScriptStep;
use gateway_world::upstream::ScriptedUpstream;
use gateway_world::wait_until;
use indexmap::IndexMap;

fn is_listed(host: &TestHost, id: &UpstreamId) -> bool {
    host.gateway.platform_view.is_usable(id)
}

/// Failure: an engine restarts within a second under its old id and gets no work for seconds,
/// because hosts still count the requests, memory and faults of its former incarnation against it,
/// and go on reporting them to each other.
#[tokio::test]
async fn the_state_of_a_former_incarnation_does_not_count_against_the_next() {
    let catalog = FakeCatalog::new(table(1));
    let upstream = ScriptedUpstream::start([ScriptStep::Respond(200, "ok")]).await;
    catalog.list("a", "app", upstream.addr);
    let host = TestHost::start("host", &catalog).await;
    let former: UpstreamId = "a".parse().unwrap();
    let request_load = RequestLoad {
        takes_slot: true,
        is_short: true,
        pause: None,
        prefill_time: Duration::from_secs(5),
        held_tokens: Tokens(9_000),
        helper_release: None,
        prefill_due: None,
    };
    let now = Instant::now();
    host.gateway
        .ledger()
        .start_request(&former, &request_load, now);
    let domain = "here".parse().unwrap();
    for _ in 0..4 {
        let fault = UpstreamFault::ConnectRefused;
        host.gateway.health().on_fault(&former, &domain, fault, now);
    }
    let id = catalog.restart("a", 2);
    wait_until(|| is_listed(&host, &id)).await;
    // Another host does not know of the restart yet.
    let reported = HostLoad {
        in_flight: 7,
        ..HostLoad::default()
    };
    let loads = IndexMap::from([(former.clone(), reported)]);
    let other = "other".parse().unwrap();
    host.gateway
        .ledger()
        .record_host_loads(other, 1, loads, Instant::now());
    let load = host.gateway.ledger().load(&id, Instant::now());
    assert_eq!(load.in_flight, 0);
    assert_eq!(load.held_tokens, Tokens::ZERO);
    assert_eq!(load.prefill_backlog, Duration::ZERO);
    let health = host.gateway.health();
    assert!(health.is_usable(&id, &domain, Instant::now()));
}

/// Failure: a caller waits until its deadline for a response that will never come. Its upstream was
/// partitioned and restarted behind the partition, and the connection to the former incarnation is
/// silent.
#[tokio::test]
async fn a_call_sent_to_a_former_incarnation_fails_without_waiting() {
    let catalog = FakeCatalog::new(table(1));
    let upstream = ScriptedUpstream::start([ScriptStep::Hang]).await;
    catalog.list("a", "app", upstream.addr);
    let host = TestHost::start("host", &catalog).await;
    let answer = async {
        let res = host.call(request("/once/1")).await;
        res.status().as_u16()
    };
    let restart = async {
        wait_until(|| upstream.arrivals().len() == 1).await;
        let (former, domain) = ("a".parse().unwrap(), "here".parse().unwrap());
        let fault = UpstreamFault::ConnectTimeout;
        let now = Instant::now();
        host.gateway.health().on_fault(&former, &domain, fault, now);
        catalog.restart("a", 2);
    };
    let (status, ()) = tokio::join!(answer, restart);
    assert_eq!(
        status, 502,
        "the status would be 504 if the call had waited until its deadline"
    );
    wait_until(|| host.log.text().contains("the upstream has restarted")).await;
}

/// Failure: a running call is reported as lost. The call was sent by the old list entry to an
/// upstream that had restarted already, and then the new entry was read.
#[tokio::test]
async fn a_call_sent_after_the_restart_runs_in_the_new_incarnation() {
    let catalog = FakeCatalog::new(table(1));
    let upstream =
        ScriptedUpstream::start([ScriptStep::RespondAfter(Duration::from_secs(2), "ok")]).await;
    catalog.list("a", "app", upstream.addr);
    let host = TestHost::start("host", &catalog).await;
    let (former, domain) = ("a".parse().unwrap(), "here".parse().unwrap());
    let fault = UpstreamFault::Broken;
    let now = Instant::now();
    host.gateway.health().on_fault(&former, &domain, fault, now);
    let answer = async { host.call(request("/once/1")).await.status().as_u16() };
    let restart = async {
        wait_until(|| upstream.arrivals().len() == 1).await;
        let id = catalog.restart("a", 2);
        wait_until(|| is_listed(&host, &id)).await;
    };
    let (status, ()) = tokio::join!(answer, restart);
    assert_eq!(status, 200);
}
