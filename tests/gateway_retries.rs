//! The retry budget that all hosts share.

mod gateway_world;

use gateway_world::TestHost;
use gateway_world::catalog::FakeCatalog;
use gateway_world::request;
use gateway_world::table;
use gateway_world::upstream::ScriptStep;
use gateway_world::upstream::ScriptedUpstream;
use gateway_world::wait_until;

/// Two upstreams of the service `app` that fail every request.
async fn list_failing_upstreams(catalog: &FakeCatalog) -> [ScriptedUpstream; 2] {
    let start = || ScriptedUpstream::start([ScriptStep::Respond(500, "failed")]);
    let upstreams = [start().await, start().await];
    catalog.list("a", "app", upstreams[0].addr);
    catalog.list("b", "app", upstreams[1].addr);
    upstreams
}

#[tokio::test]
async fn a_retry_is_logged_with_the_numbers_of_its_check() {
    let catalog = FakeCatalog::new(table(1));
    let upstreams = list_failing_upstreams(&catalog).await;
    let host = TestHost::start("host", &catalog).await;
    host.wait_for_hosts(1).await;
    host.call(request("/safe/1")).await;
    let arrivals: usize = upstreams.iter().map(|u| u.arrivals().len()).sum();
    assert_eq!(arrivals, 2);
    wait_until(|| host.log.text().contains("retry_checked")).await;
    let lines = host.log.lines();
    let check = lines
        .iter()
        .find(|line| line["event"] == "retry_checked")
        .unwrap();
    assert_eq!(check["request"], "r-1");
    assert_eq!(check["service"], "app");
    assert_eq!(check["is_allowed"], true);
    assert_eq!(check["requests"], 1);
    assert_eq!(check["retries"], 0);
    assert_eq!(check["hosts"], 1);
}
