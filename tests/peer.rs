//! Tests of the protocol between hosts: authentication, the refusal of invalid frames, and the
//! isolation of faulty peers.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use banyanarch::clock::SystemClock;
use banyanarch::peer::EnvelopeCodec;
use banyanarch::peer::FRAME_SIZE_MAX;
use banyanarch::peer::FrameAuthenticator;
use banyanarch::peer::Keyring;
use banyanarch::peer::Message;
use banyanarch::peer::PeerAddrs;
use banyanarch::peer::PeerError;
use banyanarch::peer::PeerHandler;
use banyanarch::peer::PeerPool;
use banyanarch::peer::PeerServer;
use banyanarch::peer::PeerTransport;
use banyanarch::peer::Traffic;
use banyanarch::peer::message::Envelope;
use banyanarch::peer::message::PlatformCall;
use banyanarch::peer::message::PlatformReply;
use banyanarch::settings::PeerKey;
use banyanarch::units::HostId;
use bytes::BufMut;
use bytes::BytesMut;
use futures_util::future::BoxFuture;
use proptest::prelude::any;
use proptest::test_runner::Config;
use proptest::test_runner::TestRunner;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio_util::codec::Decoder;
use tokio_util::codec::Encoder;
use tokio_util::sync::CancellationToken;
use yare::parameterized;

/// The timeout of requests and other waits that are expected to succeed.
const WAIT_MAX: Duration = Duration::from_secs(10);

/// Replies to a call with the name in the call. The call `wait` is held until `release` is
/// cancelled.
struct EchoHandler {
    release: CancellationToken,
}

impl PeerHandler for EchoHandler {
    fn handle(&self, from: HostId, message: Message) -> BoxFuture<'_, Option<Message>> {
        Box::pin(async move {
            let Message::PlatformCall(call) = message else {
                return None;
            };
            if call.name == "wait" {
                self.release.cancelled().await;
            }
            let why = format!("{} by {from}", call.name);
            Some(Message::PlatformReply(PlatformReply {
                why,
                ..PlatformReply::default()
            }))
        })
    }
}

