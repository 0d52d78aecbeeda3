//! Requests that crash each upstream which runs them, and come again.

mod gateway_world;

use std::sync::Arc;

use banyanarch::decide::RequestPart;
use banyanarch::units::HostId;
use gateway_world::TestHost;
use gateway_world::catalog::FakeCatalog;
use gateway_world::conf;
use gateway_world::request;
use gateway_world::table;
use gateway_world::upstream::ScriptStep;
use gateway_world::upstream::ScriptedUpstream;
use gateway_world::wait_until;
use yare::parameterized;

/// The path of the request that crashes upstreams.
const BAD: &str = "/once/bad";
/// Hosts, and three upstreams that break their connection on the bad request.
struct World {
    catalog: Arc<FakeCatalog>,
    hosts: Vec<TestHost>,
    upstreams: Vec<ScriptedUpstream>,
}

impl World {
    async fn start(hosts: usize) -> Self {
        let catalog = FakeCatalog::new(table(1));
        let mut upstreams = Vec::new();
        for id in ["a", "b", "c"] {
            let upstream = ScriptedUpstream::start([ScriptStep::BreakOn(BAD)]).await;
            catalog.list(id, "app", upstream.addr);
            upstreams.push(upstream);
        }
        let mut world = Self {
            catalog,
            hosts: Vec::new(),
            upstreams,
        };
        for _ in 0..hosts {
            world.start_host().await;
        }
        world
    }

    /// Starts one more host, and waits until all hosts know of it.
    async fn start_host(&mut self) {
        let conf = conf(&format!("host-{}", self.hosts.len()));
        let host = TestHost::start_with(conf, &self.catalog).await;
        self.hosts.push(host);
        for host in &self.hosts {
            host.wait_for_hosts(self.hosts.len()).await;
        }
    }

    /// Ends all hosts at the same time, and starts them again under their names.
    async fn restart_hosts(&mut self) {
        let names: Vec<HostId> = self.hosts.iter().map(TestHost::name).collect();
        for host in self.hosts.drain(..) {
            host.serving.abort();
        }
        for name in names {
            let conf = conf(name.as_str());
            self.hosts
                .push(TestHost::start_with(conf, &self.catalog).await);
        }
    }

    /// Lists the upstreams as started again, as they are after a crash.
    fn restart_upstreams(&self) {
        for id in ["a", "b", "c"] {
            self.catalog.restart(id, 1);
        }
    }

    /// How often the bad request has reached upstreams.
    fn bad_runs(&self) -> usize {
        let arrivals = self.upstreams.iter().flat_map(ScriptedUpstream::arrivals);
        arrivals.filter(|arrival| arrival.path() == BAD).count()
    }

    /// Sends the bad request to each host in turn until one refuses it.
    async fn crash_until_refused(&self) {
        for host in self.hosts.iter().cycle() {
            let res = host.call(request(BAD)).await;
            if res.status() == 503 {
                assert_eq!(res.body(), "poison\n");
                return;
            }
            assert_eq!(res.status(), 502);
        }
    }

    /// Waits until a host refuses the bad request.
    async fn wait_until_refusing(&self, host: &TestHost) {
        wait_until(|| {
            let now = host.gateway.clock.now();
            let quarantine = host.gateway.part_quarantine();
            quarantine.quarantined(now).next().is_some()
        })
        .await;
    }
}

/// Guards against hosts that start, one after the other, and do not know which request crashes
/// upstreams.
#[tokio::test]
async fn hosts_that_start_later_refuse_a_request_that_crashes_upstreams() {
    let mut world = World::start(2).await;
    world.crash_until_refused().await;
    world.restart_upstreams();
    let before = world.bad_runs();
    for _ in 0..2 {
        world.start_host().await;
        let late = world.hosts.last().unwrap();
        world.wait_until_refusing(late).await;
        assert_eq!(late.call(request(BAD)).await.status(), 503);
    }
    assert_eq!(world.bad_runs(), before);
    for host in &world.hosts {
        assert_eq!(host.call(request("/once/sound")).await.status(), 200);
    }
}

/// Guards against hosts that all restart at the same time and pass a request that crashes upstreams on
/// again, as often as at first.
#[tokio::test]
async fn hosts_that_all_restart_refuse_a_request_that_crashes_upstreams() {
    let mut world = World::start(3).await;
    world.crash_until_refused().await;
    wait_until(|| world.catalog.saved_quarantines().len() == 1).await;
    let before = world.bad_runs();
    for _ in 0..3 {
        world.restart_upstreams();
        world.restart_hosts().await;
        for host in &world.hosts {
            world.wait_until_refusing(host).await;
            assert_eq!(host.call(request(BAD)).await.status(), 503);
        }
    }
    assert_eq!(world.bad_runs(), before);
    assert_eq!(
        world.hosts[0].call(request("/once/sound")).await.status(),
        200
    );
}

/// Guards against a quarantine that is lost since the store was away when it began, or came back from
/// a copy that does not have it.
#[parameterized(
    store_away = { true },
    store_restored = { false },
)]
#[test_macro(tokio::test)]
async fn a_quarantine_is_saved_when_the_store_is_back(is_away: bool) {
    let world = World::start(2).await;
    let snapshot = world.catalog.snapshot();
    world.catalog.set_unreachable(is_away);
    world.crash_until_refused().await;
    if is_away {
        assert!(world.catalog.saved_quarantines().is_empty());
        world.catalog.set_unreachable(false);
    } else {
        wait_until(|| world.catalog.saved_quarantines().len() == 1).await;
        world.catalog.restore(snapshot);
    }
    wait_until(|| world.catalog.saved_quarantines().len() == 1).await;
}

/// Guards against a sound request that is refused after each restart although it was answered since.
#[tokio::test]
async fn a_quarantine_that_has_ended_is_deleted() {
    let world = World::start(2).await;
    world.crash_until_refused().await;
    wait_until(|| world.catalog.saved_quarantines().len() == 1).await;
    let parts = world.catalog.saved_quarantines()[0].parts.clone();
    let request = parts.iter().find_map(RequestPart::request).unwrap();
    for host in &world.hosts {
        let now = host.gateway.clock.now();
        let changes = host.gateway.part_quarantine().on_answered(request, now);
        host.gateway.on_quarantine_changes(&changes);
    }
    wait_until(|| world.catalog.saved_quarantines().is_empty()).await;
}
