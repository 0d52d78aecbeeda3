//! Tests of the proxies that stand for links between machines.

use std::io::ErrorKind;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::time::Duration;

use soak::link_proxy::LinkMode;
use soak::link_proxy::LinkProxy;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

const LOOPBACK: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);
/// How long a test waits for the end of a connection before it fails.
const TIMEOUT: Duration = Duration::from_secs(10);

/// A proxy with an open connection: the proxy, and the streams of the client and of the target,
/// each of which has received a byte from the other.
async fn open_connection() -> (LinkProxy, TcpStream, TcpStream) {
    let listener = TcpListener::bind((LOOPBACK, 0)).await.unwrap();
    let target = listener.local_addr().unwrap();
    let proxy = LinkProxy::start(LOOPBACK, target).await.unwrap();
    let mut client = TcpStream::connect(proxy.addr).await.unwrap();
    let (mut target, _) = listener.accept().await.unwrap();
    client.write_all(b"a").await.unwrap();
    target.write_all(b"b").await.unwrap();
    assert_eq!(target.read_u8().await.unwrap(), b'a');
    assert_eq!(client.read_u8().await.unwrap(), b'b');
    (proxy, client, target)
}

/// Reads from a connection up to its end, and returns how it ended.
async fn end_of(mut stream: TcpStream) -> Result<usize, ErrorKind> {
    let mut rest = Vec::new();
    let read = tokio::time::timeout(TIMEOUT, stream.read_to_end(&mut rest)).await;
    read.expect("the connection ends").map_err(|err| err.kind())
}

/// Guards against a link whose resets look like a regular end of its connections.
#[tokio::test]
async fn a_reset_link_resets_its_connections() {
    let (proxy, client, target) = open_connection().await;
    proxy.set_mode(LinkMode::Reset);
    assert_eq!(end_of(client).await, Err(ErrorKind::ConnectionReset));
    assert_eq!(end_of(target).await, Err(ErrorKind::ConnectionReset));
}

/// Guards against a crashed target that the client takes for a silent one.
#[tokio::test]
async fn a_connection_that_one_end_breaks_is_reset_at_the_other() {
    let (_proxy, client, target) = open_connection().await;
    #[allow(deprecated)]
    target.set_linger(Some(Duration::ZERO)).unwrap();
    drop(target);
    assert_eq!(end_of(client).await, Err(ErrorKind::ConnectionReset));
}

/// A regular end must stay one, with all that was sent before it.
#[tokio::test]
async fn a_regular_end_is_forwarded() {
    let (_proxy, client, mut target) = open_connection().await;
    target.write_all(b"rest").await.unwrap();
    drop(target);
    assert_eq!(end_of(client).await, Ok(4));
}

/// A proxy on an address that nothing else uses, and its target.
async fn proxy_on_own_ip(last_byte: u8) -> (LinkProxy, TcpListener) {
    let listener = TcpListener::bind((LOOPBACK, 0)).await.unwrap();
    let ip = IpAddr::V4(Ipv4Addr::new(127, 0, 77, last_byte));
    let proxy = LinkProxy::start(ip, listener.local_addr().unwrap()).await;
    (proxy.unwrap(), listener)
}

/// Waits until a new connection to the proxy has this result: whether it is established, or none if
/// it hangs.
async fn wait_for_connect(proxy: &LinkProxy, expected: Option<bool>) {
    let waiting = async {
        loop {
            let connect = TcpStream::connect(proxy.addr);
            let connected = tokio::time::timeout(Duration::from_millis(200), connect).await;
            if connected.ok().map(|connected| connected.is_ok()) == expected {
                return;
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    let waited = tokio::time::timeout(TIMEOUT, waiting).await;
    waited.expect("new connections behave as expected");
}

/// Guards against a cut that a host takes for a working connection, because the proxy accepts it.
#[tokio::test]
async fn a_link_refuses_new_connections_and_is_open_again() {
    let (proxy, _target) = proxy_on_own_ip(1).await;
    proxy.set_mode(LinkMode::Refuses);
    wait_for_connect(&proxy, Some(false)).await;
    proxy.set_mode(LinkMode::Open);
    wait_for_connect(&proxy, Some(true)).await;
}

#[tokio::test]
async fn new_connections_hang_and_are_open_again() {
    let (proxy, _target) = proxy_on_own_ip(2).await;
    proxy.set_mode(LinkMode::Hangs);
    wait_for_connect(&proxy, None).await;
    proxy.set_mode(LinkMode::Open);
    wait_for_connect(&proxy, Some(true)).await;
}

#[tokio::test]
async fn existing_connections_live_on_while_new_ones_are_refused() {
    let (proxy, mut client, mut target) = open_connection().await;
    proxy.set_mode(LinkMode::RefusesNew);
    wait_for_connect(&proxy, Some(false)).await;
    client.write_all(b"c").await.unwrap();
    assert_eq!(target.read_u8().await.unwrap(), b'c');
}
