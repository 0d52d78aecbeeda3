//! What must run at most once, over real processes under kills, cuts and outages.

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

/// A guardianship letter must go out once. Its engine dies in the middle: the letter may have been
/// sent. The caller is told so, and a second letter is not written behind its back.
#[tokio::test]
async fn a_dead_engine_leaves_what_must_not_repeat_in_doubt() {
    let site = TestSite::with(3, 1).await;
    let body = completion("a letter whose engine dies", LONG_ANSWER_TOKENS, false);
    let caller = spawn_send(site.hosts[0].callers_addr, Some("letter-1"), &body);
    wait_until_running(&site, &body).await;
    let engine = site.engine_running(&body);
    site.engines[engine].set_faults(EngineFaults {
        die: true,
        ..Default::default()
    });
    let res = caller.await.unwrap().unwrap();
    assert_eq!(outcome(&res), "may-have-run", "{:?}", res.body());
    let again = send(site.hosts[0].callers_addr, Some("letter-1"), &body)
        .await
        .unwrap();
    assert_eq!(outcome(&again), "may-have-run", "{:?}", again.body());
    assert_eq!(site.run_count(&body), 1);
}

/// The caller of a licence grant loses its connection with the host that is killed, and sends the
/// grant again through another host while the engine still works on the first. Run twice, it
/// invoices the client twice. The second host finds the claim and reads the running answer.
#[tokio::test]
async fn a_key_sent_again_through_another_host_gets_the_running_answer() {
    let mut site = TestSite::with(3, 3).await;
    site.wait_until_joined().await;
    let body = completion("a licence grant", LONG_ANSWER_TOKENS, false);
    let _caller = spawn_send(site.hosts[0].callers_addr, Some("grant-7"), &body);
    wait_until_running(&site, &body).await;
    site.hosts[0].signal(Signal::SIGKILL);
    site.hosts[0].wait_for_exit().await;
    let res = send(site.hosts[1].callers_addr, Some("grant-7"), &body)
        .await
        .unwrap();
    assert_eq!((res.status().as_u16(), outcome(&res)), (200, "completed"));
    assert_eq!(
        completion_text(&res),
        expected_answer(&body, LONG_ANSWER_TOKENS)
    );
    assert_eq!(site.run_count(&body), 1);
}

/// A caller hangs up while its grant is being written, and calls again at once. Ended with the
/// connection, the grant would be lost and its key used up; run again, it would be doubled.
#[tokio::test]
async fn a_caller_that_hangs_up_gets_its_answer_when_it_calls_again() {
    let site = TestSite::with(2, 1).await;
    let body = completion("a grant whose caller hangs up", LONG_ANSWER_TOKENS, true);
    let caller = connect_and_send(
        site.hosts[0].callers_addr,
        &idempotency_headers("hung-up"),
        &body,
    )
    .await;
    wait_until_running(&site, &body).await;
    drop(caller);
    let res = send(site.hosts[0].callers_addr, Some("hung-up"), &body)
        .await
        .unwrap();
    assert!(
        res.body().ends_with(b"data: [DONE]\n\n"),
        "{:?}",
        res.body()
    );
    assert_eq!(site.run_count(&body), 1);
}

/// Two sendings of one key meet at the same moment at two hosts. Both claim; one wins, and both
/// callers get the one answer.
#[tokio::test]
async fn two_sendings_of_one_key_at_once_run_once() {
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

/// A key is used for another letter by mistake. Answering with the first letter would be wrong, and
/// running the second would break the key's promise.
#[tokio::test]
async fn a_key_used_for_another_request_is_refused() {
    let site = TestSite::with(1, 1).await;
    let addr = site.hosts[0].callers_addr;
    let first = completion("one letter", 4, false);
    let other = completion("another letter", 4, false);
    assert_eq!(
        send(addr, Some("letter"), &first).await.unwrap().status(),
        200
    );
    let res = send(addr, Some("letter"), &other).await.unwrap();
    assert_eq!((res.status().as_u16(), outcome(&res)), (422, "not-run"));
    assert_eq!(site.run_count(&other), 0);
}

/// The platform is down. A grant that can't be claimed could run twice, so it is turned away with
/// the truth, not run; clause lookups go on.
#[tokio::test]
async fn without_the_platform_only_what_needs_a_claim_is_turned_away() {
    let site = TestSite::with(2, 2).await;
    site.wait_until_joined().await;
    site.platform.set_faults(PlatformFaults {
        outage: Outage::Closed,
        ..Default::default()
    });
    let grant = completion("a grant in an outage", 4, false);
    let res = send(site.hosts[0].callers_addr, Some("outage-1"), &grant)
        .await
        .unwrap();
    assert_eq!((res.status().as_u16(), outcome(&res)), (503, "not-run"));
    assert!(res.headers().contains_key("retry-after"));
    assert_eq!(site.run_count(&grant), 0);
    let lookup = completion("a lookup in an outage", 4, false);
    assert_eq!(
        send(site.hosts[1].callers_addr, None, &lookup)
            .await
            .unwrap()
            .status(),
        200
    );
    site.platform.set_faults(PlatformFaults::default());
    wait_until("the grant after the outage", async || {
        let res = send(site.hosts[1].callers_addr, Some("outage-1"), &grant)
            .await
            .unwrap();
        res.status() == 200
    })
    .await;
    assert_eq!(site.run_count(&grant), 1);
}

/// Every second write to the platform takes effect and its answer is lost. A host that takes this
/// for a failure says "not run" of a claim that is in, or claims a second time and runs it twice.
#[tokio::test]
async fn lost_answers_of_the_platform_double_nothing() {
    let site = TestSite::with(2, 2).await;
    site.wait_until_joined().await;
    site.platform.set_faults(PlatformFaults {
        lose_answer_one_in: 2,
        ..Default::default()
    });
    for round in 0..12 {
        let body = completion(&format!("a grant with a lost answer, {round}"), 4, false);
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

/// One host is cut off from the platform, its neighbours are not. Its callers' grants need not be
/// turned away: a peer makes the call.
#[tokio::test]
async fn a_host_cut_off_from_the_platform_claims_through_a_peer() {
    let mut site = TestSite::with(2, 2).await;
    let gate = BlackholeProxy::start(site.platform.addr()).await;
    site.add_host_at("a", gate.addr).await;
    site.wait_until_ready().await;
    site.wait_until_joined().await;
    gate.set_blackhole(true);
    let body = completion("a grant through a peer", 4, false);
    wait_until("a claim through a peer", async || {
        let res = send(site.hosts[2].callers_addr, Some("relayed"), &body)
            .await
            .unwrap();
        res.status() == 200
    })
    .await;
    assert_eq!(site.run_count(&body), 1);
}
