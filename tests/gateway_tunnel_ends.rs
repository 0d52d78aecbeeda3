//! Responses without a length that end together with the tunnel they come through.

mod gateway_world;

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use banyanarch::gateway::GatewayConf;
use banyanarch::units::Generation;
use bytes::Bytes;
use gateway_world::TestHost;
use gateway_world::catalog::FakeCatalog;
use gateway_world::conf;
use gateway_world::conf_there;
use gateway_world::earlier_host::EarlierHost;
use gateway_world::request;
use gateway_world::table;
use gateway_world::upstream::ScriptStep;
use gateway_world::upstream::ScriptedUpstream;
use gateway_world::upstream::event;
use gateway_world::upstream_link::Cut;
use gateway_world::upstream_link::UpstreamLink;
use gateway_world::wait_until;
use http_body_util::Full;
use hyper::Response;
use tokio::runtime::Runtime;
use yare::parameterized;

/// More than any message between hosts may contain.
const LONG_BODY_LEN: usize = 9 << 20;

/// A host in a process of its own, as far as its connections are concerned.
struct SeparateHost {
    host: TestHost,
    runtime: Option<Runtime>,
}

impl SeparateHost {
    async fn start(conf: GatewayConf, catalog: &Arc<FakeCatalog>) -> Self {
        let runtime = Runtime::new().unwrap();
        let catalog = Arc::clone(catalog);
        let started = runtime.spawn(async move { TestHost::start_with(conf, &catalog).await });
        Self {
            host: started.await.unwrap(),
            runtime: Some(runtime),
        }
    }

    /// Ends the host as a process that is killed: its connections are closed without a word.
    fn kill(&mut self) {
        self.runtime
            .take()
            .expect("not killed yet")
            .shutdown_background();
    }
}

impl Drop for SeparateHost {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

/// Two upstreams, and a host without a path to them.
struct World {
    catalog: Arc<FakeCatalog>,
    upstream: ScriptedUpstream,
    cut: TestHost,
    _link: UpstreamLink,
}

impl World {
    async fn start(service: &str, script: impl IntoIterator<Item = ScriptStep>) -> Self {
        let catalog = FakeCatalog::new(table(1));
        let upstream = ScriptedUpstream::start(script).await;
        let link = UpstreamLink::cut(Cut::Refused).await;
        let cut_catalog = catalog.separate_link();
        // Both upstreams share one script, since either may be chosen first.
        for id in ["a", "b"] {
            catalog.list(id, service, upstream.addr);
            cut_catalog.replace_addr(id, link.addr);
        }
        let cut = TestHost::start_with(conf_there("cut"), &cut_catalog).await;
        Self {
            catalog,
            upstream,
            cut,
            _link: link,
        }
    }

    /// Starts a host that reaches the upstreams.
    async fn start_provider(&self, conf: GatewayConf) -> SeparateHost {
        let provider = SeparateHost::start(conf, &self.catalog).await;
        provider.host.wait_for_host(&self.cut).await;
        self.cut.wait_for_host(&provider.host).await;
        provider
    }

