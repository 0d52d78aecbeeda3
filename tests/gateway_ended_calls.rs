//! Requests that crash upstreams after their calls have ended.

mod gateway_world;

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use gateway_world::TestHost;
use gateway_world::catalog::FakeCatalog;
use gateway_world::crashing_upstream::Crash;
use gateway_world::crashing_upstream::CrashingUpstream;
use gateway_world::crashing_upstream::LastAnswer;
use gateway_world::request;
use gateway_world::table;
use gateway_world::upstream::Arrival;
use http_body_util::Full;
use hyper::Request;
use yare::parameterized;

/// How long requests are sent.
const CALLED_FOR: Duration = Duration::from_secs(9);
/// The pause between two requests that crash upstreams, at any host.
const BAD_PAUSE: Duration = Duration::from_millis(250);
/// The pause between two sound requests of one caller.
const SOUND_PAUSE: Duration = Duration::from_millis(20);
/// How soon after the last crash that must be known these requests must stop, and how many may still
/// arrive later.
const STOPPED_WITHIN: Duration = Duration::from_secs(3);
const LATE_ARRIVALS_MAX: usize = 3;
/// The crashes under one request, and under one part of prompts, that must be known.
const REQUEST_CRASHES: usize = 3;
const PART_CRASHES: usize = 5;
/// The patience of the callers that leave.
const PATIENCE: Duration = Duration::from_millis(250);

/// What the requests that crash upstreams have in common.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Common {
    /// All.
    Request,
    /// A part of their prompts.
    Part,
}

fn is_bad(arrival: &Arrival) -> bool {
    arrival.has_part("bad")
}

/// Hosts that hear each other, and upstreams that the part `bad` crashes.
struct World {
    hosts: Vec<TestHost>,
    upstreams: Vec<CrashingUpstream>,
    /// The route of all requests.
    route: &'static str,
}

impl World {
    async fn start(route: &'static str, crash: Crash) -> Self {
        let catalog = FakeCatalog::new(table(1));
        let service = if route == "model" { "llm" } else { "app" };
        let mut upstreams = Vec::new();
        for index in 0..12 {
            let name = format!("u-{index}");
            let upstream = CrashingUpstream::start(&catalog, &name, service, crash, is_bad);
            upstreams.push(upstream.await);
        }
        let hosts = start_hosts(&catalog).await;
        Self {
            hosts,
            upstreams,
            route,
        }
    }

    fn request(&self, name: &str, parts: &str) -> Request<Full<Bytes>> {
        let mut req = request(&format!("/{}/{name}", self.route));
        req.headers_mut()
            .insert("test-parts", parts.parse().unwrap());
        req
    }

    /// Sends requests that crash upstreams to one host after another. The callers leave after
    /// `patience`, if it is given. Returns the number of requests that were refused.
    async fn call_bad(&self, common: Common, patience: Option<Duration>) -> usize {
        let until = Instant::now() + CALLED_FOR;
        let mut refused = 0;
        for (index, host) in self.hosts.iter().cycle().enumerate() {
            if Instant::now() >= until {
                break;
            }
            let name = match common {
                Common::Request => "bad".to_owned(),
                Common::Part => format!("bad-{index}"),
            };
            let call = host.try_call(self.request(&name, "common,bad"));
            let patience = patience.unwrap_or(CALLED_FOR);
            let res = tokio::time::timeout(patience, call).await;
            let is_refused = matches!(res, Ok(Ok(res)) if res.body().starts_with(b"poison"));
            refused += usize::from(is_refused);
            tokio::time::sleep(BAD_PAUSE).await;
        }
        refused
    }

    /// Sends sound requests to one host. Returns how many were refused as if they crashed upstreams.
    async fn call_sound(&self, host: usize) -> usize {
        let until = Instant::now() + CALLED_FOR;
        let mut refused = 0;
        for index in 0.. {
            if Instant::now() >= until {
                break;
            }
            let name = format!("sound-{host}-{index}");
            let parts = format!("common,{host}-{index}");
            let res = self.hosts[host].try_call(self.request(&name, &parts)).await;
            refused += usize::from(res.is_ok_and(|res| res.body().starts_with(b"poison")));
            tokio::time::sleep(SOUND_PAUSE).await;
        }
        refused
    }

