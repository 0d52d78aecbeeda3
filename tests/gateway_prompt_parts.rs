//! Requests that share parts of their prompts, one of which crashes upstreams.

mod gateway_world;

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
use yare::parameterized;

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
    before_the_head = { ScriptStep::Break, "unanswered", &[] },
    before_an_event = { ScriptStep::CrashOnPart("bad"), "begun", &["a", "bad"] },
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
