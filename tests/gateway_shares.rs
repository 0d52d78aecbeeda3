//! Tests of what a gateway reports of its customers' calls and learns of those of other hosts.

mod gateway_world;

use banyanarch::exchange::CustomerUseEntry;
use banyanarch::exchange::ExchangeHandler;
use banyanarch::exchange::HostUpdate;
use banyanarch::units::CustomerHash;
use banyanarch::units::CustomerId;
use banyanarch::units::ServiceHash;
use banyanarch::units::ServiceId;
use gateway_world::TestHost;
use gateway_world::catalog::FakeCatalog;
use gateway_world::request;
use gateway_world::table;
use gateway_world::upstream::ScriptStep;
use gateway_world::upstream::ScriptedUpstream;
use gateway_world::wait_until;

fn service() -> ServiceId {
    "llm".parse().unwrap()
}

fn customer(name: &str) -> CustomerId {
    name.parse().unwrap()
}

/// An update of another host, at which a customer floods the service.
fn flood(name: &str) -> HostUpdate {
    let entry = CustomerUseEntry {
        service_hash: ServiceHash::from(&service()).0,
        customer_hash: CustomerHash::from(&customer(name)).0,
        wanted_us_per_s: 9_000_000,
        used_us_per_s: 1_000_000,
        call_us: 10_000,
        usual_us_per_s: 20_000,
        usual_call_us: 10_000,
        learned_s: 60,
        ..CustomerUseEntry::default()
    };
    HostUpdate {
        host: "other".to_owned(),
        incarnation: 7,
        customer_uses: vec![entry],
        ..HostUpdate::default()
    }
}

/// Other hosts would not learn of a customer's calls.
#[tokio::test]
async fn a_host_reports_the_calls_of_its_customers() {
    let catalog = FakeCatalog::new(table(1));
    let engine = ScriptedUpstream::start([ScriptStep::Respond(200, "a")]).await;
    catalog.list("a", "app", engine.addr);
    let host = TestHost::start("host", &catalog).await;
    assert_eq!(host.gateway.local_update().customer_uses, []);
    host.call(request("/safe/1")).await;
    let uses = host.gateway.local_update().customer_uses;
    let [entry] = uses.as_slice() else {
        panic!("{uses:?}");
    };
    let plain: ServiceId = "app".parse().unwrap();
    assert_eq!(entry.service_hash, ServiceHash::from(&plain).0);
    assert_eq!(entry.customer_hash, CustomerHash::from(&customer("acme")).0);
    assert_eq!(entry.wanted_us_per_s, 10_000);
}

/// A host that has never seen a customer lets it have every place, although others know that it
/// floods the service.
#[tokio::test]
async fn a_host_learns_of_a_flood_at_other_hosts() {
    let catalog = FakeCatalog::new(table(1));
    let host = TestHost::start("host", &catalog).await;
    host.gateway.on_update(flood("acme"));
    let now = host.gateway.clock.now();
    let is_above = |name: &str| {
        let shares = host.gateway.shares();
        let standing = shares.standing(&service(), &customer(name), now);
        standing.is_above_share()
    };
    assert!(is_above("acme"));
    assert!(!is_above("globex"));
}

/// A customer whose keys the manifest no longer contains keeps its part of the service.
#[tokio::test]
async fn a_customer_without_keys_is_forgotten() {
    let catalog = FakeCatalog::new(table(1));
    let host = TestHost::start("host", &catalog).await;
    host.gateway.on_update(flood("former"));
    catalog.publish(table(2));
    wait_until(|| {
        let now = host.gateway.clock.now();
        let shares = host.gateway.shares();
        let figures = shares.figures(&service(), &customer("former"), now);
        figures.usual_us_per_s <= 0.0
    })
    .await;
    let routes = host.gateway.platform_view.routes();
    assert_eq!(routes.unwrap().generation.0, 2);
}
