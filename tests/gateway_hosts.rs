//! Tests of several hosts together: crash reports and load updates between them, reservations of
//! engine memory, and reads of the platform through one of them.

mod gateway_world;

use std::sync::Arc;
use std::time::Duration;

use banyanarch::decide::HostLoad;
use banyanarch::decide::PrefillSent;
use banyanarch::http::one_shot;
use banyanarch::units::Slowdown;
use banyanarch::units::UpstreamId;
use bytes::Bytes;
use gateway_world::PendingCall;
use gateway_world::TestHost;
use gateway_world::catalog::FakeCatalog;
use gateway_world::conf;
use gateway_world::long_prompt_table;
use gateway_world::long_request;
use gateway_world::request;
use gateway_world::table;
use gateway_world::upstream::ScriptStep;
use gateway_world::upstream::ScriptedUpstream;
use gateway_world::upstream::event;
use gateway_world::wait_until;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use indexmap::IndexMap;
use yare::parameterized;

fn status(res: &Response<Bytes>) -> u16 {
    res.status().as_u16()
}

/// Guards against a request that crashes every upstream that runs it. Its caller sends it again and
/// again to any host, and one upstream after another crashes with all requests that run there.
#[tokio::test]
async fn a_request_that_crashes_upstreams_is_refused_on_all_hosts() {
    let catalog = FakeCatalog::new(table(1));
    let upstreams = [
        ScriptedUpstream::start([ScriptStep::Break]).await,
        ScriptedUpstream::start([ScriptStep::Break]).await,
    ];
    catalog.list("a", "app", upstreams[0].addr);
    catalog.list("b", "app", upstreams[1].addr);
    let first = TestHost::start("first", &catalog).await;
    let second = TestHost::start("second", &catalog).await;
    first.wait_for_hosts(2).await;
    second.wait_for_hosts(2).await;
    for _ in 0..2 {
        assert_eq!(status(&first.call(request("/safe/1")).await), 502);
    }
    wait_until(|| !second.gateway.part_quarantine().is_empty()).await;
    let arrived = || upstreams.iter().map(|u| u.arrivals().len()).sum::<usize>();
    let before = arrived();
    assert!(before >= 3, "{before}");
    let refused = async |host: &TestHost| status(&host.call(request("/safe/1")).await) == 503;
    assert!(refused(&first).await);
    let is_known_to_second = || {
        let now = second.gateway.clock.now();
        let quarantine = second.gateway.part_quarantine();
        quarantine.quarantined(now).any(|known| known.crashes >= 3)
    };
    wait_until(is_known_to_second).await;
    assert!(refused(&second).await);
    assert_eq!(arrived(), before);
}

/// Guards against two hosts that choose an engine at the same time without knowing each other's
/// load and both take the same one while another is idle.
#[tokio::test]
async fn hosts_exchange_their_load() {
    let catalog = FakeCatalog::new(table(1));
    let engines = [
        ScriptedUpstream::start([ScriptStep::EventsThenHang(1)]).await,
        ScriptedUpstream::start([ScriptStep::EventsThenHang(1)]).await,
    ];
    catalog.list("a", "llm", engines[0].addr);
    catalog.list("b", "llm", engines[1].addr);
    let first = TestHost::start("first", &catalog).await;
    let second = TestHost::start("second", &catalog).await;
    first.wait_for_hosts(2).await;
    let callers = first.callers;
    let hanging = tokio::spawn(async move {
        let req: Request<Full<Bytes>> = request("/model/1");
        let _ = one_shot::call(callers, req, 1 << 20, Duration::from_secs(5)).await;
    });
    let in_flight_at_second = || {
        let now = second.gateway.clock.now();
        let ledger = second.gateway.ledger();
        let load = |id: &str| ledger.load(&id.parse().unwrap(), now).in_flight;
        load("a") + load("b")
    };
    wait_until(|| in_flight_at_second() == 1).await;
    hanging.abort();
    wait_until(|| in_flight_at_second() == 0).await;
}

