//! Requests that share parts of their prompts, one of which crashes upstreams.

mod gateway_world;

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use gateway_world::TestHost;
use gateway_world::catalog::FakeCatalog;
use gateway_world::request;
use gateway_world::table;
use gateway_world::upstream::ScriptStep;
use gateway_world::upstream::ScriptedUpstream;
use gateway_world::wait_until;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use yare::parameterized;

/// How long a host may go on sending requests with a part that crashes upstreams.
const REFUSED_WITHIN: Duration = Duration::from_secs(10);

/// How long an engine that has crashed is away.
const RESTARTED_AFTER: Duration = Duration::from_millis(1_500);

/// A request for a stream with these shared parts in its prompt.
fn request_with_parts(path: &str, parts: &str) -> Request<Full<Bytes>> {
    let mut req = request(path);
    req.headers_mut()
        .insert("test-parts", parts.parse().unwrap());
    req
}

/// Operators must be able to tell from logs which of the calls on an upstream that ended may have
/// crashed it, and which parts these have in common.
#[parameterized(
    before_the_head = { ScriptStep::Break, "unanswered", &["a", "bad"] },
    before_an_event = { ScriptStep::CrashOnPart("bad"), "begun", &["a", "bad"] },
    after_an_event = { ScriptStep::EventsThenBreak(1), "first_event", &["a", "bad"] },
    between_events = { ScriptStep::EventsThenBreak(2), "events", &["a", "bad"] },
)]
#[test_macro(tokio::test)]
async fn a_lost_call_is_logged_with_its_progress_and_parts(
    step: ScriptStep,
    answer: &str,
    parts: &[&str],
) {
    let catalog = FakeCatalog::new(table(1));
    let upstream = ScriptedUpstream::start([step]).await;
    catalog.list("u", "llm", upstream.addr);
    let host = TestHost::start("host", &catalog).await;
    let _ = host.try_call(request_with_parts("/model/1", "a,bad")).await;
    let fault = || {
        let lines = host.log.lines().into_iter();
        let mut lost = lines.filter(|line| line["event"] == "upstream_fault");
        lost.find(|line| line["fault"].as_str().unwrap().starts_with("broken"))
    };
    wait_until(|| fault().is_some()).await;
    let line = fault().unwrap();
    assert_eq!(line["answer"], answer);
    let logged = line["shared_parts"].as_array().cloned().unwrap_or_default();
    assert_eq!(logged, parts);
}

/// Three hosts, and engines that end when they begin an answer on the part `bad`.
async fn hosts_with_engines_that_crash() -> (Arc<FakeCatalog>, Vec<TestHost>, Vec<ScriptedUpstream>)
{
    hosts_with_engines(ScriptStep::CrashOnPart("bad")).await
}

/// Three hosts, and engines that handle each request like this.
async fn hosts_with_engines(
    step: ScriptStep,
) -> (Arc<FakeCatalog>, Vec<TestHost>, Vec<ScriptedUpstream>) {
    let catalog = FakeCatalog::new(table(1));
    let mut engines = Vec::new();
    for index in 0..12 {
        let engine = ScriptedUpstream::start([step.clone()]).await;
        catalog.list(&format!("engine-{index}"), "llm", engine.addr);
        engines.push(engine);
    }
    tokio::spawn(restart_engines(Arc::clone(&catalog), engines.clone()));
    let mut hosts = Vec::new();
    for name in ["first", "second", "third"] {
        hosts.push(TestHost::start(name, &catalog).await);
    }
    for host in &hosts {
        host.wait_for_hosts(hosts.len()).await;
    }
    (catalog, hosts, engines)
}

/// Starts engines that have crashed again after some time, as new instances under their old names.
async fn restart_engines(catalog: Arc<FakeCatalog>, engines: Vec<ScriptedUpstream>) {
    for restarts in 1.. {
        tokio::time::sleep(Duration::from_millis(50)).await;
        for (index, engine) in engines.iter().enumerate() {
            let crashed_at = engine.crashed_at();
            if crashed_at.is_some_and(|at| at.elapsed() >= RESTARTED_AFTER) {
                catalog.restart(&format!("engine-{index}"), restarts);
                engine.restart();
            }
        }
    }
}

/// The number of requests with the part `bad` that have reached engines.
fn bad_arrivals(engines: &[ScriptedUpstream]) -> usize {
    bad_arrival_times(engines).len()
}

/// When requests with the part `bad` have reached engines, engine by engine.
fn bad_arrival_times(engines: &[ScriptedUpstream]) -> Vec<Instant> {
    let arrivals = engines.iter().flat_map(ScriptedUpstream::arrivals);
    let bad = arrivals.filter(|arrival| arrival.has_part("bad"));
    bad.map(|arrival| arrival.at).collect()
}

/// Whether a request was refused because of its parts, without having run.
fn is_refused(res: &Response<Bytes>) -> bool {
    res.status() == 503 && res.body().as_ref() == b"poison_part\n"
}