/// A directory that gives all hosts the first address, except for the named host, which has the
/// second address, and for the host `nowhere`, which has none.
struct FixedAddrs(SocketAddr, &'static str, SocketAddr);

impl PeerAddrs for FixedAddrs {
    fn peer_addr(&self, host: &HostId) -> Option<SocketAddr> {
        match host.as_str() {
            "nowhere" => None,
            name if name == self.1 => Some(self.2),
            _ => Some(self.0),
        }
    }
}

/// A running peer server, with the handles that control it.
struct TestServer {
    addr: SocketAddr,
    release: CancellationToken,
    traffic: Arc<Traffic>,
    stop: CancellationToken,
}

fn keyring(ids: &[&str]) -> Keyring {
    let key = |id: &&str| PeerKey {
        id: (*id).to_owned(),
        secret: format!("secret of the key {id}"),
    };
    Keyring::new(ids.iter().map(key).collect())
}

fn traffic() -> Arc<Traffic> {
    Arc::new(Traffic::new(Arc::new(SystemClock), 4_096))
}

async fn start_server(ids: &[&str]) -> TestServer {
    start_server_on(Ipv4Addr::LOCALHOST, ids).await
}

async fn start_server_on(ip: Ipv4Addr, ids: &[&str]) -> TestServer {
    let listener = TcpListener::bind((ip, 0)).await.unwrap();
    let addr = listener.local_addr().unwrap();
    let release = CancellationToken::new();
    let stop = CancellationToken::new();
    let traffic = traffic();
    let handler = Arc::new(EchoHandler {
        release: release.clone(),
    });
    let host = "server".parse().unwrap();
    let rng = StdRng::seed_from_u64(1);
    let server = PeerServer::new(host, keyring(ids), handler, Arc::clone(&traffic), rng);
    tokio::spawn(Arc::new(server).serve(listener, stop.clone()));
    TestServer {
        addr,
        release,
        traffic,
        stop,
    }
}

fn client_pool(addr: SocketAddr, ids: &[&str]) -> PeerPool {
    let host = "client".parse().unwrap();
    let rng = StdRng::seed_from_u64(2);
    let addrs = Arc::new(FixedAddrs(addr, "", addr));
    PeerPool::new(host, keyring(ids), addrs, traffic(), rng)
}

fn call(name: &str) -> Message {
    Message::PlatformCall(PlatformCall {
        name: name.to_owned(),
        ..PlatformCall::default()
    })
}

async fn request_echo(pool: &PeerPool, to: &str, name: &str) -> Result<String, PeerError> {
    match pool
        .request(&to.parse().unwrap(), call(name), WAIT_MAX)
        .await?
    {
        Message::PlatformReply(reply) => Ok(reply.why),
        other => panic!("unexpected reply {other:?}"),
    }
}

/// Waits until a server has counted `count` refused connections, and checks that it counted no
/// more. The server counts a refusal after its reply to the client, so that the client may notice
/// the refusal earlier.
async fn expect_refused_connections(traffic: &Traffic, count: u64) {
    let counting = async {
        while traffic.refused_connections() < count {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    };
    let counted = tokio::time::timeout(WAIT_MAX, counting).await;
    assert!(
        counted.is_ok(),
        "{} connections were refused",
        traffic.refused_connections()
    );
    assert_eq!(traffic.refused_connections(), count);
}

/// A slow call, such as one to a platform that does not respond, shares its connection with quick
/// calls. If calls were handled one after the other, every grant between two hosts would wait for
/// the slow call.
#[tokio::test]
async fn a_slow_call_delays_no_other_on_its_connection() {
    let server = start_server(&["a"]).await;
    let pool = Arc::new(client_pool(server.addr, &["a"]));
    let slow = {
        let pool = Arc::clone(&pool);
        tokio::spawn(async move { request_echo(&pool, "server", "wait").await })
    };
    for n in 0..100 {
        let answer = request_echo(&pool, "server", &format!("call-{n}"))
            .await
            .unwrap();
        assert_eq!(answer, format!("call-{n} by client"));
    }
    server.release.cancel();
    assert_eq!(slow.await.unwrap().unwrap(), "wait by client");
    assert_eq!(pool.link_count(), 1);
}

/// Keys are rotated in three steps: the new key is added, the new key is moved to the front, and
/// the old key is removed. Hosts at neighbouring steps must accept each other. A host that holds
/// only an unknown key is refused.
#[parameterized(
    added_at_server = { &["old", "new"], &["old"], true },
    added_at_client = { &["old"], &["old", "new"], true },
    moved_at_client = { &["old", "new"], &["new", "old"], true },
    removed_at_server = { &["new"], &["new", "old"], true },
    unknown_key = { &["old", "new"], &["other"], false },
)]
fn hosts_connect_during_key_rotation(at_server: &[&str], at_client: &[&str], is_accepted: bool) {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    runtime.block_on(async {
        let server = start_server(at_server).await;
        let pool = client_pool(server.addr, at_client);
        let answer = request_echo(&pool, "server", "x").await;
        assert_eq!(answer.is_ok(), is_accepted, "{answer:?}");
        if let Err(error) = answer {
            assert!(error.to_string().contains("key `other`"), "{error}");
            expect_refused_connections(&server.traffic, 1).await;
        }
    });
}

/// The client knows the id of a key but not its secret.
#[tokio::test]
async fn a_wrong_secret_for_a_known_key_is_refused() {
    let server = start_server(&["a"]).await;
    let forged = Keyring::new(vec![PeerKey {
        id: "a".to_owned(),
        secret: "a guess of sixteen characters".to_owned(),
    }]);
    let addrs = Arc::new(FixedAddrs(server.addr, "", server.addr));
    let rng = StdRng::seed_from_u64(3);
    let pool = PeerPool::new("client".parse().unwrap(), forged, addrs, traffic(), rng);
    let error = request_echo(&pool, "server", "x").await.unwrap_err();
    assert!(matches!(error, PeerError::Unreachable(_)), "{error}");
}

/// After hosts were replaced, an address may belong to another host. A grant request that reached
/// this host would get its reply from a host that is not the home.
#[tokio::test]
async fn an_address_that_belongs_to_another_host_is_refused() {
    let server = start_server(&["a"]).await;
    let pool = client_pool(server.addr, &["a"]);
    let error = request_echo(&pool, "other", "x").await.unwrap_err();
    assert!(error.to_string().contains("belongs to server"), "{error}");
    let error = request_echo(&pool, "nowhere", "x").await.unwrap_err();
    assert_eq!(error, PeerError::UnknownHost);
}

