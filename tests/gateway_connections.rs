//! A host that gets most of the new connections.

mod gateway_world;

use std::net::SocketAddr;
use std::time::Duration;

use futures_util::future::join_all;
use gateway_world::TestHost;
use gateway_world::catalog::FakeCatalog;
use gateway_world::conf;
use gateway_world::request;
use gateway_world::table;
use gateway_world::upstream::ScriptStep;
use gateway_world::upstream::ScriptedUpstream;
use gateway_world::wait_until;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use yare::parameterized;

/// The number of connections that the host of a test may have open.
const CONNECTIONS_MAX: usize = 30;

const REQUEST: &[u8] = b"POST /safe/1 HTTP/1.1\r\nhost: app.example\r\ntest-request: r-1\r\n\
    test-key: key-1\r\ncontent-length: 0\r\n\r\n";

async fn host_with_few_connections() -> (TestHost, ScriptedUpstream) {
    let catalog = FakeCatalog::new(table(1));
    let upstream = ScriptedUpstream::start([ScriptStep::Respond(200, "served")]).await;
    catalog.list("a", "app", upstream.addr);
    let mut conf = conf("host");
    conf.caller_connections_max = CONNECTIONS_MAX;
    (TestHost::start_with(conf, &catalog).await, upstream)
}

/// Opens connections and sends a request on each, one after the other. Returns the connections on
/// which a response came and the number of the others.
async fn open_and_call(addr: SocketAddr, count: usize) -> (Vec<TcpStream>, usize) {
    let mut served = Vec::new();
    let mut closed = 0;
    for _ in 0..count {
        let mut stream = TcpStream::connect(addr).await.unwrap();
        match call_on(&mut stream).await {
            Some(_) => served.push(stream),
            None => closed += 1,
        }
    }
    (served, closed)
}

/// Sends a request on an open connection and returns its response; none if the connection is closed.
async fn call_on(stream: &mut TcpStream) -> Option<String> {
    stream.write_all(REQUEST).await.ok()?;
    let mut buffer = [0_u8; 4_096];
    match stream.read(&mut buffer).await {
        Ok(0) | Err(_) => None,
        Ok(count) => Some(String::from_utf8_lossy(&buffer[..count]).into_owned()),
    }
}

/// Guards against a host that takes more connections than it has descriptors to serve: the requests
/// that it has read fail. It closes the rest unread, and goes on serving those that it has.
#[tokio::test]
async fn connections_beyond_the_bound_are_closed_unread_and_the_others_served() {
    let (host, upstream) = host_with_few_connections().await;
    let (mut served, closed) = open_and_call(host.callers, CONNECTIONS_MAX + 20).await;
    assert_eq!((served.len(), closed), (CONNECTIONS_MAX, 20));
    for stream in &mut served {
        let response = call_on(stream).await;
        assert!(response.unwrap().starts_with("HTTP/1.1 200"));
    }
    assert_eq!(upstream.arrivals().len(), 2 * CONNECTIONS_MAX);
    wait_until(|| host.log.text().contains("connections_full")).await;
    let lines = host.log.lines().into_iter();
    let full: Vec<_> = lines
        .filter(|line| line["event"] == "connections_full")
        .collect();
    assert_eq!(full.len(), 1, "{full:?}");
    drop(served);
    // Callers that come later are served once others have left.
    let later = async {
        while open_and_call(host.callers, 1).await.1 > 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(Duration::from_secs(20), later)
        .await
        .unwrap();
}

/// Guards against connections on which nothing is sent and that keep all others out.
#[tokio::test]
async fn a_connection_on_which_nothing_is_sent_gives_way_to_a_new_one() {
    let (host, _upstream) = host_with_few_connections().await;
    let mut silent = Vec::new();
    for _ in 0..CONNECTIONS_MAX {
        silent.push(TcpStream::connect(host.callers).await.unwrap());
    }
    let served = async {
        while open_and_call(host.callers, 1).await.0.is_empty() {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::time::timeout(Duration::from_secs(20), served)
        .await
        .unwrap();
    // Those that are left are served as before.
    let response = call_on(silent.last_mut().unwrap()).await;
    assert!(response.unwrap().starts_with("HTTP/1.1 200"));
}

/// Guards against a host that serves less of what it has read when it gets the connections of all: of
/// three hosts one gets every call, each on a new connection, while the others are idle. The calls of
/// one customer take less than half of the slots, so that its share does not limit it.
#[parameterized(
    plain_service = { "/safe/1", "app", ScriptStep::Respond(200, "served") },
    streams = { "/model/1", "llm", ScriptStep::Events(3) },
)]
#[test_macro(tokio::test)]
async fn one_host_serves_the_calls_of_all(path: &str, service: &str, step: ScriptStep) {
    let catalog = FakeCatalog::new(table(1));
    let mut upstreams = Vec::new();
    for id in ["a", "b", "c", "d"] {
        let upstream = ScriptedUpstream::start([step.clone()]).await;
        catalog.list_with_slots(id, service, upstream.addr, 16);
        upstreams.push(upstream);
    }
    let mut hosts = Vec::new();
    for name in ["first", "second", "third"] {
        hosts.push(TestHost::start(name, &catalog).await);
    }
    for host in &hosts {
        host.wait_for_hosts(hosts.len()).await;
    }
    for _ in 0..10 {
        let calls = (0..30).map(|_| hosts[0].call(request(path)));
        let responses = join_all(calls).await;
        let refused = responses.iter().find(|res| res.status() != 200);
        assert!(refused.is_none(), "{refused:?}\n{}", hosts[0].log.text());
    }
    let arrived: usize = upstreams
        .iter()
        .map(|upstream| upstream.arrivals().len())
        .sum();
    assert_eq!(arrived, 300);
}