/// Sends requests with these parts, no two alike, until the host refuses one without having sent it.
async fn call_until_refused(host: &TestHost, name: &str, parts: &str) {
    call_until_refused_at(host, "model", name, parts).await;
}

/// The same on a route.
async fn call_until_refused_at(host: &TestHost, route: &str, name: &str, parts: &str) {
    let calls = async {
        for index in 0.. {
            let req = request_with_parts(&format!("/{route}/{name}-{index}"), parts);
            let res = host.try_call(req).await;
            if res.is_ok_and(|res| is_refused(&res)) {
                return;
            }
        }
    };
    tokio::time::timeout(REFUSED_WITHIN, calls)
        .await
        .unwrap_or_else(|_| panic!("host {name} goes on sending requests with the part"));
}

/// Guards against requests that share a part which crashes upstreams, and nothing else: each is a new
/// one, at any host, and one upstream after another ends.
#[parameterized(
    after_a_common_part = { "a,bad" },
    before_a_common_part = { "bad,a" },
    alone = { "bad" },
)]
#[test_macro(tokio::test)]
async fn requests_with_a_part_that_crashes_upstreams_are_refused_on_all_hosts(parts: &str) {
    let (catalog, mut hosts, engines) = hosts_with_engines_that_crash().await;
    for (index, host) in hosts.iter().enumerate() {
        call_until_refused(host, &index.to_string(), parts).await;
    }
    let before = bad_arrivals(&engines);
    hosts.push(TestHost::start("late", &catalog).await);
    hosts[3].wait_for_hosts(hosts.len()).await;
    let late = &hosts[3].gateway;
    wait_until(|| {
        let quarantine = late.part_quarantine();
        quarantine.quarantined(late.clock.now()).count() > 0
    })
    .await;
    call_until_refused(&hosts[3], "late", parts).await;
    for (index, host) in hosts.iter().enumerate() {
        for other in ["a", "b", "c"] {
            let req =
                request_with_parts(&format!("/model/{index}-{other}"), &format!("bad,{other}"));
            assert!(is_refused(&host.call(req).await));
            let sound = request_with_parts(&format!("/model/{index}-{other}"), other);
            assert_eq!(host.call(sound).await.status(), 200);
        }
    }
    assert!(bad_arrivals(&engines) <= before + 3);
}

/// Guards against sound requests that are refused as if they crashed upstreams: they ran beside one
/// that did, several times, and had already received events.
#[tokio::test]
async fn requests_that_ran_beside_a_crash_are_not_refused() {
    let catalog = FakeCatalog::new(table(1));
    let lost = [2, 4, 2, 4, 2, 4];
    let breaks = lost.map(ScriptStep::EventsThenBreak).into_iter();
    let script = breaks.chain([ScriptStep::Events(6)]);
    let upstream = ScriptedUpstream::start(script).await;
    for id in ["a", "b", "c"] {
        catalog.list(id, "llm", upstream.addr);
    }
    let host = TestHost::start("host", &catalog).await;
    while upstream.arrivals().len() < lost.len() {
        let res = host.try_call(request("/model/1")).await;
        assert!(res.is_err(), "the stream is cut with all of its engines");
    }
    let res = host.call(request("/model/1")).await;
    assert_eq!(res.status(), 200);
}

/// Guards against a part that goes on crashing upstreams which answer in one piece: nothing of the
/// answer was received when they ended.
#[tokio::test]
async fn a_part_is_found_by_answers_in_one_piece_too() {
    let catalog = FakeCatalog::new(table(1));
    let upstream = ScriptedUpstream::start([ScriptStep::Break]).await;
    for id in ["a", "b", "c"] {
        catalog.list(id, "app", upstream.addr);
    }
    let host = TestHost::start("host", &catalog).await;
    call_until_refused_at(&host, "safe", "first", "bad").await;
    let arrived = upstream.arrivals().len();
    assert!(is_refused(
        &host.call(request_with_parts("/safe/2", "c,bad")).await
    ));
    assert_eq!(upstream.arrivals().len(), arrived);
    let sound = host.call(request_with_parts("/safe/3", "c")).await;
    assert_eq!(sound.status(), 502, "{sound:?}");
}

/// The number of crashes under a part after which requests with it must stop, how soon after the last
/// of them, and how many may still reach engines later.
const PART_CRASHES_MAX: usize = 5;
const STOPPED_WITHIN: Duration = Duration::from_secs(3);
const LATE_ARRIVALS_MAX: usize = 3;

/// How long requests with the part are sent, and the pause between two of one caller.
const CALLED_FOR: Duration = Duration::from_secs(6);
const CALL_PAUSE: Duration = Duration::from_millis(20);

