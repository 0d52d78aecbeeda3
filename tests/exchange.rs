//! The exchange of updates between hosts over UDP: the codec, and how often updates are sent.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use banyanarch::exchange::Exchange;
use banyanarch::exchange::ExchangeHandler;
use banyanarch::exchange::HostUpdate;
use banyanarch::exchange::ListedHost;
use banyanarch::exchange::LoadEntry;
use banyanarch::exchange::UpdateCodec;
use banyanarch::exchange::UpdateRoute;
use banyanarch::units::FailureDomainId;
use banyanarch::units::HostId;
use bytes::Bytes;
use bytes::BytesMut;
use prost::Message;
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio_util::codec::Decoder;
use tokio_util::codec::Encoder;

struct RecordingHandler {
    name: &'static str,
    hosts: Mutex<Arc<Vec<ListedHost>>>,
    received: Mutex<Vec<HostUpdate>>,
    changed: Notify,
    urgent: Notify,
}

impl RecordingHandler {
    fn new(name: &'static str) -> Arc<Self> {
        Arc::new(Self {
            name,
            hosts: Mutex::default(),
            received: Mutex::default(),
            changed: Notify::new(),
            urgent: Notify::new(),
        })
    }

    fn received(&self) -> usize {
        self.received.lock().unwrap().len()
    }
}

impl ExchangeHandler for RecordingHandler {
    fn local_update(&self) -> HostUpdate {
        HostUpdate {
            host: self.name.to_owned(),
            ..HostUpdate::default()
        }
    }

    fn on_update(&self, update: HostUpdate) {
        self.received.lock().unwrap().push(update);
    }

    fn host(&self) -> HostId {
        self.name.parse().unwrap()
    }

    fn domain(&self) -> FailureDomainId {
        "here".parse().unwrap()
    }

    fn hosts(&self) -> Arc<Vec<ListedHost>> {
        self.hosts.lock().unwrap().clone()
    }

    fn on_update_route(&self, _route: UpdateRoute) {}

    fn change_notify(&self) -> &Notify {
        &self.changed
    }

    fn urgent_change_notify(&self) -> &Notify {
        &self.urgent
    }
}

/// A host of a version without support for collectors, to which every other host sends directly.
fn legacy_host(name: &str, addr: SocketAddr) -> ListedHost {
    ListedHost {
        host: name.parse().unwrap(),
        domain: "here".parse().unwrap(),
        exchange_addr: addr,
        processors: None,
    }
}

fn encoded(update: &HostUpdate) -> Bytes {
    Bytes::from(update.encode_to_vec())
}

async fn wait_until(mut is_true: impl FnMut() -> bool) {
    let waiting = async {
        while !is_true() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    let waited = tokio::time::timeout(Duration::from_secs(20), waiting).await;
    waited.expect("the condition holds before the timeout");
}

#[test]
fn a_message_is_one_datagram() {
    let update = HostUpdate {
        host: "edge-1".to_owned(),
        loads: vec![LoadEntry {
            upstream: "i-7".to_owned(),
            in_flight: 3,
            ..LoadEntry::default()
        }],
        ..HostUpdate::default()
    };
    let mut bytes = BytesMut::new();
    UpdateCodec.encode(encoded(&update), &mut bytes).unwrap();
    assert_eq!(UpdateCodec.decode(&mut bytes).unwrap(), Some(update));
    assert!(bytes.is_empty());
}

/// The bytes of a stray datagram must not be taken for the beginning of the next message, which
/// would make all later messages unreadable.
#[test]
fn an_undecodable_datagram_is_discarded_whole() {
    let mut bytes = BytesMut::from(&b"\xff\xff\xff not a message"[..]);
    assert!(UpdateCodec.decode(&mut bytes).is_err());
    assert!(bytes.is_empty());
}

#[test]
fn an_update_too_long_for_a_datagram_is_rejected() {
    let update = HostUpdate {
        host: "x".repeat(70_000),
        ..HostUpdate::default()
    };
    let mut bytes = BytesMut::new();
    assert!(UpdateCodec.encode(encoded(&update), &mut bytes).is_err());
}

/// In a fleet of 400 hosts, the interval between two updates of a host must not grow so long that
/// others treat the host as dead, forget its load, and all choose the same engines.
#[tokio::test]
async fn hosts_keep_hearing_each_other_in_a_large_fleet() {
    let sockets = [
        UdpSocket::bind("127.0.0.1:0").await.unwrap(),
        UdpSocket::bind("127.0.0.1:0").await.unwrap(),
    ];
    let addrs: Vec<SocketAddr> = sockets.iter().map(|s| s.local_addr().unwrap()).collect();
    let (first, second) = (
        RecordingHandler::new("first"),
        RecordingHandler::new("second"),
    );
    // The rest of the fleet is one port that nobody reads from.
    let nobody = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let mut many = vec![nobody.local_addr().unwrap(); 400];
    many[0] = addrs[1];
    let many = many.into_iter().enumerate();
    let many = many.map(|(index, addr)| legacy_host(&format!("other-{index}"), addr));
    *first.hosts.lock().unwrap() = Arc::new(many.collect());
    *second.hosts.lock().unwrap() = Arc::new(vec![legacy_host("first", addrs[0])]);
    let [one, two] = sockets;
    tokio::spawn(Exchange::new(one, first.clone()).run());
    tokio::spawn(Exchange::new(two, second.clone()).run());
    wait_until(|| second.received() >= 1 && first.received() >= 1).await;
    let before = second.received();
    first.changed.notify_one();
    wait_until(|| second.received() >= before + 3).await;
    assert!(
        second
            .received
            .lock()
            .unwrap()
            .iter()
            .all(|update| update.host == "first")
    );
}
