//! Forwarded calls over loopback: what callers receive and what upstreams see.

mod gateway_world;

use std::sync::Arc;
use std::time::Duration;

use banyanarch::gateway::ShutdownPhase;
use banyanarch::http::one_shot;
use banyanarch::routing::CallKind;
use banyanarch::routing::CustomerKeys;
use banyanarch::routing::RouteTable;
use banyanarch::units::Generation;
use bytes::Bytes;
use gateway_world::TestHost;
use gateway_world::catalog::FakeCatalog;
use gateway_world::conf;
use gateway_world::long_prompt_table;
use gateway_world::request;
use gateway_world::request_of;
use gateway_world::route;
use gateway_world::table;
use gateway_world::upstream::ScriptStep;
use gateway_world::upstream::ScriptedUpstream;
use gateway_world::upstream::event;
use gateway_world::wait_until;
use hyper::Response;
use indexmap::IndexMap;
use tokio::net::TcpStream;
use yare::parameterized;

/// A host with two upstreams of one service, `a` and `b`.
async fn host_with_two_upstreams(
    service: &str,
    a: ScriptStep,
    b: ScriptStep,
) -> (TestHost, ScriptedUpstream, ScriptedUpstream) {
    let catalog = FakeCatalog::new(table(1));
    let (a, b) = (
        ScriptedUpstream::start([a]).await,
        ScriptedUpstream::start([b]).await,
    );
    catalog.list("a", service, a.addr);
    catalog.list("b", service, b.addr);
    (TestHost::start("host", &catalog).await, a, b)
}

/// A host with one upstream `a` of one service, and its catalog.
async fn host_with_one_upstream(
    service: &str,
    step: ScriptStep,
) -> (TestHost, ScriptedUpstream, Arc<FakeCatalog>) {
    let catalog = FakeCatalog::new(table(1));
    let upstream = ScriptedUpstream::start([step]).await;
    catalog.list("a", service, upstream.addr);
    (TestHost::start("host", &catalog).await, upstream, catalog)
}

fn status(res: &Response<Bytes>) -> u16 {
    res.status().as_u16()
}

#[tokio::test]
async fn a_call_and_its_answer_are_passed_through_untouched() {
    let (host, upstream, _) =
        host_with_one_upstream("app", ScriptStep::Respond(201, "answer")).await;
    let mut req = request("/safe/a%20b/c?x=1&y=%2F");
    req.headers_mut()
        .insert("own-header", "kept".parse().unwrap());
    let res = host.call(req).await;
    assert_eq!((status(&res), res.body().as_ref()), (201, &b"answer"[..]));
    assert!(res.headers().contains_key("test-signature"));
    let arrivals = upstream.arrivals();
    let [arrival] = arrivals.as_slice() else {
        panic!("expected one arrival: {arrivals:?}");
    };
    assert!(
        arrival
            .head
            .starts_with("POST /safe/a%20b/c?x=1&y=%2F HTTP/1.1\r\n")
    );
    assert_eq!(arrival.body, "question");
    assert_eq!(arrival.header("own-header"), Some("kept"));
    assert_eq!(arrival.header("host"), Some("app.example"));
    assert_eq!(arrival.header("test-customer"), Some("acme"));
    assert_eq!(arrival.header("test-upstream"), Some("a"));
    assert_eq!(arrival.header("test-key"), None);
}

#[tokio::test]
async fn calls_without_route_or_key_are_rejected() {
    let (host, upstream, _) =
        host_with_one_upstream("app", ScriptStep::Respond(200, "answer")).await;
    assert_eq!(status(&host.call(request("/none/1")).await), 404);
    assert_eq!(
        status(&host.call(request_of("key-9", "/safe/1")).await),
        401
    );
    assert!(upstream.arrivals().is_empty());
}

#[tokio::test]
async fn a_host_without_a_manifest_refuses_calls_and_is_not_ready() {
    let host = TestHost::start("host", &Arc::new(FakeCatalog::default())).await;
    let res = host.call(request("/safe/1")).await;
    assert_eq!(status(&res), 503);
    assert!(res.headers().contains_key("retry-after"));
    assert_eq!(host.readiness().await, 503);
}

