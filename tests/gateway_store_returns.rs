//! Tests of a platform whose store is restored from an older copy: everything written since the
//! copy was made is lost, and revisions are reused.

mod gateway_world;

use std::time::Duration;

use banyanarch::units::Generation;
use gateway_world::TestHost;
use gateway_world::catalog::FakeCatalog;
use gateway_world::conf;
use gateway_world::conf_there;
use gateway_world::request;
use gateway_world::table;
use gateway_world::upstream::ScriptStep;
use gateway_world::upstream::ScriptedUpstream;
use gateway_world::wait_until;

async fn answering_upstream() -> ScriptedUpstream {
    ScriptedUpstream::start([ScriptStep::Respond(200, "a")]).await
}

/// The generation of the manifest in force; 0 if there is none.
fn generation(host: &TestHost) -> Generation {
    let routes = host.gateway.platform_view.routes();
    routes.map_or(Generation(0), |routes| routes.generation)
}

/// Whether a host with this name is on the platform's list.
fn is_listed(catalog: &FakeCatalog, name: &str) -> bool {
    let hosts = catalog.listed_hosts();
    hosts.iter().any(|listed| listed.host.as_str() == name)
}

async fn wait_until_restored(host: &TestHost) {
    wait_until(|| host.log.text().contains("store_returned")).await;
}

/// Guards against a manifest that never comes into force because it is published after the restore
/// and has a smaller revision than the lost one. Meanwhile each read would renew the lease on the
/// keys of the old one.
#[tokio::test]
async fn a_manifest_of_a_later_era_is_newer_than_any_before() {
    let catalog = FakeCatalog::new(table(1));
    let host = TestHost::start("host", &catalog).await;
    let snapshot = catalog.snapshot();
    for newer in 2..=6 {
        catalog.publish(table(newer));
    }
    wait_until(|| generation(&host) == Generation(6)).await;
    catalog.restore(snapshot);
    catalog.publish(table(7));
    wait_until(|| generation(&host) == Generation(7)).await;
    wait_until_restored(&host).await;
}

/// Guards against ignoring a manifest because it reuses the revision of another one that is known.
#[tokio::test]
async fn a_reused_revision_is_a_different_manifest() {
    let catalog = FakeCatalog::new(table(1));
    let host = TestHost::start("host", &catalog).await;
    let snapshot = catalog.snapshot();
    catalog.publish(table(2));
    wait_until(|| generation(&host) == Generation(2)).await;
    catalog.restore(snapshot);
    catalog.publish(table(3));
    wait_until(|| generation(&host) == Generation(3)).await;
}

/// Guards against two failures after a restore to an older manifest than the one in force: the host
/// goes back to the older one and serves a revoked key, or takes the read for a confirmation and
/// keeps serving with a manifest that the platform does not have.
#[tokio::test]
async fn an_older_manifest_is_not_put_in_force_and_renews_no_lease() {
    let catalog = FakeCatalog::new(table(1));
    let upstream = answering_upstream().await;
    catalog.list("a", "app", upstream.addr);
    let mut conf = conf("host");
    conf.key_lease = Some(Duration::from_millis(2_000));
    let host = TestHost::start_with(conf, &catalog).await;
    let snapshot = catalog.snapshot();
    catalog.publish(table(2));
    wait_until(|| generation(&host) == Generation(2)).await;
    catalog.restore(snapshot);
    wait_until(|| host.log.text().contains("manifest_older")).await;
    assert_eq!(generation(&host), Generation(2));
    wait_until(|| !host.gateway.is_ready()).await;
    let refused = host.call(request("/safe/1")).await;
    assert_eq!(refused.status(), 503);
    catalog.publish(table(2));
    wait_until(|| host.gateway.is_ready()).await;
    assert_eq!(host.call(request("/safe/1")).await.status(), 200);
}

