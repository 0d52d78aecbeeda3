//! Tests of hosts of adjacent versions that run side by side during a rolling upgrade.

mod gateway_world;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use banyanarch::exchange::HostUpdate;
use banyanarch::exchange::ListedHost;
use banyanarch::gateway::Catalog;
use banyanarch::gateway::Gateway;
use bytes::Bytes;
use futures_util::SinkExt;
use futures_util::StreamExt;
use gateway_world::TestHost;
use gateway_world::catalog::FakeCatalog;
use gateway_world::request;
use gateway_world::table;
use gateway_world::upstream::ScriptStep;
use gateway_world::upstream::ScriptedUpstream;
use gateway_world::wait_until;
use indexmap::IndexMap;
use prost::Message;
use tokio::net::TcpListener;
use tokio_util::codec::Framed;
use tokio_util::codec::LengthDelimitedCodec;

/// The number of the list of upstreams in a [`ReadRequest`].
const UPSTREAMS: i32 = 1;

/// A request for a list in the format of the previous version.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
struct ReadRequest {
    #[prost(int32, tag = "1")]
    list: i32,
    #[prost(uint64, tag = "2")]
    known_version: u64,
}

/// An upstream entry in the format of the previous version, which identifies upstreams by name
/// alone.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
struct PreviousUpstreamEntry {
    #[prost(string, tag = "1")]
    id: String,
    #[prost(string, tag = "2")]
    service: String,
    #[prost(string, tag = "3")]
    addr: String,
    #[prost(string, tag = "4")]
    domain: String,
    #[prost(uint32, tag = "5")]
    slots: u32,
}

/// The response to a [`ReadRequest`] in the format of the previous version.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
struct ReadResponse {
    #[prost(uint64, tag = "1")]
    version: u64,
    #[prost(message, repeated, tag = "4")]
    upstreams: Vec<PreviousUpstreamEntry>,
}

/// Responds like a host of the previous version that has read one upstream.
async fn serve_reads(listener: TcpListener, upstream: SocketAddr) {
    while let Ok((stream, _)) = listener.accept().await {
        tokio::spawn(async move {
            let mut framed = Framed::new(stream, LengthDelimitedCodec::new());
            while let Some(Ok(frame)) = framed.next().await {
                let request = ReadRequest::decode(frame).unwrap();
                let response = respond(&request, upstream).encode_to_vec();
                framed.send(Bytes::from(response)).await.unwrap();
            }
        });
    }
}

/// The response of a host that has one upstream, `b`, and no newer version of any other list.
fn respond(request: &ReadRequest, upstream: SocketAddr) -> ReadResponse {
    if request.list != UPSTREAMS {
        return ReadResponse {
            version: request.known_version,
            upstreams: Vec::new(),
        };
    }
    let entry = PreviousUpstreamEntry {
        id: "b".to_owned(),
        service: "app".to_owned(),
        addr: upstream.to_string(),
        domain: "here".to_owned(),
        slots: 6,
    };
    ReadResponse {
        version: 7,
        upstreams: vec![entry],
    }
}

/// Records loads of the host `a-previous` again and again, so that it counts as alive.
async fn keep_host_alive(gateway: Arc<Gateway>) {
    loop {
        let now = gateway.clock.now();
        let host = "a-previous".parse().unwrap();
        gateway
            .ledger()
            .record_host_loads(host, 1, IndexMap::new(), now);
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Guards against hosts of the newer version that have no upstream left during a rolling upgrade,
/// since they read through a peer of the previous version whose entries lack a field.
#[tokio::test]
async fn a_host_reads_through_a_peer_of_the_previous_version() {
    let catalog = FakeCatalog::new(table(1));
    let (listed, received) = (
        ScriptedUpstream::start([ScriptStep::Respond(200, "listed")]).await,
        ScriptedUpstream::start([ScriptStep::Respond(200, "received")]).await,
    );
    catalog.list("a", "app", listed.addr);
    let host = TestHost::start("b-newer", &catalog).await;
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let previous = ListedHost {
        host: "a-previous".parse().unwrap(),
        domain: "here".parse().unwrap(),
        exchange_addr: listener.local_addr().unwrap(),
        processors: None,
    };
    tokio::spawn(serve_reads(listener, received.addr));
    tokio::spawn(keep_host_alive(Arc::clone(&host.gateway)));
    catalog.register_host(previous).await.unwrap();
    wait_until(|| host.gateway.platform_view.is_usable(&"b".parse().unwrap())).await;
    let res = host.call(request("/safe/1")).await;
    assert_eq!(res.body().as_ref(), b"received");
    assert_eq!(received.arrivals()[0].header("test-upstream"), Some("b"));
}

/// An update in the format of the previous version, which knows nothing of leaving upstreams.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
struct PreviousHostUpdate {
    #[prost(string, tag = "1")]
    host: String,
    #[prost(uint64, tag = "3")]
    sequence: u64,
}

/// Guards against a host of the previous version that can't read the updates of this one.
#[test]
fn the_previous_version_reads_updates_that_name_leaving_upstreams() {
    let update = HostUpdate {
        host: "first".to_owned(),
        sequence: 7,
        leaving_upstreams: vec![1, 2],
        ..HostUpdate::default()
    };
    let read = PreviousHostUpdate::decode(update.encode_to_vec().as_slice()).unwrap();
    assert_eq!((read.host.as_str(), read.sequence), ("first", 7));
    let previous = HostUpdate::decode(read.encode_to_vec().as_slice()).unwrap();
    assert!(previous.leaving_upstreams.is_empty());
}