/// Failure: a licence grant is invoiced twice. The first instance runs the call, the response is
/// lost, and the call is sent again and runs a second time.
#[tokio::test]
async fn a_call_that_may_have_run_and_must_not_repeat_is_not_sent_again() {
    let (host, a, b) = host_with_two_upstreams("app", ScriptStep::Break, ScriptStep::Break).await;
    let res = host.call(request("/once/1")).await;
    assert_eq!(
        status(&res),
        502,
        "the status must not state that the call did not run"
    );
    assert_eq!(a.arrivals().len() + b.arrivals().len(), 1);
}

#[tokio::test]
async fn a_refused_call_is_sent_to_another_upstream() {
    let (host, a, b) =
        host_with_two_upstreams("app", ScriptStep::Refuse, ScriptStep::Respond(200, "ok")).await;
    for _ in 0..4 {
        assert_eq!(status(&host.call(request("/once/1")).await), 200);
    }
    assert!(a.arrivals().len() <= 4 && b.arrivals().len() == 4);
}

#[tokio::test]
async fn a_call_that_all_upstreams_refuse_is_answered_as_not_run() {
    let (host, _, _) = host_with_two_upstreams("app", ScriptStep::Refuse, ScriptStep::Refuse).await;
    let res = host.call(request("/once/1")).await;
    assert_eq!(status(&res), 503);
    assert!(res.headers().contains_key("retry-after"));
    assert!(!res.headers().contains_key("test-signature"));
}

/// Failure: a licence grant is issued twice. Its route allows two upstreams, since the first may
/// refuse it. The first upstream runs the call and breaks the connection, and the call is sent
/// again.
#[tokio::test]
async fn a_call_that_may_run_once_is_not_sent_again_where_its_route_allows_more() {
    let mut routes = RouteTable::new(
        Generation(1),
        vec![route("once", CallKind::AtMostOnce, "app")],
    );
    routes.keys = table(1).keys;
    let catalog = FakeCatalog::new(routes);
    let (a, b) = (
        ScriptedUpstream::start([ScriptStep::Break]).await,
        ScriptedUpstream::start([ScriptStep::Break]).await,
    );
    catalog.list("a", "app", a.addr);
    catalog.list("b", "app", b.addr);
    let host = TestHost::start("host", &catalog).await;
    assert_eq!(status(&host.call(request("/once/1")).await), 502);
    assert_eq!(a.arrivals().len() + b.arrivals().len(), 1);
}

/// Failure: a caller asks why its call was refused, and the log has only the status and not the
/// state that the decision was based on: the number of upstreams, the hosts whose load was known,
/// and the age of the manifest.
#[tokio::test]
async fn a_refusal_is_logged_with_the_state_it_was_based_on() {
    let catalog = FakeCatalog::new(table(1));
    let host = TestHost::start("host", &catalog).await;
    let res = host.call(request("/safe/1")).await;
    assert_eq!(status(&res), 503);
    wait_until(|| {
        host.log
            .lines()
            .iter()
            .any(|line| line["event"] == "refused")
    })
    .await;
    let lines = host.log.lines();
    let refused = lines
        .iter()
        .find(|line| line["event"] == "refused")
        .unwrap();
    assert_eq!(refused["request"], "r-1");
    assert_eq!(refused["reason"], "no_upstream");
    assert_eq!(refused["upstreams"], 0);
    assert_eq!(refused["hosts_heard"], 0);
    assert_eq!(refused["retry_after_ms"], 1_000);
    assert!(refused["manifest_age_ms"].is_u64(), "{refused}");
}

#[tokio::test]
async fn an_idempotent_call_is_sent_to_as_many_upstreams_as_its_route_allows() {
    let (host, a, b) = host_with_two_upstreams("app", ScriptStep::Break, ScriptStep::Break).await;
    assert_eq!(status(&host.call(request("/safe/1")).await), 502);
    assert_eq!((a.arrivals().len(), b.arrivals().len()), (1, 1));
}

#[parameterized(
    broken = { ScriptStep::Break },
    cut_short = { ScriptStep::Truncate },
    unsigned = { ScriptStep::Unsigned(200, "rot") },
    other_request = { ScriptStep::RespondToOther },
    unsigned_failure = { ScriptStep::Unsigned(503, "") },
    failed = { ScriptStep::Respond(500, "failed") },
)]
fn an_invalid_or_incomplete_response_does_not_reach_the_caller(step: ScriptStep) {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    runtime.block_on(async {
        let (host, _, b) =
            host_with_two_upstreams("app", step, ScriptStep::Respond(200, "right")).await;
        for _ in 0..4 {
            let res = host.call(request("/safe/1")).await;
            assert_eq!((status(&res), res.body().as_ref()), (200, &b"right"[..]));
        }
        assert_eq!(b.arrivals().len(), 4);
    });
}

