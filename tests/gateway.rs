//! Calls that are passed through: what callers get and what upstreams see, over loopback.

mod gateway_world;

use std::sync::Arc;
use std::time::Duration;

use banyanarch::gateway::DrainPhase;
use banyanarch::http::one_shot;
use banyanarch::routing::CallKind;
use banyanarch::routing::CustomerKeys;
use banyanarch::routing::RouteTable;
use banyanarch::units::Generation;
use bytes::Bytes;
use gateway_world::TestHost;
use gateway_world::catalog::FakeCatalog;
use gateway_world::conf;
use gateway_world::request;
use gateway_world::request_of;
use gateway_world::route;
use gateway_world::table;
use gateway_world::until;
use gateway_world::upstream::Act;
use gateway_world::upstream::Upstream;
use gateway_world::upstream::event;
use hyper::Response;
use indexmap::IndexMap;
use yare::parameterized;

/// A host before two upstreams of one service, `a` and `b`.
async fn two(service: &str, a: Act, b: Act) -> (TestHost, Upstream, Upstream) {
    let catalog = FakeCatalog::new(table(1));
    let (a, b) = (Upstream::start([a]).await, Upstream::start([b]).await);
    catalog.list("a", service, a.addr);
    catalog.list("b", service, b.addr);
    (TestHost::start("host", &catalog).await, a, b)
}

async fn one(service: &str, act: Act) -> (TestHost, Upstream, Arc<FakeCatalog>) {
    let catalog = FakeCatalog::new(table(1));
    let upstream = Upstream::start([act]).await;
    catalog.list("a", service, upstream.addr);
    (TestHost::start("host", &catalog).await, upstream, catalog)
}

fn status(res: &Response<Bytes>) -> u16 {
    res.status().as_u16()
}

