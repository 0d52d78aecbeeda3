//! Upstreams that stop inside the heads or bodies of their answers.

mod gateway_world;

use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream;
use gateway_world::TestHost;
use gateway_world::catalog::FakeCatalog;
use gateway_world::conf;
use gateway_world::conf_there;
use gateway_world::cut_upstream::CutAnswer;
use gateway_world::cut_upstream::CutUpstream;
use gateway_world::cut_upstream::Framing;
use gateway_world::earlier_host::EarlierHost;
use gateway_world::request;
use gateway_world::table;
use gateway_world::upstream_link::Cut;
use gateway_world::upstream_link::UpstreamLink;
use yare::parameterized;

/// The id that all requests have.
const REQUEST: &str = "r-1";
/// The number of upstreams, each of which is left out for a while after a cut answer.
const UPSTREAMS: usize = 64;
/// The number of requests at a time.
const CONCURRENT: usize = 16;
/// How often a request is sent until it reaches an upstream, and the pause before the next time.
const SENDS_MAX: usize = 100;
const RESEND_AFTER: Duration = Duration::from_millis(50);

/// What lies between the host and the upstreams.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Path {
    Direct,
    /// A tunnel through another host.
    Tunnel,
    /// A tunnel through a host of an earlier version, which does not say how a connection ended.
    EarlierTunnel,
}

/// A host and upstreams that cut their answers.
struct World {
    host: TestHost,
    upstream: CutUpstream,
    _provider: Option<TestHost>,
    earlier: Option<EarlierHost>,
    _link: UpstreamLink,
}

impl World {
    async fn start(path: Path, service: &str) -> Self {
        let catalog = FakeCatalog::new(table(1));
        let upstream = CutUpstream::start().await;
        let link = UpstreamLink::cut(Cut::Refused).await;
        let cut_catalog = catalog.separate_link();
        for index in 0..UPSTREAMS {
            let id = format!("u{index}");
            catalog.list(&id, service, upstream.addr);
            if path != Path::Direct {
                cut_catalog.replace_addr(&id, link.addr);
            }
        }
        let host = TestHost::start_with(conf_there("cut"), &cut_catalog).await;
        let (mut provider, mut earlier) = (None, None);
        match path {
            Path::Direct => {}
            Path::Tunnel => {
                let near = TestHost::start_with(conf("near"), &catalog).await;
                near.wait_for_host(&host).await;
                host.wait_for_host(&near).await;
                provider = Some(near);
            }
            Path::EarlierTunnel => {
                earlier = Some(EarlierHost::start(&catalog, upstream.addr, &host).await);
            }
        }
        Self {
            host,
            upstream,
            _provider: provider,
            earlier,
            _link: link,
        }
    }

    /// Sends a request until it has reached an upstream. Returns whether the caller has got a whole
    /// answer.
    async fn looks_complete(&self, path: &str) -> bool {
        for _ in 0..SENDS_MAX {
            let res = self.host.try_call(request(path)).await;
            let is_success = res.is_ok_and(|res| res.status().is_success());
            if self.upstream.has_received(path) {
                return is_success;
            }
            assert!(!is_success, "no upstream has got {path}");
            if let Some(earlier) = &self.earlier {
                earlier.announce(&self.host);
            }
            tokio::time::sleep(RESEND_AFTER).await;
        }
        panic!("{path} reaches no upstream");
    }
}

/// All ways to cut an answer with this framing, and the whole one.
fn cuts(framing: Framing) -> Vec<CutAnswer> {
    let (head, body) = framing.answer(REQUEST);
    let all = 0..=head.len() + body.len();
    let cut = |bytes: usize, is_reset| CutAnswer {
        framing,
        bytes,
        is_reset,
    };
    all.flat_map(|bytes| [cut(bytes, false), cut(bytes, true)])
        .collect()
}

/// The cuts after which a caller's answer looks whole although it is not, or the reverse.
async fn wrong_ends(world: &World, route: &str, cuts: Vec<CutAnswer>) -> Vec<String> {
    let calls = stream::iter(cuts).map(async |cut| {
        let path = format!("/{route}/{cut}");
        let looks_complete = world.looks_complete(&path).await;
        (looks_complete != cut.is_whole(REQUEST)).then_some(path)
    });
    let wrong = calls.buffer_unordered(CONCURRENT);
    wrong.filter_map(|path| async { path }).collect().await
}

/// Guards against half an answer that looks complete because the upstream has stopped inside the head
/// or the body of it.
#[parameterized(
    direct = { Path::Direct },
    tunnel = { Path::Tunnel },
)]
#[test_macro(tokio::test)]
async fn an_answer_that_is_cut_anywhere_does_not_look_complete(path: Path) {
    let world = World::start(path, "app").await;
    for framing in Framing::PLAIN {
        let wrong = wrong_ends(&world, "once", cuts(framing)).await;
        assert!(wrong.is_empty(), "{wrong:?}");
    }
}

/// Guards against the same behind a host of an earlier version: also what such a host cannot tell from
/// a cut must not look complete.
#[tokio::test]
async fn an_answer_that_is_cut_behind_anearlier_host_does_not_look_complete() {
    let world = World::start(Path::EarlierTunnel, "app").await;
    for framing in Framing::PLAIN {
        let framed = cuts(framing).into_iter();
        let framed = framed.filter(|cut| framing != Framing::Connection || !cut.is_whole(REQUEST));
        let wrong = wrong_ends(&world, "once", framed.collect()).await;
        assert!(wrong.is_empty(), "{wrong:?}");
    }
}

/// Guards against a stream that looks complete because the upstream has stopped inside its head or an
/// event.
#[parameterized(
    direct = { Path::Direct },
    tunnel = { Path::Tunnel },
    earlier_tunnel = { Path::EarlierTunnel },
)]
#[test_macro(tokio::test)]
async fn a_stream_that_is_cut_anywhere_does_not_look_complete(path: Path) {
    let world = World::start(path, "app").await;
    let wrong = wrong_ends(&world, "fixed", cuts(Framing::Events)).await;
    assert!(wrong.is_empty(), "{wrong:?}");
}

/// Guards against a stream that looks complete because the upstream that resumes it has stopped inside
/// the head of its answer.
#[parameterized(
    direct = { Path::Direct },
    tunnel = { Path::Tunnel },
)]
#[test_macro(tokio::test)]
async fn a_resumed_stream_that_is_cut_in_its_head_does_not_look_complete(path: Path) {
    let world = World::start(path, "app").await;
    let (head, body) = Framing::Events.answer(REQUEST);
    let first = CutAnswer {
        framing: Framing::Events,
        bytes: head.len() + body.len() / 2,
        is_reset: false,
    };
    let resumed = cuts(Framing::Events).into_iter();
    let resumed = resumed.filter(|cut| cut.bytes <= head.len());
    for cut in resumed.step_by(5) {
        let path = format!("/stream/{first}--{cut}");
        assert!(!world.looks_complete(&path).await, "{path}");
    }
}
