//! Hosts that work together: crashes and work that they tell each other, engines' memory, and reads of
//! the platform through one of them.

mod gateway_world;

use std::sync::Arc;
use std::time::Duration;

use banyanarch::decide::HostLoad;
use banyanarch::decide::PrefillSent;
use banyanarch::http::one_shot;
use banyanarch::routing::CallKind;
use banyanarch::routing::RouteTable;
use banyanarch::units::Slowdown;
use banyanarch::units::UpstreamId;
use bytes::Bytes;
use gateway_world::TestHost;
use gateway_world::catalog::FakeCatalog;
use gateway_world::conf;
use gateway_world::request;
use gateway_world::table;
use gateway_world::until;
use gateway_world::upstream::Act;
use gateway_world::upstream::Upstream;
use gateway_world::upstream::event;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use indexmap::IndexMap;
use tokio::task::JoinHandle;
use yare::parameterized;

fn status(res: &Response<Bytes>) -> u16 {
    res.status().as_u16()
}

/// One request crashes each engine that runs it, and its caller sends it again and again, at any
/// host. It takes down one engine after another with all that runs there.
#[tokio::test]
async fn a_request_that_crashes_upstreams_is_refused_on_all_hosts() {
    let catalog = FakeCatalog::new(table(1));
    let upstreams = [
        Upstream::start([Act::Break]).await,
        Upstream::start([Act::Break]).await,
    ];
    catalog.list("a", "app", upstreams[0].addr);
    catalog.list("b", "app", upstreams[1].addr);
    let first = TestHost::start("first", &catalog).await;
    let second = TestHost::start("second", &catalog).await;
    first.until_hosts(2).await;
    second.until_hosts(2).await;
    for _ in 0..2 {
        assert_eq!(status(&first.call(request("/safe/1")).await), 502);
    }
    until(|| !second.gateway.poison().is_empty()).await;
    let arrived = || upstreams.iter().map(|u| u.arrivals().len()).sum::<usize>();
    let before = arrived();
    assert!(before >= 3, "{before}");
    let refused = async |host: &TestHost| status(&host.call(request("/safe/1")).await) == 503;
    assert!(refused(&first).await);
    let known = || {
        let now = second.gateway.clock.now();
        let known = second.gateway.poison().all(now);
        known.iter().any(|poison| poison.attempts.len() >= 3)
    };
    until(known).await;
    assert!(refused(&second).await);
    assert_eq!(arrived(), before);
}

/// Two hosts choose an engine at the same time. Neither knows of the other's work, and both take the
/// same one while another idles.
#[tokio::test]
async fn hosts_tell_each_other_of_their_work() {
    let catalog = FakeCatalog::new(table(1));
    let engines = [
        Upstream::start([Act::EventsThenHang(1)]).await,
        Upstream::start([Act::EventsThenHang(1)]).await,
    ];
    catalog.list("a", "llm", engines[0].addr);
    catalog.list("b", "llm", engines[1].addr);
    let first = TestHost::start("first", &catalog).await;
    let second = TestHost::start("second", &catalog).await;
    first.until_hosts(2).await;
    let calls = first.callers;
    let hanging = tokio::spawn(async move {
        let req: Request<Full<Bytes>> = request("/model/1");
        let _ = one_shot::call(calls, req, 1 << 20, Duration::from_secs(5)).await;
    });
    let seen = || {
        let now = second.gateway.clock.now();
        let ledger = second.gateway.ledger();
        let load = |id: &str| ledger.load(&id.parse().unwrap(), now).in_flight;
        load("a") + load("b")
    };
    until(|| seen() == 1).await;
    hanging.abort();
    until(|| seen() == 0).await;
}

