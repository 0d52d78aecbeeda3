//! Hosts that do not reach upstreams themselves, beside hosts that do.

mod gateway_world;

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use banyanarch::exchange::ListedHost;
use banyanarch::gateway::Catalog;
use banyanarch::gateway::GatewayConf;
use futures_util::future::join_all;
use gateway_world::TestHost;
use gateway_world::catalog::FakeCatalog;
use gateway_world::conf;
use gateway_world::conf_there;
use gateway_world::request;
use gateway_world::table;
use gateway_world::upstream::ScriptStep;
use gateway_world::upstream::ScriptedUpstream;
use gateway_world::upstream_link::Cut;
use gateway_world::upstream_link::UpstreamLink;
use gateway_world::wait_until;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use yare::parameterized;

/// How long hosts that reach no upstream may take to find hosts that do.
const SERVED_WITHIN: Duration = Duration::from_secs(20);

/// An upstream `a`, a host that reaches it, and one whose link to it is cut. Both hosts hear each
/// other.
struct World {
    catalog: Arc<FakeCatalog>,
    upstream: ScriptedUpstream,
    link: UpstreamLink,
    near: TestHost,
    cut: TestHost,
}

impl World {
    async fn start(script: impl IntoIterator<Item = ScriptStep>, cut: Cut) -> Self {
        let catalog = FakeCatalog::new(table(1));
        let upstream = ScriptedUpstream::start(script).await;
        catalog.list("a", "app", upstream.addr);
        let near = TestHost::start("near", &catalog).await;
        let link = UpstreamLink::cut(cut).await;
        let cut = start_cut_host("cut", &catalog, &link).await;
        hear_each_other(&[&near, &cut]).await;
        Self {
            catalog,
            upstream,
            link,
            near,
            cut,
        }
    }
}

/// Starts a host that reaches the upstream `a` over a link.
async fn start_cut_host(name: &str, catalog: &Arc<FakeCatalog>, link: &UpstreamLink) -> TestHost {
    let catalog = catalog.separate_link();
    catalog.replace_addr("a", link.addr);
    TestHost::start_with(conf_there(name), &catalog).await
}

/// Waits until each of the hosts has heard all others.
async fn hear_each_other(hosts: &[&TestHost]) {
    for host in hosts {
        let others = hosts.iter().map(|other| &other.gateway.conf.host);
        let others = others.filter(|other| **other != host.gateway.conf.host);
        for other in others {
            wait_until(|| host.gateway.ledger().is_host_live(other, Instant::now())).await;
        }
    }
}

/// Failure: a host loses its connections to all upstreams and refuses its callers, while the hosts
/// beside it reach all upstreams.
#[parameterized(refused = { Cut::Refused }, hanging = { Cut::Hanging })]
#[test_macro(tokio::test)]
async fn callers_of_a_host_that_reaches_no_upstream_are_served(cut: Cut) {
    let world = World::start([ScriptStep::Respond(200, "ok")], cut).await;
    for path in ["/safe/1", "/once/1", "/safe/1"] {
        assert_eq!(world.cut.call(request(path)).await.status(), 200);
    }
    assert_eq!(world.upstream.arrivals().len(), 3);
}

/// Sends requests to a host until one is served.
async fn wait_until_served(host: &TestHost) {
    let deadline = Instant::now() + SERVED_WITHIN;
    while host.call(request("/safe/1")).await.status() != 200 {
        assert!(Instant::now() < deadline, "{}", host.log.text());
    }
}

/// Three upstreams, hosts that reach them, and hosts whose links to all of them are cut. All hosts
/// hear each other.
struct Fleet {
    near: Vec<TestHost>,
    cut: Vec<TestHost>,
    catalog: Arc<FakeCatalog>,
    /// The platform as cut hosts see it.
    cut_catalog: Arc<FakeCatalog>,
    upstreams: Vec<ScriptedUpstream>,
    _links: Vec<UpstreamLink>,
}

