//! Hosts that do not reach upstreams themselves, beside hosts that do.

mod gateway_world;

use std::sync::Arc;
use std::time::Instant;

use banyanarch::gateway::GatewayConf;
use gateway_world::TestHost;
use gateway_world::catalog::FakeCatalog;
use gateway_world::conf;
use gateway_world::request;
use gateway_world::table;
use gateway_world::upstream::ScriptStep;
use gateway_world::upstream::ScriptedUpstream;
use gateway_world::upstream_link::Cut;
use gateway_world::upstream_link::UpstreamLink;
use gateway_world::wait_until;
use yare::parameterized;

/// A configuration in another failure domain than [`conf`], so that neither host reads the lists of
/// the other.
fn conf_there(name: &str) -> GatewayConf {
    GatewayConf {
        domain: "there".parse().unwrap(),
        ..conf(name)
    }
}

/// An upstream `a`, a host that reaches it, and one whose link to it is cut. Both hosts hear each
/// other.
struct World {
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