/// An engine turns slow and says so when it is asked. Each host finds it out by late answers of its own
/// callers, if at all, and goes on filling it: it stands first among the engines.
#[tokio::test]
async fn hosts_leave_an_engine_alone_that_says_it_is_slow() {
    let catalog = FakeCatalog::new(table(1));
    let slow = Upstream::start([Act::EventsThenHang(1)]).await;
    let sound = Upstream::start([Act::Events(1)]).await;
    catalog.list("a", "llm", slow.addr);
    catalog.list("b", "llm", sound.addr);
    let asking = TestHost::start("a-first", &catalog).await;
    let told = TestHost::start("b-second", &catalog).await;
    until(|| told.gateway.ledger().peers_heard(told.gateway.clock.now()) == 1).await;
    let calls = asking.callers;
    let hanging = tokio::spawn(async move {
        let req = request("/model/1");
        let _ = one_shot::call(calls, req, 1 << 20, Duration::from_secs(20)).await;
    });
    until(|| slow.arrivals().len() == 1).await;
    asking.orders.slow_down(slow.addr, Slowdown::new(8.0));
    until(|| asking.log.text().contains("upstream_speed")).await;
    while sound.arrivals().is_empty() {
        let req = request("/model/1");
        let call = one_shot::call(told.callers, req, 1 << 20, Duration::from_millis(100));
        let _ = call.await;
    }
    let before = slow.arrivals().len();
    for _ in 0..3 {
        assert_eq!(status(&told.call(request("/model/1")).await), 200);
    }
    assert_eq!(slow.arrivals().len(), before, "sent to the slow engine");
    assert_eq!(told.orders.reports(), 0, "one host of a domain asks");
    hanging.abort();
}

/// A host before two engines, `a` and `b`, to which a caller has sent a prompt that needs the memory
/// of both.
async fn reserving() -> (TestHost, [Upstream; 2], JoinHandle<()>) {
    let catalog = FakeCatalog::new(table(1));
    let hanging = || Upstream::start([Act::EventsThenHang(1)]);
    let engines = [hanging().await, hanging().await];
    catalog.list("a", "llm", engines[0].addr);
    catalog.list("b", "llm", engines[1].addr);
    let mut routes = table(2);
    let resumable = CallKind::Stream { is_resumable: true };
    let mut route = gateway_world::route("long", resumable, "llm");
    route.objective = Duration::from_secs(30);
    route.timeout = Duration::from_secs(60);
    route.pause_objective = Some(Duration::from_secs(12));
    let mut long = RouteTable::new(routes.generation, vec![route]);
    long.services = std::mem::take(&mut routes.services);
    long.keys = std::mem::take(&mut routes.keys);
    catalog.publish(long);
    let host = TestHost::start("host", &catalog).await;
    until(|| host.gateway.beliefs.routes().unwrap().generation.0 == 2).await;
    let mut req = request("/long/1");
    req.headers_mut()
        .insert("test-prompt", "600000".parse().unwrap());
    let callers = host.callers;
    let asking = tokio::spawn(async move {
        let limit = Duration::from_secs(60);
        let _ = one_shot::call(callers, req, 1 << 20, limit).await;
    });
    until(|| host.orders.reserved_tokens() > 0).await;
    until(|| engines.iter().any(|engine| !engine.arrivals().is_empty())).await;
    (host, engines, asking)
}

/// Memory of an engine is lost for good. It was set aside for a prompt whose caller left, and nobody
/// gave it back.
#[tokio::test]
async fn memory_that_was_set_aside_is_given_back_when_the_caller_leaves() {
    let (host, _, asking) = reserving().await;
    asking.abort();
    until(|| host.orders.reserved_tokens() == 0).await;
    assert!(host.orders.made() > 0);
}

/// Engines run out of memory that nobody uses. The engine that led a long prompt lost its power and
/// its connection stayed open, so the host went on renewing what the other engines had set aside.
#[tokio::test]
async fn memory_is_not_renewed_while_the_leader_does_not_answer() {
    let (host, [a, b], _asking) = reserving().await;
    let (leader, other) = if a.arrivals().is_empty() {
        (b, a)
    } else {
        (a, b)
    };
    until(|| host.orders.asked(other.addr) >= 2).await;
    host.orders.silence(leader.addr);
    let (led, kept) = (
        host.orders.asked(leader.addr),
        host.orders.asked(other.addr),
    );
    until(|| host.orders.asked(leader.addr) >= led + 3).await;
    let renewed = host.orders.asked(other.addr) - kept;
    assert!(
        renewed <= 1,
        "renewed {renewed} times, at most the one under way"
    );
}