/// An attacker who can read the network records a whole connection and replays its bytes later, to
/// have the calls in it handled a second time.
#[tokio::test]
async fn a_recorded_connection_cannot_be_replayed() {
    let server = start_server(&["a"]).await;
    let proxy = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    let pool = client_pool(proxy.local_addr().unwrap(), &["a"]);
    let recording = tokio::spawn(async move {
        let (mut client, _) = proxy.accept().await.unwrap();
        let mut target = TcpStream::connect(server.addr).await.unwrap();
        let mut recorded = Vec::new();
        let mut buf = [0; 4_096];
        let mut answer = [0; 4_096];
        loop {
            tokio::select! {
                n = client.read(&mut buf) => match n.unwrap() {
                    0 => return recorded,
                    n => {
                        recorded.extend_from_slice(&buf[..n]);
                        target.write_all(&buf[..n]).await.unwrap();
                    }
                },
                n = target.read(&mut answer) => {
                    client.write_all(&answer[..n.unwrap()]).await.unwrap();
                }
            }
        }
    });
    assert!(request_echo(&pool, "server", "x").await.is_ok());
    drop(pool);
    let recorded = recording.await.unwrap();
    let before = server.traffic.refused_connections();
    let mut replay = TcpStream::connect(server.addr).await.unwrap();
    replay.write_all(&recorded).await.unwrap();
    replay.shutdown().await.unwrap();
    let mut answer = Vec::new();
    // The read ends when the server closes the connection, with or without an error.
    let _ = replay.read_to_end(&mut answer).await;
    expect_refused_connections(&server.traffic, before + 1).await;
}

/// A port scanner, a browser or a faulty program connects to the peer port. Its connection is
/// closed; the connections of hosts are not affected.
#[parameterized(
    http = { b"GET / HTTP/1.1\r\nHost: x\r\n\r\n" },
    huge_length = { &[0xff; 64] },
    empty_frame = { &[0, 0, 0, 0] },
    zeros = { &[0; 64] },
)]
fn invalid_bytes_close_only_their_own_connection(garbage: &[u8]) {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    runtime.block_on(async {
        let server = start_server(&["a"]).await;
        let pool = client_pool(server.addr, &["a"]);
        request_echo(&pool, "server", "before").await.unwrap();
        let mut client = TcpStream::connect(server.addr).await.unwrap();
        client.write_all(garbage).await.unwrap();
        let mut rest = Vec::new();
        let _ = client.read_to_end(&mut rest).await;
        request_echo(&pool, "server", "after").await.unwrap();
        assert_eq!(pool.link_count(), 1);
    });
}

/// A host is frozen: its operating system still accepts connections, but the process does not
/// reply. Requests to this host time out or fail; requests to other hosts are not affected.
#[tokio::test]
async fn a_frozen_peer_delays_only_its_own_callers() {
    let server = start_server(&["a"]).await;
    let frozen = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    let addrs = Arc::new(FixedAddrs(
        server.addr,
        "frozen",
        frozen.local_addr().unwrap(),
    ));
    let rng = StdRng::seed_from_u64(5);
    let pool = PeerPool::new(
        "client".parse().unwrap(),
        keyring(&["a"]),
        addrs,
        traffic(),
        rng,
    );
    let to = "frozen".parse().unwrap();
    let reply = pool.request(&to, call("x"), Duration::from_millis(50));
    assert_eq!(reply.await.unwrap_err(), PeerError::NoReply);
    for _ in 0..5_000 {
        pool.send(&to, call("y"));
    }
    let error = pool.request(&to, call("z"), WAIT_MAX).await.unwrap_err();
    assert!(matches!(error, PeerError::Unreachable(_)), "{error}");
    request_echo(&pool, "server", "x").await.unwrap();
}

