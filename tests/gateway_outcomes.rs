//! Hosts that tell each other the outcomes of their calls.

mod gateway_world;

use std::time::Duration;

use futures_util::future::join_all;
use gateway_world::TestHost;
use gateway_world::catalog::FakeCatalog;
use gateway_world::request;
use gateway_world::request_of;
use gateway_world::table;
use gateway_world::upstream::ScriptStep;
use gateway_world::upstream::ScriptedUpstream;
use gateway_world::wait_until;
use yare::parameterized;

/// Three hosts, and two upstreams of the service that they call, the second of which is sound.
async fn hosts_with_two_upstreams(step: ScriptStep) -> (Vec<TestHost>, ScriptedUpstream) {
    let catalog = FakeCatalog::new(table(1));
    let faulty = ScriptedUpstream::start([step]).await;
    let sound = ScriptedUpstream::start([ScriptStep::Respond(200, "sound")]).await;
    catalog.list("faulty", "app", faulty.addr);
    catalog.list("sound", "app", sound.addr);
    let mut hosts = Vec::new();
    for name in ["first", "second", "third"] {
        hosts.push(TestHost::start(name, &catalog).await);
    }
    for host in &hosts {
        host.wait_for_hosts(hosts.len()).await;
    }
    (hosts, faulty)
}

async fn call_all(hosts: &[TestHost], calls: usize) {
    let call = async |host: &TestHost| {
        for _ in 0..calls {
            host.call(request("/safe/1")).await;
        }
    };
    join_all(hosts.iter().map(call)).await;
}

fn ejections(host: &TestHost) -> Vec<serde_json::Value> {
    let lines = host.log.lines().into_iter();
    lines
        .filter(|line| line["event"] == "upstream_ejection" && line["change"] == "ejected")
        .collect()
}

/// Guards against an upstream that fails its calls and goes on getting them, because each host sees
/// too few of the failures.
#[parameterized(
    errors = { ScriptStep::Respond(500, "failed") },
    invalid_answers = { ScriptStep::Unsigned(200, "unsigned") },
)]
#[test_macro(tokio::test)]
async fn an_upstream_is_ejected_by_what_several_hosts_have_seen(step: ScriptStep) {
    let (hosts, faulty) = hosts_with_two_upstreams(step).await;
    let calls = async {
        while hosts.iter().any(|host| ejections(host).is_empty()) {
            call_all(&hosts, 10).await;
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let ejected = tokio::time::timeout(Duration::from_secs(20), calls).await;
    ejected.expect("each host ejects the upstream");
    for host in &hosts {
        let line = &ejections(host)[0];
        assert_eq!(line["upstream"], "faulty");
        assert_eq!(line["hosts_heard"], 2, "{line}");
        let faults = host.log.lines().into_iter();
        let faults = faults.filter(|line| line["event"] == "upstream_fault");
        assert!((faults.count() as u64) < line["failures"].as_u64().unwrap());
    }
    let before = faulty.arrivals().len();
    call_all(&hosts, 10).await;
    assert_eq!(
        faulty.arrivals().len(),
        before,
        "an ejected upstream gets no calls"
    );
    let metrics = hosts[0].gateway.metrics.render().unwrap();
    assert!(metrics.contains(r#"gateway_upstream_ejections_total{change="ejected""#));
}

/// Guards against truncated answers that count as broken connections, which the network may cause.
#[tokio::test]
async fn a_truncated_answer_is_a_failure_of_the_upstream() {
    let (hosts, faulty) = hosts_with_two_upstreams(ScriptStep::Truncate).await;
    call_all(&hosts, 20).await;
    assert!(!faulty.arrivals().is_empty());
    let now = hosts[0].gateway.clock.now();
    let failures = hosts.iter().map(|host| {
        let health = host.gateway.health();
        health
            .outcomes(&"faulty".parse().unwrap(), now)
            .sums
            .failures
    });
    assert!(failures.sum::<u32>() > 0);
}

/// Guards against upstreams that are ejected for what the caller, the request or the network does:
/// they are named in no report to other hosts as failing.
#[parameterized(
    crashes = { ScriptStep::Break },
    refusals = { ScriptStep::Refuse },
    bad_requests = { ScriptStep::Respond(400, "bad request") },
    deadlines = { ScriptStep::Respond(504, "too late") },
)]
#[test_macro(tokio::test)]
async fn what_is_not_the_upstreams_doing_is_no_failure(step: ScriptStep) {
    let (hosts, faulty) = hosts_with_two_upstreams(step).await;
    call_all(&hosts, 20).await;
    assert!(!faulty.arrivals().is_empty());
    let now = hosts[0].gateway.clock.now();
    for host in &hosts {
        let outcomes = host
            .gateway
            .health()
            .outcomes(&"faulty".parse().unwrap(), now);
        assert_eq!(outcomes.sums.failures, 0);
    }
}

/// Guards against a caller that leaves early, whose calls count against the upstream.
#[tokio::test]
async fn a_caller_that_leaves_is_no_failure_of_the_upstream() {
    let (hosts, faulty) = hosts_with_two_upstreams(ScriptStep::Hang).await;
    let calls: Vec<_> = (0..20)
        .map(|_| hosts[0].spawn_call(request_of("key-2", "/once/1")))
        .collect();
    wait_until(|| !faulty.arrivals().is_empty()).await;
    for call in calls {
        call.abort();
    }
    wait_until(|| hosts[0].gateway.in_flight() == 0).await;
    let now = hosts[0].gateway.clock.now();
    let outcomes = hosts[0]
        .gateway
        .health()
        .outcomes(&"faulty".parse().unwrap(), now);
    assert_eq!(outcomes.sums.failures, 0);
}
