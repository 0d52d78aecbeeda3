//! The ledger of a home: a request is granted once, and engine memory never leaks.

mod fakes;

use std::time::Duration;
use std::time::Instant;

use banyanarch::clock::Clock;
use banyanarch::clock::ManualClock;
use banyanarch::control::home::GrantStatus;
use banyanarch::control::home::HomeAction;
use banyanarch::control::home::HomeAnswer;
use banyanarch::control::home::HomeConf;
use banyanarch::control::home::HomeController;
use banyanarch::control::home::HomeEvent;
use banyanarch::control::home::IssuedGrant;
use banyanarch::control::home::wire;
use banyanarch::decide::AttemptOutcome;
use banyanarch::decide::LiveGrant;
use banyanarch::decide::RefuseReason;
use banyanarch::decide::UpstreamHealth;
use banyanarch::units::AttemptId;
use banyanarch::units::ContentHash;
use banyanarch::units::GrantId;
use banyanarch::units::HostId;
use banyanarch::units::PoolId;
use banyanarch::units::RequestId;
use banyanarch::units::Tokens;
use banyanarch::upstream::RunningAttempt;
use yare::parameterized;

use fakes::first_fit::FirstFit;
use fakes::make::attempt_summary;
use fakes::make::engine;
use fakes::make::host;
use fakes::make::upstream;
use fakes::make::work;

const MEMORY_TOKENS: u64 = 10_000;

/// A home with one engine and a manual clock.
struct TestHome {
    clock: ManualClock,
    controller: HomeController,
}

impl TestHome {
    /// A home that has just taken over and has to rebuild its ledger.
    fn rebuilding(members: &[&HostId]) -> Self {
        let clock = ManualClock::new();
        let pool: PoolId = "hall-a/llm-advisor/0".parse().unwrap();
        let policy = Box::new(FirstFit::new(1_000));
        let controller = HomeController::new(pool, policy, HomeConf::default(), clock.now());
        let mut home = Self { clock, controller };
        for member in members {
            home.handle(HomeEvent::HostAlive((*member).clone()));
        }
        home
    }

    /// A home whose ledger is complete and empty.
    fn serving() -> Self {
        let mut home = Self::rebuilding(&[]);
        let actions = home.set_engine(UpstreamHealth::Live);
        home.answer_queries(&actions, &[]);
        assert!(!home.controller.is_rebuilding());
        home
    }

    fn add_members(&mut self, members: &[&str]) {
        for member in members {
            self.handle(HomeEvent::HostAlive(host(member)));
        }
    }

    fn handle(&mut self, event: HomeEvent) -> Vec<HomeAction> {
        self.controller.handle(event, self.clock.now())
    }

    fn set_engine(&mut self, health: UpstreamHealth) -> Vec<HomeAction> {
        let engine = engine("runner-1", MEMORY_TOKENS, health);
        self.handle(HomeEvent::Upstreams(vec![engine]))
    }

    /// Answers the engine queries among `actions`.
    fn answer_queries(
        &mut self,
        actions: &[HomeAction],
        running: &[RunningAttempt],
    ) -> Vec<HomeAction> {
        let mut answers = Vec::new();
        for action in actions {
            if let HomeAction::ListAttempts { upstream, seq } = action {
                answers.extend(self.handle(HomeEvent::EngineListed {
                    upstream: upstream.clone(),
                    seq: *seq,
                    running: running.to_vec(),
                }));
            }
        }
        answers
    }

    /// Advances the clock in ticks, while the engine lists `running` and the hosts announce their
    /// grants. Returns all actions.
    fn advance(
        &mut self,
        time: Duration,
        running: &[RunningAttempt],
        announcing: &[(&HostId, Vec<LiveGrant>)],
    ) -> Vec<HomeAction> {
        let tick = Duration::from_millis(250);
        let mut all = Vec::new();
        for _ in 0..time.as_millis() / tick.as_millis() {
            self.clock.advance(tick);
            for (host, grants) in announcing {
                all.extend(self.announce(host, grants));
            }
            let actions = self.handle(HomeEvent::Tick);
            let answers = self.answer_queries(&actions, running);
            all.extend(actions);
            all.extend(answers);
        }
        all
    }