/// Guards against hosts that go on sending to an engine that has become slow. The engine reports
/// its slowdown when it is polled; without polls, a host would notice it only by late answers to
/// its own callers. The slow engine has the lower id, so it would be chosen first.
#[tokio::test]
async fn hosts_avoid_an_engine_that_reports_a_slowdown() {
    let catalog = FakeCatalog::new(table(1));
    let slow = ScriptedUpstream::start([ScriptStep::EventsThenHang(1)]).await;
    let sound = ScriptedUpstream::start([ScriptStep::Events(1)]).await;
    catalog.list("a", "llm", slow.addr);
    catalog.list("b", "llm", sound.addr);
    let polling = TestHost::start("a-first", &catalog).await;
    let informed = TestHost::start("b-second", &catalog).await;
    wait_until(|| {
        informed
            .gateway
            .ledger()
            .live_peer_count(informed.gateway.clock.now())
            == 1
    })
    .await;
    let callers = polling.callers;
    let hanging = tokio::spawn(async move {
        let req = request("/model/1");
        let _ = one_shot::call(callers, req, 1 << 20, Duration::from_secs(20)).await;
    });
    wait_until(|| slow.arrivals().len() == 1).await;
    polling
        .engine_client
        .set_slowdown(slow.addr, Slowdown::new(8.0));
    wait_until(|| polling.log.text().contains("upstream_speed")).await;
    while sound.arrivals().is_empty() {
        let req = request("/model/1");
        let call = one_shot::call(informed.callers, req, 1 << 20, Duration::from_millis(100));
        let _ = call.await;
    }
    let before = slow.arrivals().len();
    for _ in 0..3 {
        assert_eq!(status(&informed.call(request("/model/1")).await), 200);
    }
    assert_eq!(
        slow.arrivals().len(),
        before,
        "requests were sent to the slow engine"
    );
    assert_eq!(
        informed.engine_client.report_requests(),
        0,
        "only one host of a domain polls its engines"
    );
    hanging.abort();
}

/// A host with two engines, `a` and `b`, to which a caller has sent a prompt that needs the memory
/// of both.
async fn host_with_reservations() -> (TestHost, [ScriptedUpstream; 2], PendingCall) {
    let catalog = FakeCatalog::new(table(1));
    let hanging = || ScriptedUpstream::start([ScriptStep::EventsThenHang(1)]);
    let engines = [hanging().await, hanging().await];
    catalog.list("a", "llm", engines[0].addr);
    catalog.list("b", "llm", engines[1].addr);
    catalog.publish(long_prompt_table(2));
    let host = TestHost::start("host", &catalog).await;
    wait_until(|| host.gateway.platform_view.routes().unwrap().generation.0 == 2).await;
    let pending = host.spawn_call(long_request());
    wait_until(|| host.engine_client.reserved_tokens() > 0).await;
    wait_until(|| engines.iter().any(|engine| !engine.arrivals().is_empty())).await;
    (host, engines, pending)
}

/// Guards against engine memory that stays reserved: the caller of its prompt disconnected, and no
/// host released the reservation.
#[tokio::test]
async fn reserved_memory_is_released_when_the_caller_disconnects() {
    let (host, _, pending) = host_with_reservations().await;
    pending.abort();
    wait_until(|| host.engine_client.reserved_tokens() == 0).await;
    assert!(host.engine_client.reservations_made() > 0);
}

/// Guards against engines whose memory stays reserved for nothing: the engine that led a long
/// prompt lost its power and its connection stayed open, so the host went on renewing the
/// reservations at the other engines.
#[tokio::test]
async fn reservations_are_not_renewed_while_the_leader_does_not_respond() {
    let (host, [a, b], _pending) = host_with_reservations().await;
    let (leader, other) = if a.arrivals().is_empty() {
        (b, a)
    } else {
        (a, b)
    };
    wait_until(|| host.engine_client.reserve_requests(other.addr) >= 2).await;
    host.engine_client.set_silent(leader.addr);
    let (leader_orders, other_orders) = (
        host.engine_client.reserve_requests(leader.addr),
        host.engine_client.reserve_requests(other.addr),
    );
    wait_until(|| host.engine_client.reserve_requests(leader.addr) >= leader_orders + 3).await;
    let renewed = host.engine_client.reserve_requests(other.addr) - other_orders;
    assert!(
        renewed <= 1,
        "renewed {renewed} times, more than the one renewal under way"
    );
}

