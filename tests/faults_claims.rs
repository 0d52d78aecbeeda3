//! Requests that must run at most once, over real processes with kills, disconnects and outages.

mod site;

use nix::sys::signal::Signal;
use standin::engine::EngineFaults;
use standin::platform::Outage;
use standin::platform::PlatformFaults;

use site::BlackholeProxy;
use site::TestSite;
use site::callers::LONG_ANSWER_TOKENS;
use site::callers::connect_and_send;
use site::callers::idempotency_headers;
use site::callers::send;
use site::callers::spawn_send;
use site::callers::wait_until_running;
use site::completion;
use site::completion_text;
use site::expected_answer;
use site::outcome;
use site::wait_until;

/// The engine dies while it runs a request that must run at most once. The caller is told that the
/// request may have run, and a resent request is not run.
#[tokio::test]
async fn a_claimed_request_of_a_dead_engine_may_have_run() {
    let site = TestSite::with(3, 1).await;
    let body = completion("a request whose engine dies", LONG_ANSWER_TOKENS, false);
    let caller = spawn_send(site.hosts[0].callers_addr, Some("engine-dies"), &body);
    wait_until_running(&site, &body).await;
    let engine = site.engine_running(&body);
    site.engines[engine].set_faults(EngineFaults {
        die: true,
        ..Default::default()
    });
    let res = caller.await.unwrap().unwrap();
    assert_eq!(outcome(&res), "may-have-run", "{:?}", res.body());
    let again = send(site.hosts[0].callers_addr, Some("engine-dies"), &body)
        .await
        .unwrap();
    assert_eq!(outcome(&again), "may-have-run", "{:?}", again.body());
    assert_eq!(site.run_count(&body), 1);
}

/// A host is killed, and its caller resends the request through another host while the engine still
/// runs the first attempt. The second host finds the claim and reads the running answer instead of
/// running the request twice.
#[tokio::test]
async fn a_key_sent_again_through_another_host_gets_the_running_answer() {
    let mut site = TestSite::with(3, 3).await;
    site.wait_until_joined().await;
    let body = completion("a request that is resent", LONG_ANSWER_TOKENS, false);
    let _caller = spawn_send(site.hosts[0].callers_addr, Some("host-killed"), &body);
    wait_until_running(&site, &body).await;
    site.hosts[0].signal(Signal::SIGKILL);
    site.hosts[0].wait_for_exit().await;
    let res = send(site.hosts[1].callers_addr, Some("host-killed"), &body)
        .await
        .unwrap();
    assert_eq!((res.status().as_u16(), outcome(&res)), (200, "completed"));
    assert_eq!(
        completion_text(&res),
        expected_answer(&body, LONG_ANSWER_TOKENS)
    );
    assert_eq!(site.run_count(&body), 1);
}

/// A caller disconnects during the answer and resends the request at once. If the attempt ended
/// with the connection, the answer would be lost; if the request ran again, it would run twice.
#[tokio::test]
async fn a_caller_that_disconnects_gets_its_answer_when_it_resends() {
    let site = TestSite::with(2, 1).await;
    let body = completion(
        "a request whose caller disconnects",
        LONG_ANSWER_TOKENS,
        true,
    );
    let caller = connect_and_send(
        site.hosts[0].callers_addr,
        &idempotency_headers("disconnected"),
        &body,
    )
    .await;
    wait_until_running(&site, &body).await;
    drop(caller);
    let res = send(site.hosts[0].callers_addr, Some("disconnected"), &body)
        .await
        .unwrap();
    assert!(
        res.body().ends_with(b"data: [DONE]\n\n"),
        "{:?}",
        res.body()
    );
    assert_eq!(site.run_count(&body), 1);
}

/// Two requests with one key arrive at two hosts at the same time. Both hosts claim the key, one of
/// them gets the claim, and both callers get the same answer.
#[tokio::test]
async fn two_simultaneous_requests_with_one_key_run_once() {
    let site = TestSite::with(2, 2).await;
    site.wait_until_joined().await;
    for round in 0..10 {
        let body = completion(&format!("a race, round {round}"), 20, false);
        let key = format!("race-{round}");
        let first = spawn_send(site.hosts[0].callers_addr, Some(&key), &body);
        let second = spawn_send(site.hosts[1].callers_addr, Some(&key), &body);
        for caller in [first, second] {
            let res = caller.await.unwrap().unwrap();
            assert_eq!(
                completion_text(&res),
                expected_answer(&body, 20),
                "{:?}",
                res.body()
            );
        }
        assert_eq!(site.run_count(&body), 1);
    }
}

