//! How hosts read the platform's lists: by what has changed, and through each other.

mod gateway_world;

use std::sync::Arc;

use banyanarch::gateway::Catalog;
use gateway_world::TestHost;
use gateway_world::catalog::FakeCatalog;
use gateway_world::conf;
use gateway_world::table;
use gateway_world::until;

fn listed(host: &TestHost) -> Vec<String> {
    let by_service = host.gateway.platform_view.upstreams().unwrap();
    let ids = by_service.values().flatten();
    ids.map(|upstream| upstream.id.to_string()).collect()
}

/// Hosts `a-first`, which reads, and `b-second`, which asks it, each with its own way to the platform.
async fn two_hosts(catalog: &FakeCatalog) -> [(TestHost, Arc<FakeCatalog>); 2] {
    let mut hosts = Vec::new();
    for name in ["a-first", "b-second"] {
        let way = catalog.another_way();
        hosts.push((TestHost::start_with(conf(name), &way).await, way));
    }
    let second = &hosts[1].0.gateway;
    until(|| second.ledger().peers_heard(second.clock.now()) == 1).await;
    hosts.try_into().ok().unwrap()
}

fn catalog_of(names: [&str; 3]) -> Arc<FakeCatalog> {
    let catalog = FakeCatalog::new(table(1));
    for name in names {
        catalog.list(name, "app", "127.0.0.1:9".parse().unwrap());
    }
    catalog
}

/// Upstreams of a large deployment come and go several times a second. Each host reads all three thousand
/// of them each time, has no time for its callers, and goes on sending to those that have left.
#[tokio::test]
async fn hosts_read_what_has_changed_alone() {
    let catalog = catalog_of(["a", "b", "c"]);
    let [(first, first_way), (second, second_way)] = two_hosts(&catalog).await;
    let before = (first_way.whole_reads(), second_way.whole_reads());
    catalog.leave("b");
    until(|| listed(&first) == ["a", "c"]).await;
    until(|| listed(&second) == ["a", "c"]).await;
    catalog.take_off("a");
    catalog.list("d", "app", "127.0.0.1:9".parse().unwrap());
    until(|| listed(&second) == ["c", "d"]).await;
    let again = catalog.restart("c", 5).to_string();
    until(|| listed(&second) == [again.as_str(), "d"]).await;
    until(|| listed(&first) == [again.as_str(), "d"]).await;
    assert_eq!(
        (first_way.whole_reads(), second_way.whole_reads()),
        before,
        "all upstreams were read again"
    );
}

/// The platform forgets its history while upstreams leave. A host that goes on with changes alone never
/// learns of it.
#[tokio::test]
async fn a_host_reads_all_when_the_changes_are_forgotten() {
    let catalog = catalog_of(["a", "b", "c"]);
    let way = catalog.another_way();
    let host = TestHost::start("host", &way).await;
    until(|| listed(&host).len() == 3).await;
    way.set_away(true);
    catalog.leave("b");
    catalog.forget_changes();
    way.set_away(false);
    until(|| listed(&host) == ["a", "c"]).await;
    catalog.leave("a");
    until(|| listed(&host) == ["c"]).await;
}

/// The host that reads dies. The next one goes on from what it heard of the other, and must not take up
/// changes again that are over: an upstream that has left would come back.
#[tokio::test]
async fn another_host_goes_on_where_the_reading_one_died() {
    let catalog = catalog_of(["a", "b", "c"]);
    let [(first, _), (second, second_way)] = two_hosts(&catalog).await;
    catalog.leave("b");
    until(|| listed(&second) == ["a", "c"]).await;
    first.serving.abort();
    let before = second_way.whole_reads();
    until(|| second_way.whole_reads() > before).await;
    assert_eq!(listed(&second), ["a", "c"]);
    catalog.leave("c");
    until(|| listed(&second) == ["a"]).await;
}

/// All hosts of a large fleet read the list of hosts from the platform, the same list each.
#[tokio::test]
async fn hosts_are_read_through_the_host_that_reads() {
    let catalog = catalog_of(["a", "b", "c"]);
    let [(first, _), (second, second_way)] = two_hosts(&catalog).await;
    first.until_hosts(2).await;
    second_way.set_away(true);
    let _third = TestHost::start("c-third", &catalog.another_way()).await;
    second.until_hosts(3).await;
}

/// Hosts restart in turn. Each is off the list for a moment, is told nothing until all others have read that
/// it is back, and sends its prompts to engines that they have filled meanwhile.
#[tokio::test]
async fn a_host_that_has_just_left_the_list_is_told_on() {
    let catalog = catalog_of(["a", "b", "c"]);
    let [(first, _), (second, _)] = two_hosts(&catalog).await;
    let names = || {
        let hosts = first.gateway.platform_view.hosts();
        let names = hosts.iter().map(|listed| listed.host.to_string());
        names.collect::<Vec<String>>()
    };
    until(|| names().contains(&"b-second".to_owned())).await;
    let gone = second.gateway.conf.host.clone();
    catalog.deregister_host(gone).await.unwrap();
    let _third = TestHost::start("c-third", &catalog.another_way()).await;
    until(|| names().contains(&"c-third".to_owned())).await;
    assert!(names().contains(&"b-second".to_owned()), "{:?}", names());
}
