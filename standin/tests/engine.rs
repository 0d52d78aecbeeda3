//! Tests of the fake engine through the client that hosts use.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use banyanarch::http::HttpClient;
use banyanarch::units::AttemptId;
use banyanarch::units::ContentHash;
use banyanarch::units::FencingNumber;
use banyanarch::units::Priority;
use banyanarch::upstream::Dispatch;
use banyanarch::upstream::EngineState;
use banyanarch::upstream::HttpUpstreamClient;
use banyanarch::upstream::Order;
use banyanarch::upstream::RequestBody;
use banyanarch::upstream::ResponseEvent;
use banyanarch::upstream::ResponseStream;
use banyanarch::upstream::UpstreamClient;
use banyanarch::upstream::UpstreamError;
use bytes::Bytes;
use futures_util::StreamExt;
use hyper::Method;
use serde_json::json;
use standin::answer;
use standin::caller::CallOutcome;
use standin::caller::CallerRequest;
use standin::caller::RequestKind;
use standin::caller::send;
use standin::engine::Engine;
use standin::engine::EngineFaults;
use standin::engine::EngineOptions;
use standin::engine::RunEnd;
use standin::http::call_json;
use yare::parameterized;

const MAX_TOKENS: u64 = 40;

fn new_request(number: u64, prompt_tokens: u64) -> CallerRequest {
    CallerRequest {
        number,
        arrival: Duration::ZERO,
        kind: RequestKind::Completion,
        customer: "default".to_owned(),
        prompt_tokens,
        prefix_group: number,
        prefix_tokens: 0,
        max_tokens: MAX_TOKENS,
        timeout: Duration::from_secs(10),
        repeatable: true,
        key: None,
    }
}

fn dispatch(attempt: u128, priority: u8, body: &Bytes) -> Dispatch {
    Dispatch {
        attempt: AttemptId(attempt),
        host: "entry-1".parse().unwrap(),
        method: "POST".to_owned(),
        path: "/v1/completions".to_owned(),
        content_type: Some("application/json".to_owned()),
        body: RequestBody {
            chunks: vec![body.clone()],
        },
        priority: Priority(priority),
        remaining: Duration::from_secs(10),
        gang: Vec::new(),
        is_model: true,
    }
}

fn client(engine: &Engine) -> HttpUpstreamClient {
    HttpUpstreamClient::new(HttpClient::new(engine.addr()))
}

async fn engine(options: EngineOptions) -> Engine {
    Engine::start(options).await.unwrap()
}

/// Reads an answer to its end and returns its text.
async fn read_text(mut stream: ResponseStream) -> Result<String, UpstreamError> {
    let mut text = String::new();
    while let Some(event) = stream.next().await {
        if let ResponseEvent::Tokens { text: piece, .. } = event? {
            text.push_str(&piece);
        }
    }
    Ok(text)
}

async fn wait_until(mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + Duration::from_secs(10);
    while !condition() {
        assert!(Instant::now() < deadline, "condition not met within 10 s");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Guards against an attempt that ends with its connection. A host disconnects after the first
/// tokens of an answer. Another host reads the rest by the attempt's id, and both parts together
/// are the expected answer to the body.
#[tokio::test]
async fn an_attempt_outlives_its_reader() {
    let engine = engine(EngineOptions::default()).await;
    let body = new_request(1, 500).body();
    let mut first = client(&engine).start(dispatch(7, 0, &body)).await.unwrap();
    let Some(Ok(ResponseEvent::Tokens { text, count, .. })) = first.next().await else {
        panic!("no tokens");
    };
    drop(first);
    let rest = client(&engine).resume(AttemptId(7), count).await.unwrap();
    let whole = text + &read_text(rest).await.unwrap();
    assert_eq!(whole, answer::full_text(ContentHash::of(&body), MAX_TOKENS));
    assert_eq!(engine.record()[0].end, Some(RunEnd::Completed));
}

/// A long prompt arrives first, then a short one of a better priority. The short prompt must be
/// prefilled between two chunks of the long one, and end first.
#[tokio::test]
async fn a_better_priority_is_served_first() {
    let engine = engine(EngineOptions::default()).await;
    let upstream = client(&engine);
    let (long, short) = (new_request(1, 100_000).body(), new_request(2, 500).body());
    let _long = upstream.start(dispatch(1, 1, &long)).await.unwrap();
    let _short = upstream.start(dispatch(2, 0, &short)).await.unwrap();
    wait_until(|| engine.record().iter().all(|run| run.end.is_some())).await;
    let ended: Vec<Option<u64>> = engine.record().iter().map(|run| run.ended_ms).collect();
    assert!(ended[1] < ended[0], "{ended:?}");
}

/// The memory of an engine is full: a second request waits in the engine, and a third finds the
/// queue full and is refused as not run. When the first is cancelled, its memory goes to the
/// second.
#[tokio::test]
async fn freed_memory_goes_to_waiting_attempts() {
    let options = EngineOptions {
        memory_tokens: 10_000,
        queue_max: 1,
        ..EngineOptions::default()
    };
    let engine = engine(options).await;
    engine.set_faults(EngineFaults {
        slow_factor: 20.0,
        ..EngineFaults::default()
    });
    let upstream = client(&engine);
    let body = new_request(1, 8_000).body();
    let _first = upstream.start(dispatch(1, 0, &body)).await.unwrap();
    wait_until(|| engine.free_tokens() < 10_000).await;
    let _second = upstream.start(dispatch(2, 0, &body)).await.unwrap();
    let third = upstream.start(dispatch(3, 0, &body)).await;
    let too_large = upstream
        .start(dispatch(4, 0, &new_request(1, 11_000).body()))
        .await;
    assert!(third.is_err_and(|e| e.did_not_run()));
    assert!(too_large.is_err_and(|e| e.did_not_run()));
    upstream.cancel(AttemptId(1)).await.unwrap();
    engine.set_faults(EngineFaults::default());
    wait_until(|| engine.record()[1].end == Some(RunEnd::Completed)).await;
    assert_eq!(engine.free_tokens(), 10_000);
    assert_eq!(engine.record().len(), 2);
}

/// A host reserves memory for a gang and does not return. The reservation must expire.
#[tokio::test]
async fn a_reservation_expires() {
    let engine = engine(EngineOptions::default()).await;
    let hold = json!({"tokens": 150_000, "hold_ms": 50, "host": "entry-1"});
    let path = "/v1/gang/00000000000000000000000000000009";
    call_json(engine.addr(), Method::POST, path, &hold)
        .await
        .unwrap();
    let refused = call_json(engine.addr(), Method::POST, "/v1/gang/other", &hold).await;
    assert!(refused.is_err(), "the memory was reserved twice");
    wait_until(|| engine.free_tokens() == 200_000).await;
}

/// A host whose lease has expired sends an order after its successor did. An engine that checks
/// fencing numbers must refuse the order; one that does not applies it and ends up in the old
/// state.
#[parameterized(
    checked = { true, "new" },
    ignored = { false, "old" },
)]
#[test_macro(tokio::test)]
async fn orders_with_outdated_fencing_numbers(checks_fencing: bool, version: &str) {
    let options = EngineOptions {
        checks_fencing,
        ..EngineOptions::default()
    };
    let engine = engine(options).await;
    let order = |fencing, version: &str| Order {
        fencing: FencingNumber(fencing),
        state: EngineState {
            version: version.to_owned(),
            ..EngineOptions::default().state
        },
    };
    client(&engine).order(order(2, "new")).await.unwrap();
    let late = client(&engine).order(order(1, "old")).await;
    assert_eq!(late.is_err(), checks_fencing);
    assert_eq!(client(&engine).state().await.unwrap().version, version);
}