impl Fleet {
    /// Starts hosts with these configurations.
    async fn start(
        near: impl IntoIterator<Item = GatewayConf>,
        cut: impl IntoIterator<Item = GatewayConf>,
        mode: Cut,
    ) -> Self {
        let catalog = FakeCatalog::new(table(1));
        let cut_catalog = catalog.separate_link();
        let mut fleet = Self {
            near: Vec::new(),
            cut: Vec::new(),
            catalog,
            cut_catalog,
            upstreams: Vec::new(),
            _links: Vec::new(),
        };
        for id in ["a", "b", "c"] {
            let upstream = ScriptedUpstream::start([ScriptStep::Respond(200, "ok")]).await;
            let link = UpstreamLink::cut(mode).await;
            fleet.catalog.list(id, "app", upstream.addr);
            fleet.cut_catalog.replace_addr(id, link.addr);
            fleet.upstreams.push(upstream);
            fleet._links.push(link);
        }
        for conf in near {
            let host = TestHost::start_with(conf, &fleet.catalog).await;
            fleet.near.push(host);
        }
        for conf in cut {
            let host = TestHost::start_with(conf, &fleet.cut_catalog).await;
            fleet.cut.push(host);
        }
        fleet.hear_each_other().await;
        fleet
    }

    async fn hear_each_other(&self) {
        let hosts: Vec<&TestHost> = self.near.iter().chain(&self.cut).collect();
        hear_each_other(&hosts).await;
    }

    /// Waits until the cut hosts serve calls, and checks that they go on serving them.
    async fn check_cut_hosts_serve(&self) {
        join_all(self.cut.iter().map(wait_until_served)).await;
        for host in &self.cut {
            for path in ["/safe/1", "/once/1", "/safe/1"] {
                assert_eq!(host.call(request(path)).await.status(), 200);
            }
        }
    }
}

/// The configurations of this many hosts in the domain of [`conf_there`].
fn confs_there(count: usize) -> impl Iterator<Item = GatewayConf> {
    (1..=count).map(|number| conf_there(&format!("there-{number}")))
}

/// Failure: hosts whose whole failure domain reaches no upstream ask only each other, and refuse
/// their callers while hosts elsewhere reach all upstreams.
#[parameterized(
    three_refused = { 3, Cut::Refused },
    three_hanging = { 3, Cut::Hanging },
    eight_refused = { 8, Cut::Refused },
    eight_hanging = { 8, Cut::Hanging },
)]
#[test_macro(tokio::test)]
async fn callers_of_a_domain_that_reaches_no_upstream_are_served(host_count: usize, cut: Cut) {
    let fleet = Fleet::start([conf("near")], confs_there(host_count), cut).await;
    fleet.check_cut_hosts_serve().await;
}

/// Failure: cut hosts take each other for witnesses, and do not find the one host that reaches
/// upstreams.
#[parameterized(refused = { Cut::Refused }, hanging = { Cut::Hanging })]
#[test_macro(tokio::test)]
async fn callers_are_served_while_all_hosts_but_one_reach_no_upstream(cut: Cut) {
    let here = (1..=4).map(|number| conf(&format!("here-{number}")));
    let cut_hosts = here.chain(confs_there(4));
    let fleet = Fleet::start([conf("near")], cut_hosts, cut).await;
    fleet.check_cut_hosts_serve().await;
}

/// Failure: a host that starts while its failure domain reaches no upstream refuses its callers.
#[tokio::test]
async fn callers_of_a_host_that_starts_during_a_cut_are_served() {
    let mut fleet = Fleet::start([conf("near")], confs_there(3), Cut::Refused).await;
    fleet.check_cut_hosts_serve().await;
    let late = TestHost::start_with(conf_there("late"), &fleet.cut_catalog).await;
    fleet.cut.push(late);
    fleet.hear_each_other().await;
    fleet.check_cut_hosts_serve().await;
}

/// Failure: an upstream that is down makes the hosts that reach all others look cut.
#[tokio::test]
async fn hosts_beside_an_upstream_that_is_down_still_provide_tunnels() {
    let fleet = Fleet::start([conf("near")], confs_there(3), Cut::Refused).await;
    let down = UpstreamLink::cut(Cut::Refused).await;
    fleet.catalog.list("down", "app", down.addr);
    let near = &fleet.near[0];
    while !has_event(near, "upstream_fault") {
        assert_eq!(near.call(request("/safe/1")).await.status(), 200);
    }
    fleet.check_cut_hosts_serve().await;
    assert_eq!(near.call(request("/safe/1")).await.status(), 200);
    assert!(!near.gateway.paths().is_isolated(Instant::now()));
}

/// The number of requests that a host has sent through another one.
fn tunneled(host: &TestHost) -> usize {
    let lines = host.log.lines();
    lines
        .iter()
        .filter(|line| line["event"] == "tunneled")
        .count()
}

