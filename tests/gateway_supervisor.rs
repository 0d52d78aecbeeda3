//! Tasks of a host that panic.

mod gateway_world;

use gateway_world::TestHost;
use gateway_world::catalog::FakeCatalog;
use gateway_world::request;
use gateway_world::table;
use gateway_world::upstream::ScriptStep;
use gateway_world::upstream::ScriptedUpstream;
use gateway_world::wait_until;

/// Guards against a host that lives on, ready, with what it knew when a task that reads the platform
/// panicked.
#[tokio::test]
async fn a_task_that_panics_is_started_again_and_the_host_is_not_ready_meanwhile() {
    let catalog = FakeCatalog::new(table(1));
    let upstream = ScriptedUpstream::start([ScriptStep::Respond(200, "ok")]).await;
    catalog.list("a", "app", upstream.addr);
    let host = TestHost::start("host", &catalog).await;
    catalog.set_panicking(true);
    catalog.list("b", "app", upstream.addr);
    wait_until(|| !host.gateway.is_ready()).await;
    wait_until(|| host.log.text().contains("task_panicked")).await;
    let lines = host.log.lines();
    let panicked = lines.iter().find(|line| line["event"] == "task_panicked");
    assert_eq!(panicked.unwrap()["task"], "upstreams");
    assert_eq!(host.call(request("/safe/1")).await.status(), 200);
    catalog.set_panicking(false);
    wait_until(|| host.gateway.platform_view.is_usable(&"b".parse().unwrap())).await;
    wait_until(|| host.gateway.is_ready()).await;
}