/// Guards against a host that gets no updates any more, since it was registered after the copy was
/// made and is not on the restored list.
#[tokio::test]
async fn a_host_whose_entry_was_lost_registers_again() {
    let catalog = FakeCatalog::new(table(1));
    let snapshot = catalog.snapshot();
    let (first, second) = (
        TestHost::start("first", &catalog).await,
        TestHost::start("second", &catalog).await,
    );
    first.wait_for_hosts(2).await;
    second.wait_for_hosts(2).await;
    catalog.restore(snapshot);
    assert!(!is_listed(&catalog, "first"));
    wait_until(|| is_listed(&catalog, "first") && is_listed(&catalog, "second")).await;
    first.wait_for_hosts(2).await;
    second.wait_for_hosts(2).await;
}

/// Guards against sending to an upstream that has announced that it is leaving, but that the copy
/// lists as not leaving.
#[tokio::test]
async fn an_upstream_that_announced_leaving_is_not_used_after_a_restore() {
    let catalog = FakeCatalog::new(table(1));
    let (leaving, staying) = (answering_upstream().await, answering_upstream().await);
    catalog.list("a", "app", leaving.addr);
    catalog.list("b", "app", staying.addr);
    let host = TestHost::start("host", &catalog).await;
    let usable = |host: &TestHost| {
        let upstreams = host.gateway.platform_view.upstreams();
        upstreams.map_or(0, |upstreams| upstreams.values().map(Vec::len).sum())
    };
    wait_until(|| usable(&host) == 2).await;
    let snapshot = catalog.snapshot();
    catalog.mark_leaving("a");
    wait_until(|| usable(&host) == 1).await;
    let joined = answering_upstream().await;
    catalog.restore(snapshot);
    catalog.list("c", "app", joined.addr);
    wait_until(|| usable(&host) == 2).await;
    for _ in 0..8 {
        assert_eq!(host.call(request("/safe/1")).await.status(), 200);
    }
    assert_eq!(leaving.arrivals().len(), 0);
}

/// Guards against a watch that continues after a restore as if nothing had happened. The store
/// reaches the revision of the watch again, and the changes between the copy and that revision
/// would never be read.
#[tokio::test]
async fn the_full_list_of_upstreams_is_read_after_a_restore() {
    let catalog = FakeCatalog::new(table(1));
    let upstreams = [
        answering_upstream().await,
        answering_upstream().await,
        answering_upstream().await,
    ];
    catalog.list("a", "app", upstreams[0].addr);
    let host = TestHost::start("host", &catalog).await;
    let names = |host: &TestHost| {
        let upstreams = host.gateway.platform_view.upstreams();
        let all = upstreams.iter().flat_map(|all| all.values().flatten());
        all.map(|upstream| upstream.id.to_string())
            .collect::<Vec<_>>()
    };
    wait_until(|| names(&host) == ["a"]).await;
    let snapshot = catalog.snapshot();
    catalog.list("b", "app", upstreams[1].addr);
    wait_until(|| names(&host) == ["a", "b"]).await;
    catalog.restore(snapshot);
    catalog.list("c", "app", upstreams[2].addr);
    wait_until(|| names(&host) == ["a", "c"]).await;
}

/// Guards against a host that does not detect a restore because it reads through another host.
#[tokio::test]
async fn a_host_that_reads_through_another_learns_of_the_restore() {
    let catalog = FakeCatalog::new(table(1));
    let reader = TestHost::start("a-first", &catalog).await;
    let link = catalog.separate_link();
    let other = TestHost::start("b-second", &link).await;
    reader.wait_for_hosts(2).await;
    other.wait_for_hosts(2).await;
    let snapshot = catalog.snapshot();
    catalog.publish(table(2));
    wait_until(|| generation(&other) == Generation(2)).await;
    link.set_unreachable(true);
    catalog.restore(snapshot);
    catalog.publish(table(3));
    wait_until(|| generation(&other) == Generation(3)).await;
    wait_until_restored(&other).await;
}