/// Whether a host has logged an event of this name.
fn has_event(host: &TestHost, name: &str) -> bool {
    host.log.lines().iter().any(|line| line["event"] == name)
}

/// Failure: hosts beside a cut host take over that the upstream is unreachable.
#[tokio::test]
async fn a_host_that_provides_tunnels_goes_on_using_the_upstream() {
    let world = World::start([ScriptStep::Respond(200, "ok")], Cut::Refused).await;
    for _ in 0..3 {
        world.cut.call(request("/safe/1")).await;
        assert_eq!(world.near.call(request("/safe/1")).await.status(), 200);
    }
    for host in [&world.near, &world.cut] {
        let health = host.gateway.health();
        let (id, domain) = ("a".parse().unwrap(), "here".parse().unwrap());
        assert!(health.is_usable(&id, &domain, Instant::now()));
        assert_eq!(health.unreachable_upstreams(Instant::now()).count(), 0);
    }
    assert_eq!(tunneled(&world.near), 0);
}

/// Failure: a response that breaks off behind a tunnel looks complete.
#[tokio::test]
async fn a_response_that_breaks_off_behind_a_tunnel_is_not_complete() {
    let script = [ScriptStep::Truncate, ScriptStep::EventsThenBreak(3)];
    let world = World::start(script, Cut::Refused).await;
    assert_eq!(world.cut.call(request("/safe/1")).await.status(), 502);
    let stream = world.cut.try_call(request("/stream/1")).await;
    assert!(stream.is_err(), "{stream:?}");
    wait_until(|| tunneled(&world.cut) == 2).await;
}

/// Failure: a call that must not be repeated runs twice, or is reported as not run, because its
/// connection breaks behind a tunnel.
#[tokio::test]
async fn a_call_that_may_have_run_behind_a_tunnel_is_not_repeated() {
    let world = World::start([ScriptStep::Break], Cut::Refused).await;
    assert_eq!(world.cut.call(request("/once/1")).await.status(), 502);
    assert_eq!(world.upstream.arrivals().len(), 1);
}

/// Failure: an upstream goes on working for a caller that has left.
#[tokio::test]
async fn a_caller_that_leaves_ends_its_call_behind_a_tunnel() {
    let world = World::start([ScriptStep::Hang], Cut::Refused).await;
    let call = world.cut.spawn_call(request("/once/1"));
    wait_until(|| world.upstream.arrivals().len() == 1).await;
    call.abort();
    wait_until(|| world.upstream.early_disconnects() == 1).await;
}

/// Failure: a host goes on sending through others when it reaches the upstream again.
#[tokio::test]
async fn a_host_connects_directly_again_when_the_path_is_back() {
    let world = World::start([ScriptStep::Respond(200, "ok")], Cut::Refused).await;
    for _ in 0..3 {
        world.cut.call(request("/safe/1")).await;
    }
    wait_until(|| has_event(&world.cut, "path_lost")).await;
    world.link.open(world.upstream.addr).await;
    wait_until(|| has_event(&world.cut, "path_regained")).await;
    let before = tunneled(&world.cut);
    assert_eq!(world.cut.call(request("/safe/1")).await.status(), 200);
    assert_eq!(tunneled(&world.cut), before);
}

/// Failure: a host gives up because the first host that it asks has lost its path too.
#[tokio::test]
async fn a_host_that_has_lost_its_path_too_is_passed_over() {
    let catalog = FakeCatalog::new(table(1));
    let upstream = ScriptedUpstream::start([ScriptStep::Respond(200, "ok")]).await;
    catalog.list("a", "app", upstream.addr);
    let near = TestHost::start("near", &catalog).await;
    let link = UpstreamLink::cut(Cut::Refused).await;
    let cut = start_cut_host("cut", &catalog, &link).await;
    let other = start_cut_host("other", &catalog, &link).await;
    hear_each_other(&[&near, &cut, &other]).await;
    for _ in 0..3 {
        assert_eq!(cut.call(request("/safe/1")).await.status(), 200);
        assert_eq!(other.call(request("/safe/1")).await.status(), 200);
    }
}