    fn request(&mut self, request: u128, from: &HostId, tokens: u64) -> GrantStatus {
        let work = work(request, from, tokens, self.clock.now());
        let from = from.clone();
        let actions = self.handle(HomeEvent::Request { from, work });
        let reply = actions.into_iter().find_map(|action| match action {
            HomeAction::Reply { answer, .. } => Some(answer.status),
            _ => None,
        });
        reply.unwrap()
    }

    fn request_grant(&mut self, request: u128, from: &HostId, tokens: u64) -> IssuedGrant {
        granted(self.request(request, from, tokens))
    }

    fn announce(&mut self, from: &HostId, grants: &[LiveGrant]) -> Vec<HomeAction> {
        self.handle(HomeEvent::Announce {
            from: from.clone(),
            grants: grants.to_vec(),
        })
    }

    fn finish(&mut self, from: &HostId, grant: GrantId, ended: AttemptOutcome) -> Vec<HomeAction> {
        self.handle(HomeEvent::Finish {
            from: from.clone(),
            grant,
            done: attempt_summary(ended),
        })
    }

    fn confirm_cancel(&mut self, grant: GrantId) {
        self.handle(HomeEvent::CancelConfirmed {
            upstream: upstream("runner-1"),
            attempt: AttemptId(grant.0),
        });
    }
}

fn granted(status: GrantStatus) -> IssuedGrant {
    match status {
        GrantStatus::Granted(granted) => granted,
        other => panic!("not granted: {other:?}"),
    }
}

fn running_attempt(grant: GrantId, from: &HostId, tokens: u64) -> RunningAttempt {
    RunningAttempt {
        attempt: AttemptId(grant.0),
        host: from.clone(),
        held_tokens: Tokens(tokens),
    }
}

fn cancels(actions: &[HomeAction]) -> Vec<AttemptId> {
    let attempt = |action: &HomeAction| match action {
        HomeAction::Cancel { attempt, .. } => Some(*attempt),
        _ => None,
    };
    actions.iter().filter_map(attempt).collect()
}

fn live_grant(
    grant: GrantId,
    request: u128,
    from: &HostId,
    tokens: u64,
    now: Instant,
) -> LiveGrant {
    LiveGrant {
        id: grant,
        work: work(request, from, tokens, now),
        upstreams: vec![upstream("runner-1")],
    }
}

/// The reply with a grant is lost, and the host repeats its request. If the home issued a second
/// grant, the first one would hold engine memory that nobody uses.
#[test]
fn repeated_request_gets_the_same_grant() {
    let mut home = TestHome::serving();
    let a = host("entry-a");
    let first = home.request_grant(1, &a, 6_000);
    assert_eq!(home.request_grant(1, &a, 6_000), first);
    assert_eq!(home.request(2, &a, 6_000), GrantStatus::Queued);
    assert_eq!(home.request(2, &a, 6_000), GrantStatus::Queued);
    let actions = home.finish(&a, first.grant, AttemptOutcome::Completed);
    let pushed = |action: &HomeAction| matches!(action, HomeAction::Push { answer, .. } if answer.request == RequestId(2));
    assert!(actions.iter().any(pushed));
    let second = home.request_grant(2, &a, 6_000);
    assert_ne!(second.grant, first.grant);
    assert_eq!(home.controller.ledger_len(), 1);
}

