//! What upstreams state about themselves in their responses.

mod gateway_world;

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use banyanarch::gateway::Stated;
use banyanarch::gateway::UpstreamNotices;
use bytes::Bytes;
use gateway_world::TestHost;
use gateway_world::catalog::FakeCatalog;
use gateway_world::long_prompt_table;
use gateway_world::long_request;
use gateway_world::request;
use gateway_world::table;
use gateway_world::upstream::ScriptStep;
use gateway_world::upstream::ScriptedUpstream;
use gateway_world::wait_until;
use http_body_util::Full;
use hyper::Request;
use serde_json::Value;
use tokio::time::sleep;

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

/// A catalog with two upstreams, `a` and `b`, of the service that hosts call; `a` follows `step`.
async fn catalog_with_two_upstreams(
    step: ScriptStep,
) -> (Arc<FakeCatalog>, ScriptedUpstream, ScriptedUpstream) {
    let catalog = FakeCatalog::new(table(1));
    let a = ScriptedUpstream::start([step]).await;
    let b = ScriptedUpstream::start([ScriptStep::Respond(200, "b")]).await;
    catalog.list("a", "app", a.addr);
    catalog.list("b", "app", b.addr);
    (catalog, a, b)
}

/// A host and the upstream `a` of two; `a` follows `step`.
async fn host_with_two_upstreams(step: ScriptStep) -> (ScriptedUpstream, TestHost) {
    let (catalog, a, _) = catalog_with_two_upstreams(step).await;
    let host = TestHost::start("host", &catalog).await;
    (a, host)
}

/// Sends requests until the log has a line of this kind.
async fn call_until_logged(host: &TestHost, event: &str) {
    while events(host, event).is_empty() {
        call(host).await;
    }
}

/// Number of requests that would be spread over two upstreams.
const CALLS: usize = 20;

/// Checks that requests to a host are served without one of the upstreams.
async fn assert_gets_no_requests(upstream: &ScriptedUpstream, host: &TestHost) {
    let before = upstream.arrivals().len();
    for _ in 0..CALLS {
        assert_eq!(call(host).await, 200);
    }
    assert_eq!(upstream.arrivals().len(), before);
}

/// Guards against requests to an upstream that says in its responses that it is leaving, while the
/// platform still lists it.
#[tokio::test]
async fn an_upstream_that_says_that_it_leaves_gets_no_more_requests() {
    let (a, host) = host_with_two_upstreams(ScriptStep::Respond(200, "a")).await;
    a.set_header_lines("test-leaving: 1\r\n");
    call_until_logged(&host, "upstream_leaving").await;
    assert_gets_no_requests(&a, &host).await;
}

/// Guards against a leaving upstream that gets requests again because an older list, or the same
/// one read again, still calls it ready.
#[tokio::test]
async fn an_older_list_does_not_take_back_that_an_upstream_leaves() {
    let catalog = FakeCatalog::new(table(1));
    let a = ScriptedUpstream::start([ScriptStep::Respond(200, "a")]).await;
    let b = ScriptedUpstream::start([ScriptStep::Respond(200, "b")]).await;
    catalog.list("a", "app", a.addr);
    let host = TestHost::start("host", &catalog).await;
    a.set_header_lines("test-leaving: 1\r\n");
    call(&host).await;
    catalog.list("a", "app", a.addr);
    catalog.list("b", "app", b.addr);
    wait_until(|| host.gateway.platform_view.is_usable(&"b".parse().unwrap())).await;
    assert_gets_no_requests(&a, &host).await;
}

