//! The priorities that engines are told.

mod gateway_world;

use banyanarch::routing::CallKind;
use banyanarch::routing::RouteTable;
use banyanarch::units::Priority;
use gateway_world::TestHost;
use gateway_world::catalog::FakeCatalog;
use gateway_world::request;
use gateway_world::route;
use gateway_world::table;
use gateway_world::upstream::ScriptStep;
use gateway_world::upstream::ScriptedUpstream;
use yare::parameterized;

const STREAM: CallKind = CallKind::Stream { is_resumable: true };

/// A manifest with one route, to this service, that lists these priorities for its route and for the
/// customer acme.
fn table_with_priorities(
    kind: CallKind,
    service: &str,
    of_route: Option<u8>,
    of_customer: Option<u8>,
) -> RouteTable {
    let mut routes = table(1);
    let mut only = route("only", kind, service);
    only.priority = of_route.map(Priority);
    let mut prioritized = RouteTable::new(routes.generation, vec![only]);
    prioritized.services = std::mem::take(&mut routes.services);
    prioritized.keys = std::mem::take(&mut routes.keys);
    if let Some(priority) = of_customer {
        let customer = "acme".parse().unwrap();
        prioritized.keys.set_priority(customer, Priority(priority));
    }
    prioritized
}

/// Guards against a customer's priority that the route's replaces, and against priorities that are
/// sent to plain services or that no manifest lists.
#[parameterized(
    customer_before_route = { STREAM, "llm", Some(1), Some(7), Some("7") },
    first_customer_before_route = { STREAM, "llm", Some(1), Some(0), Some("0") },
    customer_alone = { STREAM, "llm", None, Some(7), Some("7") },
    route_alone = { STREAM, "llm", Some(3), None, Some("3") },
    none_listed = { STREAM, "llm", None, None, None },
    plain_service = { STREAM, "app", Some(1), Some(7), None },
    no_stream = { CallKind::Idempotent, "llm", Some(1), Some(7), None },
)]
#[test_macro(tokio::test)]
async fn an_engine_is_told_the_listed_priority(
    kind: CallKind,
    service: &str,
    of_route: Option<u8>,
    of_customer: Option<u8>,
    expected: Option<&str>,
) {
    let routes = table_with_priorities(kind, service, of_route, of_customer);
    let catalog = FakeCatalog::new(routes);
    let upstream = ScriptedUpstream::start([ScriptStep::Events(1)]).await;
    catalog.list("a", service, upstream.addr);
    let host = TestHost::start("host", &catalog).await;
    assert_eq!(host.call(request("/only/1")).await.status().as_u16(), 200);
    let arrivals = upstream.arrivals();
    assert_eq!(arrivals[0].header("test-priority"), expected);
}

/// Guards against an engine that resumes a stream without its priority, behind all other calls.
#[tokio::test]
async fn a_resumed_stream_keeps_its_priority() {
    let catalog = FakeCatalog::new(table_with_priorities(STREAM, "llm", Some(1), Some(7)));
    // The first engine of the call breaks off, and the other is asked to resume.
    let a = ScriptedUpstream::start([ScriptStep::EventsThenBreak(3)]).await;
    let b = ScriptedUpstream::start([ScriptStep::EventsThenBreak(3)]).await;
    catalog.list("a", "llm", a.addr);
    catalog.list("b", "llm", b.addr);
    let host = TestHost::start("host", &catalog).await;
    let broken = host.try_call(request("/only/1")).await;
    assert!(broken.is_err(), "both engines break off: {broken:?}");
    let arrivals = [a.arrivals(), b.arrivals()].concat();
    let mut resumed_after: Vec<_> = arrivals.iter().map(|a| a.header("test-after")).collect();
    resumed_after.sort_unstable();
    assert_eq!(resumed_after, [None, Some("3")]);
    let mut priorities = arrivals.iter().map(|a| a.header("test-priority"));
    assert!(priorities.all(|priority| priority == Some("7")));
}