/// An answer is complete, but the message that its grant has ended is lost. The engine holds no
/// memory any more, but the ledger would count it forever and refuse work that fits.
#[test]
fn lost_end_is_detected_by_an_announcement() {
    let mut home = TestHome::serving();
    let a = host("entry-a");
    let grant = home.request_grant(1, &a, 6_000).grant;
    let actions = home.advance(Duration::from_secs(4), &[], &[(&a, Vec::new())]);
    assert!(cancels(&actions).contains(&AttemptId(grant.0)));
    home.confirm_cancel(grant);
    assert_eq!(home.controller.ledger_len(), 0);
    home.request_grant(2, &a, 6_000);
}

/// An entry host dies with an open stream, and the engine goes on generating an answer that nobody
/// reads. The first cancel is lost. The memory counts until the engine has confirmed a cancel.
#[test]
fn streams_of_a_dead_host_are_cancelled_until_confirmed() {
    let mut home = TestHome::serving();
    let a = host("entry-a");
    home.add_members(&["entry-b", "entry-c"]);
    let grant = home.request_grant(1, &a, 6_000).grant;
    let held = [running_attempt(grant, &a, 6_000)];
    home.announce(&a, &[live_grant(grant, 1, &a, 6_000, home.clock.now())]);
    home.handle(HomeEvent::HostDead(a.clone()));
    assert!(cancels(&home.advance(Duration::from_secs(4), &held, &[])).is_empty());
    let actions = home.advance(Duration::from_secs(4), &held, &[]);
    assert!(
        cancels(&actions).len() > 1,
        "the lost cancel is not repeated"
    );
    assert_eq!(home.controller.live_grants().len(), 1);
    home.confirm_cancel(grant);
    assert!(home.controller.live_grants().is_empty());
}

/// Two hosts briefly act as the home of a pool. One of them finds in an engine's list an attempt
/// that the other one granted, to a host that announces only to the other one. Cancelling the
/// attempt would interrupt a running answer. Once its host announces here without the grant, the
/// attempt is orphaned and is cancelled.
#[test]
fn attempts_of_another_home_are_counted_and_not_cancelled() {
    let mut home = TestHome::serving();
    let b = host("entry-b");
    home.handle(HomeEvent::HostAlive(b.clone()));
    let foreign = GrantId(77);
    let held = [running_attempt(foreign, &b, 6_000)];
    let actions = home.advance(Duration::from_secs(30), &held, &[]);
    assert!(cancels(&actions).is_empty());
    assert!(actions.contains(&HomeAction::RequestAnnouncement { to: b.clone() }));
    assert_eq!(
        home.request(1, &b, 6_000),
        GrantStatus::Queued,
        "the memory of the inferred grant counts"
    );
    let actions = home.advance(Duration::from_secs(1), &held, &[(&b, Vec::new())]);
    assert!(cancels(&actions).contains(&AttemptId(foreign.0)));
    home.confirm_cancel(foreign);
    home.request_grant(1, &b, 6_000);
}

/// A home dies, and the next one takes over with an empty ledger while engines are full of work
/// that the dead home granted. Granting without limit would exhaust engine memory; granting nothing
/// would delay callers. A few short requests are granted, and the rest wait for the hosts and
/// engines.
#[test]
fn takeover_rebuilds_the_ledger() {
    let (a, b) = (host("entry-a"), host("entry-b"));
    let mut home = TestHome::rebuilding(&[&a, &b]);
    let actions = home.set_engine(UpstreamHealth::Live);
    home.request_grant(1, &a, 1_000);
    assert_eq!(
        home.request(2, &a, 1_000),
        GrantStatus::Queued,
        "the limit during the rebuild is reached"
    );
    assert_eq!(home.request(3, &a, 6_000), GrantStatus::Queued);
    let old = GrantId(5);
    home.answer_queries(&actions, &[running_attempt(old, &b, 8_000)]);
    let now = home.clock.now();
    home.announce(&b, &[live_grant(old, 9, &b, 8_000, now)]);
    assert!(home.controller.is_rebuilding());
    home.announce(&a, &[]);
    assert!(!home.controller.is_rebuilding());
    home.request_grant(2, &a, 1_000);
    assert_eq!(
        home.request(3, &a, 6_000),
        GrantStatus::Queued,
        "{old} still holds 8,000 tokens"
    );
    home.finish(&b, old, AttemptOutcome::Completed);
    home.request_grant(3, &a, 6_000);
}