/// Starts two hosts in different failure domains that hear each other and do not reach the only
/// upstream.
async fn start_hosts_without_upstreams() -> (TestHost, TestHost) {
    let catalog = FakeCatalog::new(table(1));
    let link = UpstreamLink::cut(Cut::Refused).await;
    catalog.list("a", "app", link.addr);
    let near = TestHost::start("near", &catalog).await;
    let cut = start_cut_host("cut", &catalog, &link).await;
    hear_each_other(&[&near, &cut]).await;
    (near, cut)
}

/// Failure: the log of a host that serves nobody does not tell which hosts it has asked.
#[tokio::test]
async fn the_answers_of_other_hosts_are_logged_with_the_fault() {
    let (_near, cut) = start_hosts_without_upstreams().await;
    assert_eq!(cut.call(request("/once/1")).await.status(), 503);
    wait_until(|| has_event(&cut, "upstream_fault")).await;
    let lines = cut.log.lines();
    let fault = lines.iter().find(|line| line["event"] == "upstream_fault");
    let fault = fault.unwrap()["fault"].as_str().unwrap();
    assert!(fault.ends_with("; tunnels: near: no_path"), "{fault}");
}

/// Failure: a call to an upstream that no host reaches waits, or is passed from host to host.
#[tokio::test]
async fn a_call_to_an_upstream_that_no_host_reaches_is_refused() {
    let (near, cut) = start_hosts_without_upstreams().await;
    for host in [&near, &cut] {
        assert_eq!(host.call(request("/once/1")).await.status(), 503);
        assert_eq!(tunneled(host), 0);
    }
}

/// Failure: a host that stops breaks the calls of other hosts that it passes on.
#[tokio::test]
async fn a_host_that_stops_serves_its_tunnels_to_their_end() {
    let script = [ScriptStep::RespondAfter(Duration::from_millis(600), "ok")];
    let world = World::start(script, Cut::Refused).await;
    let call = world.cut.spawn_call(request("/once/1"));
    wait_until(|| world.upstream.arrivals().len() == 1).await;
    world.near.gateway.begin_shutdown();
    assert_eq!(call.await.unwrap().unwrap().status(), 200);
    assert_eq!(world.cut.call(request("/once/1")).await.status(), 503);
    world.near.serving.await.unwrap();
}

/// An entry of the list of hosts.
fn listed_host(name: &str, domain: &str, listener: &TcpListener) -> ListedHost {
    ListedHost {
        host: name.parse().unwrap(),
        domain: domain.parse().unwrap(),
        exchange_addr: listener.local_addr().unwrap(),
        processors: None,
    }
}

/// Failure: a host waits for a neighbour that does not answer until its call has failed, each time.
#[tokio::test]
async fn a_host_that_does_not_answer_is_not_waited_for() {
    let world = World::start([ScriptStep::Respond(200, "ok")], Cut::Hanging).await;
    let silent = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let listed = listed_host("silent", "there", &silent);
    world.catalog.register_host(listed.clone()).await.unwrap();
    world.cut.wait_for_hosts(3).await;
    let deadline = Instant::now() + SERVED_WITHIN;
    loop {
        let now = Instant::now();
        assert!(now < deadline, "{}", world.cut.log.text());
        world.cut.hear(&listed, now);
        if world.cut.call(request("/safe/1")).await.status() == 200 {
            break;
        }
    }
}

/// Failure: a host of an earlier version takes the request for a tunnel for one of a list, and the
/// answer for bytes of the upstream.
#[tokio::test]
async fn a_host_of_an_earlier_version_is_passed_over() {
    let catalog = FakeCatalog::new(table(1));
    let link = UpstreamLink::cut(Cut::Refused).await;
    catalog.list("a", "app", link.addr);
    let earlier = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let listed = listed_host("earlier", "here", &earlier);
    catalog.register_host(listed.clone()).await.unwrap();
    let asked = tokio::spawn(async move {
        let (mut stream, _) = earlier.accept().await.unwrap();
        let mut request = [0_u8; 256];
        assert!(stream.read(&mut request).await.unwrap() > 0);
        // A frame without content is an empty response.
        stream.write_all(&[0; 4]).await.unwrap();
        // Nothing more may be sent on this connection.
        assert_eq!(stream.read(&mut request).await.unwrap(), 0);
    });
    let cut = start_cut_host("cut", &catalog, &link).await;
    cut.wait_for_hosts(2).await;
    cut.hear(&listed, Instant::now());
    assert_eq!(cut.call(request("/once/1")).await.status(), 503);
    asked.await.unwrap();
}