/// Guards against requests that go to an upstream which has left, since the store was restored from a
/// copy that still lists it.
#[tokio::test]
async fn an_upstream_that_has_left_gets_nothing_after_a_restore() {
    let catalog = FakeCatalog::new(table(1));
    let (left, other) = (answering_upstream().await, answering_upstream().await);
    catalog.list("left", "app", left.addr);
    catalog.list("other", "app", other.addr);
    let host = TestHost::start("host", &catalog).await;
    let snapshot = catalog.snapshot();
    catalog.remove("left");
    wait_until(|| host.log.text().contains(r#""left":["left"]"#)).await;
    let before = left.arrivals().len();
    catalog.restore(snapshot);
    wait_until_restored(&host).await;
    wait_until(|| host.log.text().contains(r#""joined":["left"]"#)).await;
    for _ in 0..20 {
        assert_eq!(host.call(request("/once/1")).await.status(), 200);
    }
    catalog.remove("left");
    assert_eq!(left.arrivals().len(), before);
}

/// Guards against an upstream that is never used again, since its entry had expired before the store was
/// restored and the upstream is alive.
#[tokio::test]
async fn an_upstream_that_is_still_listed_after_a_restore_is_used_again() {
    let catalog = FakeCatalog::new(table(1));
    let upstream = answering_upstream().await;
    catalog.list("a", "app", upstream.addr);
    let host = TestHost::start("host", &catalog).await;
    let snapshot = catalog.snapshot();
    catalog.remove("a");
    wait_until(|| host.log.text().contains(r#""left":["a"]"#)).await;
    catalog.restore(snapshot);
    let served = async {
        while host.call(request("/once/1")).await.status() != 200 {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let served = tokio::time::timeout(Duration::from_secs(20), served).await;
    served.expect("the upstream is used again");
}

/// Guards against a host that starts after a restore and accepts a key which the others refuse: the
/// copy holds an older manifest than the one that they have in force.
#[tokio::test]
async fn a_host_that_starts_after_a_restore_puts_no_older_manifest_in_force() {
    let catalog = FakeCatalog::new(table(1));
    let upstream = answering_upstream().await;
    catalog.list("a", "app", upstream.addr);
    let running = [
        TestHost::start("first", &catalog).await,
        TestHost::start("second", &catalog).await,
    ];
    let snapshot = catalog.snapshot();
    catalog.publish(table(2));
    for host in &running {
        wait_until(|| generation(host) == Generation(2)).await;
    }
    catalog.restore(snapshot);
    for host in &running {
        wait_until_restored(host).await;
    }
    for conf in [conf("third"), conf_there("fourth")] {
        let started = TestHost::start_without_waiting(conf, &catalog).await;
        wait_until(|| started.log.text().contains("manifest_older")).await;
        assert!(!started.gateway.is_ready());
        assert_eq!(started.call(request("/safe/1")).await.status(), 503);
        started.serving.abort();
    }
    let started = TestHost::start_without_waiting(conf("fifth"), &catalog).await;
    wait_until(|| started.log.text().contains("manifest_older")).await;
    catalog.publish(table(2));
    wait_until(|| generation(&started) == Generation(2)).await;
    wait_until(|| started.gateway.is_ready()).await;
    assert_eq!(started.call(request("/safe/2")).await.status(), 200);
}

/// Guards against hosts that stay without a manifest after a restore because the only ones that had a
/// newer one are gone.
#[tokio::test]
async fn an_older_manifest_is_put_in_force_when_no_host_has_a_newer_one() {
    let catalog = FakeCatalog::new(table(1));
    let running = TestHost::start("first", &catalog).await;
    let snapshot = catalog.snapshot();
    catalog.publish(table(2));
    wait_until(|| generation(&running) == Generation(2)).await;
    catalog.restore(snapshot);
    wait_until_restored(&running).await;
    let started = TestHost::start_without_waiting(conf("second"), &catalog).await;
    wait_until(|| started.log.text().contains("manifest_older")).await;
    running.serving.abort();
    wait_until(|| generation(&started) == Generation(1)).await;
}
