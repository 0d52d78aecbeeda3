//! Failure domains that operators evacuate, and upstreams that are cold.

mod gateway_world;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use banyanarch::exchange::ExchangeHandler;
use banyanarch::exchange::HostUpdate;
use banyanarch::exchange::ListedHost;
use banyanarch::gateway::Catalog;
use banyanarch::routing::ColdStart;
use banyanarch::routing::RouteTable;
use banyanarch::routing::Service;
use banyanarch::units::ObjectVersion;
use banyanarch::units::RequestsPerSecond;
use banyanarch::units::StoreEra;
use bytes::Bytes;
use futures_util::SinkExt;
use futures_util::StreamExt;
use gateway_world::TestHost;
use gateway_world::catalog::FakeCatalog;
use gateway_world::conf;
use gateway_world::request;
use gateway_world::table;
use gateway_world::upstream::ScriptStep;
use gateway_world::upstream::ScriptedUpstream;
use gateway_world::wait_until;
use prost::Message;
use tokio::net::TcpListener;
use tokio::time::sleep;
use tokio_util::codec::Framed;
use tokio_util::codec::LengthDelimitedCodec;

/// The number of the list of evacuations in a [`ReadRequest`].
const EVACUATIONS: i32 = 3;
/// The name of a host that the test plays.
const OTHER: &str = "a-other";

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

/// The hosts `a-first`, which reads the platform, and `b-second`, which reads through it, each with
/// its own link to the platform.
async fn two_hosts(world: &World) -> [(TestHost, Arc<FakeCatalog>); 2] {
    let mut hosts = Vec::new();
    for name in ["a-first", "b-second"] {
        let link = world.catalog.separate_link();
        hosts.push((TestHost::start(name, &link).await, link));
    }
    for (host, _) in &hosts {
        host.wait_for_hosts(2).await;
    }
    hosts.try_into().ok().unwrap()
}

/// Waits until a host has logged that it can no longer read the evacuations.
async fn wait_for_loss(host: &TestHost) {
    let is_loss = |line: &serde_json::Value| {
        line["event"] == "dependency_lost" && line["dependency"] == "evacuations"
    };
    wait_until(|| host.log.lines().iter().any(is_loss)).await;
}

/// Guards against a host that lacks the evacuations for as long as it cannot read them itself,
/// although another host has them again, because its other lists were never lost.
#[tokio::test]
async fn evacuations_that_are_lost_alone_are_regained_from_another_host() {
    let world = World::start().await;
    let [(first, first_link), (second, second_link)] = two_hosts(&world).await;
    for link in [&first_link, &second_link] {
        link.set_evacuations_unreadable(true);
    }
    wait_for_loss(&first).await;
    wait_for_loss(&second).await;
    first_link.set_evacuations_unreadable(false);
    world.catalog.evacuate("here");
    wait_for_changes(&first, 2).await;
    wait_for_changes(&second, 2).await;
    assert_eq!(call(&second).await.1, "there");
    // From then on the second host reads through the first one again.
    let (read_before, called_before) = (
        first_link.evacuation_reads(),
        second_link.evacuation_reads(),
    );
    wait_until(|| first_link.evacuation_reads() >= read_before + 3).await;
    assert_eq!(second_link.evacuation_reads(), called_before);
}

/// A request of a host for a list of another one.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
struct ReadRequest {
    #[prost(int32, tag = "1")]
    list: i32,
    #[prost(uint64, tag = "2")]
    known_version: u64,
}

/// The response of a host to a request for evacuations, none of which it knows.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
struct ReadResponse {
    #[prost(uint64, tag = "1")]
    version: u64,
    #[prost(uint64, tag = "2")]
    age_ms: u64,
    #[prost(uint64, tag = "12")]
    as_of: u64,
}

