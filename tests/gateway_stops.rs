//! Calls that run while their host is asked to stop.

mod gateway_world;

use std::time::Duration;
use std::time::Instant;

use banyanarch::gateway::ShutdownPhase;
use gateway_world::TestHost;
use gateway_world::catalog::FakeCatalog;
use gateway_world::conf;
use gateway_world::request;
use gateway_world::table;
use gateway_world::upstream::ScriptStep;
use gateway_world::upstream::ScriptedUpstream;
use gateway_world::wait_until;
use yare::parameterized;

/// A host that is killed this long after it was asked to stop, with one upstream that answers late.
async fn stopping_world(grace: Duration, answers_after: Duration) -> (TestHost, ScriptedUpstream) {
    let catalog = FakeCatalog::new(table(1));
    let step = ScriptStep::RespondAfter(answers_after, "late");
    let upstream = ScriptedUpstream::start([step]).await;
    catalog.list("a", "app", upstream.addr);
    let mut conf = conf("host");
    conf.stop_grace = grace;
    (TestHost::start_with(conf, &catalog).await, upstream)
}

/// Guards against a call whose connection is closed without any answer as its host exits, so that its
/// caller cannot know whether it has run.
#[parameterized(
    not_repeatable = { "/once/1" },
    repeatable = { "/safe/1" },
)]
#[test_macro(tokio::test)]
async fn a_call_that_runs_until_the_host_exits_is_answered(path: &str) {
    let grace = Duration::from_secs(2);
    let (host, upstream) = stopping_world(grace, Duration::from_secs(6)).await;
    let running = host.spawn_call(request(path));
    wait_until(|| !upstream.arrivals().is_empty()).await;
    host.gateway.begin_shutdown();
    let res = running.await.unwrap().expect("the call is answered");
    assert_eq!(res.status(), 502);
    assert_eq!(res.body(), "unknown\n");
    host.serving.await.unwrap();
}

/// Guards against calls that are cut in a short grace period although their upstreams answer before most
/// of it is over, and against a process that is killed before it has exited.
#[parameterized(
    usual_completing = { 8_000, 6_900, ShutdownPhase::Completing },
    usual_answering = { 8_000, 7_000, ShutdownPhase::Answering },
    usual_exit = { 8_000, 7_200, ShutdownPhase::Expired },
    short_completing = { 2_000, 1_300, ShutdownPhase::Completing },
    short_answering = { 2_000, 1_500, ShutdownPhase::Answering },
    short_exit = { 2_000, 1_700, ShutdownPhase::Expired },
    none = { 0, 0, ShutdownPhase::Expired },
)]
fn a_host_exits_late_in_its_grace_period(grace_ms: u64, elapsed_ms: u64, expected: ShutdownPhase) {
    let requested_at = Instant::now();
    let now = requested_at + Duration::from_millis(elapsed_ms);
    let grace = Duration::from_millis(grace_ms);
    assert_eq!(ShutdownPhase::at(Some(requested_at), grace, now), expected);
}

/// Guards against a call that a stopping host takes, and cuts, although calls like it have taken longer
/// than the host has left: it has not run, and another host can serve it.
#[tokio::test]
async fn a_stopping_host_refuses_calls_that_would_not_end_in_time() {
    let grace = Duration::from_secs(3);
    let (host, upstream) = stopping_world(grace, Duration::from_millis(2_000)).await;
    assert_eq!(host.call(request("/once/1")).await.status(), 200);
    host.gateway.begin_shutdown();
    tokio::time::sleep(Duration::from_millis(400)).await;
    let res = host.call(request("/once/2")).await;
    assert_eq!(res.status(), 503);
    assert!(res.headers().contains_key("retry-after"));
    assert_eq!(res.body(), "stopping\n");
    assert_eq!(upstream.arrivals().len(), 1);
}