/// After a takeover one host never announces its grants. The home must not wait for it forever.
#[test]
fn rebuild_ends_without_silent_hosts() {
    let mut home = TestHome::rebuilding(&[&host("entry-a")]);
    home.set_engine(UpstreamHealth::Live);
    home.advance(HomeConf::default().rebuild_max, &[], &[]);
    assert!(!home.controller.is_rebuilding());
}

/// The reply with a grant is lost, and the platform lists the engine as leaving before the host
/// repeats its request. If the host got the same grant, it would send new work to the engine.
#[test]
fn unannounced_grant_on_a_leaving_upstream_is_replaced() {
    let mut home = TestHome::serving();
    let a = host("entry-a");
    let old = home.request_grant(1, &a, 4_000);
    home.set_engine(UpstreamHealth::Leaving);
    assert_eq!(home.request(1, &a, 4_000), GrantStatus::Queued);
    home.set_engine(UpstreamHealth::Live);
    let new = home.request_grant(1, &a, 4_000);
    assert_ne!(new.grant, old.grant);
    assert_eq!(
        home.request(2, &a, 4_000),
        GrantStatus::Queued,
        "the old grant may have been used"
    );
    let grants = vec![live_grant(new.grant, 1, &a, 4_000, home.clock.now())];
    let actions = home.advance(Duration::from_secs(4), &[], &[(&a, grants)]);
    assert!(cancels(&actions).contains(&AttemptId(old.grant.0)));
    home.confirm_cancel(old.grant);
    home.request_grant(2, &a, 4_000);
}

/// The connection to an engine breaks during an answer. The host reports the failure at once, but
/// the engine goes on: its memory is free only once the engine has confirmed the cancel.
#[test]
fn failed_attempt_holds_memory_until_the_engine_confirms() {
    let mut home = TestHome::serving();
    let a = host("entry-a");
    let grant = home.request_grant(1, &a, 6_000).grant;
    let actions = home.finish(&a, grant, AttemptOutcome::Failed);
    assert_eq!(cancels(&actions), [AttemptId(grant.0)]);
    home.finish(&a, grant, AttemptOutcome::NotSent);
    assert_eq!(home.request(2, &a, 6_000), GrantStatus::Queued);
    home.confirm_cancel(grant);
    home.request_grant(2, &a, 6_000);
}

/// A list of attempts that is on its way while a grant ends still shows the attempt. If it restored
/// the grant, the ledger would count memory that is free.
#[test]
fn stale_list_does_not_restore_an_ended_grant() {
    let mut home = TestHome::serving();
    let a = host("entry-a");
    let grant = home.request_grant(1, &a, 6_000).grant;
    home.clock.advance(Duration::from_secs(2));
    let asked = home.handle(HomeEvent::Tick);
    home.clock.advance(Duration::from_millis(10));
    home.finish(&a, grant, AttemptOutcome::Completed);
    home.answer_queries(&asked, &[running_attempt(grant, &a, 6_000)]);
    assert_eq!(home.controller.ledger_len(), 0);
}

/// A host that waits for a grant dies or switches to another home, and stops repeating its request.
/// The request must not stay in the queue or get a grant that nobody uses.
#[test]
fn requests_that_are_not_repeated_are_forgotten() {
    let mut home = TestHome::serving();
    let (a, b) = (host("entry-a"), host("entry-b"));
    let grant = home.request_grant(1, &a, 6_000).grant;
    home.request(2, &b, 6_000);
    home.advance(
        Duration::from_secs(4),
        &[],
        &[(&a, vec![live_grant(grant, 1, &a, 6_000, home.clock.now())])],
    );
    assert_eq!(home.controller.requests_len(), 1);
}