#[tokio::test]
async fn an_upstreams_failure_reaches_the_caller_as_it_is() {
    let (host, _, _) = host_with_two_upstreams(
        "app",
        ScriptStep::Respond(500, "why"),
        ScriptStep::Respond(500, "why"),
    )
    .await;
    let res = host.call(request("/safe/1")).await;
    assert_eq!((status(&res), res.body().as_ref()), (500, &b"why"[..]));
    assert!(res.headers().contains_key("test-signature"));
}

/// Failure: a caller receives the same words twice. An engine died in the middle of an event, the
/// first half of the event was forwarded, and the next engine sent the whole event again.
#[tokio::test]
async fn a_stream_that_breaks_goes_on_at_another_engine_after_the_last_whole_event() {
    let catalog = FakeCatalog::new(table(1));
    let script = [ScriptStep::EventsThenBreak(3), ScriptStep::Events(6)];
    // Both upstreams have the same script, so it does not matter which one is chosen first.
    let a = ScriptedUpstream::start(script.clone()).await;
    let b = ScriptedUpstream::start(script).await;
    catalog.list("a", "app", a.addr);
    catalog.list("b", "app", b.addr);
    let host = TestHost::start("host", &catalog).await;
    // At least one of the calls meets an engine that breaks off and one that resumes.
    let mut resumed = 0;
    for _ in 0..3 {
        let Ok(res) = host.try_call(request("/stream/1")).await else {
            continue;
        };
        let expected: String = (1..=6).map(event).collect();
        assert_eq!(String::from_utf8_lossy(res.body()), expected);
        let arrivals = [a.arrivals(), b.arrivals()].concat();
        resumed += arrivals
            .iter()
            .filter(|arrival| arrival.header("test-after") == Some("3"))
            .count();
    }
    assert!(resumed > 0, "no stream was resumed on another engine");
}

#[tokio::test]
async fn a_stream_that_cannot_be_resumed_is_cut_and_does_not_look_complete() {
    let (host, a, b) = host_with_two_upstreams(
        "app",
        ScriptStep::EventsThenBreak(3),
        ScriptStep::EventsThenBreak(3),
    )
    .await;
    let cut = host.try_call(request("/fixed/1")).await;
    assert!(cut.is_err(), "{cut:?}");
    assert_eq!(a.arrivals().len() + b.arrivals().len(), 1);
}

#[tokio::test]
async fn a_silent_engine_is_replaced_by_another() {
    let (host, a, b) =
        host_with_two_upstreams("app", ScriptStep::EventsThenHang(2), ScriptStep::Events(4)).await;
    for _ in 0..3 {
        let res = host.call(request("/stream/1")).await;
        let expected: String = (1..=4).map(event).collect();
        assert_eq!(String::from_utf8_lossy(res.body()), expected);
    }
    // The engine may see that its connection is closed later than the caller has its answer.
    wait_until(|| a.early_disconnects() == a.arrivals().len()).await;
    assert_eq!(b.arrivals().len(), 3);
}

/// Failure: an engine works for a caller who has disconnected, and is busy until the deadline,
/// because the host does not watch the connection of the caller while it waits.
#[tokio::test]
async fn the_upstream_connection_is_closed_when_the_caller_disconnects() {
    let (host, upstream, _) = host_with_one_upstream("app", ScriptStep::Hang).await;
    let call = tokio::time::timeout(Duration::from_millis(300), host.call(request("/once/1")));
    assert!(call.await.is_err());
    wait_until(|| upstream.early_disconnects() == 1).await;
    wait_until(|| host.gateway.in_flight() == 0).await;
}

#[tokio::test]
async fn a_call_has_its_final_answer_when_its_time_is_up() {
    let (host, upstream, _) = host_with_one_upstream("app", ScriptStep::Hang).await;
    let mut req = request("/once/1");
    req.headers_mut()
        .insert("test-deadline-ms", "400".parse().unwrap());
    let res = host.call(req).await;
    assert_eq!(status(&res), 504);
    wait_until(|| upstream.early_disconnects() == 1).await;
    let arrivals = upstream.arrivals();
    let left_ms: u64 = arrivals[0].header("test-left-ms").unwrap().parse().unwrap();
    assert!(
        left_ms <= 400,
        "the upstream must not get more time than the caller gave: {left_ms}"
    );
}