/// Responds as the host [`OTHER`] to requests for evacuations, and counts them. That host has the
/// same versions of the other lists as the one that requests them.
async fn serve_evacuations(
    listener: TcpListener,
    response: ReadResponse,
    requests: Arc<AtomicUsize>,
) {
    while let Ok((stream, _)) = listener.accept().await {
        let (response, requests) = (response.clone(), Arc::clone(&requests));
        tokio::spawn(async move {
            let mut framed = Framed::new(stream, LengthDelimitedCodec::new());
            while let Some(Ok(frame)) = framed.next().await {
                let request = ReadRequest::decode(frame).unwrap();
                let is_evacuations = request.list == EVACUATIONS;
                let unchanged = ReadResponse {
                    version: request.known_version,
                    ..ReadResponse::default()
                };
                let response = if is_evacuations {
                    &response
                } else {
                    &unchanged
                };
                let bytes = Bytes::from(response.encode_to_vec());
                framed.send(bytes).await.unwrap();
                requests.fetch_add(usize::from(is_evacuations), Ordering::Relaxed);
            }
        });
    }
}

/// Lists the host [`OTHER`], and delivers its updates for as long as the test runs.
async fn list_other(world: &World, host: &TestHost, exchange_addr: SocketAddr) {
    let other = ListedHost {
        host: OTHER.parse().unwrap(),
        domain: "here".parse().unwrap(),
        exchange_addr,
        processors: None,
    };
    world.catalog.register_host(other).await.unwrap();
    let gateway = Arc::clone(&host.gateway);
    tokio::spawn(async move {
        loop {
            gateway.on_update(HostUpdate {
                host: OTHER.to_owned(),
                confirmed_age_plus_one_ms: 1,
                evacuations_age_plus_one_ms: 1,
                ..HostUpdate::default()
            });
            sleep(Duration::from_millis(10)).await;
        }
    });
    host.wait_for_hosts(2).await;
}

/// Guards against requests to other hosts without end while one of them reports evacuations that it
/// does not have.
#[tokio::test]
async fn a_host_that_has_no_fresh_evacuations_is_asked_at_a_bounded_rate() {
    let world = World::start().await;
    let host = TestHost::start("b-host", &world.catalog).await;
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let exchange_addr = listener.local_addr().unwrap();
    let response = ReadResponse {
        version: 7,
        age_ms: 60_000,
        as_of: 0,
    };
    let requests = Arc::new(AtomicUsize::new(0));
    tokio::spawn(serve_evacuations(listener, response, Arc::clone(&requests)));
    list_other(&world, &host, exchange_addr).await;
    world.catalog.set_evacuations_unreadable(true);
    wait_until(|| requests.load(Ordering::Relaxed) >= 1).await;
    let since = Instant::now();
    wait_until(|| requests.load(Ordering::Relaxed) >= 21).await;
    // Each read asks at most two hosts, and reads are a tenth of a second apart.
    assert!(since.elapsed() >= Duration::from_millis(900));
}

/// Guards against an evacuation that a host forgets because another host has read the list before
/// the evacuation, although it has requested it later.
#[tokio::test]
async fn an_evacuation_is_not_undone_by_the_earlier_list_of_another_host() {
    let world = World::start().await;
    world.catalog.evacuate("there");
    world.catalog.end_evacuation("there");
    let host = TestHost::start("b-host", &world.catalog).await;
    world.catalog.evacuate("here");
    wait_for_changes(&host, 2).await;
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let exchange_addr = listener.local_addr().unwrap();
    let response = ReadResponse {
        version: 7,
        age_ms: 0,
        as_of: ObjectVersion::in_era(StoreEra(0), 2).0,
    };
    let requests = Arc::new(AtomicUsize::new(0));
    tokio::spawn(serve_evacuations(listener, response, Arc::clone(&requests)));
    list_other(&world, &host, exchange_addr).await;
    world.catalog.set_evacuations_unreadable(true);
    wait_until(|| requests.load(Ordering::Relaxed) >= 2).await;
    assert_eq!(call(&host).await.1, "there");
    assert_eq!(host.log.text().matches("evacuations_changed").count(), 2);
}

/// The lease of hosts whose tests wait for its end.
const SHORT_LEASE: Duration = Duration::from_secs(3);

/// Starts a host with a short lease on the evacuations, and none on keys.
async fn start_with_short_lease(name: &str, catalog: &Arc<FakeCatalog>) -> TestHost {
    let mut conf = conf(name);
    conf.evacuation_lease = Some(SHORT_LEASE);
    conf.key_lease = None;
    TestHost::start_with(conf, catalog).await
}