/// Two hosts, each with a way of its own to the platform; `a-first` stands in the domain `here` and
/// reads for `b-second` if that does as well.
async fn reader_and_follower(
    second_domain: &str,
) -> (TestHost, Arc<FakeCatalog>, TestHost, Arc<FakeCatalog>) {
    let first_way = FakeCatalog::new(table(1));
    let upstream = Upstream::start([Act::Answer(200, "ok")]).await;
    first_way.list("a", "app", upstream.addr);
    let second_way = first_way.another_way();
    let first = TestHost::start("a-first", &first_way).await;
    let mut conf = conf("b-second");
    conf.domain = second_domain.parse().unwrap();
    conf.key_lease = Some(Duration::from_millis(2_000));
    let second = TestHost::start_with(conf, &second_way).await;
    let is_heard = || {
        let now = second.gateway.clock.now();
        second.gateway.ledger().peers_heard(now) == 1
    };
    until(is_heard).await;
    (first, first_way, second, second_way)
}

/// A host can't reach the platform, though its neighbours can. It turns every caller away after some
/// seconds, although what it needs to know is one hop away.
#[parameterized(
    of_its_domain = { "here" },
    of_another_domain = { "there" },
)]
fn a_host_that_is_cut_off_from_the_platform_lives_on_what_a_neighbour_reads(domain: &str) {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    runtime.block_on(lives_on_what_a_neighbour_reads(domain));
}

async fn lives_on_what_a_neighbour_reads(domain: &str) {
    let (_first, first_way, second, second_way) = reader_and_follower(domain).await;
    second_way.set_away(true);
    let reads = first_way.reads();
    // Longer than its lease: the other host reads every 600 ms.
    until(|| first_way.reads() >= reads + 6).await;
    until(|| second.gateway.is_ready()).await;
    assert_eq!(status(&second.call(request("/safe/1")).await), 200);
    first_way.publish(table(2));
    until(|| second.gateway.beliefs.routes().unwrap().generation.0 == 2).await;
    first_way.set_away(true);
    until(|| !second.gateway.is_ready()).await;
}

#[tokio::test]
async fn one_host_reads_for_its_failure_domain_until_it_is_gone() {
    let (first, first_way, _second, second_way) = reader_and_follower("here").await;
    let before = (first_way.reads(), second_way.reads());
    until(|| first_way.reads() >= before.0 + 8).await;
    // A host that did not get to run in time may read for itself now and then.
    let by_itself = second_way.reads() - before.1;
    assert!(
        by_itself <= 3,
        "{by_itself} reads of its own, 8 of the reader"
    );
    first.serving.abort();
    let alone = second_way.reads();
    until(|| second_way.reads() >= alone + 3).await;
}

/// The platform turns all hosts of a large fleet away. Each goes on asking four times a second, thousands
/// of calls that cost and do nothing, and the platform comes back into the whole of it.
#[tokio::test]
async fn a_platform_that_is_away_is_asked_more_and_more_seldom() {
    let way = FakeCatalog::new(table(1));
    let host = TestHost::start("host", &way).await;
    way.set_away(true);
    let before = way.reads();
    tokio::time::sleep(Duration::from_secs(4)).await;
    let asked = way.reads() - before;
    assert!((1..=9).contains(&asked), "{asked} reads in four seconds");
    way.set_away(false);
    way.publish(table(2));
    until(|| host.gateway.beliefs.routes().unwrap().generation.0 == 2).await;
}

