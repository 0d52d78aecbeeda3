//! Routes and customers whose calls may be served in some regions only. The failure domains `here`
//! and `there` are in the regions `east` and `west`.

mod gateway_world;

use banyanarch::routing::AllowedRegions;
use banyanarch::routing::RouteTable;
use gateway_world::TestHost;
use gateway_world::catalog::FakeCatalog;
use gateway_world::request;
use gateway_world::route;
use gateway_world::table;
use gateway_world::upstream::ScriptStep;
use gateway_world::upstream::ScriptedUpstream;
use yare::parameterized;

/// The regions with these names; any region if there are none.
fn regions(names: &[&str]) -> AllowedRegions {
    if names.is_empty() {
        return AllowedRegions::Any;
    }
    AllowedRegions::Only(names.iter().map(|name| name.parse().unwrap()).collect())
}

/// A manifest whose route `safe` and customer `acme` allow these regions.
fn table_with_regions(of_route: &[&str], of_customer: &[&str]) -> RouteTable {
    let mut routes = table(1);
    let mut safe = route("safe", banyanarch::routing::CallKind::Idempotent, "app");
    safe.allowed_regions = regions(of_route);
    let mut restricted = RouteTable::new(routes.generation, vec![safe]);
    restricted.services = std::mem::take(&mut routes.services);
    restricted.keys = std::mem::take(&mut routes.keys);
    let customer = "acme".parse().unwrap();
    restricted
        .keys
        .set_allowed_regions(customer, regions(of_customer));
    restricted
}

/// Guards against calls that are served in a region that their route or their customer excludes.
#[parameterized(
    unrestricted_is_near = { &[], &[], 200, "here" },
    route = { &["west"], &[], 200, "there" },
    customer = { &[], &["west"], 200, "there" },
    both_bind = { &["east", "west"], &["west"], 200, "there" },
    no_common_region = { &["east"], &["west"], 503, "outside_regions\n" },
    no_upstream_there = { &["north"], &[], 503, "outside_regions\n" },
)]
#[test_macro(tokio::test)]
async fn a_call_is_served_only_in_regions_that_its_route_and_its_customer_allow(
    of_route: &[&str],
    of_customer: &[&str],
    status: u16,
    body: &str,
) {
    let catalog = FakeCatalog::new(table_with_regions(of_route, of_customer));
    let here = ScriptedUpstream::start([ScriptStep::Respond(200, "here")]).await;
    let there = ScriptedUpstream::start([ScriptStep::Respond(200, "there")]).await;
    catalog.list_in("here", "a", "app", here.addr);
    catalog.list_in("there", "b", "app", there.addr);
    let host = TestHost::start("host", &catalog).await;
    let res = host.call(request("/safe/1")).await;
    assert_eq!(res.status().as_u16(), status);
    assert_eq!(res.into_body(), body);
}

/// Guards against a second send to a region that is not allowed because the first upstream fails.
#[tokio::test]
async fn a_call_is_not_sent_again_outside_its_regions() {
    let catalog = FakeCatalog::new(table_with_regions(&["east"], &[]));
    let here = ScriptedUpstream::start([ScriptStep::Break]).await;
    let there = ScriptedUpstream::start([ScriptStep::Respond(200, "there")]).await;
    catalog.list_in("here", "a", "app", here.addr);
    catalog.list_in("there", "b", "app", there.addr);
    let host = TestHost::start("host", &catalog).await;
    assert_eq!(host.call(request("/safe/1")).await.status().as_u16(), 502);
    assert!(there.arrivals().is_empty());
}