/// A key is reused for another request by mistake. The second request must neither get the answer
/// of the first nor run under the same key.
#[tokio::test]
async fn a_key_used_for_another_request_is_refused() {
    let site = TestSite::with(1, 1).await;
    let addr = site.hosts[0].callers_addr;
    let first = completion("one request", 4, false);
    let other = completion("another request", 4, false);
    assert_eq!(
        send(addr, Some("reused"), &first).await.unwrap().status(),
        200
    );
    let res = send(addr, Some("reused"), &other).await.unwrap();
    assert_eq!((res.status().as_u16(), outcome(&res)), (422, "not-run"));
    assert_eq!(site.run_count(&other), 0);
}

/// The platform is down. A request that cannot be claimed could run twice, so it is refused as not
/// run; repeatable requests are still served.
#[tokio::test]
async fn without_the_platform_only_requests_that_need_a_claim_are_refused() {
    let site = TestSite::with(2, 2).await;
    site.wait_until_joined().await;
    site.platform.set_faults(PlatformFaults {
        outage: Outage::Closed,
        ..Default::default()
    });
    let claimed = completion("a claimed request in an outage", 4, false);
    let res = send(site.hosts[0].callers_addr, Some("outage-1"), &claimed)
        .await
        .unwrap();
    assert_eq!((res.status().as_u16(), outcome(&res)), (503, "not-run"));
    assert!(res.headers().contains_key("retry-after"));
    assert_eq!(site.run_count(&claimed), 0);
    let repeatable = completion("a repeatable request in an outage", 4, false);
    assert_eq!(
        send(site.hosts[1].callers_addr, None, &repeatable)
            .await
            .unwrap()
            .status(),
        200
    );
    site.platform.set_faults(PlatformFaults::default());
    wait_until("the claimed request after the outage", async || {
        let res = send(site.hosts[1].callers_addr, Some("outage-1"), &claimed)
            .await
            .unwrap();
        res.status() == 200
    })
    .await;
    assert_eq!(site.run_count(&claimed), 1);
}

/// Every second write to the platform takes effect, but its answer is lost. A host that treats this
/// as a failure would report "not run" for a recorded claim, or would run the request twice.
#[tokio::test]
async fn lost_answers_of_the_platform_cause_no_second_run() {
    let site = TestSite::with(2, 2).await;
    site.wait_until_joined().await;
    site.platform.set_faults(PlatformFaults {
        lose_answer_one_in: 2,
        ..Default::default()
    });
    for round in 0..12 {
        let body = completion(&format!("a request with a lost answer, {round}"), 4, false);
        let key = format!("lost-{round}");
        let mut outcomes = Vec::new();
        for host in [0, 1, 0] {
            let res = send(site.hosts[host].callers_addr, Some(&key), &body)
                .await
                .unwrap();
            outcomes.push(outcome(&res).to_owned());
        }
        let runs = site.run_count(&body);
        assert!(runs <= 1, "ran {runs} times: {outcomes:?}");
        let completed = outcomes.iter().any(|outcome| outcome == "completed");
        assert!(!completed || runs == 1, "{outcomes:?}");
        if runs == 1 {
            assert!(
                outcomes.last().is_some_and(|last| last != "not-run"),
                "{outcomes:?}"
            );
        }
    }
}

/// One host cannot reach the platform, but its peers can. The host claims through a peer and need
/// not refuse its callers.
#[tokio::test]
async fn a_host_cut_off_from_the_platform_claims_through_a_peer() {
    let mut site = TestSite::with(2, 2).await;
    let proxy = BlackholeProxy::start(site.platform.addr()).await;
    site.add_host_at("a", proxy.addr).await;
    site.wait_until_ready().await;
    site.wait_until_joined().await;
    proxy.set_blackhole(true);
    let body = completion("a request claimed through a peer", 4, false);
    wait_until("a claim through a peer", async || {
        let res = send(site.hosts[2].callers_addr, Some("relayed"), &body)
            .await
            .unwrap();
        res.status() == 200
    })
    .await;
    assert_eq!(site.run_count(&body), 1);
}