/// Two hosts, each with its own link to the platform; `a-first` is in the domain `here` and reads
/// for `b-second` if that is in the same domain.
async fn reader_and_follower(
    second_domain: &str,
) -> (TestHost, Arc<FakeCatalog>, TestHost, Arc<FakeCatalog>) {
    let first_link = FakeCatalog::new(table(1));
    let upstream = ScriptedUpstream::start([ScriptStep::Respond(200, "ok")]).await;
    first_link.list("a", "app", upstream.addr);
    let second_link = first_link.separate_link();
    let first = TestHost::start("a-first", &first_link).await;
    let mut conf = conf("b-second");
    conf.domain = second_domain.parse().unwrap();
    conf.key_lease = Some(Duration::from_millis(2_000));
    let second = TestHost::start_with(conf, &second_link).await;
    let is_heard = || {
        let now = second.gateway.clock.now();
        second.gateway.ledger().live_peer_count(now) == 1
    };
    wait_until(is_heard).await;
    (first, first_link, second, second_link)
}

/// Guards against a host that refuses every caller because it can't reach the platform, although
/// its peers can and have the lists that it needs.
#[parameterized(
    of_its_domain = { "here" },
    of_another_domain = { "there" },
)]
fn a_host_partitioned_from_the_platform_reads_through_a_peer(domain: &str) {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    runtime.block_on(reads_through_a_peer(domain));
}

async fn reads_through_a_peer(domain: &str) {
    let (_first, first_link, second, second_link) = reader_and_follower(domain).await;
    second_link.set_unreachable(true);
    let reads = first_link.reads();
    // Longer than the lease of the second host: the first host reads every 600 ms.
    wait_until(|| first_link.reads() >= reads + 6).await;
    wait_until(|| second.gateway.is_ready()).await;
    assert_eq!(status(&second.call(request("/safe/1")).await), 200);
    first_link.publish(table(2));
    wait_until(|| second.gateway.platform_view.routes().unwrap().generation.0 == 2).await;
    first_link.set_unreachable(true);
    wait_until(|| !second.gateway.is_ready()).await;
}

/// Guards against hosts of one failure domain that all read the platform themselves, and against
/// hosts that stop reading when the one that reads for them stops.
#[tokio::test]
async fn one_host_reads_for_its_failure_domain_until_it_stops() {
    let (first, first_link, _second, second_link) = reader_and_follower("here").await;
    let before = (first_link.reads(), second_link.reads());
    wait_until(|| first_link.reads() >= before.0 + 8).await;
    // A host that was not scheduled in time may read for itself now and then.
    let own_reads = second_link.reads() - before.1;
    assert!(
        own_reads <= 3,
        "{own_reads} reads by the second host, 8 by the reader"
    );
    first.serving.abort();
    let reads_before = second_link.reads();
    wait_until(|| second_link.reads() >= reads_before + 3).await;
}

/// Guards against thousands of useless calls to a platform that rejects all hosts of a large fleet:
/// four a second from each host, also while the platform recovers.
#[tokio::test]
async fn calls_to_an_unreachable_platform_back_off() {
    let link = FakeCatalog::new(table(1));
    let host = TestHost::start("host", &link).await;
    link.set_unreachable(true);
    let before = link.reads();
    tokio::time::sleep(Duration::from_secs(4)).await;
    let calls = link.reads() - before;
    assert!((1..=9).contains(&calls), "{calls} reads in four seconds");
    link.set_unreachable(false);
    link.publish(table(2));
    wait_until(|| host.gateway.platform_view.routes().unwrap().generation.0 == 2).await;
}

