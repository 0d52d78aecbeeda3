//! Bodies of clients that do not behave, at a host that may hold little.

mod gateway_world;

use std::net::SocketAddr;
use std::time::Duration;

use banyanarch::units::ByteSize;
use gateway_world::TestHost;
use gateway_world::catalog::FakeCatalog;
use gateway_world::conf;
use gateway_world::table;
use gateway_world::upstream::ScriptStep;
use gateway_world::upstream::ScriptedUpstream;
use gateway_world::wait_until;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// The bytes of bodies that the host may hold.
const HELD_MAX: u64 = 1 << 20;
/// How long a request is sent again at most.
const PATIENCE: Duration = Duration::from_secs(20);

async fn host() -> (TestHost, ScriptedUpstream) {
    let catalog = FakeCatalog::new(table(1));
    let upstream = ScriptedUpstream::start([ScriptStep::Respond(200, "served")]).await;
    catalog.list("a", "app", upstream.addr);
    let mut conf = conf("host");
    conf.held_bytes_max = ByteSize(HELD_MAX);
    (TestHost::start_with(conf, &catalog).await, upstream)
}

/// A head with this framing line.
fn head(request: &str, framing: &str) -> String {
    format!(
        "POST /safe/1 HTTP/1.1\r\nhost: app.example\r\ntest-request: {request}\r\n\
         test-key: key-1\r\n{framing}\r\n\r\n"
    )
}

/// Opens a connection and sends this on it.
async fn open(addr: SocketAddr, bytes: &[u8]) -> TcpStream {
    let mut stream = TcpStream::connect(addr).await.unwrap();
    stream.write_all(bytes).await.unwrap();
    stream
}

/// Reads the status line of a response; empty if the connection ends before.
async fn status(stream: &mut TcpStream) -> String {
    let mut response = Vec::new();
    let mut buffer = [0; 1_024];
    while !response.contains(&b'\r') {
        match stream.read(&mut buffer).await {
            Ok(len) if len > 0 => response.extend_from_slice(&buffer[..len]),
            _ => break,
        }
    }
    let text = String::from_utf8_lossy(&response).into_owned();
    text.lines().next().unwrap_or_default().to_owned()
}

/// Guards against a body inside the limits that is refused in calm, since each of its small chunks is counted
/// as a kilobyte.
#[tokio::test]
async fn a_body_in_small_chunks_is_counted_by_its_length() {
    let (host, _upstream) = host().await;
    let mut request = head("r-1", "transfer-encoding: chunked").into_bytes();
    request.extend(b"1\r\nx\r\n".repeat(200_000));
    request.extend(b"0\r\n\r\n");
    let mut stream = open(host.callers, &request).await;
    assert_eq!(status(&mut stream).await, "HTTP/1.1 200 OK");
    assert_eq!(host.gateway.held_bytes(), 0);
}

/// Guards against a body over the limit that is read until the host holds as much as it may, although its
/// head announces its length.
#[tokio::test]
async fn a_body_that_is_announced_too_long_is_refused_before_it_is_read() {
    let (host, _upstream) = host().await;
    let announced = format!("content-length: {}", 400 << 20);
    let mut stream = open(host.callers, head("r-1", &announced).as_bytes()).await;
    assert_eq!(status(&mut stream).await, "HTTP/1.1 413 Payload Too Large");
}

/// Guards against a caller that loses a refusal, since its connection is reset under what it still sends.
#[tokio::test]
async fn a_caller_that_sends_on_gets_its_refusal() {
    let (host, _upstream) = host().await;
    // More than the host may hold, and less than one body may have.
    let mut stream = open(
        host.callers,
        head("r-1", "content-length: 2000000").as_bytes(),
    )
    .await;
    for _ in 0..20 {
        stream.write_all(&[b'x'; 100_000]).await.unwrap();
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    assert_eq!(
        status(&mut stream).await,
        "HTTP/1.1 503 Service Unavailable"
    );
}

/// Sends a request with a body of this length and the key until it is served.
async fn call_until_served(addr: SocketAddr, key: &str, len: usize) {
    let served = async {
        for attempt in 0.. {
            let request = format!("r-{key}-{attempt}");
            let head = head(&request, &format!("content-length: {len}"));
            let mut bytes = head.replace("key-1", key).into_bytes();
            bytes.extend(vec![b'x'; len]);
            let mut stream = open(addr, &bytes).await;
            if status(&mut stream).await == "HTTP/1.1 200 OK" {
                return;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    };
    tokio::time::timeout(PATIENCE, served).await.unwrap();
}

/// Requests whose bodies stop before their ends, which together take what the host may hold.
async fn stop_short(addr: SocketAddr) -> Vec<TcpStream> {
    let mut streams = Vec::new();
    for index in 0..4 {
        let head = head(&format!("short-{index}"), "content-length: 300000");
        let mut bytes = head.into_bytes();
        bytes.extend(vec![b'x'; 250_000]);
        streams.push(open(addr, &bytes).await);
    }
    streams
}

/// Guards against bodies that never end and keep others from being read until their deadlines, which their
/// senders name.
#[tokio::test]
async fn a_body_that_stands_still_gives_way_to_another_one() {
    let (host, _upstream) = host().await;
    let _short = stop_short(host.callers).await;
    wait_until(|| host.gateway.held_bytes() > 500_000).await;
    call_until_served(host.callers, "key-1", 600_000).await;
    wait_until(|| host.log.text().contains("bodies_displaced")).await;
}

/// Guards against one customer whose bodies keep those of all others from being read.
#[tokio::test]
async fn a_customer_with_most_bytes_gives_way_to_another_one() {
    let (host, _upstream) = host().await;
    let _short = stop_short(host.callers).await;
    wait_until(|| host.gateway.held_bytes() > 500_000).await;
    call_until_served(host.callers, "key-2", 600_000).await;
    wait_until(|| host.log.text().contains("bodies_displaced")).await;
}

/// Guards against a long head that is not counted, or still counts when its request has been answered.
#[tokio::test]
async fn a_long_head_is_counted_until_it_has_been_read() {
    let (host, _upstream) = host().await;
    let head = head(
        "r-1",
        &format!("padding: {}\r\ncontent-length: 0", "x".repeat(12_000)),
    );
    let (begin, end) = head.split_at(head.len() - 2);
    let mut stream = open(host.callers, begin.as_bytes()).await;
    wait_until(|| host.gateway.held_bytes() > 0).await;
    stream.write_all(end.as_bytes()).await.unwrap();
    assert_eq!(status(&mut stream).await, "HTTP/1.1 200 OK");
    assert_eq!(host.gateway.held_bytes(), 0);
}
