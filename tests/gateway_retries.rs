//! The retry budget that all hosts share.

mod gateway_world;

use banyanarch::decide::RetryBound;
use banyanarch::gateway::GatewayConf;
use gateway_world::TestHost;
use gateway_world::catalog::FakeCatalog;
use gateway_world::conf;
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

/// The number of requests that the upstreams have received.
fn arrivals(upstreams: &[ScriptedUpstream]) -> usize {
    upstreams.iter().map(|u| u.arrivals().len()).sum()
}

/// A host for which a window allows 20 retries and 0.2 per request.
fn conf_with_small_allowance(name: &str) -> GatewayConf {
    let conf = conf(name);
    let retry_bound = RetryBound {
        allowance: 20.0,
        ..conf.retry_bound
    };
    GatewayConf {
        retry_bound,
        ..conf
    }
}

/// Asserts that the upstreams have received no more retries than the bound of
/// [`conf_with_small_allowance`] allows for this number of requests.
fn assert_within_bound(upstreams: &[ScriptedUpstream], requests: u32) {
    let retries = arrivals(upstreams) - requests as usize;
    let allowed = 20.0 + 0.2 * f64::from(requests);
    assert!(
        retries as f64 <= allowed,
        "{retries} retries for {requests} requests, {allowed} allowed"
    );
}

/// Waits for the first check of the retry budget in the log of a host.
async fn logged_check(host: &TestHost) -> serde_json::Value {
    wait_until(|| host.log.text().contains("retry_checked")).await;
    let mut lines = host.log.lines().into_iter();
    lines.find(|line| line["event"] == "retry_checked").unwrap()
}

/// Failure: a host that restarts several times while upstreams fail uses its share of the retries
/// again after each start.
#[tokio::test]
async fn restarts_of_a_host_do_not_renew_its_share_of_retries() {
    let catalog = FakeCatalog::new(table(1));
    let upstreams = list_failing_upstreams(&catalog).await;
    for _ in 0..4 {
        let conf = conf_with_small_allowance("host");
        let host = TestHost::start_with(conf, &catalog).await;
        host.wait_for_hosts(1).await;
        for _ in 0..14 {
            host.call(request("/safe/1")).await;
        }
        host.serving.abort();
    }
    assert_within_bound(&upstreams, 4 * 14);
}

/// Failure: hosts that cannot read the list of hosts, such as after a restart while the store is
/// unavailable, each use the retries of all hosts.
#[tokio::test]
async fn hosts_without_a_list_of_hosts_do_not_each_use_the_whole_allowance() {
    let catalog = FakeCatalog::new(table(1));
    let upstreams = list_failing_upstreams(&catalog).await;
    catalog.set_hosts_unavailable();
    for name in ["one", "two", "three", "four"] {
        let conf = conf_with_small_allowance(name);
        let host = TestHost::start_with(conf, &catalog).await;
        for _ in 0..14 {
            host.call(request("/safe/1")).await;
        }
    }
    assert_within_bound(&upstreams, 4 * 14);
}

/// Failure: a host that has not read the list of hosts takes itself for the only one, and uses the
/// allowance of all hosts also when it has been running for longer than the window.
#[tokio::test]
async fn a_host_without_a_list_of_hosts_sends_no_retry_that_it_has_not_earned() {
    let catalog = FakeCatalog::new(table(1));
    let upstreams = list_failing_upstreams(&catalog).await;
    catalog.set_hosts_unavailable();
    let host = TestHost::start_with(conf("host"), &catalog).await;
    host.call(request("/safe/1")).await;
    assert_eq!(arrivals(&upstreams), 1);
    let check = logged_check(&host).await;
    assert_eq!(check["is_allowed"], false);
    assert!(check["hosts"].is_null());
}

#[tokio::test]
async fn a_retry_is_logged_with_the_numbers_of_its_check() {
    let catalog = FakeCatalog::new(table(1));
    let upstreams = list_failing_upstreams(&catalog).await;
    let host = TestHost::start("host", &catalog).await;
    host.wait_for_hosts(1).await;
    host.call(request("/safe/1")).await;
    assert_eq!(arrivals(&upstreams), 2);
    let check = logged_check(&host).await;
    assert_eq!(check["request"], "r-1");
    assert_eq!(check["service"], "app");
    assert_eq!(check["is_allowed"], true);
    assert_eq!(check["requests"], 1);
    assert_eq!(check["retries"], 0);
    assert_eq!(check["hosts"], 1);
}
