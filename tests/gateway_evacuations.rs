//! Failure domains that operators evacuate, and upstreams that are cold.

mod gateway_world;

use std::sync::Arc;
use std::time::Duration;

use banyanarch::routing::ColdStart;
use banyanarch::routing::RouteTable;
use banyanarch::routing::Service;
use banyanarch::units::RequestsPerSecond;
use gateway_world::TestHost;
use gateway_world::catalog::FakeCatalog;
use gateway_world::conf;
use gateway_world::request;
use gateway_world::table;
use gateway_world::upstream::ScriptStep;
use gateway_world::upstream::ScriptedUpstream;
use gateway_world::wait_until;
use tokio::time::sleep;

/// A platform with one upstream of the same service in each of the failure domains `here`, which is
/// that of the hosts, and `there`.
struct World {
    catalog: Arc<FakeCatalog>,
    here: ScriptedUpstream,
    there: ScriptedUpstream,
}

impl World {
    async fn start() -> Self {
        let catalog = FakeCatalog::new(table(1));
        let here = ScriptedUpstream::start([ScriptStep::Respond(200, "here")]).await;
        let there = ScriptedUpstream::start([ScriptStep::Respond(200, "there")]).await;
        catalog.list_in("here", "a", "app", here.addr);
        catalog.list_in("there", "b", "app", there.addr);
        Self {
            catalog,
            here,
            there,
        }
    }
}

/// Sends a request to a host and returns the status and the body of the response.
async fn call(host: &TestHost) -> (u16, String) {
    let res = host.call(request("/safe/1")).await;
    let status = res.status().as_u16();
    (status, String::from_utf8(res.into_body().to_vec()).unwrap())
}

/// Waits until a host has logged this number of changes of the evacuations, the first read included.
async fn wait_for_changes(host: &TestHost, count: usize) {
    wait_until(|| host.log.text().matches("evacuations_changed").count() == count).await;
}

/// Guards against requests to upstreams of a failure domain that operators empty.
#[tokio::test]
async fn an_evacuated_failure_domain_gets_no_requests_until_the_evacuation_ends() {
    let world = World::start().await;
    let host = TestHost::start("host", &world.catalog).await;
    assert_eq!(call(&host).await.1, "here");
    world.catalog.evacuate("here");
    wait_for_changes(&host, 2).await;
    for _ in 0..5 {
        assert_eq!(call(&host).await.1, "there");
    }
    world.catalog.end_evacuation("here");
    wait_for_changes(&host, 3).await;
    assert_eq!(call(&host).await.1, "here");
}

