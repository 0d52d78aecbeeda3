//! Answers whose heads do not say clearly where they end, or are none.

mod gateway_world;

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use gateway_world::TestHost;
use gateway_world::catalog::FakeCatalog;
use gateway_world::conf;
use gateway_world::conf_there;
use gateway_world::request;
use gateway_world::table;
use gateway_world::upstream::ScriptStep;
use gateway_world::upstream::ScriptedUpstream;
use gateway_world::upstream::event;
use gateway_world::upstream_link::Cut;
use gateway_world::upstream_link::UpstreamLink;
use http_body_util::Full;
use hyper::Response;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use yare::parameterized;

/// How a host reaches the upstreams.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Way {
    Direct,
    ThroughAnotherHost,
}

/// Hosts before two upstreams of each service at one address.
struct World {
    host: TestHost,
    _provider: Option<TestHost>,
    _link: Option<UpstreamLink>,
}

impl World {
    async fn start(way: Way, addr: SocketAddr) -> Self {
        let catalog = FakeCatalog::new(table(1));
        let services = ["app", "llm"];
        let ids = ["a", "b"];
        let listed = services
            .iter()
            .flat_map(|service| ids.map(|id| (format!("{id}-{service}"), *service)));
        let listed: Vec<(String, &str)> = listed.collect();
        for (id, service) in &listed {
            catalog.list(id, service, addr);
        }
        if way == Way::Direct {
            return Self {
                host: TestHost::start("host", &catalog).await,
                _provider: None,
                _link: None,
            };
        }
        let link = UpstreamLink::cut(Cut::Refused).await;
        let cut_catalog = catalog.separate_link();
        for (id, _) in &listed {
            cut_catalog.replace_addr(id, link.addr);
        }
        let host = TestHost::start_with(conf_there("cut"), &cut_catalog).await;
        let provider = TestHost::start_with(conf("near"), &catalog).await;
        provider.wait_for_host(&host).await;
        host.wait_for_host(&provider).await;
        Self {
            host,
            _provider: Some(provider),
            _link: Some(link),
        }
    }
}

/// The response to one call, of which the first upstream sends a head with this status and the rest, and the
/// next ones what `then` says; none if it was cut.
async fn call(
    way: Way,
    path: &str,
    status: &'static str,
    rest: &'static str,
    then: ScriptStep,
) -> Option<Response<Bytes>> {
    let upstream = ScriptedUpstream::start([ScriptStep::Spoilt(status, rest), then]).await;
    let world = World::start(way, upstream.addr).await;
    world.host.try_call(request(path)).await.ok()
}

/// Guards against answers that are none and reach callers as complete ones: another upstream answers what
/// may be repeated, and callers of what may not learn that it may have run.
#[parameterized(
    no_chunks = { "200 OK", "transfer-encoding: xchunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n" },
    chunks_and_more = { "200 OK", "transfer-encoding: chunked, identity\r\n\r\n5\r\nwhole\r\n0\r\n\r\n" },
    chunks_spoilt = { "200 OK", "transfer-encoding: chunked.\r\n\r\n5\r\nwhole\r\n0\r\n\r\n" },
    other_coding = { "200 OK", "transfer-encoding: gzip\r\n\r\nspoilt" },
    coding_empty = { "200 OK", "transfer-encoding:\r\n\r\nspoilt" },
    two_codings = { "200 OK", "transfer-encoding: chunked\r\ntransfer-encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n" },
    both = { "200 OK", "content-length: 2\r\ntransfer-encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n" },
    too_short = { "200 OK", "content-length: 3\r\n\r\nspoilt" },
    none_announced = { "200 OK", "content-length: 0\r\n\r\nspoilt" },
    two_lengths = { "200 OK", "content-length: 6\r\ncontent-length: 5\r\n\r\nspoilt" },
    length_no_number = { "200 OK", "content-length: 6x\r\n\r\nspoilt" },
    no_field = { "200 OK", "content-length 6\r\n\r\nspoilt" },
    name_with_blank = { "200 OK", "content- length: 6\r\n\r\nspoilt" },
    name_with_control = { "200 OK", "content-\u{1}length: 6\r\n\r\nspoilt" },
    folded = { "200 OK", "content-length:\r\n 6\r\n\r\nspoilt" },
    status_000 = { "000 X", "content-length: 6\r\n\r\nspoilt" },
    status_101 = { "101 X", "content-length: 6\r\n\r\nspoilt" },
    status_600 = { "600 X", "content-length: 6\r\n\r\nspoilt" },
    status_999 = { "999 X", "content-length: 6\r\n\r\nspoilt" },
)]
#[test_macro(tokio::test(flavor = "multi_thread", worker_threads = 2))]
async fn spoilt_answers_do_not_reach_callers(status: &'static str, rest: &'static str) {
    for way in [Way::Direct, Way::ThroughAnotherHost] {
        let plain = ScriptStep::Respond(200, "sound");
        let res = call(way, "/safe/1", status, rest, plain.clone()).await;
        let res = res.unwrap_or_else(|| panic!("{way:?}: no answer"));
        assert_eq!(
            (res.status().as_u16(), res.body().as_ref()),
            (200, &b"sound"[..]),
            "{way:?}"
        );
        let res = call(way, "/once/1", status, rest, plain).await;
        let res = res.unwrap_or_else(|| panic!("{way:?}: no answer to what may run once"));
        assert_eq!(res.status(), 502, "{way:?}: {res:?}");
        let res = call(way, "/model/1", status, rest, ScriptStep::Events(3)).await;
        let res = res.unwrap_or_else(|| panic!("{way:?}: no stream"));
        let events: String = (1..=3).map(event).collect();
        assert_eq!(res.body(), &events, "{way:?}");
    }
}