#[tokio::test]
async fn an_upstream_that_leaves_gets_no_new_calls() {
    let catalog = FakeCatalog::new(table(1));
    let leaving = ScriptedUpstream::start([ScriptStep::Respond(200, "a")]).await;
    let staying = ScriptedUpstream::start([ScriptStep::Respond(200, "b")]).await;
    catalog.list("a", "app", leaving.addr);
    catalog.list("b", "app", staying.addr);
    let host = TestHost::start("host", &catalog).await;
    catalog.mark_leaving("a");
    wait_until(|| !host.gateway.platform_view.is_usable(&"a".parse().unwrap())).await;
    let before = leaving.arrivals().len();
    for _ in 0..6 {
        assert_eq!(status(&host.call(request("/safe/1")).await), 200);
    }
    assert_eq!(leaving.arrivals().len(), before);
}

/// Failure: a customer's key was stolen and revoked. One host cannot reach the platform, does not
/// learn of the revocation, and goes on serving the thief.
#[tokio::test]
async fn a_host_that_cannot_renew_its_key_lease_serves_no_calls_with_keys() {
    let catalog = FakeCatalog::new(table(1));
    let upstream = ScriptedUpstream::start([ScriptStep::Respond(200, "ok")]).await;
    catalog.list("a", "app", upstream.addr);
    let mut conf = conf("host");
    conf.key_lease = Some(Duration::from_millis(1_500));
    let host = TestHost::start_with(conf, &catalog).await;
    assert_eq!(status(&host.call(request("/safe/1")).await), 200);
    catalog.set_unreachable(true);
    wait_until(|| !host.gateway.is_ready()).await;
    let arrived = upstream.arrivals().len();
    assert_eq!(status(&host.call(request("/safe/1")).await), 503);
    assert_eq!(upstream.arrivals().len(), arrived);
    catalog.set_unreachable(false);
    wait_until(|| host.gateway.is_ready()).await;
    assert_eq!(status(&host.call(request("/safe/1")).await), 200);
}

#[tokio::test]
async fn a_revoked_key_stops_working() {
    let (host, _, catalog) = host_with_one_upstream("app", ScriptStep::Respond(200, "ok")).await;
    assert_eq!(
        status(&host.call(request_of("key-2", "/safe/1")).await),
        200
    );
    let mut next = table(2);
    let keys = IndexMap::from([("key-1".to_owned(), "acme".parse().unwrap())]);
    next.keys = CustomerKeys::required(keys);
    catalog.publish(next);
    let in_force = || host.gateway.platform_view.routes().unwrap().generation.0 == 2;
    wait_until(in_force).await;
    assert_eq!(
        status(&host.call(request_of("key-2", "/safe/1")).await),
        401
    );
    assert_eq!(status(&host.call(request("/safe/1")).await), 200);
}

#[tokio::test]
async fn an_older_manifest_never_replaces_a_newer_one() {
    let (host, _, catalog) = host_with_one_upstream("app", ScriptStep::Respond(200, "ok")).await;
    catalog.publish(table(7));
    wait_until(|| host.gateway.platform_view.routes().unwrap().generation.0 == 7).await;
    catalog.publish(table(3));
    let reads = catalog.reads();
    wait_until(|| catalog.reads() >= reads + 2).await;
    assert_eq!(host.gateway.platform_view.routes().unwrap().generation.0, 7);
}

/// Failure: a host is replaced while a caller waits for its response. The process exits before the
/// request ends, and the connection of the caller breaks.
#[tokio::test]
async fn a_stopping_host_finishes_what_runs_and_closes_after_each_answer() {
    let (host, _, _) = host_with_one_upstream(
        "app",
        ScriptStep::RespondAfter(Duration::from_secs(4), "late"),
    )
    .await;
    let running = host.spawn_call(request("/once/1"));
    wait_until(|| host.gateway.in_flight() == 1).await;
    host.gateway.begin_shutdown();
    assert_eq!(host.readiness().await, 503);
    let rejected = host.call(request("/none/1")).await;
    assert_eq!(
        status(&rejected),
        404,
        "requests are still served while draining"
    );
    assert_eq!(rejected.headers().get("connection").unwrap(), "close");
    let res = running.await.unwrap().unwrap();
    assert_eq!(res.body().as_ref(), b"late");
    host.serving.await.unwrap();
}

