//! Tests of how hosts read the platform's lists: as deltas, and through each other.

mod gateway_world;

use std::sync::Arc;

use banyanarch::gateway::Catalog;
use gateway_world::TestHost;
use gateway_world::catalog::FakeCatalog;
use gateway_world::conf;
use gateway_world::table;
use gateway_world::wait_until;

/// The ids of the upstreams that the host may send requests to.
fn listed(host: &TestHost) -> Vec<String> {
    let by_service = host.gateway.platform_view.upstreams().unwrap();
    let ids = by_service.values().flatten();
    ids.map(|upstream| upstream.id.to_string()).collect()
}

/// The hosts `a-first`, which reads the platform, and `b-second`, which reads through it, each with
/// its own link to the platform.
async fn two_hosts(catalog: &FakeCatalog) -> [(TestHost, Arc<FakeCatalog>); 2] {
    let mut hosts = Vec::new();
    for name in ["a-first", "b-second"] {
        let link = catalog.separate_link();
        hosts.push((TestHost::start_with(conf(name), &link).await, link));
    }
    let second = &hosts[1].0.gateway;
    wait_until(|| second.ledger().live_peer_count(second.clock.now()) == 1).await;
    hosts.try_into().ok().unwrap()
}

/// A platform that lists upstreams with these names.
fn catalog_of(names: [&str; 3]) -> Arc<FakeCatalog> {
    let catalog = FakeCatalog::new(table(1));
    for name in names {
        catalog.list(name, "app", "127.0.0.1:9".parse().unwrap());
    }
    catalog
}

/// Guards against hosts that read the full list of upstreams at each change. In a deployment with
/// three thousand upstreams and several changes a second they would have no time for their callers,
/// and go on sending to upstreams that have left.
#[tokio::test]
async fn hosts_read_only_changes() {
    let catalog = catalog_of(["a", "b", "c"]);
    let [(first, first_link), (second, second_link)] = two_hosts(&catalog).await;
    let before = (first_link.whole_reads(), second_link.whole_reads());
    catalog.mark_leaving("b");
    wait_until(|| listed(&first) == ["a", "c"]).await;
    wait_until(|| listed(&second) == ["a", "c"]).await;
    catalog.remove("a");
    catalog.list("d", "app", "127.0.0.1:9".parse().unwrap());
    wait_until(|| listed(&second) == ["c", "d"]).await;
    let restarted = catalog.restart("c", 5).to_string();
    wait_until(|| listed(&second) == [restarted.as_str(), "d"]).await;
    wait_until(|| listed(&first) == [restarted.as_str(), "d"]).await;
    assert_eq!(
        (first_link.whole_reads(), second_link.whole_reads()),
        before,
        "the full list of upstreams was read again"
    );
}

/// Guards against a host that never learns of an upstream that left while the platform dropped its
/// history, because the host goes on reading changes only.
#[tokio::test]
async fn a_host_reads_the_full_list_when_the_history_has_expired() {
    let catalog = catalog_of(["a", "b", "c"]);
    let link = catalog.separate_link();
    let host = TestHost::start("host", &link).await;
    wait_until(|| listed(&host).len() == 3).await;
    link.set_unreachable(true);
    catalog.mark_leaving("b");
    catalog.forget_changes();
    link.set_unreachable(false);
    wait_until(|| listed(&host) == ["a", "c"]).await;
    catalog.mark_leaving("a");
    wait_until(|| listed(&host) == ["c"]).await;
}

/// Guards against old changes that are applied again, so that an upstream that has left comes back.
/// The host that reads the platform dies, and the next one continues from the list that it got from
/// the first.
#[tokio::test]
async fn another_host_takes_over_from_a_dead_reader() {
    let catalog = catalog_of(["a", "b", "c"]);
    let [(first, _), (second, second_link)] = two_hosts(&catalog).await;
    catalog.mark_leaving("b");
    wait_until(|| listed(&second) == ["a", "c"]).await;
    first.serving.abort();
    let before = second_link.whole_reads();
    wait_until(|| second_link.whole_reads() > before).await;
    assert_eq!(listed(&second), ["a", "c"]);
    catalog.mark_leaving("c");
    wait_until(|| listed(&second) == ["a"]).await;
}

/// Guards against all hosts of a large fleet reading the same list of hosts from the platform.
#[tokio::test]
async fn the_list_of_hosts_is_read_through_the_reader() {
    let catalog = catalog_of(["a", "b", "c"]);
    let [(first, _), (second, second_link)] = two_hosts(&catalog).await;
    first.wait_for_hosts(2).await;
    second_link.set_unreachable(true);
    let _third = TestHost::start("c-third", &catalog.separate_link()).await;
    second.wait_for_hosts(3).await;
}

/// Guards against a restarted host that gets no updates until all others have read that it is back
/// on the list, and sends its prompts to engines that they have filled meanwhile.
#[tokio::test]
async fn a_host_that_has_just_left_the_list_still_gets_updates() {
    let catalog = catalog_of(["a", "b", "c"]);
    let [(first, _), (second, _)] = two_hosts(&catalog).await;
    let names = || {
        let hosts = first.gateway.platform_view.hosts();
        let names = hosts.iter().map(|listed| listed.host.to_string());
        names.collect::<Vec<String>>()
    };
    wait_until(|| names().contains(&"b-second".to_owned())).await;
    let deregistered = second.gateway.conf.host.clone();
    catalog.deregister_host(deregistered).await.unwrap();
    let _third = TestHost::start("c-third", &catalog.separate_link()).await;
    wait_until(|| names().contains(&"c-third".to_owned())).await;
    assert!(names().contains(&"b-second".to_owned()), "{:?}", names());
}
