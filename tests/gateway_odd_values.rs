//! Numbers from outside that no sound caller, upstream or engine sends.

mod gateway_world;

use banyanarch::units::DURATION_MAX;
use banyanarch::units::Slowdown;
use gateway_world::TestHost;
use gateway_world::catalog::FakeCatalog;
use gateway_world::request;
use gateway_world::table;
use gateway_world::upstream::ScriptStep;
use gateway_world::upstream::ScriptedUpstream;
use gateway_world::wait_until;
use yare::parameterized;

/// Guards against a caller whose connection is closed without an answer because of the number of
/// tokens that it states.
#[parameterized(
    none = { "0" },
    largest_of_32_bits = { "4294967295" },
    largest_of_64_bits = { "18446744073709551615" },
)]
#[test_macro(tokio::test)]
async fn a_prompt_of_any_size_gets_an_answer(tokens: &str) {
    let catalog = FakeCatalog::new(table(1));
    let upstream = ScriptedUpstream::start([ScriptStep::Events(3)]).await;
    for id in ["a", "b", "c"] {
        catalog.list(id, "llm", upstream.addr);
    }
    let host = TestHost::start("host", &catalog).await;
    let mut odd = request("/model/1");
    odd.headers_mut()
        .insert("test-prompt", tokens.parse().unwrap());
    let res = host.try_call(odd).await;
    assert!([200, 503].contains(&res.unwrap().status().as_u16()));
    assert_eq!(host.call(request("/model/2")).await.status(), 200);
}

/// Guards against calls that are closed without an answer because of a limit that an upstream states.
#[parameterized(
    zero = { "0" },
    tiny = { "1e-300" },
    huge = { "1e300" },
)]
#[test_macro(tokio::test)]
async fn a_limit_of_any_size_lets_calls_end(limit: &'static str) {
    let catalog = FakeCatalog::new(table(1));
    let upstream = ScriptedUpstream::start([ScriptStep::Respond(200, "ok")]).await;
    upstream.set_limit(Some(limit));
    catalog.list("a", "app", upstream.addr);
    let host = TestHost::start("host", &catalog).await;
    for call in 0..12 {
        let mut req = request(&format!("/safe/{call}"));
        req.headers_mut()
            .insert("test-deadline-ms", "400".parse().unwrap());
        let res = host.try_call(req).await.unwrap();
        assert!([200, 503].contains(&res.status().as_u16()), "{res:?}");
    }
}

/// Guards against prompts that are closed without an answer because of how slow an engine says it is.
#[parameterized(
    huge = { 1e300 },
    infinite = { f64::INFINITY },
    not_a_number = { f64::NAN },
    negative = { -5.0 },
    zero = { 0.0 },
)]
#[test_macro(tokio::test)]
async fn a_slowdown_of_any_size_lets_calls_end(factor: f64) {
    let catalog = FakeCatalog::new(table(1));
    let odd = ScriptedUpstream::start([ScriptStep::Hang]).await;
    catalog.list("odd", "llm", odd.addr);
    let host = TestHost::start("host", &catalog).await;
    let waiting = host.spawn_call(request("/model/1"));
    wait_until(|| odd.arrivals().len() == 1).await;
    host.engine_client
        .set_slowdown(odd.addr, Slowdown::new(factor));
    wait_until(|| host.engine_client.report_requests_of(odd.addr) > 2).await;
    let sound = ScriptedUpstream::start([ScriptStep::Events(3)]).await;
    catalog.list("sound", "llm", sound.addr);
    wait_until(|| {
        host.gateway
            .platform_view
            .is_usable(&"sound".parse().unwrap())
    })
    .await;
    for call in 0..4 {
        let mut req = request(&format!("/model/{call}"));
        req.headers_mut()
            .insert("test-deadline-ms", "1500".parse().unwrap());
        let res = host.try_call(req).await.unwrap();
        assert!([200, 503, 504].contains(&res.status().as_u16()), "{res:?}");
    }
    waiting.abort();
}

/// Guards against a host that no longer follows the list of upstreams because of a number in it.
#[tokio::test]
async fn an_upstream_that_is_cold_for_ever_does_not_end_the_list() {
    let catalog = FakeCatalog::new(table(1));
    let upstream = ScriptedUpstream::start([ScriptStep::Respond(200, "ok")]).await;
    catalog.list_cold("cold", "app", upstream.addr, DURATION_MAX);
    let host = TestHost::start("host", &catalog).await;
    catalog.list("sound", "app", upstream.addr);
    let is_usable = || {
        host.gateway
            .platform_view
            .is_usable(&"sound".parse().unwrap())
    };
    wait_until(is_usable).await;
    assert_eq!(host.call(request("/safe/1")).await.status(), 200);
}