    /// How often the call of a lost tunnel was reported as the fault of the tunnel.
    fn tunnel_faults(&self) -> usize {
        let lines = self.cut.log.lines().into_iter();
        let faults = lines.filter(|line| line["event"] == "upstream_fault");
        let of_tunnels =
            faults.filter(|line| line["fault"].as_str().unwrap().contains("tunnel ended"));
        of_tunnels.count()
    }
}

/// How the host that provides the tunnel ends.
#[derive(Clone, Copy, Debug)]
enum HostEnd {
    /// It is killed.
    Killed,
    /// It is told to stop, and is gone after its grace period.
    Stopped,
}

/// Sends a call through a host that ends once the upstream has sent a part of its response. Returns
/// the response; none if it was cut.
async fn call_while_tunnel_ends(
    path: &str,
    service: &str,
    first: ScriptStep,
    second: ScriptStep,
    end: HostEnd,
) -> (Option<Response<Bytes>>, World) {
    let world = World::start(service, [first, second]).await;
    let grace = GatewayConf {
        stop_grace: Duration::from_millis(300),
        ..conf("near")
    };
    let mut near = world.start_provider(grace).await;
    let call = world.cut.spawn_call(request(path));
    wait_until(|| world.upstream.arrivals().len() == 1).await;
    let _other = world.start_provider(conf("other")).await;
    // The first part of the response has passed through the tunnel by then.
    tokio::time::sleep(Duration::from_millis(200)).await;
    if let HostEnd::Stopped = end {
        near.host.gateway.begin_shutdown();
        wait_until(|| near.host.serving.is_finished()).await;
    }
    near.kill();
    (call.await.unwrap().ok(), world)
}

/// Guards against a stream that looks complete because the host in the middle has ended, and is not
/// resumed.
#[parameterized(killed = { HostEnd::Killed }, stopped = { HostEnd::Stopped })]
#[test_macro(tokio::test(flavor = "multi_thread", worker_threads = 2))]
async fn a_stream_goes_on_when_its_tunnel_ends(end: HostEnd) {
    let (first, second) = (ScriptStep::EventsThenHang(3), ScriptStep::Events(6));
    let (res, world) = call_while_tunnel_ends("/model/1", "llm", first, second, end).await;
    let expected: String = (1..=6).map(event).collect();
    assert_eq!(res.expect("the stream is whole").body(), &expected);
    assert_eq!(world.upstream.arrivals().len(), 2);
}

/// Guards against a stream that looks complete after a part of it, and cannot be resumed.
#[parameterized(killed = { HostEnd::Killed }, stopped = { HostEnd::Stopped })]
#[test_macro(tokio::test(flavor = "multi_thread", worker_threads = 2))]
async fn a_stream_that_cannot_be_resumed_is_cut_when_its_tunnel_ends(end: HostEnd) {
    let (first, second) = (ScriptStep::EventsThenHang(3), ScriptStep::Events(6));
    let (res, world) = call_while_tunnel_ends("/fixed/1", "app", first, second, end).await;
    assert!(res.is_none(), "the caller sees that the stream is cut");
    assert_eq!(world.upstream.arrivals().len(), 1);
    wait_until(|| world.tunnel_faults() == 1).await;
}

/// Guards against half an answer that looks complete because the host in the middle has ended.
#[parameterized(
    repeatable_killed = { "/safe/1", HostEnd::Killed, 200, "whole" },
    repeatable_stopped = { "/safe/1", HostEnd::Stopped, 200, "whole" },
    not_repeatable_killed = { "/once/1", HostEnd::Killed, 502, "" },
    not_repeatable_stopped = { "/once/1", HostEnd::Stopped, 502, "" },
)]
#[test_macro(tokio::test(flavor = "multi_thread", worker_threads = 2))]
async fn half_an_answer_is_not_returned_when_its_tunnel_ends(
    path: &str,
    end: HostEnd,
    status: u16,
    body: &str,
) {
    let first = ScriptStep::UnframedThenHang("hal");
    let second = ScriptStep::Respond(200, "whole");
    let (res, _) = call_while_tunnel_ends(path, "app", first, second, end).await;
    let res = res.expect("the host answers");
    assert_eq!(res.status(), status);
    if !body.is_empty() {
        assert_eq!(res.body(), body);
    }
    assert!(!res.body().starts_with(b"hal"));
}

/// Guards against half a head that looks like an answer because the host in the middle has ended.
#[parameterized(
    repeatable_killed = { "/safe/1", HostEnd::Killed, 200 },
    repeatable_stopped = { "/safe/1", HostEnd::Stopped, 200 },
    not_repeatable_killed = { "/once/1", HostEnd::Killed, 502 },
    not_repeatable_stopped = { "/once/1", HostEnd::Stopped, 502 },
)]
#[test_macro(tokio::test(flavor = "multi_thread", worker_threads = 2))]
async fn half_a_head_is_no_answer_when_its_tunnel_ends(path: &str, end: HostEnd, status: u16) {
    let first = ScriptStep::HalfHeadThenHang;
    let second = ScriptStep::Respond(200, "whole");
    let (res, _) = call_while_tunnel_ends(path, "app", first, second, end).await;
    let res = res.expect("the host answers");
    assert_eq!(res.status(), status);
    assert_eq!(res.body() == "whole", status == 200);
}

