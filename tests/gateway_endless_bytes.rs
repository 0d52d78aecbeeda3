//! Upstreams that send bytes without end.

mod gateway_world;

use std::time::Duration;

use banyanarch::units::ByteSize;
use gateway_world::TestHost;
use gateway_world::catalog::FakeCatalog;
use gateway_world::conf;
use gateway_world::conf_there;
use gateway_world::endless_upstream::EndlessBytes;
use gateway_world::endless_upstream::EndlessUpstream;
use gateway_world::request;
use gateway_world::table_with;
use gateway_world::upstream::ScriptStep;
use gateway_world::upstream::ScriptedUpstream;
use gateway_world::upstream::event;
use gateway_world::upstream_link::Cut;
use gateway_world::upstream_link::UpstreamLink;
use gateway_world::wait_until;
use tokio::time::timeout;
use yare::parameterized;

/// The most that a host may read of a response that is none: the largest answer in one piece, and what
/// the kernel holds on the way.
const READ_MAX: usize = 24 << 20;

/// The bytes that a host may hold beside usual bodies, the calls that get endless ones, and the most that
/// all of these may be sent until they end. In ten seconds it would be 12 MB.
const HELD_MAX: usize = 256 << 10;
const ENDLESS_CALLS: usize = 16;
const HELD_SENT_MAX: usize = 3 << 20;

/// How long a host may take to choose the upstream that sends without end.
const MET_WITHIN: Duration = Duration::from_secs(20);

/// Two upstreams of each service: one sends without end, and one responds as it should.
struct World {
    endless: EndlessUpstream,
    host: TestHost,
    /// A host that reaches all upstreams, if the other one does not.
    _near: Option<TestHost>,
    _sound: [ScriptedUpstream; 2],
    _link: UpstreamLink,
}

impl World {
    async fn start(bytes: EndlessBytes, is_tunneled: bool) -> Self {
        let routes = table_with(1, |route| route.timeout = Duration::from_secs(15));
        let catalog = FakeCatalog::new(routes);
        let endless = EndlessUpstream::start(bytes).await;
        let sound = [
            ScriptedUpstream::start([ScriptStep::Respond(200, "ok")]).await,
            ScriptedUpstream::start([ScriptStep::Events(3)]).await,
        ];
        for (service, sound) in ["app", "llm"].into_iter().zip(&sound) {
            catalog.list(&format!("{service}-endless"), service, endless.addr);
            catalog.list(&format!("{service}-sound"), service, sound.addr);
        }
        let link = UpstreamLink::cut(Cut::Refused).await;
        let cut_catalog = catalog.separate_link();
        if is_tunneled {
            for service in ["app", "llm"] {
                cut_catalog.replace_addr(&format!("{service}-endless"), link.addr);
            }
        }
        let host = TestHost::start_with(conf_there("host"), &cut_catalog).await;
        let mut near = None;
        if is_tunneled {
            let started = TestHost::start_with(conf("near"), &catalog).await;
            started.wait_for_host(&host).await;
            host.wait_for_host(&started).await;
            near = Some(started);
        }
        Self {
            endless,
            host,
            _near: near,
            _sound: sound,
            _link: link,
        }
    }

    /// Calls the host until the endless upstream has been called, and waits until it is let go.
    async fn call_until_met(&self, path: &str, body: &str) {
        let calls = async {
            while self.endless.calls() == 0 {
                let res = self.host.call(request(path)).await;
                assert_eq!(
                    (res.status().as_u16(), res.body().as_ref()),
                    (200, body.as_bytes())
                );
            }
        };
        let met = timeout(MET_WITHIN, calls).await;
        met.expect("the host calls the upstream that sends without end");
        wait_until(|| self.endless.open() == 0).await;
        let sent = self.endless.sent();
        assert!(sent < READ_MAX, "{sent} bytes");
    }
}

/// Guards against a host that reads what is no answer until its memory or the time of the call is
/// used up, in place of asking another upstream.
#[parameterized(
    interim_responses = { EndlessBytes::InterimResponses, false },
    header = { EndlessBytes::Header, false },
    headers = { EndlessBytes::Headers, false },
    body = { EndlessBytes::Body, false },
    chunk_extension = { EndlessBytes::ChunkExtension, false },
    trailers = { EndlessBytes::Trailers, false },
    interim_responses_in_a_tunnel = { EndlessBytes::InterimResponses, true },
    header_in_a_tunnel = { EndlessBytes::Header, true },
    body_in_a_tunnel = { EndlessBytes::Body, true },
)]
#[test_macro(tokio::test(flavor = "multi_thread", worker_threads = 2))]
async fn an_answer_without_end_is_left_for_another_upstream(
    bytes: EndlessBytes,
    is_tunneled: bool,
) {
    let world = World::start(bytes, is_tunneled).await;
    world.call_until_met("/safe/1", "ok").await;
}

/// Guards against a stream that is read into memory until its time is over, since its event never ends.
#[parameterized(
    one_event = { EndlessBytes::Event, false },
    one_event_in_a_tunnel = { EndlessBytes::Event, true },
    interim_responses = { EndlessBytes::InterimResponses, false },
    chunk_extension = { EndlessBytes::ChunkExtension, false },
)]
#[test_macro(tokio::test(flavor = "multi_thread", worker_threads = 2))]
async fn a_stream_without_an_event_is_left_for_another_engine(
    bytes: EndlessBytes,
    is_tunneled: bool,
) {
    let world = World::start(bytes, is_tunneled).await;
    let expected: String = (1..=3).map(event).collect();
    world.call_until_met("/model/1", &expected).await;
}

/// Guards against a host that holds a part of an endless body for each call, and runs out of memory with
/// many of them: all its calls end with it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_bodies_of_all_calls_are_held_within_one_bound() {
    let catalog = FakeCatalog::new(table_with(1, |_| {}));
    let endless = EndlessUpstream::start(EndlessBytes::SlowBody).await;
    let sound = ScriptedUpstream::start([ScriptStep::Events(3)]).await;
    catalog.list("app", "app", endless.addr);
    catalog.list("llm", "llm", sound.addr);
    let mut conf = conf("host");
    conf.held_bytes_max = ByteSize(HELD_MAX as u64);
    let host = TestHost::start_with(conf, &catalog).await;
    let calls = (0..ENDLESS_CALLS).map(|index| host.spawn_call(request(&format!("/once/{index}"))));
    let calls: Vec<_> = calls.collect();
    wait_until(|| host.gateway.held_bytes() > 0).await;
    let res = host.call(request("/model/1")).await;
    assert_eq!(res.status(), 200, "usual answers need no reservation");
    for call in calls {
        assert_eq!(call.await.unwrap().unwrap().status(), 502);
    }
    assert!(endless.sent() < HELD_SENT_MAX, "{} bytes", endless.sent());
    assert_eq!(host.gateway.held_bytes(), 0);
}

/// Guards against an event that comes slowly and never ends, and counts as a sign of life.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_event_that_comes_slowly_and_never_ends_counts_as_silence() {
    let world = World::start(EndlessBytes::SlowEvent, false).await;
    let expected: String = (1..=3).map(event).collect();
    world.call_until_met("/model/1", &expected).await;
}
