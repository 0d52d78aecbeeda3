//! Hosts that start, and the host from which they get the platform's lists.

mod gateway_world;

use std::sync::Arc;
use std::time::Duration;

use banyanarch::gateway::Catalog;
use banyanarch::gateway::ReaderClaim;
use gateway_world::TestHost;
use gateway_world::catalog::FakeCatalog;
use gateway_world::conf;
use gateway_world::table;
use gateway_world::upstream::ScriptStep;
use gateway_world::upstream::ScriptedUpstream;
use gateway_world::wait_until;
use tokio::net::TcpListener;

/// A platform with a manifest and one upstream.
async fn platform() -> Arc<FakeCatalog> {
    let catalog = FakeCatalog::new(table(1));
    let upstream = ScriptedUpstream::start([ScriptStep::Respond(200, "a")]).await;
    catalog.list("a", "app", upstream.addr);
    catalog
}

/// Guards against hosts that each read the platform when many start at once.
#[tokio::test]
async fn a_starting_host_gets_all_lists_from_the_reader_of_its_domain() {
    let catalog = platform().await;
    catalog.evacuate("there");
    let first = TestHost::start("first", &catalog).await;
    for name in ["second", "third"] {
        let link = catalog.separate_link();
        let host = TestHost::start(name, &link).await;
        assert_eq!((link.reads(), link.whole_reads()), (0, 0), "{name}");
        let found = r#""event":"starting_reader_found","reader":"first","is_own":false"#;
        wait_until(|| host.log.text().contains(found)).await;
        wait_until(|| host.log.text().contains(r#""evacuated":["there"]"#)).await;
    }
    first.wait_for_hosts(3).await;
}

/// Guards against hosts that each ask the platform again and again for a manifest that it does not
/// have yet.
#[tokio::test]
async fn a_manifest_that_is_missing_is_requested_by_the_reader_alone() {
    let catalog = Arc::new(FakeCatalog::default());
    let _first = TestHost::start("first", &catalog).await;
    let link = catalog.separate_link();
    let second = TestHost::start_without_waiting(conf("second"), &link).await;
    let lost = r#""event":"dependency_lost","dependency":"manifest","error":"no such object""#;
    wait_until(|| second.log.text().contains(lost)).await;
    catalog.publish(table(1));
    wait_until(|| second.gateway.is_ready()).await;
    assert_eq!(link.reads(), 0);
}

/// Guards against hosts that wait for a reader that does not respond.
#[tokio::test]
async fn a_silent_reader_is_replaced() {
    let catalog = platform().await;
    let silent = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let claim = ReaderClaim {
        host: "silent".parse().unwrap(),
        addr: silent.local_addr().unwrap(),
        replaces: None,
    };
    let domain = "here".parse().unwrap();
    catalog.claim_starting_reader(domain, claim).await.unwrap();
    let host = TestHost::start("host", &catalog).await;
    let found = r#""event":"starting_reader_found","reader":"host","is_own":true"#;
    wait_until(|| host.log.text().contains(found)).await;
    let entry = catalog.starting_reader("here".parse().unwrap()).await;
    assert_eq!(entry.unwrap().unwrap().host.as_str(), "host");
}

/// Guards against a host that never starts because the reader of its domain is cut off from the
/// platform.
#[tokio::test]
async fn a_host_reads_itself_if_the_lists_of_the_reader_are_old() {
    let catalog = platform().await;
    let cut_off = catalog.separate_link();
    let reader = TestHost::start("reader", &cut_off).await;
    cut_off.set_unreachable(true);
    let is_old = |age: Duration| age > Duration::from_millis(2_500);
    wait_until(|| reader.gateway.manifest_age().is_some_and(is_old)).await;
    let host = TestHost::start("host", &catalog).await;
    let found = r#""event":"starting_reader_found","reader":"reader","is_own":false"#;
    assert!(host.log.text().contains(found));
}
