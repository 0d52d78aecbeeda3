//! End-to-end tests of the request path: callers, a host as a process of its own, and simulated
//! upstreams and platform.

mod site;

use banyanarch::units::ContentHash;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use yare::parameterized;

use site::TestSite;
use site::call;
use site::completion;
use site::completion_text;
use site::expected_answer;
use site::get;
use site::outcome;
use site::wait_until;

#[tokio::test]
async fn a_caller_gets_the_whole_answer_to_its_own_request() {
    let site = TestSite::with(2, 1).await;
    let body = completion("which verses are free to license?", 24, false);
    let res = call(site.hosts[0].callers_addr, "/v1/completions", &[], &body)
        .await
        .unwrap();
    assert_eq!(res.status(), 200);
    assert_eq!(outcome(&res), "completed");
    assert_eq!(completion_text(&res), expected_answer(&body, 24));
    assert_eq!(site.run_count(&body), 1);
}

#[tokio::test]
async fn a_streamed_answer_ends_with_the_done_event() {
    let site = TestSite::with(1, 1).await;
    let body = completion("stream this", 12, true);
    let res = call(site.hosts[0].callers_addr, "/v1/completions", &[], &body)
        .await
        .unwrap();
    let events = String::from_utf8(res.body().to_vec()).unwrap();
    assert!(events.ends_with("data: [DONE]\n\n"), "{events}");
    let texts = events
        .split("\"text\":\"")
        .skip(1)
        .filter_map(|rest| rest.split('"').next());
    assert_eq!(texts.collect::<String>(), expected_answer(&body, 12));
}

#[tokio::test]
async fn a_service_call_is_answered_and_explained() {
    let site = TestSite::with(1, 1).await;
    let host = &site.hosts[0];
    let headers = [("Banyanarch-Repeatable", "true")];
    let res = call(
        host.callers_addr,
        "/adhikar-app/quotes",
        &headers,
        "verse 7",
    )
    .await
    .unwrap();
    assert_eq!(
        (res.status().as_u16(), &res.body()[..]),
        (200, &b"verse 7"[..])
    );
    let id = res.headers()["banyanarch-request-id"]
        .to_str()
        .unwrap()
        .to_owned();
    // The caller has the whole answer before the host records its end.
    let path = format!("/explain/{id}");
    let page = async || {
        let page = get(host.status_addr, &path).await.unwrap();
        String::from_utf8(page.body().to_vec()).unwrap()
    };
    wait_until("the end of the request to be recorded", async || {
        page().await.contains("ended")
    })
    .await;
    let page = page().await;
    for step in ["received", "granted", "dispatched", "ended"] {
        assert!(page.contains(step), "step {step} is missing in {page}");
    }
    let metrics = get(host.status_addr, "/metrics").await.unwrap();
    let metrics = String::from_utf8(metrics.body().to_vec()).unwrap();
    assert!(metrics.contains("banyanarch_"), "{metrics}");
}

#[parameterized(
    no_json = { "/v1/completions", "hello", 400, "bad_request" },
    no_prompt = { "/v1/completions", r#"{"model":"geet-model"}"#, 400, "bad_request" },
    no_such_model = { "/v1/completions", r#"{"model":"x","prompt":"y"}"#, 404, "unknown_target" },
    no_such_service = { "/nothing/here", "", 404, "not_served" },
    too_long = { "/v1/completions", r#"{"model":"geet-model","prompt":"y","max_tokens":2000000}"#, 413, "body_too_large" },
)]
#[test_macro(tokio::test)]
async fn an_invalid_request_is_rejected_with_its_reason(
    path: &str,
    body: &str,
    status: u16,
    reason: &str,
) {
    let site = TestSite::with(1, 1).await;
    let res = call(site.hosts[0].callers_addr, path, &[], body)
        .await
        .unwrap();
    let text = String::from_utf8(res.body().to_vec()).unwrap();
    assert_eq!(res.status(), status, "{text}");
    assert_eq!(outcome(&res), "not-run");
    assert!(text.contains(reason), "{text}");
}

/// Guards against a parser error that affects more than its own connection. A port scanner, a
/// broken client or a misconfigured load balancer sends bytes that are not a valid request; other
/// callers must still be served.
#[parameterized(
    garbage = { &b"\x00\x01\x02\x03\xff\xfe garbage\r\n\r\n"[..] },
    partial_head = { &b"POST /v1/completions HTTP/1.1\r\nHost: x\r\n"[..] },
    partial_body = { &b"POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\nhalf"[..] },
    two_lengths = { &b"POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nhello"[..] },
    bad_length = { &b"POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: minus\r\n\r\n"[..] },
)]
#[test_macro(tokio::test)]
async fn malformed_bytes_close_only_their_own_connection(bytes: &[u8]) {
    let site = TestSite::with(1, 1).await;
    let host = &site.hosts[0];
    for port in [host.callers_addr, host.status_addr, host.peers_addr] {
        let mut stream = TcpStream::connect(port).await.unwrap();
        stream.write_all(bytes).await.unwrap();
        stream.shutdown().await.unwrap();
        let mut response = Vec::new();
        // The connection ends, with or without an error response.
        let _ = stream.read_to_end(&mut response).await;
        let response = String::from_utf8_lossy(&response);
        assert!(!response.starts_with("HTTP/1.1 2"), "{response}");
    }
    let res = host.complete("still there?", 2).await.unwrap();
    assert_eq!(res.status(), 200);
}

#[tokio::test]
async fn an_oversized_head_is_refused() {
    let site = TestSite::with(1, 1).await;
    let long = "x".repeat(100 << 10);
    let headers = [("X-Long", long.as_str())];
    let res = call(
        site.hosts[0].callers_addr,
        "/v1/completions",
        &headers,
        "{}",
    )
    .await;
    let refused = res.map_or(true, |res| res.status() == 431);
    assert!(refused);
    assert_eq!(
        site.hosts[0]
            .complete("still there?", 2)
            .await
            .unwrap()
            .status(),
        200
    );
}

#[tokio::test]
async fn a_prompt_of_a_million_tokens_arrives_unchanged() {
    let mut site = TestSite::start().await;
    for _ in 0..6 {
        let options = standin::engine::EngineOptions {
            prefill_tokens_per_second: 4_000_000.0,
            prefill_chunk_tokens: 32_768,
            ..Default::default()
        };
        site.add_engine("a", options).await;
    }
    site.add_host("a").await;
    site.wait_until_ready().await;
    let prompt = "a verse of the whole catalogue; ".repeat(3_990_000 / 32);
    let body = completion(&prompt, 8, false);
    let res = call(site.hosts[0].callers_addr, "/v1/completions", &[], &body)
        .await
        .unwrap();
    assert_eq!(res.status(), 200, "{:?}", res.body());
    assert_eq!(completion_text(&res), expected_answer(&body, 8));
    let hash = ContentHash::of(body.as_bytes());
    let run_count: usize = site
        .engines
        .iter()
        .map(|engine| engine.record().len())
        .sum();
    assert!(
        run_count >= 1,
        "no engine ran the request with content hash {hash}"
    );
}
