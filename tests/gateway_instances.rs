//! Instances of plain services with few slots.

mod gateway_world;

use std::time::Duration;

use gateway_world::TestHost;
use gateway_world::catalog::FakeCatalog;
use gateway_world::request;
use gateway_world::table;
use gateway_world::upstream::ScriptStep;
use gateway_world::upstream::ScriptedUpstream;
use gateway_world::wait_until;

/// A host and the only upstream of its service, which has one slot.
async fn host_with_one_slot(script: Vec<ScriptStep>) -> (ScriptedUpstream, TestHost) {
    let catalog = FakeCatalog::new(table(1));
    let upstream = ScriptedUpstream::start(script).await;
    catalog.list_with_slots("a", "app", upstream.addr, 1);
    let host = TestHost::start("host", &catalog).await;
    (upstream, host)
}

/// Guards against a call that is sent to a full instance, which turns it away.
#[tokio::test]
async fn a_call_waits_until_a_slot_is_free() {
    let first = ScriptStep::RespondAfter(Duration::from_millis(100), "first");
    let script = vec![first, ScriptStep::Respond(200, "second")];
    let (upstream, host) = host_with_one_slot(script).await;
    let running = host.spawn_call(request("/safe/1"));
    wait_until(|| upstream.arrivals().len() == 1).await;
    let waiting = host.spawn_call(request("/safe/2"));
    let first = running.await.unwrap().unwrap();
    assert_eq!(first.body(), "first");
    let second = waiting.await.unwrap().unwrap();
    assert_eq!(
        (second.status().as_u16(), &second.body()[..]),
        (200, &b"second"[..])
    );
    assert_eq!(upstream.arrivals().len(), 2, "each call is sent once");
}

/// Guards against a call that waits for a slot until its deadline although it is late already.
#[tokio::test]
async fn a_call_that_cannot_be_on_time_is_refused_while_all_slots_are_taken() {
    let (upstream, host) = host_with_one_slot(vec![ScriptStep::Hang]).await;
    let _running = host.spawn_call(request("/once/1"));
    wait_until(|| upstream.arrivals().len() == 1).await;
    let refused = host.call(request("/safe/2")).await;
    assert_eq!(refused.status(), 503);
    assert_eq!(upstream.arrivals().len(), 1);
    wait_until(|| host.log.text().contains(r#""reason":"queue_full""#)).await;
}