/// Guards against an upstream that leaves and is known as such on one host only, while the platform
/// can't tell the others.
#[tokio::test]
async fn hosts_tell_each_other_which_upstreams_leave() {
    let (catalog, a, _) = catalog_with_two_upstreams(ScriptStep::Respond(200, "a")).await;
    let first = TestHost::start("first", &catalog).await;
    let second = TestHost::start("second", &catalog).await;
    first.wait_for_hosts(2).await;
    second.wait_for_hosts(2).await;
    catalog.set_unreachable(true);
    a.set_header_lines("test-leaving: 1\r\n");
    call_until_logged(&first, "upstream_leaving").await;
    wait_until(|| !events(&second, "upstream_leaving").is_empty()).await;
    assert_eq!(events(&second, "upstream_leaving")[0]["told_by"], "first");
    assert_gets_no_requests(&a, &second).await;
}

/// Guards against a prompt that is sent to an engine which has said, while its memory was being
/// reserved, that it is leaving.
#[tokio::test]
async fn a_plan_is_dropped_if_an_engine_says_in_the_meantime_that_it_leaves() {
    let catalog = FakeCatalog::new(long_prompt_table(1));
    let mut engines = Vec::new();
    for name in ["a", "b"] {
        let engine = ScriptedUpstream::start([ScriptStep::Events(3)]).await;
        catalog.list(name, "llm", engine.addr);
        engines.push(engine);
    }
    let host = TestHost::start("host", &catalog).await;
    let leaving = UpstreamNotices {
        leaving: Stated::Value(()),
        ..UpstreamNotices::default()
    };
    host.engine_client.set_notices(engines[0].addr, leaving);
    let pending = host.spawn_call(long_request());
    wait_until(|| !events(&host, "upstream_leaving").is_empty()).await;
    wait_until(|| host.engine_client.reserved_tokens() == 0).await;
    pending.abort();
    for engine in engines {
        assert!(engine.arrivals().is_empty(), "{:?}", engine.arrivals());
    }
}

/// The backoff that the upstreams below want.
const BACKOFF: Duration = Duration::from_millis(1_500);
const BACKOFF_LINE: &str = "test-backoff-ms: 1500\r\n";

