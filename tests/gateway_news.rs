//! Tests of updates that reach a gateway through collectors, and of the hosts from which it
//! requests lists when it starts.

mod gateway_world;

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Instant;

use banyanarch::exchange::ExchangeHandler;
use banyanarch::exchange::HostUpdate;
use banyanarch::exchange::ListedHost;
use banyanarch::exchange::LoadEntry;
use banyanarch::exchange::MessageScope;
use banyanarch::exchange::UpstreamHash;
use banyanarch::gateway::Catalog;
use banyanarch::units::Millicores;
use gateway_world::TestHost;
use gateway_world::catalog::FakeCatalog;
use gateway_world::table;
use gateway_world::upstream::ScriptStep;
use gateway_world::upstream::ScriptedUpstream;
use tokio::net::TcpListener;

/// A load entry that identifies its upstream by hash alone.
fn load(hash: u64, in_flight: u32) -> LoadEntry {
    LoadEntry {
        upstream_hash: hash,
        in_flight,
        ..LoadEntry::default()
    }
}

/// An update in which a collector sends the loads of its whole failure domain.
fn domain_update(loads: Vec<LoadEntry>, is_partial: bool) -> HostUpdate {
    HostUpdate {
        host: "far-collector".to_owned(),
        incarnation: 7,
        scope: MessageScope::Domain.into(),
        is_partial,
        loads,
        ..HostUpdate::default()
    }
}

/// Guards against loads of another failure domain that are applied wrongly. A collector sends all
/// loads of its domain, then a delta, then all again. It identifies upstreams by their hashes, one
/// of which this host does not know yet.
#[tokio::test]
async fn load_of_another_domain_arrives_through_its_collector() {
    let catalog = FakeCatalog::new(table(1));
    let engine = ScriptedUpstream::start([ScriptStep::Respond(200, "a")]).await;
    catalog.list("a", "llm", engine.addr);
    catalog.list("b", "llm", engine.addr);
    let host = TestHost::start("host", &catalog).await;
    let hash = |id: &str| UpstreamHash::of(id).0;
    let all = vec![load(hash("a"), 3), load(hash("b"), 2), load(hash("new"), 9)];
    host.gateway.on_update(domain_update(all, false));
    host.gateway
        .on_update(domain_update(vec![load(hash("a"), 5)], true));
    let in_flight = |id: &str| {
        let ledger = host.gateway.ledger();
        ledger.load(&id.parse().unwrap(), Instant::now()).in_flight
    };
    assert_eq!((in_flight("a"), in_flight("b")), (5, 2));
    host.gateway
        .on_update(domain_update(vec![load(hash("b"), 1)], false));
    assert_eq!((in_flight("a"), in_flight("b")), (0, 1));
}

/// Guards against hosts that wait for dead peers when they start. After a power loss, hosts that
/// found the others on the list requested lists from them before reading the platform themselves,
/// and waited for those that were down: 674 calls were refused instead of 186.
#[tokio::test]
async fn a_starting_host_reads_before_it_asks_others() {
    let catalog = FakeCatalog::new(table(1));
    let upstream = ScriptedUpstream::start([ScriptStep::Respond(200, "a")]).await;
    catalog.list("a", "app", upstream.addr);
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let silent = ListedHost {
        host: "a-silent".parse().unwrap(),
        domain: "here".parse().unwrap(),
        exchange_addr: listener.local_addr().unwrap(),
        processors: Some(Millicores(1_000)),
    };
    catalog.register_host(silent).await.unwrap();
    let reads_when_asked = Arc::new(Mutex::new(None));
    let (result, link) = (Arc::clone(&reads_when_asked), Arc::clone(&catalog));
    tokio::spawn(async move {
        let _connection = listener.accept().await.unwrap();
        *result.lock().unwrap() = Some(link.reads());
        std::future::pending::<()>().await;
    });
    let _host = TestHost::start("host", &catalog).await;
    let reads = *reads_when_asked.lock().unwrap();
    assert!(
        reads.is_none_or(|reads| reads >= 1),
        "another host was asked before the first read of the platform"
    );
}
