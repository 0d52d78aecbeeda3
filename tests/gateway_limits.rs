//! Upstreams that name a limit of requests a second in their answers.

mod gateway_world;

use std::time::Duration;
use std::time::Instant;

use futures_util::future::join_all;
use gateway_world::TestHost;
use gateway_world::catalog::FakeCatalog;
use gateway_world::request;
use gateway_world::table;
use gateway_world::upstream::ScriptStep;
use gateway_world::upstream::ScriptedUpstream;
use gateway_world::wait_until;

async fn answering() -> ScriptedUpstream {
    ScriptedUpstream::start([ScriptStep::Respond(200, "a")]).await
}

/// A host, and the only upstream of the service that it calls.
async fn host_before_one() -> (ScriptedUpstream, TestHost) {
    let catalog = FakeCatalog::new(table(1));
    let upstream = answering().await;
    catalog.list("a", "app", upstream.addr);
    let host = TestHost::start("host", &catalog).await;
    (upstream, host)
}

async fn serve_one(host: &TestHost) {
    assert_eq!(host.call(request("/safe/1")).await.status(), 200);
}

fn limit_lines(host: &TestHost) -> Vec<serde_json::Value> {
    let lines = host.log.lines().into_iter();
    lines
        .filter(|line| line["event"] == "upstream_limit")
        .collect()
}

/// Operators can't tell from logs when hosts knew of an upstream's limit.
#[tokio::test]
async fn each_change_of_a_limit_is_logged() {
    let (upstream, host) = host_before_one().await;
    serve_one(&host).await;
    upstream.set_limit(Some("25"));
    serve_one(&host).await;
    serve_one(&host).await;
    upstream.set_limit(None);
    serve_one(&host).await;
    wait_until(|| limit_lines(&host).len() == 2).await;
    let lines = limit_lines(&host);
    assert_eq!(lines[0]["upstream"], "a");
    assert_eq!(lines[0]["limit_per_s"], 25.0);
    assert!(lines[1]["limit_per_s"].is_null());
}

/// An upstream that names nonsense fills the log, or ends the limit that is known.
#[tokio::test]
async fn a_malformed_limit_is_logged_once_and_changes_nothing() {
    let (upstream, host) = host_before_one().await;
    upstream.set_limit(Some("25"));
    serve_one(&host).await;
    upstream.set_limit(Some("few"));
    serve_one(&host).await;
    serve_one(&host).await;
    upstream.set_limit(Some("25"));
    serve_one(&host).await;
    let malformed = || {
        let text = host.log.text();
        text.matches("limit_malformed").count()
    };
    wait_until(|| malformed() == 1 && limit_lines(&host).len() == 1).await;
    host.gateway.begin_shutdown();
    wait_until(|| host.log.text().contains("stopping")).await;
    assert_eq!((malformed(), limit_lines(&host).len()), (1, 1));
}

/// Calls to each host and the pause after each, which makes several times the limit below.
const CALLS: u32 = 60;
const CALL_PAUSE: Duration = Duration::from_millis(40);

/// An upstream that names a limit goes on getting its share of all requests, from each host.
#[tokio::test]
async fn an_upstream_in_need_gets_no_more_than_its_limit_from_all_hosts() {
    let catalog = FakeCatalog::new(table(1));
    let (limited, sound) = (answering().await, answering().await);
    catalog.list("a", "app", limited.addr);
    catalog.list("b", "app", sound.addr);
    let mut hosts = Vec::new();
    for name in ["first", "second", "third"] {
        hosts.push(TestHost::start(name, &catalog).await);
    }
    for host in &hosts {
        host.wait_for_hosts(hosts.len()).await;
    }
    limited.set_limit(Some("2"));
    until_some_host_knows(&hosts).await;
    let before = limited.arrivals().len();
    let began = Instant::now();
    join_all(hosts.iter().map(call_again_and_again)).await;
    let got = limited.arrivals().len() - before;
    let allowed = 1.5 * 2.0 * began.elapsed().as_secs_f64() + 5.0;
    assert!(got as f64 <= allowed, "{got} requests, {allowed} allowed");
    assert!(got > 0, "its answers are asked for the end of the limit");
}

async fn until_some_host_knows(hosts: &[TestHost]) {
    while hosts.iter().all(|host| limit_lines(host).is_empty()) {
        serve_one(&hosts[0]).await;
        tokio::time::sleep(CALL_PAUSE).await;
    }
}

async fn call_again_and_again(host: &TestHost) {
    for _ in 0..CALLS {
        serve_one(host).await;
        tokio::time::sleep(CALL_PAUSE).await;
    }
}

/// All upstreams of a service are short of capacity: calls that can't be served are kept waiting until their
/// deadline, or told nothing of when to come back.
#[tokio::test]
async fn a_call_that_no_limit_leaves_time_for_is_refused_at_once() {
    let (upstream, host) = host_before_one().await;
    upstream.set_limit(Some("0"));
    serve_one(&host).await;
    let res = host.call(request("/safe/1")).await;
    assert_eq!(res.status(), 503);
    let retry_after = res.headers()["retry-after"].to_str().unwrap();
    let retry_after: f64 = retry_after.parse().unwrap();
    assert!((0.5..=4.0).contains(&retry_after), "{retry_after}");
    wait_until(|| host.log.text().contains("rate_limited")).await;
    let waits = |line: &serde_json::Value| {
        line["event"] == "refused" && line["elapsed_ms"].as_u64() < Some(300)
    };
    assert!(host.log.lines().iter().any(waits), "{}", host.log.text());
    assert_eq!(upstream.arrivals().len(), 1);
}

/// Each host learns of a limit, and of its end, by requests of its own.
#[tokio::test]
async fn a_limit_and_its_end_are_told_to_the_other_hosts() {
    let catalog = FakeCatalog::new(table(1));
    let upstream = answering().await;
    catalog.list("a", "app", upstream.addr);
    let first = TestHost::start("first", &catalog).await;
    let second = TestHost::start("second", &catalog).await;
    first.wait_for_hosts(2).await;
    second.wait_for_hosts(2).await;
    upstream.set_limit(Some("25"));
    serve_one(&first).await;
    wait_until(|| limit_lines(&second).len() == 1).await;
    assert_eq!(limit_lines(&second)[0]["told_by"], "first");
    assert_eq!(upstream.arrivals().len(), 1);
    upstream.set_limit(None);
    serve_one(&first).await;
    wait_until(|| limit_lines(&second).len() == 2).await;
    assert!(limit_lines(&second)[1]["limit_per_s"].is_null());
}
