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
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// The bytes of bodies that the host may hold.
const HELD_MAX: u64 = 1 << 20;

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
