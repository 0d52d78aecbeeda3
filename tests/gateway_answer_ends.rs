//! Answers and streams without a length, which end with their connection.

mod gateway_world;

use bytes::Bytes;
use gateway_world::TestHost;
use gateway_world::catalog::FakeCatalog;
use gateway_world::request;
use gateway_world::table;
use gateway_world::upstream::ScriptStep;
use gateway_world::upstream::ScriptedUpstream;
use gateway_world::upstream::event;
use hyper::Response;
use yare::parameterized;

/// Calls a host once. The first upstream of `service` that gets the call follows `first`, the other
/// one `second`. Returns the response, none if it was cut, and the number of calls that arrived.
async fn call(
    path: &str,
    service: &str,
    first: ScriptStep,
    second: ScriptStep,
) -> (Option<Response<Bytes>>, usize) {
    let catalog = FakeCatalog::new(table(1));
    // Both upstreams share one script, since either may be chosen first.
    let upstream = ScriptedUpstream::start([first, second]).await;
    catalog.list("a", service, upstream.addr);
    catalog.list("b", service, upstream.addr);
    let host = TestHost::start("host", &catalog).await;
    let res = host.try_call(request(path)).await.ok();
    (res, upstream.arrivals().len())
}

/// Guards against complete answers that are taken for broken ones because they have no length.
#[tokio::test]
async fn an_answer_that_ends_with_its_connection_is_complete() {
    let (first, second) = (ScriptStep::Unframed("whole"), ScriptStep::Break);
    let (res, arrivals) = call("/safe/1", "app", first, second).await;
    let res = res.unwrap();
    assert_eq!(
        (res.status().as_u16(), res.body().as_ref()),
        (200, &b"whole"[..])
    );
    assert_eq!(arrivals, 1);
}

/// Guards against half an answer that looks complete to the caller: a reset is no end.
#[parameterized(
    repeatable = { "/safe/1", Some(200), 2 },
    not_repeatable = { "/once/1", Some(502), 1 },
)]
#[test_macro(tokio::test)]
async fn an_answer_without_a_length_that_is_reset_is_not_complete(
    path: &str,
    status: Option<u16>,
    arrivals: usize,
) {
    let (first, second) = (
        ScriptStep::UnframedThenReset("hal"),
        ScriptStep::Respond(200, "whole"),
    );
    let (res, arrived) = call(path, "app", first, second).await;
    assert_eq!(res.as_ref().map(|res| res.status().as_u16()), status);
    assert!(res.is_none_or(|res| res.body().as_ref() != b"hal"));
    assert_eq!(arrived, arrivals);
}

/// Guards against a stream that is taken for complete although its connection closed inside an event
/// or before the first one.
#[parameterized(
    inside_an_event = { 3 },
    inside_the_first_event = { 0 },
)]
#[test_macro(tokio::test)]
async fn a_stream_that_ends_inside_an_event_goes_on_at_another_engine(events: u32) {
    let (first, second) = (ScriptStep::EventsThenEnd(events), ScriptStep::Events(6));
    let (res, arrivals) = call("/model/1", "llm", first, second).await;
    let expected: String = (1..=6).map(event).collect();
    assert_eq!(res.unwrap().body(), &expected);
    assert_eq!(arrivals, 2);
}

/// Guards against a stream that looks complete although its engine had written nothing of it, at the
/// first run or when the stream was resumed.
#[tokio::test]
async fn a_stream_without_an_event_goes_on_at_another_engine() {
    let (first, second) = (ScriptStep::Events(0), ScriptStep::Events(6));
    let (res, arrivals) = call("/model/1", "llm", first, second).await;
    let expected: String = (1..=6).map(event).collect();
    assert_eq!(res.unwrap().body(), &expected);
    assert_eq!(arrivals, 2);
}

#[tokio::test]
async fn a_stream_that_is_resumed_without_an_event_does_not_look_complete() {
    let (first, second) = (ScriptStep::EventsThenEnd(3), ScriptStep::Events(0));
    let (res, arrivals) = call("/model/1", "llm", first, second).await;
    assert!(res.is_none(), "the caller sees that the stream is cut");
    assert_eq!(arrivals, 2);
}

/// Guards against a stream that cannot be resumed and looks complete after a part of it.
#[parameterized(
    inside_an_event = { ScriptStep::EventsThenEnd(3) },
    before_an_event = { ScriptStep::Events(0) },
)]
#[test_macro(tokio::test)]
async fn a_stream_that_cannot_be_resumed_does_not_look_complete(step: ScriptStep) {
    let (res, arrivals) = call("/fixed/1", "app", step, ScriptStep::Events(6)).await;
    assert!(res.is_none(), "the caller sees that the stream is cut");
    assert_eq!(arrivals, 1);
}

/// Guards against a stream that is cut or repeated after its last event, since the connection has
/// closed.
#[tokio::test]
async fn a_stream_that_ends_with_its_connection_after_an_event_is_complete() {
    let (first, second) = (ScriptStep::Events(3), ScriptStep::Events(6));
    let (res, arrivals) = call("/model/1", "llm", first, second).await;
    let expected: String = (1..=3).map(event).collect();
    assert_eq!(res.unwrap().body(), &expected);
    assert_eq!(arrivals, 1);
}
