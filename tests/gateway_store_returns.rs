//! The platform's store comes back from an older copy of itself: what was written since is gone, and revisions are
//! given out again.

mod gateway_world;

use std::time::Duration;

use banyanarch::units::Generation;
use gateway_world::TestHost;
use gateway_world::catalog::FakeCatalog;
use gateway_world::conf;
use gateway_world::request;
use gateway_world::table;
use gateway_world::until;
use gateway_world::upstream::Act;
use gateway_world::upstream::Upstream;

async fn answering() -> Upstream {
    Upstream::start([Act::Answer(200, "a")]).await
}

fn generation(host: &TestHost) -> Generation {
    let routes = host.gateway.platform_view.routes();
    routes.map_or(Generation(0), |routes| routes.generation)
}

fn is_listed(catalog: &FakeCatalog, name: &str) -> bool {
    let hosts = catalog.hosts_now();
    hosts.iter().any(|listed| listed.host.as_str() == name)
}

async fn until_returned(host: &TestHost) {
    until(|| host.log.text().contains("store_returned")).await;
}

/// A manifest that is published after the return has a smaller revision than the one that was lost, and never comes
/// into force, while each read renews the lease on the keys of the old one.
#[tokio::test]
async fn a_manifest_of_a_later_era_is_newer_than_any_before() {
    let catalog = FakeCatalog::new(table(1));
    let host = TestHost::start("host", &catalog).await;
    let copy = catalog.copy();
    for newer in 2..=6 {
        catalog.publish(table(newer));
    }
    until(|| generation(&host) == Generation(6)).await;
    catalog.return_from(copy);
    catalog.publish(table(7));
    until(|| generation(&host) == Generation(7)).await;
    until_returned(&host).await;
}

/// Another manifest with the revision that a host knows counts as the same.
#[tokio::test]
async fn a_revision_that_is_given_out_again_is_another_one() {
    let catalog = FakeCatalog::new(table(1));
    let host = TestHost::start("host", &catalog).await;
    let copy = catalog.copy();
    catalog.publish(table(2));
    until(|| generation(&host) == Generation(2)).await;
    catalog.return_from(copy);
    catalog.publish(table(3));
    until(|| generation(&host) == Generation(3)).await;
}

/// The copy holds an older manifest than the one in force: a host goes back to it and serves a key that was taken
/// back, or takes the read for a proof and serves on by a manifest that the platform does not have.
#[tokio::test]
async fn an_older_manifest_is_not_put_in_force_and_renews_no_lease() {
    let catalog = FakeCatalog::new(table(1));
    let upstream = answering().await;
    catalog.list("a", "app", upstream.addr);
    let mut conf = conf("host");
    conf.key_lease = Some(Duration::from_millis(2_000));
    let host = TestHost::start_with(conf, &catalog).await;
    let copy = catalog.copy();
    catalog.publish(table(2));
    until(|| generation(&host) == Generation(2)).await;
    catalog.return_from(copy);
    until(|| host.log.text().contains("manifest_older")).await;
    assert_eq!(generation(&host), Generation(2));
    until(|| !host.gateway.is_ready()).await;
    let refused = host.call(request("/safe/1")).await;
    assert_eq!(refused.status(), 503);
    catalog.publish(table(2));
    until(|| host.gateway.is_ready()).await;
    assert_eq!(host.call(request("/safe/1")).await.status(), 200);
}

/// Hosts that were listed after the copy was made are on nobody's list any more, and hear of nobody's work.
#[tokio::test]
async fn a_host_whose_entry_is_gone_puts_itself_on_the_list_again() {
    let catalog = FakeCatalog::new(table(1));
    let copy = catalog.copy();
    let (first, second) = (
        TestHost::start("first", &catalog).await,
        TestHost::start("second", &catalog).await,
    );
    first.until_hosts(2).await;
    second.until_hosts(2).await;
    catalog.return_from(copy);
    assert!(!is_listed(&catalog, "first"));
    until(|| is_listed(&catalog, "first") && is_listed(&catalog, "second")).await;
    first.until_hosts(2).await;
    second.until_hosts(2).await;
}

/// The copy lists an upstream as staying that has said it leaves, and hosts send to it again.
#[tokio::test]
async fn an_upstream_that_has_said_it_leaves_is_not_used_again() {
    let catalog = FakeCatalog::new(table(1));
    let (leaving, staying) = (answering().await, answering().await);
    catalog.list("a", "app", leaving.addr);
    catalog.list("b", "app", staying.addr);
    let host = TestHost::start("host", &catalog).await;
    let usable = |host: &TestHost| {
        let upstreams = host.gateway.platform_view.upstreams();
        upstreams.map_or(0, |upstreams| upstreams.values().map(Vec::len).sum())
    };
    until(|| usable(&host) == 2).await;
    let copy = catalog.copy();
    catalog.leave("a");
    until(|| usable(&host) == 1).await;
    let joined = answering().await;
    catalog.return_from(copy);
    catalog.list("c", "app", joined.addr);
    until(|| usable(&host) == 2).await;
    for _ in 0..8 {
        assert_eq!(host.call(request("/safe/1")).await.status(), 200);
    }
    assert_eq!(leaving.arrivals().len(), 0);
}

/// What has changed among the upstreams between the copy and the revision of a watch is never seen: the store passes
/// that revision again, and the watch goes on as if nothing had happened.
#[tokio::test]
async fn upstreams_are_read_whole_after_a_return() {
    let catalog = FakeCatalog::new(table(1));
    let upstreams = [answering().await, answering().await, answering().await];
    catalog.list("a", "app", upstreams[0].addr);
    let host = TestHost::start("host", &catalog).await;
    let names = |host: &TestHost| {
        let upstreams = host.gateway.platform_view.upstreams();
        let all = upstreams.iter().flat_map(|all| all.values().flatten());
        all.map(|upstream| upstream.id.to_string())
            .collect::<Vec<_>>()
    };
    until(|| names(&host) == ["a"]).await;
    let copy = catalog.copy();
    catalog.list("b", "app", upstreams[1].addr);
    until(|| names(&host) == ["a", "b"]).await;
    catalog.return_from(copy);
    catalog.list("c", "app", upstreams[2].addr);
    until(|| names(&host) == ["a", "c"]).await;
}

/// A host that reads through another one does not learn that the store has come back.
#[tokio::test]
async fn a_host_that_reads_through_another_learns_of_the_return() {
    let catalog = FakeCatalog::new(table(1));
    let reading = TestHost::start("a-first", &catalog).await;
    let way = catalog.another_way();
    let other = TestHost::start("b-second", &way).await;
    reading.until_hosts(2).await;
    other.until_hosts(2).await;
    let copy = catalog.copy();
    catalog.publish(table(2));
    until(|| generation(&other) == Generation(2)).await;
    way.set_away(true);
    catalog.return_from(copy);
    catalog.publish(table(3));
    until(|| generation(&other) == Generation(3)).await;
    until_returned(&other).await;
}