/// Hosts of one failure domain that all hear each other, each with a way of its own to the platform.
async fn neighbours(count: usize) -> Vec<(TestHost, Arc<FakeCatalog>)> {
    let catalog = FakeCatalog::new(table(1));
    let upstream = Upstream::start([Act::Answer(200, "ok")]).await;
    catalog.list("a", "app", upstream.addr);
    let mut hosts = Vec::new();
    for number in 0..count {
        let way = catalog.another_way();
        let mut conf = conf(&format!("host-{number}"));
        conf.key_lease = Some(Duration::from_secs(3));
        hosts.push((TestHost::start_with(conf, &way).await, way));
    }
    for (host, _) in &hosts {
        let heard = || host.gateway.ledger().peers_heard(host.gateway.clock.now());
        until(|| heard() + 1 == count).await;
    }
    hosts
}

/// The platform turns a whole failure domain away for some seconds. Each of its hosts tries by itself once
/// a second and more, hundreds of calls in a large fleet that give nothing. Together they need not ask
/// more often than a host that is alone: four times a second, a quarter more by the spread.
#[tokio::test]
async fn hosts_of_a_domain_try_a_platform_that_is_away_together() {
    let hosts = neighbours(10).await;
    for (_, way) in &hosts {
        way.set_away(true);
    }
    for (host, _) in &hosts {
        until(|| !host.gateway.is_ready()).await;
    }
    let reads = || hosts.iter().map(|(_, way)| way.reads()).sum::<usize>();
    let before = reads();
    tokio::time::sleep(Duration::from_secs(5)).await;
    let asked = reads() - before;
    assert!((1..=25).contains(&asked), "{asked} reads in five seconds");
}

/// The platform is back, but turns most hosts away for a while longer. Callers of those are refused as
/// long as each finds out by itself, although a neighbour has everything that they need to know.
#[tokio::test]
async fn the_first_host_that_reaches_the_platform_again_tells_the_others() {
    let hosts = neighbours(5).await;
    for (_, way) in &hosts {
        way.set_away(true);
    }
    for (host, _) in &hosts {
        until(|| !host.gateway.is_ready()).await;
    }
    let (_, first_way) = &hosts[3];
    first_way.publish(table(2));
    first_way.set_away(false);
    for (host, _) in &hosts {
        until(|| host.gateway.is_ready()).await;
        assert_eq!(host.gateway.beliefs.routes().unwrap().generation.0, 2);
        assert_eq!(status(&host.call(request("/safe/1")).await), 200);
    }
}

/// An engine falls silent in the middle of an answer, which is late by then. The only other one has a
/// second to read first. The answer is turned away there as late, and its caller gets half of it.
#[tokio::test]
async fn an_answer_that_broke_off_goes_on_at_a_busy_engine() {
    let catalog = FakeCatalog::new(table(1));
    let silent = Upstream::start([Act::EventsThenHang(2)]).await;
    let busy = Upstream::start([Act::Events(5)]).await;
    catalog.list("a", "llm", silent.addr);
    let host = TestHost::start("host", &catalog).await;
    let mut req = request("/model/1");
    req.headers_mut().insert("test-prompt", 45_000.into());
    let answer = host.call(req);
    tokio::pin!(answer);
    tokio::select! {
        _ = &mut answer => panic!("the first engine hangs"),
        () = until(|| silent.arrivals().len() == 1) => {}
    }
    catalog.list("b", "llm", busy.addr);
    let engine: UpstreamId = "b".parse().unwrap();
    let load = HostLoad {
        read: PrefillSent {
            total: Duration::from_millis(2_900),
            remaining: Duration::from_millis(2_900),
        },
        ..HostLoad::default()
    };
    let loads = IndexMap::from([(engine, load)]);
    let now = host.gateway.clock.now();
    host.gateway
        .ledger()
        .hear("peer".parse().unwrap(), 1, loads, now);
    let res = answer.await;
    assert_eq!(status(&res), 200);
    let whole: String = (1..=5).map(event).collect();
    assert_eq!(String::from_utf8_lossy(res.body()), whole);
    assert_eq!(busy.arrivals().len(), 1);
}
