//! The metrics of a gateway by customer.

mod gateway_world;

use std::time::Duration;

use banyanarch::gateway::GatewayMetrics;
use banyanarch::routing::CallKind;
use gateway_world::TestHost;
use gateway_world::catalog::FakeCatalog;
use gateway_world::request;
use gateway_world::request_of;
use gateway_world::table;
use gateway_world::upstream::ScriptStep;
use gateway_world::upstream::ScriptedUpstream;
use gateway_world::wait_until;

/// Guards against a flood that no metric shows, since all customers are counted together.
#[test]
fn shares_and_waits_are_shown_by_customer() {
    let metrics = GatewayMetrics::new().unwrap();
    let (acme, globex) = ("acme".parse().unwrap(), "globex".parse().unwrap());
    let service = "llm".parse().unwrap();
    let customers = &metrics.customers;
    customers.record_time_wanted(Some(&acme), &service, Duration::from_millis(1_500));
    customers.record_time_wanted(Some(&acme), &service, Duration::from_millis(500));
    customers.record_time_used(Some(&acme), &service, Duration::from_millis(250));
    customers.record_time_wanted(None, &service, Duration::from_millis(125));
    customers.set_share_ratio(&acme, &service, 3.5);
    customers.set_share_ratio(&acme, &service, 3.25);
    customers.set_share_ratio(&globex, &service, 0.5);
    let waited = Duration::from_millis(80);
    customers.record_queue_wait(Some(&globex), CallKind::Idempotent, waited);
    let page = metrics.render().unwrap();
    for line in [
        r#"gateway_engine_time_wanted_seconds_total{customer="acme",service="llm"} 2"#,
        r#"gateway_engine_time_wanted_seconds_total{customer="none",service="llm"} 0.125"#,
        r#"gateway_engine_time_used_seconds_total{customer="acme",service="llm"} 0.25"#,
        r#"gateway_share_ratio{customer="acme",service="llm"} 3.25"#,
        r#"gateway_share_ratio{customer="globex",service="llm"} 0.5"#,
        r#"gateway_queue_wait_seconds_bucket{class="idempotent",customer="globex",le="0.075"} 0"#,
        r#"gateway_queue_wait_seconds_bucket{class="idempotent",customer="globex",le="0.15"} 1"#,
    ] {
        let line = format!("banyanarch_{line}");
        assert!(page.lines().any(|l| l == line), "{line}\n{page}");
    }
}

/// Guards against refusals that can't be put down to a customer, and against callers that create
/// series by keys of their own choice.
#[tokio::test]
async fn refusals_are_counted_by_customer_and_reason() {
    let catalog = FakeCatalog::new(table(1));
    let upstream = ScriptedUpstream::start([ScriptStep::Refuse]).await;
    catalog.list("a", "app", upstream.addr);
    let host = TestHost::start("host", &catalog).await;
    assert_eq!(host.call(request("/once/1")).await.status(), 503);
    for key in ["guess-1", "guess-2"] {
        assert_eq!(host.call(request_of(key, "/once/1")).await.status(), 401);
    }
    let line = |customer: &str, class: &str, outcome: &str, count: u32| {
        format!(
            r#"banyanarch_gateway_requests_total{{class="{class}",customer="{customer}",outcome="{outcome}"}} {count}"#
        )
    };
    let expected = [
        line("acme", "at_most_once", "no_upstream", 1),
        line("none", "none", "unknown_key", 2),
    ];
    let has_all = |page: &str| expected.iter().all(|line| page.lines().any(|l| l == line));
    wait_until(|| has_all(&host.gateway.metrics.render().unwrap())).await;
    assert!(!host.gateway.metrics.render().unwrap().contains("guess"));
}