/// Whether a host has logged this state of its lease on the evacuations.
fn has_logged_lease(host: &TestHost, state: &str) -> bool {
    let lines = host.log.lines();
    let mut leases = lines
        .iter()
        .filter(|line| line["event"] == "evacuation_lease");
    leases.any(|line| line["state"] == state)
}

/// Guards against requests to an evacuated failure domain from a host that reaches the platform, but
/// has not been able to read the evacuations for a long time.
#[tokio::test]
async fn a_host_in_contact_sends_nothing_by_old_evacuations() {
    let world = World::start().await;
    let host = start_with_short_lease("host", &world.catalog).await;
    world.catalog.set_evacuations_unreadable(true);
    wait_until(|| !host.gateway.is_ready()).await;
    let sent = world.here.arrivals().len() + world.there.arrivals().len();
    assert_eq!(call(&host).await, (503, "stale_knowledge\n".to_owned()));
    assert_eq!(
        world.here.arrivals().len() + world.there.arrivals().len(),
        sent
    );
    wait_until(|| has_logged_lease(&host, "expired")).await;
    world.catalog.set_evacuations_unreadable(false);
    wait_until(|| host.gateway.is_ready()).await;
    assert_eq!(call(&host).await.0, 200);
    wait_until(|| has_logged_lease(&host, "held")).await;
}

/// Guards against a host that sends by old evacuations because it does not reach the platform itself,
/// although it hears a host that does.
#[tokio::test]
async fn a_host_that_hears_others_sends_nothing_by_old_evacuations() {
    let world = World::start().await;
    let host = start_with_short_lease("b-host", &world.catalog).await;
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let exchange_addr = listener.local_addr().unwrap();
    let response = ReadResponse::default();
    tokio::spawn(serve_evacuations(listener, response, Arc::default()));
    list_other(&world, &host, exchange_addr).await;
    world.catalog.set_unreachable(true);
    wait_until(|| !host.gateway.is_ready()).await;
    assert_eq!(call(&host).await, (503, "stale_knowledge\n".to_owned()));
}

/// Guards against a host that refuses its callers because it is cut off from the platform and from
/// other hosts, and when it is back, until it has read the evacuations again.
#[tokio::test]
async fn a_host_that_is_cut_off_serves_by_the_evacuations_that_it_knows() {
    let world = World::start().await;
    world.catalog.evacuate("here");
    let host = start_with_short_lease("host", &world.catalog).await;
    world.catalog.set_unreachable(true);
    wait_until(|| host.gateway.evacuations_age() > Some(SHORT_LEASE * 2)).await;
    assert_eq!(call(&host).await, (200, "there".to_owned()));
    assert!(host.gateway.is_ready());
    wait_until(|| has_logged_lease(&host, "waived")).await;
    world.catalog.set_unreachable(false);
    while host.gateway.evacuations_age() > Some(SHORT_LEASE / 2) {
        assert_eq!(call(&host).await, (200, "there".to_owned()));
    }
    assert!(!has_logged_lease(&host, "expired"));
}

/// Guards against a deployment without evacuations that comes to depend on them.
#[tokio::test]
async fn without_evacuations_there_is_no_lease() {
    let world = World::start().await;
    world.catalog.set_evacuations_unreadable(true);
    let mut conf = conf("host");
    conf.evacuation_lease = None;
    let host = TestHost::start_with(conf, &world.catalog).await;
    let reads = world.catalog.reads();
    wait_until(|| world.catalog.reads() >= reads + 5).await;
    assert_eq!(call(&host).await.0, 200);
    assert_eq!(world.catalog.evacuation_reads(), 0);
    assert!(!host.log.text().contains("evacuation"));
}

/// Guards against a restarted host that serves before it knows the evacuations again.
#[tokio::test]
async fn a_host_that_does_not_know_the_evacuations_is_not_ready() {
    let world = World::start().await;
    world.catalog.set_evacuations_unreadable(true);
    let mut unaware = conf("host");
    unaware.evacuation_lease = None;
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