/// A caller of an engine with a fault must be able to distinguish an answer that is cut, one that
/// ends early as if it were whole, one that belongs to another request, and no answer.
#[parameterized(
    cut = { EngineFaults { cut_one_in: 1, ..EngineFaults::default() }, "cut" },
    short = { EngineFaults { short_one_in: 1, ..EngineFaults::default() }, "cut" },
    crossed = { EngineFaults { cross_answers: true, ..EngineFaults::default() }, "wrong" },
    failed = { EngineFaults { fail_one_in: 1, ..EngineFaults::default() }, "may have run" },
    poison = { EngineFaults { crash_marker: Some("verse".into()), ..EngineFaults::default() }, "cut" },
    none = { EngineFaults::default(), "completed" },
)]
#[test_macro(tokio::test)]
async fn faults_are_visible_to_callers(faults: EngineFaults, expected: &str) {
    let engine = engine(EngineOptions::default()).await;
    engine.set_faults(faults);
    assert_eq!(send_outcome(engine.addr()).await, expected);
    assert_eq!(engine.record().len(), 1);
}

async fn send_outcome(addr: SocketAddr) -> &'static str {
    let request = new_request(1, 500);
    match send(addr, &request, request.body(), Instant::now())
        .await
        .outcome
    {
        CallOutcome::Completed => "completed",
        CallOutcome::Wrong(_) => "wrong",
        CallOutcome::NotRun { .. } => "not run",
        CallOutcome::MayHaveRun(_) => "may have run",
        CallOutcome::Cut(_) => "cut",
    }
}

/// Two prompts share their first 16 KiB. The second is prefilled from there on, and cache events
/// report the shared segments. After export and import the prefix is also cached on another engine.
#[tokio::test]
async fn a_shared_prefix_is_cached() {
    let options = EngineOptions {
        cache_event_lag_ms: 0,
        cache_event_gap_one_in: 0,
        ..EngineOptions::default()
    };
    let engine = engine(options).await;
    let grouped_request = |number| CallerRequest {
        prefix_group: 3,
        prefix_tokens: 5_000,
        ..new_request(number, 6_000)
    };
    for number in [1, 2] {
        let body = grouped_request(number).body();
        let stream = client(&engine)
            .start(dispatch(number.into(), 0, &body))
            .await;
        read_text(stream.unwrap()).await.unwrap();
    }
    let prefilled: Vec<u64> = engine
        .record()
        .iter()
        .map(|run| run.prefilled_tokens)
        .collect();
    assert_eq!(prefilled, [6_000, 6_000 - 4_096]);
    let events = client(&engine).cache_events(0).await.unwrap();
    assert_eq!(events.len(), 2);
    let kv = client(&engine).export_kv(events[1].prefix).await.unwrap();
    let other = self::engine(EngineOptions::default()).await;
    client(&other)
        .import_kv(events[1].prefix, kv)
        .await
        .unwrap();
    let body = grouped_request(3).body();
    let stream = client(&other).start(dispatch(3, 0, &body)).await.unwrap();
    read_text(stream).await.unwrap();
    assert_eq!(other.record()[0].prefilled_tokens, 6_000 - 4_096);
}