/// Guards against requests to an upstream that is listed only after its failure domain was evacuated.
#[tokio::test]
async fn an_upstream_that_starts_in_an_evacuated_failure_domain_gets_no_requests() {
    let world = World::start().await;
    let host = TestHost::start("host", &world.catalog).await;
    world.catalog.evacuate("here");
    wait_for_changes(&host, 2).await;
    let addr = world.here.addr;
    world.catalog.list_in("here", "c", "app", addr);
    wait_until(|| host.log.text().contains(r#""joined":["c"]"#)).await;
    world.catalog.remove("b");
    wait_until(|| host.log.text().contains(r#""left":["b"]"#)).await;
    assert_eq!(call(&host).await, (503, "evacuated\n".to_owned()));
    assert!(world.here.arrivals().is_empty());
}

/// Guards against calls that wait until their deadline although no upstream may serve them.
#[tokio::test]
async fn a_call_is_refused_at_once_if_all_its_upstreams_are_evacuated() {
    let world = World::start().await;
    let host = TestHost::start("host", &world.catalog).await;
    world.catalog.evacuate("here");
    world.catalog.evacuate("there");
    wait_until(|| host.log.text().contains(r#""upstreams":2"#)).await;
    let res = host.call(request("/safe/1")).await;
    assert_eq!(res.status().as_u16(), 503);
    assert_eq!(res.headers()["retry-after"], "2.00");
    assert!(world.here.arrivals().is_empty());
    assert!(world.there.arrivals().is_empty());
    host.gateway.begin_shutdown();
    wait_until(|| host.log.text().contains("stopping")).await;
    let lines = host.log.lines();
    let refused = lines.iter().find(|line| line["event"] == "refused");
    let refused = refused.unwrap();
    assert_eq!(refused["reason"], "evacuated");
    assert_eq!(refused["excluded"]["evacuated"], 2);
}

/// Guards against a host that uses evacuated upstreams because it cannot reach the platform.
#[tokio::test]
async fn a_host_without_the_platform_learns_evacuations_from_another_host() {
    let world = World::start().await;
    world.catalog.evacuate("here");
    let first = TestHost::start("first", &world.catalog).await;
    // The second host reads the list of hosts before its link to the platform fails.
    let link = world.catalog.separate_link();
    let second = TestHost::start("second", &link).await;
    first.wait_for_hosts(2).await;
    second.wait_for_hosts(2).await;
    link.set_unreachable(true);
    world.catalog.evacuate("there");
    wait_until(|| second.log.text().contains(r#""upstreams":2"#)).await;
    assert_eq!(call(&second).await.0, 503);
    assert!(world.here.arrivals().is_empty());
}

/// Guards against a restarted host that serves before it knows the evacuations again.
#[tokio::test]
async fn a_host_that_does_not_know_the_evacuations_is_not_ready() {
    let world = World::start().await;
    world.catalog.set_evacuations_unreadable(true);
    let mut unaware = conf("host");
    unaware.has_evacuations = false;
    assert!(
        TestHost::start_with(unaware, &world.catalog)
            .await
            .gateway
            .is_ready()
    );
    let host = TestHost::start_without_waiting(conf("host-2"), &world.catalog).await;
    wait_until(|| host.log.text().contains(r#""dependency":"evacuations""#)).await;
    assert!(!host.gateway.is_ready());
    assert_eq!(call(&host).await, (503, "no_manifest\n".to_owned()));
    world.catalog.set_evacuations_unreadable(false);
    wait_until(|| host.gateway.is_ready()).await;
}

/// A manifest by which a cold upstream of the service `app` accepts one request in four seconds.
fn table_with_cold_limit() -> RouteTable {
    let mut routes = table(1);
    let name = "app".parse().unwrap();
    let service = Service {
        name,
        engine: None,
        connections_max: None,
        cold: ColdStart {
            time: Duration::from_secs(60),
            rate: Some(RequestsPerSecond(0.25)),
        },
    };
    routes.services.insert(service.name.clone(), service);
    routes
}

/// Guards against cold upstreams that crash because they get as many requests as others.
#[tokio::test]
async fn a_cold_upstream_gets_no_more_than_the_manifest_allows() {
    let catalog = FakeCatalog::new(table_with_cold_limit());
    let upstream = ScriptedUpstream::start([ScriptStep::Respond(200, "a")]).await;
    catalog.list_cold("a", "app", upstream.addr, Duration::from_secs(60));
    let host = TestHost::start("host", &catalog).await;
    // A host that has just started is assumed to have used its share of the limit before.
    while call(&host).await.0 == 503 {
        sleep(Duration::from_millis(50)).await;
    }
    assert_eq!(call(&host).await, (503, "rate_limited\n".to_owned()));
    assert_eq!(upstream.arrivals().len(), 1);
    catalog.list("a", "app", upstream.addr);
    let mut served = 1;
    while served < 3 {
        served += usize::from(call(&host).await.0 == 200);
    }
}

/// Guards against a full load on upstreams that were restarted while their failure domain was
/// evacuated, before the list says that they are cold.
#[tokio::test]
async fn upstreams_are_assumed_cold_after_an_evacuation() {
    let catalog = FakeCatalog::new(table_with_cold_limit());
    let upstream = ScriptedUpstream::start([ScriptStep::Respond(200, "a")]).await;
    catalog.list("a", "app", upstream.addr);
    let host = TestHost::start("host", &catalog).await;
    for _ in 0..5 {
        assert_eq!(call(&host).await.0, 200);
    }
    catalog.evacuate("here");
    wait_for_changes(&host, 2).await;
    catalog.end_evacuation("here");
    wait_for_changes(&host, 3).await;
    assert_eq!(call(&host).await, (503, "rate_limited\n".to_owned()));
    assert_eq!(upstream.arrivals().len(), 5);
}