/// A host drains. The home tells waiting requests at once to go to the next home, so that they do
/// not wait for a timeout.
#[test]
fn hand_over_redirects_waiting_requests() {
    let mut home = TestHome::serving();
    let a = host("entry-a");
    home.request_grant(1, &a, 6_000);
    home.request(2, &a, 6_000);
    let answer = HomeAnswer {
        request: RequestId(2),
        status: GrantStatus::NotHome,
    };
    let pushed = HomeAction::Push {
        to: a.clone(),
        answer,
    };
    assert_eq!(home.handle(HomeEvent::HandOver), [pushed]);
    assert_eq!(home.request(3, &a, 1_000), GrantStatus::NotHome);
}

#[parameterized(
    not_home = { GrantStatus::NotHome },
    queued = { GrantStatus::Queued },
    granted = { GrantStatus::Granted(IssuedGrant {
        grant: GrantId(7),
        upstreams: vec![upstream("runner-1"), upstream("runner-2")],
        waited: Duration::from_millis(30),
        why: "cached".to_owned(),
    }) },
    refused = { GrantStatus::Refused {
        reason: RefuseReason::QueueFull,
        retry_after: Duration::from_millis(2_500),
    } },
)]
fn encoded_answers_decode_to_the_same_value(status: GrantStatus) {
    let pool: PoolId = "hall-a/llm-advisor/0".parse().unwrap();
    let request = RequestId(3);
    let answer = HomeAnswer { request, status };
    let message = wire::encode_answer(&pool, &answer);
    assert_eq!(wire::decode_answer(&message), Ok((pool, answer)));
}

/// The clocks of hosts differ, so a deadline is sent as the remaining time.
#[test]
fn deadlines_are_sent_as_remaining_time() {
    let pool: PoolId = "hall-a/llm-advisor/0".parse().unwrap();
    let here = Instant::now();
    let there = here + Duration::from_secs(1_000);
    let mut sent = work(1, &host("entry-a"), 4_096, here);
    sent.prefixes = vec![(ContentHash(9), Tokens(1_024))];
    sent.avoid = vec![upstream("runner-3")];
    let message = wire::encode_request(&pool, &sent, here);
    let (_, got) = wire::decode_request(&message, there).unwrap();
    assert_eq!(got.deadline - there, sent.deadline - here);
    sent.deadline = got.deadline;
    assert_eq!(got, sent);
    let empty = banyanarch::peer::message::GrantRequest::default();
    assert_eq!(
        wire::decode_request(&empty, here).unwrap_err().field,
        "pool"
    );
}

/// A host restarts, and the new process requests a grant while membership still reports the death
/// of the old one. Cancelling the new grant would interrupt an answer that is being read.
#[test]
fn restarted_host_keeps_new_grants() {
    let mut home = TestHome::serving();
    let a = host("entry-a");
    home.add_members(&["entry-b", "entry-c"]);
    home.handle(HomeEvent::HostDead(a.clone()));
    home.advance(Duration::from_secs(8), &[], &[]);
    let grant = home.request_grant(1, &a, 6_000).grant;
    let held = [running_attempt(grant, &a, 6_000)];
    let grants = vec![live_grant(grant, 1, &a, 6_000, home.clock.now())];
    let actions = home.advance(Duration::from_secs(20), &held, &[(&a, grants)]);
    assert!(cancels(&actions).is_empty());
    assert_eq!(home.controller.ledger_len(), 1);
}

