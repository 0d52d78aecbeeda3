//! Upstreams that name a rate limit in their answers.

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

async fn start_upstream() -> ScriptedUpstream {
    ScriptedUpstream::start([ScriptStep::Respond(200, "a")]).await
}

/// A host and the only upstream of the service that it calls.
async fn host_with_one_upstream() -> (ScriptedUpstream, TestHost) {
    let catalog = FakeCatalog::new(table(1));
    let upstream = start_upstream().await;
    catalog.list("a", "app", upstream.addr);
    let host = TestHost::start("host", &catalog).await;
    (upstream, host)
}

async fn serve_request(host: &TestHost) {
    assert_eq!(host.call(request("/safe/1")).await.status(), 200);
}

fn limit_lines(host: &TestHost) -> Vec<serde_json::Value> {
    let lines = host.log.lines().into_iter();
    lines
        .filter(|line| line["event"] == "upstream_limit")
        .collect()
}

/// Operators must be able to tell from logs when hosts learnt of an upstream's limit.
#[tokio::test]
async fn each_change_of_a_limit_is_logged() {
    let (upstream, host) = host_with_one_upstream().await;
    serve_request(&host).await;
    upstream.set_limit(Some("25"));
    serve_request(&host).await;
    serve_request(&host).await;
    upstream.set_limit(None);
    serve_request(&host).await;
    wait_until(|| limit_lines(&host).len() == 2).await;
    let lines = limit_lines(&host);
    assert_eq!(lines[0]["upstream"], "a");
    assert_eq!(lines[0]["limit_per_s"], 25.0);
    assert!(lines[1]["limit_per_s"].is_null());
}

/// An upstream that names a malformed limit must neither flood the log nor end the known limit.
#[tokio::test]
async fn a_malformed_limit_is_logged_once_and_changes_nothing() {
    let (upstream, host) = host_with_one_upstream().await;
    upstream.set_limit(Some("25"));
    serve_request(&host).await;
    upstream.set_limit(Some("few"));
    serve_request(&host).await;
    serve_request(&host).await;
    upstream.set_limit(Some("25"));
    serve_request(&host).await;
    let malformed = || {
        let text = host.log.text();
        text.matches(r#""event":"notice_malformed","upstream":"a","notice":"limit""#)
            .count()
    };
    wait_until(|| malformed() == 1 && limit_lines(&host).len() == 1).await;
    host.gateway.begin_shutdown();
    wait_until(|| host.log.text().contains("stopping")).await;
    assert_eq!((malformed(), limit_lines(&host).len()), (1, 1));
}

/// The number of calls to each host and the pause after each call, which add up to several times
/// the limit of the test below.
const CALLS: u32 = 60;
const CALL_PAUSE: Duration = Duration::from_millis(40);

/// An upstream that names a limit must not go on getting its regular share of requests from each
/// host.
#[tokio::test]
async fn all_hosts_together_keep_an_upstreams_limit() {
    let catalog = FakeCatalog::new(table(1));
    let (limited, unlimited) = (start_upstream().await, start_upstream().await);
    catalog.list("a", "app", limited.addr);
    catalog.list("b", "app", unlimited.addr);
    let mut hosts = Vec::new();
    for name in ["first", "second", "third"] {
        hosts.push(TestHost::start(name, &catalog).await);
    }
    for host in &hosts {
        host.wait_for_hosts(hosts.len()).await;
    }
    limited.set_limit(Some("2"));
    wait_until_limit_known(&hosts).await;
    let before = limited.arrivals().len();
    let started_at = Instant::now();
    join_all(hosts.iter().map(call_repeatedly)).await;
    let received = limited.arrivals().len() - before;
    let allowed = 1.5 * 2.0 * started_at.elapsed().as_secs_f64() + 5.0;
    assert!(
        received as f64 <= allowed,
        "{received} requests, {allowed} allowed"
    );
    assert!(
        received > 0,
        "some requests must reach the upstream to detect the end of the limit"
    );
}

async fn wait_until_limit_known(hosts: &[TestHost]) {
    while hosts.iter().all(|host| limit_lines(host).is_empty()) {
        serve_request(&hosts[0]).await;
        tokio::time::sleep(CALL_PAUSE).await;
    }
}

async fn call_repeatedly(host: &TestHost) {
    for _ in 0..CALLS {
        serve_request(host).await;
        tokio::time::sleep(CALL_PAUSE).await;
    }
}

/// When all upstreams of a service are limited, a call that cannot be served must not wait until
/// its deadline, and must be told when to retry.
#[tokio::test]
async fn a_call_that_no_limit_admits_in_time_is_refused_at_once() {
    let (upstream, host) = host_with_one_upstream().await;
    upstream.set_limit(Some("0"));
    serve_request(&host).await;
    let res = host.call(request("/safe/1")).await;
    assert_eq!(res.status(), 503);
    let retry_after = res.headers()["retry-after"].to_str().unwrap();
    let retry_after: f64 = retry_after.parse().unwrap();
    assert!((0.5..=4.0).contains(&retry_after), "{retry_after}");
    wait_until(|| host.log.text().contains("rate_limited")).await;
    let is_prompt_refusal = |line: &serde_json::Value| {
        line["event"] == "refused" && line["elapsed_ms"].as_u64() < Some(300)
    };
    assert!(
        host.log.lines().iter().any(is_prompt_refusal),
        "{}",
        host.log.text()
    );
    assert_eq!(upstream.arrivals().len(), 1);
}

/// Hosts must learn of a limit and of its end from each other, without sending requests of their
/// own.
#[tokio::test]
async fn a_limit_and_its_end_are_sent_to_the_other_hosts() {
    let catalog = FakeCatalog::new(table(1));
    let upstream = start_upstream().await;
    catalog.list("a", "app", upstream.addr);
    let first = TestHost::start("first", &catalog).await;
    let second = TestHost::start("second", &catalog).await;
    first.wait_for_hosts(2).await;
    second.wait_for_hosts(2).await;
    upstream.set_limit(Some("25"));
    serve_request(&first).await;
    wait_until(|| limit_lines(&second).len() == 1).await;
    assert_eq!(limit_lines(&second)[0]["told_by"], "first");
    assert_eq!(upstream.arrivals().len(), 1);
    upstream.set_limit(None);
    serve_request(&first).await;
    wait_until(|| limit_lines(&second).len() == 2).await;
    assert!(limit_lines(&second)[1]["limit_per_s"].is_null());
}
