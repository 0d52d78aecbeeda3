//! The protocol between hosts: who is let in, what is refused, and what a bad peer can disturb.

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

const PATIENCE: Duration = Duration::from_secs(10);

/// Answers a call with its own name; the name `wait` is answered only when the test says so.
struct Echo {
    release: CancellationToken,
}

impl PeerHandler for Echo {
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

/// All hosts have one address, but for those that are named.
struct Fixed(SocketAddr, &'static str, SocketAddr);

impl PeerAddrs for Fixed {
    fn peer_addr(&self, host: &HostId) -> Option<SocketAddr> {
        match host.as_str() {
            "nowhere" => None,
            name if name == self.1 => Some(self.2),
            _ => Some(self.0),
        }
    }
}

struct Server {
    addr: SocketAddr,
    release: CancellationToken,
    traffic: Arc<Traffic>,
    stop: CancellationToken,
}

fn keys(ids: &[&str]) -> Keyring {
    let key = |id: &&str| PeerKey {
        id: (*id).to_owned(),
        secret: format!("secret of the key {id}"),
    };
    Keyring::new(ids.iter().map(key).collect())
}

fn traffic() -> Arc<Traffic> {
    Arc::new(Traffic::new(Arc::new(SystemClock), 4_096))
}

async fn server(ids: &[&str]) -> Server {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    let addr = listener.local_addr().unwrap();
    let release = CancellationToken::new();
    let stop = CancellationToken::new();
    let traffic = traffic();
    let handler = Arc::new(Echo {
        release: release.clone(),
    });
    let host = "server".parse().unwrap();
    let rng = StdRng::seed_from_u64(1);
    let server = PeerServer::new(host, keys(ids), handler, Arc::clone(&traffic), rng);
    tokio::spawn(Arc::new(server).serve(listener, stop.clone()));
    Server {
        addr,
        release,
        traffic,
        stop,
    }
}

fn pool(addr: SocketAddr, ids: &[&str]) -> PeerPool {
    let host = "client".parse().unwrap();
    let rng = StdRng::seed_from_u64(2);
    let addrs = Arc::new(Fixed(addr, "", addr));
    PeerPool::new(host, keys(ids), addrs, traffic(), rng)
}

fn call(name: &str) -> Message {
    Message::PlatformCall(PlatformCall {
        name: name.to_owned(),
        ..PlatformCall::default()
    })
}

async fn ask(pool: &PeerPool, to: &str, name: &str) -> Result<String, PeerError> {
    match pool
        .request(&to.parse().unwrap(), call(name), PATIENCE)
        .await?
    {
        Message::PlatformReply(reply) => Ok(reply.why),
        other => panic!("unexpected {other:?}"),
    }
}

/// Waits until a server has refused this many connections, and no more. It counts one after it has
/// told the other end, which may be faster.
async fn refused(traffic: &Traffic, count: u64) {
    let counting = async {
        while traffic.refused_connections() < count {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    };
    let counted = tokio::time::timeout(PATIENCE, counting).await;
    assert!(counted.is_ok(), "refused {}", traffic.refused_connections());
    assert_eq!(traffic.refused_connections(), count);
}

/// One slow call (a platform that hangs) shares its connection with quick ones. If calls were
/// handled one after the other, every grant between two hosts would wait behind it.
#[tokio::test]
async fn a_slow_call_delays_no_other_on_its_connection() {
    let server = server(&["a"]).await;
    let pool = Arc::new(pool(server.addr, &["a"]));
    let slow = {
        let pool = Arc::clone(&pool);
        tokio::spawn(async move { ask(&pool, "server", "wait").await })
    };
    for n in 0..100 {
        let answer = ask(&pool, "server", &format!("call-{n}")).await.unwrap();
        assert_eq!(answer, format!("call-{n} by client"));
    }
    server.release.cancel();
    assert_eq!(slow.await.unwrap().unwrap(), "wait by client");
    assert_eq!(pool.link_count(), 1);
}

/// Rotation in three steps: the new key is added, moved to the front, and the old one removed.
/// Hosts stand at neighbouring steps meanwhile; none may be refused. A host that has only a key
/// which nobody else has is a stranger.
#[parameterized(
    added_at_server = { &["old", "new"], &["old"], true },
    added_at_client = { &["old"], &["old", "new"], true },
    moved_at_client = { &["old", "new"], &["new", "old"], true },
    removed_at_server = { &["new"], &["new", "old"], true },
    stranger = { &["old", "new"], &["other"], false },
)]
fn keys_rotate_without_a_stop(at_server: &[&str], at_client: &[&str], is_let_in: bool) {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    runtime.block_on(async {
        let server = server(at_server).await;
        let pool = pool(server.addr, at_client);
        let answer = ask(&pool, "server", "x").await;
        assert_eq!(answer.is_ok(), is_let_in, "{answer:?}");
        if let Err(error) = answer {
            assert!(error.to_string().contains("key `other`"), "{error}");
            refused(&server.traffic, 1).await;
        }
    });
}

/// The stranger knows a key's name but not its secret.
#[tokio::test]
async fn a_wrong_secret_under_a_known_name_is_refused() {
    let server = server(&["a"]).await;
    let forged = Keyring::new(vec![PeerKey {
        id: "a".to_owned(),
        secret: "a guess of sixteen characters".to_owned(),
    }]);
    let addrs = Arc::new(Fixed(server.addr, "", server.addr));
    let rng = StdRng::seed_from_u64(3);
    let pool = PeerPool::new("client".parse().unwrap(), forged, addrs, traffic(), rng);
    let error = ask(&pool, "server", "x").await.unwrap_err();
    assert!(matches!(error, PeerError::Unreachable(_)), "{error}");
}

/// After replacements an address may belong to another host. A grant request that reached it
/// would be answered by a host that is not the home.
#[tokio::test]
async fn an_address_that_belongs_to_another_host_is_noticed() {
    let server = server(&["a"]).await;
    let pool = pool(server.addr, &["a"]);
    let error = ask(&pool, "other", "x").await.unwrap_err();
    assert!(error.to_string().contains("belongs to server"), "{error}");
    let error = ask(&pool, "nowhere", "x").await.unwrap_err();
    assert_eq!(error, PeerError::UnknownHost);
}

/// Somebody who can read the wire records a whole connection and plays its bytes again later,
/// hoping that the calls in it run a second time.
#[tokio::test]
async fn a_recorded_connection_cannot_be_played_again() {
    let server = server(&["a"]).await;
    let tap = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    let pool = pool(tap.local_addr().unwrap(), &["a"]);
    let recording = tokio::spawn(async move {
        let (mut client, _) = tap.accept().await.unwrap();
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
    assert!(ask(&pool, "server", "x").await.is_ok());
    drop(pool);
    let recorded = recording.await.unwrap();
    let before = server.traffic.refused_connections();
    let mut replay = TcpStream::connect(server.addr).await.unwrap();
    replay.write_all(&recorded).await.unwrap();
    replay.shutdown().await.unwrap();
    let mut answer = Vec::new();
    // Reading ends when the server closes, by an error or without one.
    let _ = replay.read_to_end(&mut answer).await;
    refused(&server.traffic, before + 1).await;
}

/// A port scanner, a browser or a broken program talks to the peer port. Its connection is closed;
/// the connections of hosts go on.
#[parameterized(
    http = { b"GET / HTTP/1.1\r\nHost: x\r\n\r\n" },
    huge_length = { &[0xff; 64] },
    empty_frame = { &[0, 0, 0, 0] },
    zeros = { &[0; 64] },
)]
fn garbage_closes_only_its_own_connection(garbage: &[u8]) {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    runtime.block_on(async {
        let server = server(&["a"]).await;
        let pool = pool(server.addr, &["a"]);
        ask(&pool, "server", "before").await.unwrap();
        let mut stranger = TcpStream::connect(server.addr).await.unwrap();
        stranger.write_all(garbage).await.unwrap();
        let mut rest = Vec::new();
        let _ = stranger.read_to_end(&mut rest).await;
        ask(&pool, "server", "after").await.unwrap();
        assert_eq!(pool.link_count(), 1);
    });
}

/// A host is frozen: its machine still accepts connections, nothing answers. Callers that ask it
/// lose their own timeouts; callers of other hosts notice nothing.
#[tokio::test]
async fn a_frozen_peer_costs_only_its_own_callers() {
    let server = server(&["a"]).await;
    let frozen = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    let addrs = Arc::new(Fixed(server.addr, "frozen", frozen.local_addr().unwrap()));
    let rng = StdRng::seed_from_u64(5);
    let pool = PeerPool::new(
        "client".parse().unwrap(),
        keys(&["a"]),
        addrs,
        traffic(),
        rng,
    );
    let to = "frozen".parse().unwrap();
    let asked = pool.request(&to, call("x"), Duration::from_millis(50));
    assert_eq!(asked.await.unwrap_err(), PeerError::NoReply);
    for _ in 0..5_000 {
        pool.send(&to, call("y"));
    }
    let full = pool.request(&to, call("z"), PATIENCE).await.unwrap_err();
    assert!(matches!(full, PeerError::Unreachable(_)), "{full}");
    ask(&pool, "server", "x").await.unwrap();
}

/// A host is replaced by one of the same name at the same address.
#[tokio::test]
async fn a_restarted_peer_is_connected_to_again() {
    let first = server(&["a"]).await;
    let pool = pool(first.addr, &["a"]);
    ask(&pool, "server", "x").await.unwrap();
    first.stop.cancel();
    let listener = loop {
        match TcpListener::bind(first.addr).await {
            Ok(listener) => break listener,
            Err(_) => tokio::time::sleep(Duration::from_millis(10)).await,
        }
    };
    let handler = Arc::new(Echo {
        release: CancellationToken::new(),
    });
    let host = "server".parse().unwrap();
    let rng = StdRng::seed_from_u64(4);
    let second = PeerServer::new(host, keys(&["a"]), handler, traffic(), rng);
    tokio::spawn(Arc::new(second).serve(listener, CancellationToken::new()));
    while ask(&pool, "server", "x").await.is_err() {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// A message above the frame bound fails by itself; the connection and its other calls go on.
#[tokio::test]
async fn a_message_that_is_too_large_fails_alone() {
    let server = server(&["a"]).await;
    let pool = pool(server.addr, &["a"]);
    let name = "x".repeat(FRAME_SIZE_MAX);
    let error = ask(&pool, "server", &name).await.unwrap_err();
    assert!(matches!(error, PeerError::BadFrame(_)), "{error}");
    ask(&pool, "server", "x").await.unwrap();
}

fn codec_pair() -> (EnvelopeCodec, EnvelopeCodec) {
    let seal = |key: &[u8]| FrameAuthenticator::new(key).unwrap();
    let client = EnvelopeCodec::new("server", seal(b"up"), seal(b"down"));
    let server = EnvelopeCodec::new("client", seal(b"down"), seal(b"up"));
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

/// Whatever is cut into whatever pieces comes out whole and in order.
#[test]
fn envelopes_survive_any_cut() {
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

/// Any change of any byte on the way, and any garbage, is an error or a frame that never ends; it
/// is never taken for a message and never panics.
#[test]
fn changed_bytes_are_never_taken_for_a_message() {
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

/// A frame that is repeated on the way, as by a resender in the middle, is refused.
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