/// A host is replaced by a host with the same name at the same address.
#[tokio::test]
async fn a_restarted_peer_is_reconnected() {
    // No other test is given the port of an address on an IP address of its own.
    let first = start_server_on(Ipv4Addr::new(127, 0, 0, 2), &["a"]).await;
    let pool = client_pool(first.addr, &["a"]);
    request_echo(&pool, "server", "x").await.unwrap();
    first.stop.cancel();
    let listener = loop {
        match TcpListener::bind(first.addr).await {
            Ok(listener) => break listener,
            Err(_) => tokio::time::sleep(Duration::from_millis(10)).await,
        }
    };
    let handler = Arc::new(EchoHandler {
        release: CancellationToken::new(),
    });
    let host = "server".parse().unwrap();
    let rng = StdRng::seed_from_u64(4);
    let second = PeerServer::new(host, keyring(&["a"]), handler, traffic(), rng);
    tokio::spawn(Arc::new(second).serve(listener, CancellationToken::new()));
    while request_echo(&pool, "server", "x").await.is_err() {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// A message above the limit of a frame fails; the connection and its other calls are not affected.
#[tokio::test]
async fn a_message_that_is_too_large_fails_alone() {
    let server = start_server(&["a"]).await;
    let pool = client_pool(server.addr, &["a"]);
    let name = "x".repeat(FRAME_SIZE_MAX);
    let error = request_echo(&pool, "server", &name).await.unwrap_err();
    assert!(matches!(error, PeerError::MessageTooLarge(_)), "{error}");
    request_echo(&pool, "server", "x").await.unwrap();
}

fn codec_pair() -> (EnvelopeCodec, EnvelopeCodec) {
    let authenticator = |key: &[u8]| FrameAuthenticator::new(key).unwrap();
    let client = EnvelopeCodec::new("server", authenticator(b"up"), authenticator(b"down"));
    let server = EnvelopeCodec::new("client", authenticator(b"down"), authenticator(b"up"));
    (client, server)
}

fn envelope(name: &str, call_id: u64) -> Envelope {
    Envelope {
        from: String::new(),
        call_id,
        is_reply: false,
        message: Some(call(name)),
    }
}

fn runner() -> TestRunner {
    let rng = proptest::test_runner::TestRng::from_seed(
        proptest::test_runner::RngAlgorithm::ChaCha,
        &[7; 32],
    );
    let config = Config {
        failure_persistence: None,
        ..Config::default()
    };
    TestRunner::new_with_rng(config, rng)
}

/// Envelopes that arrive in pieces of any size are decoded whole and in order.
#[test]
fn envelopes_in_pieces_are_decoded_in_order() {
    let input = (
        proptest::collection::vec(("[a-z]{0,300}", any::<u64>()), 1..8),
        1..64_usize,
    );
    runner()
        .run(&input, |(calls, piece_len)| {
            let (mut client, mut server) = codec_pair();
            let mut wire = BytesMut::new();
            for (name, call_id) in &calls {
                client.encode(envelope(name, *call_id), &mut wire).unwrap();
            }
            let mut received = BytesMut::new();
            let mut decoded = Vec::new();
            for piece in wire.chunks(piece_len) {
                received.put_slice(piece);
                while let Some(envelope) = server.decode(&mut received).unwrap() {
                    decoded.push(envelope);
                }
            }
            assert_eq!(decoded.len(), calls.len());
            for (decoded, (name, call_id)) in decoded.into_iter().zip(calls) {
                assert_eq!(decoded.from, "client");
                assert_eq!(decoded.call_id, call_id);
                assert_eq!(decoded.message, Some(call(&name)));
            }
            Ok(())
        })
        .unwrap();
}

/// A frame with any one byte changed, and any random bytes, yield an error or an incomplete frame.
/// They are never decoded as a message, and cause no panic.
#[test]
fn changed_bytes_are_never_decoded_as_a_message() {
    let input = (
        any::<proptest::sample::Index>(),
        1..=255_u8,
        proptest::collection::vec(any::<u8>(), 0..200),
    );
    runner()
        .run(&input, |(at, flip, garbage)| {
            let (mut client, mut server) = codec_pair();
            let mut wire = BytesMut::new();
            client.encode(envelope("x", 1), &mut wire).unwrap();
            let at = at.index(wire.len());
            wire[at] ^= flip;
            assert!(!matches!(server.decode(&mut wire), Ok(Some(_))));
            let (_, mut server) = codec_pair();
            let mut wire = BytesMut::from(&garbage[..]);
            assert!(!matches!(server.decode(&mut wire), Ok(Some(_))));
            Ok(())
        })
        .unwrap();
}

/// A frame that an attacker on the network repeats is refused.
#[test]
fn a_repeated_frame_is_refused() {
    let (mut client, mut server) = codec_pair();
    let mut wire = BytesMut::new();
    client.encode(envelope("x", 1), &mut wire).unwrap();
    let copy = wire.clone();
    wire.extend_from_slice(&copy);
    assert!(server.decode(&mut wire).unwrap().is_some());
    assert!(server.decode(&mut wire).is_err());
}
