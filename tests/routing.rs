//! Routes by host name and path, and the shares of their targets.

use std::time::Duration;

use banyanarch::routing::AllowedRegions;
use banyanarch::routing::CallKind;
use banyanarch::routing::Route;
use banyanarch::routing::RouteTable;
use banyanarch::routing::RouteTarget;
use banyanarch::units::Generation;
use banyanarch::units::Priority;
use yare::parameterized;

fn route(name: &str, hostname: &str, path_prefix: &str, targets: &[(&str, u32)]) -> Route {
    let target = |(service, weight): &(&str, u32)| RouteTarget {
        service: service.parse().unwrap(),
        weight: *weight,
    };
    Route {
        name: name.to_owned(),
        hostname: hostname.to_owned(),
        path_prefix: path_prefix.to_owned(),
        kind: CallKind::Idempotent,
        timeout: Duration::from_secs(2),
        objective: Duration::from_millis(300),
        pause_objective: None,
        priority: Some(Priority(1)),
        targets: targets.iter().map(target).collect(),
        runs_max: 2,
        is_public: false,
        allowed_regions: AllowedRegions::Any,
    }
}

fn table() -> RouteTable {
    let routes = vec![
        route("all", "a.example", "/", &[("s", 1)]),
        route("deep", "a.example", "/x/y/", &[("s", 1)]),
        route("x", "a.example", "/x/", &[("s", 1)]),
        route("other", "b.example", "/x/", &[("s", 1)]),
    ];
    RouteTable::new(Generation(1), routes)
}

#[parameterized(
    longest_prefix = { "a.example", "/x/y/1", Some("deep") },
    shorter_prefix = { "a.example", "/x/z", Some("x") },
    prefix_ends_with_its_slash = { "a.example", "/xy/", Some("all") },
    port_is_ignored = { "a.example:8080", "/x/y/", Some("deep") },
    case_of_the_host_is_ignored = { "A.Example", "/x/", Some("x") },
    other_host = { "b.example", "/x/1", Some("other") },
    no_prefix = { "b.example", "/", None },
    no_host = { "c.example", "/x/", None },
)]
fn a_call_takes_the_route_with_the_longest_prefix(
    authority: &str,
    path: &str,
    expected: Option<&str>,
) {
    let table = table();
    let found = table.route(authority, path);
    assert_eq!(found.map(|route| route.name.as_str()), expected);
}

#[parameterized(
    first = { 0, "a" },
    last_of_first = { (u32::MAX / 10) * 9 - 1, "a" },
    first_of_second = { (u32::MAX / 10) * 9 + 10, "b" },
    last = { u32::MAX, "b" },
)]
fn targets_get_their_shares(draw: u32, expected: &str) {
    let route = route("split", "a", "/", &[("none", 0), ("a", 90), ("b", 10)]);
    let target = route
        .target(draw)
        .map(|service| service.as_str().to_owned());
    assert_eq!(target.as_deref(), Some(expected));
}

#[test]
fn a_route_without_weight_has_no_target() {
    let route = route("empty", "a", "/", &[("a", 0)]);
    assert_eq!(route.target(7), None);
}