/// Failure: a caller whose request reached a stopping host late receives half of a long response,
/// because the process is killed before the response ends. The balancer still sent connections to
/// the host since too few other hosts were in rotation.
#[tokio::test]
async fn a_host_that_is_about_to_exit_refuses_new_calls_as_not_run() {
    let (host, upstream, _) = host_with_one_upstream(
        "app",
        ScriptStep::RespondAfter(Duration::from_secs(5), "late"),
    )
    .await;
    let running = host.spawn_call(request("/once/1"));
    wait_until(|| host.gateway.in_flight() == 1).await;
    host.gateway.begin_shutdown();
    wait_until(|| host.gateway.phase() == ShutdownPhase::Refusing).await;
    let res = host.call(request("/once/1")).await;
    assert_eq!(status(&res), 503);
    assert!(res.headers().contains_key("retry-after"));
    assert_eq!(status(&running.await.unwrap().unwrap()), 200);
    assert_eq!(upstream.arrivals().len(), 1);
}

/// Failure: a connection that comes in the moment in which a host begins to refuse calls is closed as
/// idle before its request has arrived.
#[tokio::test]
async fn a_connection_that_comes_as_a_host_begins_to_refuse_is_answered() {
    let step = ScriptStep::RespondAfter(Duration::from_secs(5), "late");
    let (host, _, _) = host_with_one_upstream("app", step).await;
    let running = host.spawn_call(request("/once/1"));
    wait_until(|| host.gateway.in_flight() == 1).await;
    host.gateway.begin_shutdown();
    wait_until(|| host.gateway.phase() == ShutdownPhase::Refusing).await;
    let stream = TcpStream::connect(host.callers).await.unwrap();
    // Longer than the host takes to act on the change of the phase.
    tokio::time::sleep(Duration::from_millis(400)).await;
    let res = one_shot::send_on(Box::new(stream), request("/once/1")).await;
    assert_eq!(res.unwrap().status().as_u16(), 503);
    running.abort();
}

#[tokio::test]
async fn every_line_of_the_decision_log_is_json_and_tells_how_a_request_ended() {
    let (host, _, _) = host_with_two_upstreams("app", ScriptStep::Refuse, ScriptStep::Refuse).await;
    assert_eq!(status(&host.call(request("/once/1")).await), 503);
    let ended = || {
        let lines = host.log.lines();
        let mut ended = lines.into_iter().filter(|line| line["event"] == "ended");
        ended.find(|line| line["request"] == "r-1")
    };
    wait_until(|| ended().is_some()).await;
    let line = ended().unwrap();
    assert_eq!(line["outcome"], "no_upstream");
    assert_eq!(line["status"], 503);
    assert_eq!(line["customer"], "acme");
    let faults = host.log.lines();
    let faults = faults
        .iter()
        .filter(|line| line["event"] == "upstream_fault");
    assert_eq!(faults.count(), 2);
}

/// Guards against a call whose connection is closed without a response because the process ends
/// while the call still waits for an upstream: it has not run, and another host can serve it.
#[tokio::test]
async fn a_call_that_still_waits_is_refused_before_the_host_exits() {
    let catalog = FakeCatalog::new(long_prompt_table(1));
    let upstream = ScriptedUpstream::start([ScriptStep::Refuse]).await;
    upstream.set_header_lines("test-backoff-ms: 20000\r\n");
    catalog.list("a", "llm", upstream.addr);
    let mut conf = conf("host");
    conf.stop_grace = Duration::from_secs(3);
    let host = TestHost::start_with(conf, &catalog).await;
    assert_eq!(status(&host.call(request("/long/1")).await), 503);
    let waiting = host.spawn_call(request("/long/1"));
    wait_until(|| host.gateway.in_flight() == 1).await;
    host.gateway.begin_shutdown();
    let res = waiting.await.unwrap().expect("the call is answered");
    assert_eq!(status(&res), 503);
    assert!(res.headers().contains_key("retry-after"));
    assert_eq!(res.body().as_ref(), b"stopping\n");
    assert_eq!(upstream.arrivals().len(), 1);
}