/// A host is paused while a grant is on its way, and its home abandons and cancels the grant. The
/// host resumes and repeats its request before the cancel is confirmed. The same grant would be
/// cancelled as soon as it is used.
#[test]
fn abandoned_grant_is_not_issued_again() {
    let mut home = TestHome::serving();
    let a = host("entry-a");
    let old = home.request_grant(1, &a, 4_000);
    let abandoned = home.advance(Duration::from_secs(4), &[], &[(&a, Vec::new())]);
    assert!(!cancels(&abandoned).is_empty());
    let new = home.request_grant(1, &a, 4_000);
    assert_ne!(new.grant, old.grant);
    home.confirm_cancel(old.grant);
    assert_eq!(home.controller.ledger_len(), 1);
    let now = home.clock.now();
    assert!(new.is_fresh(now - Duration::from_millis(600), now));
    assert!(!old.is_fresh(now - Duration::from_secs(4), now));
}

/// The reply with a refusal is lost, and the host repeats its request. A second decision could
/// contradict the first one. Refusals come by the thousand, so they must be forgotten after a
/// while.
#[test]
fn refusals_are_remembered_for_a_while() {
    let mut home = TestHome::serving();
    let a = host("entry-a");
    let mut late = work(1, &a, 1_000, home.clock.now());
    late.deadline = home.clock.now();
    let event = HomeEvent::Request {
        from: a.clone(),
        work: late,
    };
    let first = home.handle(event.clone());
    home.advance(Duration::from_secs(1), &[], &[]);
    assert_eq!(home.handle(event), first);
    assert_eq!(home.controller.requests_len(), 1);
    home.advance(Duration::from_secs(10), &[], &[]);
    assert_eq!(home.controller.requests_len(), 0);
}

/// A host is partitioned from all other hosts but not from the engines, or resumes after a pause,
/// and considers all others dead. As the home of every pool it would cancel the answers they read.
#[test]
fn isolated_host_cancels_nothing() {
    let mut home = TestHome::serving();
    let (a, b) = (host("entry-a"), host("entry-b"));
    home.add_members(&["entry-c"]);
    let held = [
        running_attempt(GrantId(77), &a, 1_000),
        running_attempt(GrantId(78), &host("entry-x"), 1_000),
    ];
    home.handle(HomeEvent::HostDead(a.clone()));
    home.handle(HomeEvent::HostDead(b));
    let day = Duration::from_secs(86_400);
    home.advance(Duration::from_secs(80), &held, &[]);
    home.clock.advance(day);
    assert!(cancels(&home.advance(Duration::from_secs(80), &held, &[])).is_empty());
    home.add_members(&["entry-b", "entry-d"]);
    let cancelled = cancels(&home.advance(Duration::from_secs(80), &held, &[]));
    assert!(cancelled.contains(&AttemptId(77)) && cancelled.contains(&AttemptId(78)));
}

/// A host requests a grant and switches to another home before the reply arrives. It never
/// announces here, and the engine never gets the attempt: only the engine's list shows that no
/// memory is held.
#[test]
fn unused_grant_is_dropped() {
    let mut home = TestHome::serving();
    home.request_grant(1, &host("entry-a"), 6_000);
    let actions = home.advance(Duration::from_secs(8), &[], &[]);
    assert!(cancels(&actions).is_empty());
    assert_eq!(home.controller.ledger_len(), 0);
}

/// A silent host is considered dead, and the cancel of its attempt is lost. Then the host announces
/// the grant, since it still reads the answer: the cancel must not be repeated.
#[test]
fn host_that_announces_again_keeps_its_attempt() {
    let mut home = TestHome::serving();
    let a = host("entry-a");
    home.add_members(&["entry-b", "entry-c"]);
    let grant = home.request_grant(1, &a, 6_000).grant;
    let held = [running_attempt(grant, &a, 6_000)];
    home.handle(HomeEvent::HostDead(a.clone()));
    let lost = home.advance(Duration::from_millis(5_250), &held, &[]);
    assert_eq!(cancels(&lost), [AttemptId(grant.0)]);
    let grants = vec![live_grant(grant, 1, &a, 6_000, home.clock.now())];
    let actions = home.advance(Duration::from_secs(20), &held, &[(&a, grants)]);
    assert!(cancels(&actions).is_empty());
}