/// Hosts of one failure domain that all get updates from each other, each with its own link to the
/// platform.
async fn peers_of_one_domain(count: usize) -> Vec<(TestHost, Arc<FakeCatalog>)> {
    let catalog = FakeCatalog::new(table(1));
    let upstream = ScriptedUpstream::start([ScriptStep::Respond(200, "ok")]).await;
    catalog.list("a", "app", upstream.addr);
    let mut hosts = Vec::new();
    for number in 0..count {
        let link = catalog.separate_link();
        let mut conf = conf(&format!("host-{number}"));
        conf.key_lease = Some(Duration::from_secs(3));
        hosts.push((TestHost::start_with(conf, &link).await, link));
    }
    for (host, _) in &hosts {
        let live_peer_count = || {
            host.gateway
                .ledger()
                .live_peer_count(host.gateway.clock.now())
        };
        wait_until(|| live_peer_count() + 1 == count).await;
    }
    hosts
}

/// Guards against hundreds of useless calls to a platform that rejects all hosts of a failure
/// domain for some seconds: one a second and more from each host. Together the hosts need not call
/// more often than a single one would, four times a second, plus a quarter for the jitter.
#[tokio::test]
async fn hosts_of_a_domain_share_the_retries_of_an_unreachable_platform() {
    let hosts = peers_of_one_domain(10).await;
    for (_, link) in &hosts {
        link.set_unreachable(true);
    }
    for (host, _) in &hosts {
        wait_until(|| !host.gateway.is_ready()).await;
    }
    let reads = || hosts.iter().map(|(_, link)| link.reads()).sum::<usize>();
    let before = reads();
    tokio::time::sleep(Duration::from_secs(5)).await;
    let calls = reads() - before;
    assert!((1..=25).contains(&calls), "{calls} reads in five seconds");
}

/// Guards against hosts that refuse callers until each has reached the recovered platform itself:
/// while it still rejects most hosts, one host has everything that the others need.
#[tokio::test]
async fn the_first_host_that_reaches_the_platform_again_tells_the_others() {
    let hosts = peers_of_one_domain(5).await;
    for (_, link) in &hosts {
        link.set_unreachable(true);
    }
    for (host, _) in &hosts {
        wait_until(|| !host.gateway.is_ready()).await;
    }
    let (_, first_link) = &hosts[3];
    first_link.publish(table(2));
    first_link.set_unreachable(false);
    for (host, _) in &hosts {
        wait_until(|| host.gateway.is_ready()).await;
        assert_eq!(host.gateway.platform_view.routes().unwrap().generation.0, 2);
        assert_eq!(status(&host.call(request("/safe/1")).await), 200);
    }
}

/// Guards against an answer that ends in the middle. Its engine stops responding when the answer is
/// already late, and the only other engine has seconds of prefill to do first. The answer must
/// still resume there and not be refused as late.
#[tokio::test]
async fn a_broken_stream_resumes_at_a_busy_engine() {
    let catalog = FakeCatalog::new(table(1));
    let silent = ScriptedUpstream::start([ScriptStep::EventsThenHang(2)]).await;
    let busy = ScriptedUpstream::start([ScriptStep::Events(5)]).await;
    catalog.list("a", "llm", silent.addr);
    let host = TestHost::start("host", &catalog).await;
    let mut req = request("/model/1");
    req.headers_mut().insert("test-prompt", 45_000.into());
    let answer = host.call(req);
    tokio::pin!(answer);
    tokio::select! {
        _ = &mut answer => panic!("the call ended although its engine hangs"),
        () = wait_until(|| silent.arrivals().len() == 1) => {}
    }
    catalog.list("b", "llm", busy.addr);
    let engine: UpstreamId = "b".parse().unwrap();
    let load = HostLoad {
        prefill: PrefillSent {
            total: Duration::from_millis(2_900),
            remaining: Duration::from_millis(2_900),
        },
        ..HostLoad::default()
    };
    let loads = IndexMap::from([(engine, load)]);
    let now = host.gateway.clock.now();
    host.gateway
        .ledger()
        .record_host_loads("peer".parse().unwrap(), 1, loads, now);
    let res = answer.await;
    assert_eq!(status(&res), 200);
    let expected: String = (1..=5).map(event).collect();
    assert_eq!(String::from_utf8_lossy(res.body()), expected);
    assert_eq!(busy.arrivals().len(), 1);
}