/// Guards against answers without a length that are taken for broken ones since a tunnel carries
/// them.
#[tokio::test]
async fn an_answer_that_the_upstream_ends_is_complete_behind_a_tunnel() {
    let script = [
        ScriptStep::Unframed("whole"),
        ScriptStep::Respond(200, "framed"),
    ];
    let world = World::start("app", script).await;
    let _near = world.start_provider(conf("near")).await;
    for expected in ["whole", "framed"] {
        let res = world.cut.call(request("/once/1")).await;
        assert_eq!(
            (res.status().as_u16(), res.body().as_ref()),
            (200, expected.as_bytes())
        );
    }
}

/// Guards against a long request that is cut since it does not fit into one message of a tunnel.
#[tokio::test]
async fn a_long_request_arrives_behind_a_tunnel() {
    let world = World::start("app", [ScriptStep::Respond(200, "ok")]).await;
    let mut routes = table(2);
    routes.limits.body_bytes = LONG_BODY_LEN;
    world.catalog.publish(routes);
    let _near = world.start_provider(conf("near")).await;
    let generation = || {
        world
            .cut
            .gateway
            .platform_view
            .routes()
            .map(|routes| routes.generation)
    };
    wait_until(|| generation() == Some(Generation(2))).await;
    let mut req = request("/once/1");
    *req.body_mut() = Full::from("x".repeat(LONG_BODY_LEN));
    assert_eq!(world.cut.call(req).await.status(), 200);
    assert_eq!(world.upstream.arrivals()[0].body.len(), LONG_BODY_LEN);
}

/// Guards against a stream that is cut after its last event since a tunnel carries it.
#[tokio::test]
async fn a_stream_that_the_upstream_ends_is_complete_behind_a_tunnel() {
    let world = World::start("app", [ScriptStep::Events(3)]).await;
    let _near = world.start_provider(conf("near")).await;
    let res = world.cut.call(request("/fixed/1")).await;
    let expected: String = (1..=3).map(event).collect();
    assert_eq!(res.body(), &expected);
}

/// Guards against an end that a host of an earlier version cannot announce and is taken for the end
/// of the answer, and against framed answers through such a host that are taken for broken ones.
#[parameterized(
    unframed = { ScriptStep::Unframed("hal"), 502, "" },
    framed = { ScriptStep::Respond(200, "whole"), 200, "whole" },
)]
#[test_macro(tokio::test)]
async fn the_bare_end_of_a_tunnel_is_not_the_end_of_an_answer(
    step: ScriptStep,
    status: u16,
    body: &str,
) {
    let world = World::start("app", [step]).await;
    let _earlier = EarlierHost::start(&world.catalog, world.upstream.addr, &world.cut).await;
    let res = world.cut.call(request("/once/1")).await;
    assert_eq!(res.status(), status);
    if !body.is_empty() {
        assert_eq!(res.body(), body);
    }
}

/// Guards against an upstream that is left out, and a request that is suspected of crashing it, because
/// a host in the middle has ended.
#[parameterized(
    before_the_head = { "/once/1", "app", ScriptStep::Hang },
    before_the_end = { "/once/1", "app", ScriptStep::UnframedThenHang("hal") },
    before_an_event = { "/model/1", "llm", ScriptStep::EventsThenHang(0) },
)]
#[test_macro(tokio::test(flavor = "multi_thread", worker_threads = 2))]
async fn a_lost_tunnel_is_no_fault_of_the_upstream(path: &str, service: &str, step: ScriptStep) {
    let second = ScriptStep::Events(3);
    let (_, world) = call_while_tunnel_ends(path, service, step, second, HostEnd::Killed).await;
    wait_until(|| world.tunnel_faults() == 1).await;
    assert!(world.cut.gateway.part_quarantine().is_empty());
    let health = world.cut.gateway.health();
    let domain = "here".parse().unwrap();
    for id in ["a", "b"] {
        assert!(health.is_usable(&id.parse().unwrap(), &domain, Instant::now()));
    }
}