/// Sends requests with these parts, no two alike, for some time. Returns how many there were, and how
/// many of them were refused because of their parts.
async fn call_for_a_while(host: &TestHost, name: &str, parts: &str) -> (usize, usize) {
    let until = Instant::now() + CALLED_FOR;
    let (mut calls, mut refused) = (0, 0);
    while Instant::now() < until {
        let req = request_with_parts(&format!("/model/{name}-{calls}"), parts);
        let res = host.try_call(req).await;
        calls += 1;
        refused += usize::from(res.is_ok_and(|res| is_refused(&res)));
        tokio::time::sleep(CALL_PAUSE).await;
    }
    (calls, refused)
}

/// Guards against requests that share a part which crashes upstreams and go on reaching them because
/// of how far the answers had come: not to their heads, or beyond some of their events.
#[parameterized(
    before_the_head = { 0 },
    after_an_event = { 1 },
    after_two_events = { 2 },
    after_many_events = { 8 },
)]
#[test_macro(tokio::test)]
async fn a_part_is_found_however_far_the_answers_of_crashed_engines_had_come(events: u32) {
    let step = ScriptStep::CrashOnPartAfter("bad", events);
    let (_catalog, hosts, engines) = hosts_with_engines(step).await;
    let [first, second, third] = &hosts[..] else {
        panic!("three hosts");
    };
    let (sound, other_sound, ..) = tokio::join!(
        call_for_a_while(first, "a", "common,a"),
        call_for_a_while(second, "b", "common,b"),
        call_for_a_while(second, "c", "common,bad"),
        call_for_a_while(third, "d", "common,bad"),
    );
    let mut arrived_at: Vec<Instant> = bad_arrival_times(&engines);
    arrived_at.sort();
    let stopped_at = arrived_at[PART_CRASHES_MAX - 1] + STOPPED_WITHIN;
    let late = arrived_at.iter().filter(|at| **at > stopped_at);
    assert!(late.count() <= LATE_ARRIVALS_MAX, "{arrived_at:?}");
    assert_eq!(
        (sound.1, other_sound.1),
        (0, 0),
        "of {sound:?} {other_sound:?}"
    );
}

/// Guards against a request that crashes upstreams and is passed on again and again because each of
/// them sent an event before it ended.
#[tokio::test]
async fn a_request_that_crashes_upstreams_after_an_event_is_refused() {
    let (_catalog, hosts, engines) =
        hosts_with_engines(ScriptStep::CrashOnPartAfter("bad", 1)).await;
    let calls = async {
        loop {
            let res = hosts[0]
                .try_call(request_with_parts("/model/1", "bad"))
                .await;
            let is_refused = |res: Response<Bytes>| res.body().starts_with(b"poison");
            if res.is_ok_and(is_refused) {
                return;
            }
        }
    };
    tokio::time::timeout(REFUSED_WITHIN, calls)
        .await
        .expect("the host refuses the request");
    assert!(bad_arrival_times(&engines).len() <= PART_CRASHES_MAX);
}

/// The number of crashes under one request after which it must stop.
const REQUEST_CRASHES_MAX: usize = 3;
/// How long the request is repeated, and the pause between two repeats.
const REPEATED_FOR: Duration = Duration::from_secs(8);
const REPEAT_PAUSE: Duration = Duration::from_millis(250);

/// Repeats the request that crashes upstreams for some time. Returns how often it was refused.
async fn repeat_for_a_while(host: &TestHost) -> usize {
    let until = Instant::now() + REPEATED_FOR;
    let mut refused = 0;
    while Instant::now() < until {
        let res = host.try_call(request_with_parts("/model/1", "bad")).await;
        refused += usize::from(res.is_ok_and(|res| res.body().starts_with(b"poison")));
        tokio::time::sleep(REPEAT_PAUSE).await;
    }
    refused
}

/// Guards against a request that crashes upstreams and is passed on again and again because each of
/// them sent several events before it ended.
#[parameterized(
    two_while_others_are_served = { 2, true },
    many_while_others_are_served = { 8, true },
    many_alone = { 8, false },
)]
#[test_macro(tokio::test)]
async fn a_request_that_crashes_upstreams_after_several_events_is_refused(
    events: u32,
    are_others_served: bool,
) {
    let step = ScriptStep::CrashOnPartAfter("bad", events);
    let (_catalog, hosts, engines) = hosts_with_engines(step).await;
    let others = async {
        if are_others_served {
            call_for_a_while(&hosts[1], "a", "common,a").await
        } else {
            (0, 0)
        }
    };
    let (refused, others) = tokio::join!(repeat_for_a_while(&hosts[0]), others);
    assert!(refused > 0, "the host refuses the request");
    assert_eq!(others.1, 0, "of {others:?}");
    let mut arrived_at = bad_arrival_times(&engines);
    arrived_at.sort();
    let stopped_at = arrived_at[REQUEST_CRASHES_MAX - 1] + STOPPED_WITHIN;
    let late = arrived_at.iter().filter(|at| **at > stopped_at);
    assert!(late.count() <= LATE_ARRIVALS_MAX, "{arrived_at:?}");
}