#[tokio::test]
async fn a_call_and_its_answer_are_passed_through_untouched() {
    let (host, upstream, _) = one("app", Act::Answer(201, "answer")).await;
    let mut req = request("/safe/a%20b/c?x=1&y=%2F");
    req.headers_mut()
        .insert("own-header", "kept".parse().unwrap());
    let res = host.call(req).await;
    assert_eq!((status(&res), res.body().as_ref()), (201, &b"answer"[..]));
    assert!(res.headers().contains_key("test-signature"));
    let arrivals = upstream.arrivals();
    let [arrival] = arrivals.as_slice() else {
        panic!("one arrival: {arrivals:?}");
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
    let (host, upstream, _) = one("app", Act::Answer(200, "answer")).await;
    assert_eq!(status(&host.call(request("/none/1")).await), 404);
    assert_eq!(
        status(&host.call(request_of("key-9", "/safe/1")).await),
        401
    );
    assert!(upstream.arrivals().is_empty());
}

#[tokio::test]
async fn a_host_that_knows_no_manifest_turns_calls_away_and_is_not_ready() {
    let host = TestHost::start("host", &Arc::new(FakeCatalog::default())).await;
    let res = host.call(request("/safe/1")).await;
    assert_eq!(status(&res), 503);
    assert!(res.headers().contains_key("retry-after"));
    assert_eq!(host.readiness().await, 503);
}

/// A licence grant is invoiced twice. The first instance runs it and its answer is lost; sent again
/// it runs a second time.
#[tokio::test]
async fn a_call_that_may_have_run_and_must_not_repeat_is_not_sent_again() {
    let (host, a, b) = two("app", Act::Break, Act::Break).await;
    let res = host.call(request("/once/1")).await;
    assert_eq!(status(&res), 502, "no promise that it did not run");
    assert_eq!(a.arrivals().len() + b.arrivals().len(), 1);
}

#[tokio::test]
async fn a_call_that_was_turned_away_goes_to_another_upstream() {
    let (host, a, b) = two("app", Act::TurnAway, Act::Answer(200, "ok")).await;
    for _ in 0..4 {
        assert_eq!(status(&host.call(request("/once/1")).await), 200);
    }
    assert!(a.arrivals().len() <= 4 && b.arrivals().len() == 4);
}

#[tokio::test]
async fn a_call_that_all_turned_away_is_answered_as_not_run() {
    let (host, _, _) = two("app", Act::TurnAway, Act::TurnAway).await;
    let res = host.call(request("/once/1")).await;
    assert_eq!(status(&res), 503);
    assert!(res.headers().contains_key("retry-after"));
    assert!(!res.headers().contains_key("test-signature"));
}

/// A licence grant's route allows two upstreams, since the first may turn it away. The first one runs it
/// and breaks off; sent again, the grant is issued twice.
#[tokio::test]
async fn a_call_that_may_run_once_is_not_sent_again_where_its_route_allows_more() {
    let mut routes = RouteTable::new(
        Generation(1),
        vec![route("once", CallKind::AtMostOnce, "app")],
    );
    routes.keys = table(1).keys;
    let catalog = FakeCatalog::new(routes);
    let (a, b) = (
        Upstream::start([Act::Break]).await,
        Upstream::start([Act::Break]).await,
    );
    catalog.list("a", "app", a.addr);
    catalog.list("b", "app", b.addr);
    let host = TestHost::start("host", &catalog).await;
    assert_eq!(status(&host.call(request("/once/1")).await), 502);
    assert_eq!(a.arrivals().len() + b.arrivals().len(), 1);
}

/// A caller was turned away and asks why. The log has the status and nothing of what the host knew when
/// it decided: how many upstreams, whose work, how old a manifest.
#[tokio::test]
async fn a_refusal_is_logged_with_what_decided_it() {
    let catalog = FakeCatalog::new(table(1));
    let host = TestHost::start("host", &catalog).await;
    let res = host.call(request("/safe/1")).await;
    assert_eq!(status(&res), 503);
    until(|| {
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
    let (host, a, b) = two("app", Act::Break, Act::Break).await;
    assert_eq!(status(&host.call(request("/safe/1")).await), 502);
    assert_eq!((a.arrivals().len(), b.arrivals().len()), (1, 1));
}

#[parameterized(
    broken = { Act::Break },
    cut_short = { Act::CutShort },
    unsigned = { Act::Unsigned(200, "rot") },
    crossed = { Act::Crossed },
    unsigned_failure = { Act::Unsigned(503, "") },
    failed = { Act::Answer(500, "failed") },
)]
fn what_is_no_whole_answer_to_the_call_does_not_reach_its_caller(act: Act) {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    runtime.block_on(async {
        let (host, _, b) = two("app", act, Act::Answer(200, "right")).await;
        for _ in 0..4 {
            let res = host.call(request("/safe/1")).await;
            assert_eq!((status(&res), res.body().as_ref()), (200, &b"right"[..]));
        }
        assert_eq!(b.arrivals().len(), 4);
    });
}

#[tokio::test]
async fn an_upstreams_failure_reaches_the_caller_as_it_is() {
    let (host, _, _) = two("app", Act::Answer(500, "why"), Act::Answer(500, "why")).await;
    let res = host.call(request("/safe/1")).await;
    assert_eq!((status(&res), res.body().as_ref()), (500, &b"why"[..]));
    assert!(res.headers().contains_key("test-signature"));
}

/// A caller hears the same words twice. An engine died in the middle of an event, the first half was
/// passed on, and the next engine began the event again.
#[tokio::test]
async fn a_stream_that_breaks_goes_on_at_another_engine_after_the_last_whole_event() {
    let catalog = FakeCatalog::new(table(1));
    let script = [Act::EventsThenBreak(3), Act::Events(6)];
    // Both do the same, so that it does not matter which one is asked first.
    let a = Upstream::start(script.clone()).await;
    let b = Upstream::start(script).await;
    catalog.list("a", "app", a.addr);
    catalog.list("b", "app", b.addr);
    let host = TestHost::start("host", &catalog).await;
    // Of the two calls at least one meets an engine that breaks off and one that goes on.
    let mut went_on = 0;
    for _ in 0..3 {
        let Ok(res) = host.try_call(request("/stream/1")).await else {
            continue;
        };
        let expected: String = (1..=6).map(event).collect();
        assert_eq!(String::from_utf8_lossy(res.body()), expected);
        let arrivals = [a.arrivals(), b.arrivals()].concat();
        went_on += arrivals
            .iter()
            .filter(|arrival| arrival.header("test-after") == Some("3"))
            .count();
    }
    assert!(went_on > 0, "no stream went on elsewhere");
}

#[tokio::test]
async fn a_stream_that_cannot_be_resumed_is_cut_and_does_not_look_complete() {
    let (host, a, b) = two("app", Act::EventsThenBreak(3), Act::EventsThenBreak(3)).await;
    let cut = host.try_call(request("/fixed/1")).await;
    assert!(cut.is_err(), "{cut:?}");
    assert_eq!(a.arrivals().len() + b.arrivals().len(), 1);
}

#[tokio::test]
async fn an_engine_that_falls_silent_is_left_for_another() {
    let (host, a, b) = two("app", Act::EventsThenHang(2), Act::Events(4)).await;
    for _ in 0..3 {
        let res = host.call(request("/stream/1")).await;
        let expected: String = (1..=4).map(event).collect();
        assert_eq!(String::from_utf8_lossy(res.body()), expected);
    }
    assert_eq!(
        a.left_early(),
        a.arrivals().len(),
        "its connections were closed"
    );
    assert_eq!(b.arrivals().len(), 3);
}

/// An engine works for a caller who has hung up. The host does not look at the caller's connection
/// while it waits, and the engine is busy until the deadline.
#[tokio::test]
async fn when_a_caller_leaves_its_upstream_is_left_as_well() {
    let (host, upstream, _) = one("app", Act::Hang).await;
    let asked = tokio::time::timeout(Duration::from_millis(300), host.call(request("/once/1")));
    assert!(asked.await.is_err());
    until(|| upstream.left_early() == 1).await;
    until(|| host.gateway.in_flight() == 0).await;
}

#[tokio::test]
async fn a_call_has_its_final_answer_when_its_time_is_up() {
    let (host, upstream, _) = one("app", Act::Hang).await;
    let mut req = request("/once/1");
    req.headers_mut()
        .insert("test-deadline-ms", "400".parse().unwrap());
    let res = host.call(req).await;
    assert_eq!(status(&res), 504);
    until(|| upstream.left_early() == 1).await;
    let arrivals = upstream.arrivals();
    let left_ms: u64 = arrivals[0].header("test-left-ms").unwrap().parse().unwrap();
    assert!(
        left_ms <= 400,
        "no more time than the caller gave: {left_ms}"
    );
}

#[tokio::test]
async fn an_upstream_that_leaves_gets_no_new_calls() {
    let catalog = FakeCatalog::new(table(1));
    let leaving = Upstream::start([Act::Answer(200, "a")]).await;
    let staying = Upstream::start([Act::Answer(200, "b")]).await;
    catalog.list("a", "app", leaving.addr);
    catalog.list("b", "app", staying.addr);
    let host = TestHost::start("host", &catalog).await;
    catalog.leave("a");
    until(|| !host.gateway.platform_view.is_listed(&"a".parse().unwrap())).await;
    let before = leaving.arrivals().len();
    for _ in 0..6 {
        assert_eq!(status(&host.call(request("/safe/1")).await), 200);
    }
    assert_eq!(leaving.arrivals().len(), before);
}

/// A customer's key was stolen and taken back. One host can't reach the platform, does not hear of
/// it, and goes on serving the thief.
#[tokio::test]
async fn a_host_that_cannot_renew_its_knowledge_serves_no_keys() {
    let catalog = FakeCatalog::new(table(1));
    let upstream = Upstream::start([Act::Answer(200, "ok")]).await;
    catalog.list("a", "app", upstream.addr);
    let mut conf = conf("host");
    conf.key_lease = Some(Duration::from_millis(1_500));
    let host = TestHost::start_with(conf, &catalog).await;
    assert_eq!(status(&host.call(request("/safe/1")).await), 200);
    catalog.set_away(true);
    until(|| !host.gateway.is_ready()).await;
    let arrived = upstream.arrivals().len();
    assert_eq!(status(&host.call(request("/safe/1")).await), 503);
    assert_eq!(upstream.arrivals().len(), arrived);
    catalog.set_away(false);
    until(|| host.gateway.is_ready()).await;
    assert_eq!(status(&host.call(request("/safe/1")).await), 200);
}

#[tokio::test]
async fn a_key_that_was_taken_back_stops_working() {
    let (host, _, catalog) = one("app", Act::Answer(200, "ok")).await;
    assert_eq!(
        status(&host.call(request_of("key-2", "/safe/1")).await),
        200
    );
    let mut next = table(2);
    let keys = IndexMap::from([("key-1".to_owned(), "acme".parse().unwrap())]);
    next.keys = CustomerKeys::required(keys);
    catalog.publish(next);
    let in_force = || host.gateway.platform_view.routes().unwrap().generation.0 == 2;
    until(in_force).await;
    assert_eq!(
        status(&host.call(request_of("key-2", "/safe/1")).await),
        401
    );
    assert_eq!(status(&host.call(request("/safe/1")).await), 200);
}

#[tokio::test]
async fn an_older_manifest_never_replaces_a_newer_one() {
    let (host, _, catalog) = one("app", Act::Answer(200, "ok")).await;
    catalog.publish(table(7));
    until(|| host.gateway.platform_view.routes().unwrap().generation.0 == 7).await;
    catalog.publish(table(3));
    let reads = catalog.reads();
    until(|| catalog.reads() >= reads + 2).await;
    assert_eq!(host.gateway.platform_view.routes().unwrap().generation.0, 7);
}

/// A host is replaced while a caller waits for its answer. The process ends with the request, and
/// the caller's connection breaks.
#[tokio::test]
async fn a_stopping_host_finishes_what_runs_and_closes_after_each_answer() {
    let (host, _, _) = one("app", Act::AnswerAfter(Duration::from_secs(4), "late")).await;
    let callers = host.callers;
    let running = tokio::spawn(async move {
        let limit = Duration::from_secs(20);
        one_shot::call(callers, request("/once/1"), 1 << 20, limit).await
    });
    until(|| host.gateway.in_flight() == 1).await;
    host.gateway.begin_stop();
    assert_eq!(host.readiness().await, 503);
    let rejected = host.call(request("/none/1")).await;
    assert_eq!(status(&rejected), 404, "what still comes is served");
    assert_eq!(rejected.headers().get("connection").unwrap(), "close");
    let res = running.await.unwrap().unwrap();
    assert_eq!(res.body().as_ref(), b"late");
    host.serving.await.unwrap();
}

/// A caller whose request came to a stopping host late gets half of a long answer: the process was
/// killed before it could finish. The balancer went on sending connections to the host since too few
/// others were in rotation.
#[tokio::test]
async fn a_host_that_has_no_time_left_turns_new_calls_away_as_not_run() {
    let (host, upstream, _) = one("app", Act::AnswerAfter(Duration::from_secs(5), "late")).await;
    let callers = host.callers;
    let running = tokio::spawn(async move {
        let limit = Duration::from_secs(20);
        one_shot::call(callers, request("/once/1"), 1 << 20, limit).await
    });
    until(|| host.gateway.in_flight() == 1).await;
    host.gateway.begin_stop();
    until(|| host.gateway.phase() == DrainPhase::Finishing).await;
    let res = host.call(request("/once/1")).await;
    assert_eq!(status(&res), 503);
    assert!(res.headers().contains_key("retry-after"));
    assert_eq!(status(&running.await.unwrap().unwrap()), 200);
    assert_eq!(upstream.arrivals().len(), 1);
}

#[tokio::test]
async fn every_line_of_the_decision_log_is_json_and_tells_how_a_request_ended() {
    let (host, _, _) = two("app", Act::TurnAway, Act::TurnAway).await;
    assert_eq!(status(&host.call(request("/once/1")).await), 503);
    let ended = || {
        let lines = host.log.lines();
        let mut ended = lines.into_iter().filter(|line| line["event"] == "ended");
        ended.find(|line| line["request"] == "r-1")
    };
    until(|| ended().is_some()).await;
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