    /// When requests that crash upstreams have arrived, in order.
    fn bad_arrivals(&self) -> Vec<Instant> {
        let arrivals = self
            .upstreams
            .iter()
            .flat_map(CrashingUpstream::bad_arrivals);
        let mut arrivals: Vec<Instant> = arrivals.collect();
        arrivals.sort();
        arrivals
    }
}

async fn start_hosts(catalog: &Arc<FakeCatalog>) -> Vec<TestHost> {
    let mut hosts = Vec::new();
    for name in ["first", "second", "third"] {
        hosts.push(TestHost::start(name, catalog).await);
    }
    for host in &hosts {
        host.wait_for_hosts(hosts.len()).await;
    }
    hosts
}

fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Guards against requests that crash upstreams and go on reaching them, since their calls have ended
/// in some way before the upstreams do.
#[parameterized(
    request_answered = { "model", Common::Request, LastAnswer::Success, millis(10), None },
    request_answered_some_time_ago = { "model", Common::Request, LastAnswer::Success, millis(1_000), None },
    request_failed = { "model", Common::Request, LastAnswer::Failure, millis(10), None },
    request_to_plain_service_failed = { "once", Common::Request, LastAnswer::Failure, millis(10), None },
    request_to_plain_service_answered = { "safe", Common::Request, LastAnswer::Success, millis(10), None },
    request_answered_for_another = { "model", Common::Request, LastAnswer::ToOther, millis(10), None },
    request_whose_caller_left = { "model", Common::Request, LastAnswer::Nothing, millis(300), Some(PATIENCE) },
    request_to_plain_service_whose_caller_left = { "once", Common::Request, LastAnswer::Nothing, millis(300), Some(PATIENCE) },
    request_sent_to_another_upstream_meanwhile = { "safe", Common::Request, LastAnswer::Nothing, millis(2_500), None },
    part_answered = { "model", Common::Part, LastAnswer::Success, millis(10), None },
    part_answered_some_time_ago = { "model", Common::Part, LastAnswer::Success, millis(1_000), None },
    part_failed = { "model", Common::Part, LastAnswer::Failure, millis(10), None },
    part_answered_for_another = { "model", Common::Part, LastAnswer::ToOther, millis(10), None },
    part_whose_caller_left = { "model", Common::Part, LastAnswer::Nothing, millis(300), Some(PATIENCE) },
)]
#[test_macro(tokio::test)]
async fn what_crashes_upstreams_is_found_although_its_call_has_ended(
    route: &'static str,
    common: Common,
    answer: LastAnswer,
    ends_after: Duration,
    patience: Option<Duration>,
) {
    let world = World::start(route, Crash { answer, ends_after }).await;
    let (refused, sound, other_sound) = tokio::join!(
        world.call_bad(common, patience),
        world.call_sound(0),
        world.call_sound(1),
    );
    let arrivals = world.bad_arrivals();
    let crashes = match common {
        Common::Request => REQUEST_CRASHES,
        Common::Part => PART_CRASHES,
    };
    assert!(
        refused > 0,
        "of {} none was refused: {arrivals:?}",
        arrivals.len()
    );
    let known_at = arrivals.get(crashes - 1);
    let stopped_at = known_at.map(|arrived_at| *arrived_at + ends_after + STOPPED_WITHIN);
    let is_late = |at: &&Instant| stopped_at.is_some_and(|stopped_at| **at > stopped_at);
    let late = arrivals.iter().filter(is_late);
    assert!(late.count() <= LATE_ARRIVALS_MAX, "{arrivals:?}");
    assert_eq!((sound, other_sound), (0, 0));
}