/// Guards against sound answers that are taken for spoilt ones.
#[parameterized(
    chunks = { "200 OK", "Transfer-Encoding: Chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n" },
    length = { "200 OK", "content-length: 5\r\n\r\nwhole" },
    same_length_twice = { "200 OK", "content-length: 5\r\ncontent-length: 5\r\n\r\nwhole" },
    ends_with_its_connection = { "200 OK", "\r\nwhole" },
    second_answer_behind = { "200 OK", "content-length: 5\r\n\r\nwholeHTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nother" },
    empty_line_behind = { "200 OK", "content-length: 5\r\n\r\nwhole\r\n" },
)]
#[test_macro(tokio::test(flavor = "multi_thread", worker_threads = 2))]
async fn sound_answers_reach_callers(status: &'static str, rest: &'static str) {
    for way in [Way::Direct, Way::ThroughAnotherHost] {
        let res = call(way, "/once/1", status, rest, ScriptStep::Break).await;
        let res = res.unwrap_or_else(|| panic!("{way:?}: no answer"));
        assert_eq!(
            (res.status().as_u16(), res.body().as_ref()),
            (200, &b"whole"[..]),
            "{way:?}"
        );
    }
}

/// The uploads of each run, and their length: more than the buffers of a connection take.
const UPLOADS: usize = 24;
const UPLOAD_LEN: usize = 900_000;

/// Answers each request as soon as it has begun with a part of a body that has no length, and resets the
/// connection.
async fn answer_early(listener: TcpListener) {
    while let Ok((stream, _)) = listener.accept().await {
        tokio::spawn(answer_early_and_reset(stream));
    }
}

async fn answer_early_and_reset(mut stream: TcpStream) {
    let mut head = Vec::new();
    while !head.windows(4).any(|bytes| bytes == b"\r\n\r\n") {
        if stream.read_buf(&mut head).await.unwrap_or(0) == 0 {
            return;
        }
    }
    let head = String::from_utf8_lossy(&head).into_owned();
    let request = head
        .lines()
        .find_map(|line| line.strip_prefix("test-request: "));
    let request = request.unwrap_or_default();
    let answer =
        format!("HTTP/1.1 200 OK\r\ntest-request: {request}\r\ntest-signature: s\r\n\r\na part");
    let _ = stream.write_all(answer.as_bytes()).await;
    #[allow(deprecated)]
    stream.set_linger(Some(Duration::ZERO)).unwrap();
}

/// Guards against a part of an answer that looks complete, since the reset of the connection was seen by a
/// write of the upload and not by a read.
#[parameterized(
    direct = { Way::Direct },
    through_another_host = { Way::ThroughAnotherHost },
)]
#[test_macro(tokio::test(flavor = "multi_thread", worker_threads = 2))]
async fn an_answer_that_is_reset_during_an_upload_is_not_complete(way: Way) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::spawn(answer_early(listener));
    let world = World::start(way, addr).await;
    let mut complete = 0;
    for _ in 0..UPLOADS {
        let mut req = request("/once/1");
        *req.body_mut() = Full::from("x".repeat(UPLOAD_LEN));
        let res = world.host.try_call(req).await;
        complete += usize::from(res.is_ok_and(|res| res.status() == 200));
    }
    assert_eq!(complete, 0, "of {UPLOADS}");
}

/// Guards against a request whose body is cut, or goes on as another request, since it announces a length
/// beside its chunks.
#[parameterized(
    length_first = { "content-length: 2\r\ntransfer-encoding: chunked\r\n" },
    chunks_first = { "transfer-encoding: chunked\r\ncontent-length: 2\r\n" },
)]
#[test_macro(tokio::test)]
async fn a_request_with_two_framings_is_not_cut(framing: &str) {
    let upstream = ScriptedUpstream::start([ScriptStep::Respond(200, "ok")]).await;
    let world = World::start(Way::Direct, upstream.addr).await;
    let mut stream = TcpStream::connect(world.host.callers).await.unwrap();
    let request = format!(
        "POST /once/1 HTTP/1.1\r\nhost: app.example\r\ntest-request: r-1\r\ntest-key: key-1\r\nconnection: close\r\n{framing}\r\n5\r\nwhole\r\n0\r\n\r\n"
    );
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.unwrap();
    let arrivals = upstream.arrivals();
    let bodies: Vec<&str> = arrivals
        .iter()
        .map(|arrival| arrival.body.as_str())
        .collect();
    let is_refused = answer.starts_with("HTTP/1.1 400") && bodies.is_empty();
    assert!(is_refused || bodies == ["whole"], "{answer} {bodies:?}");
}