/// Guards against requests to an upstream that has refused one and wants no more for a time. After
/// that time it gets requests again.
#[tokio::test]
async fn an_upstream_that_wants_no_requests_gets_none_for_that_time() {
    let (a, host) = host_with_two_upstreams(ScriptStep::Refuse).await;
    a.set_header_lines(BACKOFF_LINE);
    call_until_logged(&host, "upstream_backoff").await;
    let before = a.arrivals().len();
    let since = Instant::now();
    while since.elapsed() < BACKOFF * 3 / 4 {
        assert_eq!(call(&host).await, 200);
        sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(a.arrivals().len(), before);
    while a.arrivals().len() == before {
        call(&host).await;
    }
}

/// When all upstreams of a service want no requests, a call must not wait for its deadline, and
/// must be told when the first of them accepts requests again.
#[tokio::test]
async fn a_call_is_refused_at_once_while_all_upstreams_want_no_requests() {
    let (a, host) = host_with_one_upstream(ScriptStep::Refuse).await;
    a.set_header_lines(BACKOFF_LINE);
    call_until_logged(&host, "upstream_backoff").await;
    let res = host.call(request("/safe/1")).await;
    assert_eq!(res.status(), 503);
    let retry_after: f64 = res.headers()["retry-after"]
        .to_str()
        .unwrap()
        .parse()
        .unwrap();
    assert!((0.3..=1.5).contains(&retry_after), "{retry_after}");
    assert_eq!(a.arrivals().len(), 1);
    flush_log(&host).await;
    let refused = events(&host, "refused");
    assert_eq!(refused.last().unwrap()["reason"], "upstream_backoff");
    assert!(refused.last().unwrap()["elapsed_ms"].as_u64() < Some(300));
}

/// Guards against a backoff that ends because a request that was sent before it is answered.
#[tokio::test]
async fn an_answer_does_not_end_a_backoff() {
    let catalog = FakeCatalog::new(table(1));
    let delay = Duration::from_millis(300);
    let script = [ScriptStep::RespondAfter(delay, "a"), ScriptStep::Refuse];
    let a = ScriptedUpstream::start(script).await;
    catalog.list("a", "app", a.addr);
    let host = TestHost::start("host", &catalog).await;
    a.set_header_lines("test-backoff-ms: 60000\r\n");
    let refused_meanwhile = async {
        wait_until(|| !a.arrivals().is_empty()).await;
        call(&host).await
    };
    let statuses = tokio::join!(call(&host), refused_meanwhile);
    assert_eq!(statuses, (200, 503));
    assert_eq!(call(&host).await, 503);
    assert_eq!(a.arrivals().len(), 2);
}

/// A call that can still be on time after the backoff of the only upstream must be served.
#[tokio::test]
async fn a_call_waits_for_a_backoff_that_ends_in_time() {
    let catalog = FakeCatalog::new(table(1));
    let script = [ScriptStep::Refuse, ScriptStep::Respond(200, "a")];
    let a = ScriptedUpstream::start(script).await;
    catalog.list("a", "app", a.addr);
    let host = TestHost::start("host", &catalog).await;
    a.set_header_lines("test-backoff-ms: 150\r\n");
    assert_eq!(call(&host).await, 503);
    assert_eq!(call(&host).await, 200);
    assert_eq!(a.arrivals().len(), 2);
}

/// Guards against requests for reports to an engine that wants no requests.
#[tokio::test]
async fn an_engine_that_wants_no_requests_is_not_polled() {
    let catalog = FakeCatalog::new(long_prompt_table(1));
    let mut engines = Vec::new();
    for name in ["a", "b"] {
        let script = [ScriptStep::EventsThenHang(1), ScriptStep::Refuse];
        let engine = ScriptedUpstream::start(script).await;
        catalog.list(name, "llm", engine.addr);
        engines.push(engine);
    }
    let host = TestHost::start("host", &catalog).await;
    let mut prompts = Vec::new();
    while engines.iter().any(|engine| engine.arrivals().is_empty()) {
        prompts.push(host.spawn_call(short_request()));
        sleep(Duration::from_millis(20)).await;
    }
    let polls = |engine: usize| host.engine_client.report_requests_of(engines[engine].addr);
    wait_until(|| polls(0) > 0 && polls(1) > 0).await;
    engines[0].set_header_lines("test-backoff-ms: 60000\r\n");
    while events(&host, "upstream_backoff").is_empty() {
        prompts.push(host.spawn_call(short_request()));
        sleep(Duration::from_millis(20)).await;
    }
    let (of_a, of_b) = (polls(0), polls(1));
    wait_until(|| polls(1) >= of_b + 3).await;
    assert!(
        polls(0) <= of_a + 1,
        "one more poll may have been under way"
    );
    for prompt in prompts {
        prompt.abort();
    }
}

/// A request with a short prompt on the route of long ones.
fn short_request() -> Request<Full<Bytes>> {
    let mut req = request("/long/1");
    let prompt = "5000".parse().unwrap();
    req.headers_mut().insert("test-prompt", prompt);
    req
}

/// Guards against a backoff that is taken for that of another upstream, which the refusal names as
/// its cause.
#[tokio::test]
async fn a_backoff_is_that_of_the_upstream_that_answers() {
    let (catalog, a, b) = catalog_with_two_upstreams(ScriptStep::Refuse).await;
    let host = TestHost::start("host", &catalog).await;
    let lines = format!("test-backoff-ms: 60000\r\ntest-at-fault: {}\r\n", b.addr);
    a.set_header_lines(&lines);
    call_until_logged(&host, "upstream_backoff").await;
    let named = |line: &Value| line["upstream"] == "b" && line["event"] == "upstream_fault";
    wait_until(|| host.log.lines().iter().any(named)).await;
    assert_gets_no_requests(&a, &host).await;
    assert_eq!(events(&host, "upstream_backoff").len(), 1);
}
