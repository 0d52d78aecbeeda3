//! What upstreams state about themselves in their responses.

mod gateway_world;

use gateway_world::TestHost;
use gateway_world::catalog::FakeCatalog;
use gateway_world::request;
use gateway_world::table;
use gateway_world::upstream::ScriptStep;
use gateway_world::upstream::ScriptedUpstream;
use gateway_world::wait_until;
use serde_json::Value;

/// A host and the only upstream, `a`, of the service that it calls.
async fn host_with_one_upstream(step: ScriptStep) -> (ScriptedUpstream, TestHost) {
    let catalog = FakeCatalog::new(table(1));
    let upstream = ScriptedUpstream::start([step]).await;
    catalog.list("a", "app", upstream.addr);
    let host = TestHost::start("host", &catalog).await;
    (upstream, host)
}

/// Sends a request to a host and returns the status of the response.
async fn call(host: &TestHost) -> u16 {
    host.call(request("/safe/1")).await.status().as_u16()
}

/// The log lines of one kind of event.
fn events(host: &TestHost, name: &str) -> Vec<Value> {
    let lines = host.log.lines().into_iter();
    lines.filter(|line| line["event"] == name).collect()
}

/// Waits until everything that a host has logged so far is written.
async fn flush_log(host: &TestHost) {
    host.gateway.begin_shutdown();
    wait_until(|| host.log.text().contains("stopping")).await;
}

/// Operators must be able to tell from logs when a host learnt that an upstream leaves.
#[tokio::test]
async fn that_an_upstream_leaves_is_logged_once() {
    let (upstream, host) = host_with_one_upstream(ScriptStep::Respond(200, "a")).await;
    call(&host).await;
    upstream.set_header_lines("test-leaving: 1\r\n");
    call(&host).await;
    call(&host).await;
    flush_log(&host).await;
    let lines = events(&host, "upstream_leaving");
    assert_eq!(lines.len(), 1, "{lines:?}");
    assert_eq!(lines[0]["upstream"], "a");
    assert!(lines[0]["told_by"].is_null());
    let metrics = host.gateway.metrics.render().unwrap();
    assert!(metrics.contains(r#"gateway_upstream_notices_total{notice="leaving""#));
}

/// Operators must be able to tell from logs which backoff an upstream wants.
#[tokio::test]
async fn the_backoff_that_an_upstream_wants_is_logged() {
    let (upstream, host) = host_with_one_upstream(ScriptStep::Refuse).await;
    upstream.set_header_lines("test-backoff-ms: 3000\r\n");
    call(&host).await;
    flush_log(&host).await;
    let lines = events(&host, "upstream_backoff");
    assert_eq!(lines.len(), 1, "{lines:?}");
    assert_eq!(lines[0]["upstream"], "a");
    assert_eq!(lines[0]["requested_ms"], 3_000);
    assert_eq!(lines[0]["backoff_ms"], 3_000);
}

/// An upstream with malformed notices must not flood the log, and each kind must be seen.
#[tokio::test]
async fn a_malformed_notice_is_logged_once_per_kind() {
    let (upstream, host) = host_with_one_upstream(ScriptStep::Refuse).await;
    upstream.set_header_lines("test-backoff-ms: soon\r\ntest-leaving: maybe\r\n");
    call(&host).await;
    call(&host).await;
    flush_log(&host).await;
    let lines = events(&host, "notice_malformed");
    let kinds: Vec<&str> = lines.iter().flat_map(|l| l["notice"].as_str()).collect();
    assert_eq!(kinds, ["leaving", "backoff"]);
    assert!(events(&host, "upstream_leaving").is_empty());
    assert!(events(&host, "upstream_backoff").is_empty());
}

/// Guards against a statement of upstreams that this system does not know and nobody notices.
#[tokio::test]
async fn an_unknown_header_is_counted_and_logged_once() {
    let (upstream, host) = host_with_one_upstream(ScriptStep::Respond(200, "a")).await;
    upstream.set_header_lines("x-mood: bad\r\n");
    call(&host).await;
    call(&host).await;
    flush_log(&host).await;
    let lines = events(&host, "unknown_header");
    assert_eq!(lines.len(), 1, "{lines:?}");
    assert_eq!(
        (&lines[0]["upstream"], &lines[0]["header"]),
        (&"a".into(), &"x-mood".into())
    );
    let metrics = host.gateway.metrics.render().unwrap();
    let counted = |line: &str| {
        line.contains("gateway_unknown_headers_total")
            && line.contains(r#"header="x-mood""#)
            && line.ends_with(" 2")
    };
    assert!(metrics.lines().any(counted), "{metrics}");
}
