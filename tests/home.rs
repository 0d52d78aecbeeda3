//! A home's ledger: grants are given once, and every hold of memory ends.

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
use fakes::make::done;
use fakes::make::engine;
use fakes::make::host;
use fakes::make::upstream;
use fakes::make::work;

const MEMORY_TOKENS: u64 = 10_000;

/// A home of one engine, with a clock that is moved by hand.
struct Home {
    clock: ManualClock,
    home: HomeController,
}

impl Home {
    /// A home that has just taken over and knows nothing.
    fn fresh(members: &[&HostId]) -> Self {
        let clock = ManualClock::new();
        let pool: PoolId = "hall-a/llm-advisor/0".parse().unwrap();
        let policy = Box::new(FirstFit::new(1_000));
        let home = HomeController::new(pool, policy, HomeConf::default(), clock.now());
        let mut home = Self { clock, home };
        for member in members {
            home.hear(HomeEvent::HostAlive((*member).clone()));
        }
        home
    }

    /// A home whose ledger is known to be complete and empty.
    fn serving() -> Self {
        let mut home = Self::fresh(&[]);
        let actions = home.set_engine(UpstreamHealth::Live);
        home.list(&actions, &[]);
        assert!(!home.home.is_rebuilding());
        home
    }

    fn join(&mut self, members: &[&str]) {
        for member in members {
            self.hear(HomeEvent::HostAlive(host(member)));
        }
    }

    fn hear(&mut self, event: HomeEvent) -> Vec<HomeAction> {
        self.home.handle(event, self.clock.now())
    }

    fn set_engine(&mut self, health: UpstreamHealth) -> Vec<HomeAction> {
        let engine = engine("runner-1", MEMORY_TOKENS, health);
        self.hear(HomeEvent::Upstreams(vec![engine]))
    }

    /// Answers the questions to engines among `actions`.
    fn list(&mut self, actions: &[HomeAction], running: &[RunningAttempt]) -> Vec<HomeAction> {
        let mut answers = Vec::new();
        for action in actions {
            if let HomeAction::ListAttempts { upstream, seq } = action {
                answers.extend(self.hear(HomeEvent::EngineListed {
                    upstream: upstream.clone(),
                    seq: *seq,
                    running: running.to_vec(),
                }));
            }
        }
        answers
    }

    /// Lets time pass in ticks, with the engine answering and hosts announcing, and returns all
    /// that was to be done.
    fn pass(
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
            let actions = self.hear(HomeEvent::Tick);
            let answers = self.list(&actions, running);
            all.extend(actions);
            all.extend(answers);
        }
        all
    }

    fn ask(&mut self, request: u128, from: &HostId, tokens: u64) -> GrantStatus {
        let work = work(request, from, tokens, self.clock.now());
        let from = from.clone();
        let actions = self.hear(HomeEvent::Request { from, work });
        let reply = actions.into_iter().find_map(|action| match action {
            HomeAction::Reply { answer, .. } => Some(answer.status),
            _ => None,
        });
        reply.unwrap()
    }

    fn ask_granted(&mut self, request: u128, from: &HostId, tokens: u64) -> IssuedGrant {
        granted(self.ask(request, from, tokens))
    }

    fn announce(&mut self, from: &HostId, grants: &[LiveGrant]) -> Vec<HomeAction> {
        self.hear(HomeEvent::Announce {
            from: from.clone(),
            grants: grants.to_vec(),
        })
    }

    fn finish(&mut self, from: &HostId, grant: GrantId, ended: AttemptOutcome) -> Vec<HomeAction> {
        self.hear(HomeEvent::Finish {
            from: from.clone(),
            grant,
            done: done(ended),
        })
    }

    fn confirm(&mut self, grant: GrantId) {
        self.hear(HomeEvent::CancelConfirmed {
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

fn running(grant: GrantId, from: &HostId, tokens: u64) -> RunningAttempt {
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

fn live(grant: GrantId, request: u128, from: &HostId, tokens: u64, now: Instant) -> LiveGrant {
    LiveGrant {
        id: grant,
        work: work(request, from, tokens, now),
        upstreams: vec![upstream("runner-1")],
    }
}

/// The reply to a request for a grant is lost, and the host asks again. Were it given a second
/// grant, the first one would hold engine memory that nobody uses.
#[test]
fn asking_again_gets_the_same_grant() {
    let mut home = Home::serving();
    let a = host("entry-a");
    let first = home.ask_granted(1, &a, 6_000);
    assert_eq!(home.ask_granted(1, &a, 6_000), first);
    assert_eq!(home.ask(2, &a, 6_000), GrantStatus::Queued);
    assert_eq!(home.ask(2, &a, 6_000), GrantStatus::Queued);
    let actions = home.finish(&a, first.grant, AttemptOutcome::Completed);
    let pushed = |action: &HomeAction| matches!(action, HomeAction::Push { answer, .. } if answer.request == RequestId(2));
    assert!(actions.iter().any(pushed));
    let second = home.ask_granted(2, &a, 6_000);
    assert_ne!(second.grant, first.grant);
    assert_eq!(home.home.ledger_len(), 1);
}

/// A caller's answer is whole, but the message that its grant has ended is lost. The engine holds
/// nothing, yet the ledger would count the memory for ever and turn away work that fits.
#[test]
fn lost_end_is_found_by_announcement() {
    let mut home = Home::serving();
    let a = host("entry-a");
    let grant = home.ask_granted(1, &a, 6_000).grant;
    let actions = home.pass(Duration::from_secs(4), &[], &[(&a, Vec::new())]);
    assert!(cancels(&actions).contains(&AttemptId(grant.0)));
    home.confirm(grant);
    assert_eq!(home.home.ledger_len(), 0);
    home.ask_granted(2, &a, 6_000);
}

/// An entry host dies with a stream open, and the engine goes on writing an answer that nobody
/// reads. A first cancel is lost. The memory counts until the engine has confirmed one.
#[test]
fn streams_of_a_dead_host_are_cancelled_until_confirmed() {
    let mut home = Home::serving();
    let a = host("entry-a");
    home.join(&["entry-b", "entry-c"]);
    let grant = home.ask_granted(1, &a, 6_000).grant;
    let held = [running(grant, &a, 6_000)];
    home.announce(&a, &[live(grant, 1, &a, 6_000, home.clock.now())]);
    home.hear(HomeEvent::HostDead(a.clone()));
    assert!(cancels(&home.pass(Duration::from_secs(4), &held, &[])).is_empty());
    let actions = home.pass(Duration::from_secs(4), &held, &[]);
    assert!(cancels(&actions).len() > 1, "the lost cancel is repeated");
    assert_eq!(home.home.live_grants().len(), 1);
    home.confirm(grant);
    assert!(home.home.live_grants().is_empty());
}

/// For a moment two hosts hold themselves for the home. One of them sees, in an engine's list,
/// attempts that the other granted, by a host that announces only to the other. Were they taken
/// for lost ones and cancelled, running answers would be cut off. Once their host announces here
/// without them, they are lost, and are cancelled.
#[test]
fn attempts_of_another_home_are_counted_and_left_alone() {
    let mut home = Home::serving();
    let b = host("entry-b");
    home.hear(HomeEvent::HostAlive(b.clone()));
    let stray = GrantId(77);
    let held = [running(stray, &b, 6_000)];
    let actions = home.pass(Duration::from_secs(30), &held, &[]);
    assert!(cancels(&actions).is_empty());
    assert!(actions.contains(&HomeAction::RequestAnnouncement { to: b.clone() }));
    assert_eq!(
        home.ask(1, &b, 6_000),
        GrantStatus::Queued,
        "its memory counts"
    );
    let actions = home.pass(Duration::from_secs(1), &held, &[(&b, Vec::new())]);
    assert!(cancels(&actions).contains(&AttemptId(stray.0)));
    home.confirm(stray);
    home.ask_granted(1, &b, 6_000);
}

/// A home dies and the next one takes over with an empty ledger, while engines are full of work
/// that the dead one granted. Granting freely would run them out of memory; granting nothing would
/// keep callers waiting. A few short requests go through, the rest wait until the hosts and engines
/// have been heard.
#[test]
fn take_over_rebuilds_the_ledger() {
    let (a, b) = (host("entry-a"), host("entry-b"));
    let mut home = Home::fresh(&[&a, &b]);
    let actions = home.set_engine(UpstreamHealth::Live);
    home.ask_granted(1, &a, 1_000);
    assert_eq!(
        home.ask(2, &a, 1_000),
        GrantStatus::Queued,
        "the share is used up"
    );
    assert_eq!(home.ask(3, &a, 6_000), GrantStatus::Queued);
    let old = GrantId(5);
    home.list(&actions, &[running(old, &b, 8_000)]);
    let now = home.clock.now();
    home.announce(&b, &[live(old, 9, &b, 8_000, now)]);
    assert!(home.home.is_rebuilding());
    home.announce(&a, &[]);
    assert!(!home.home.is_rebuilding());
    home.ask_granted(2, &a, 1_000);
    assert_eq!(
        home.ask(3, &a, 6_000),
        GrantStatus::Queued,
        "{old} still holds 8,000"
    );
    home.finish(&b, old, AttemptOutcome::Completed);
    home.ask_granted(3, &a, 6_000);
}

/// After a take-over one host never announces. The home must not wait for it for ever.
#[test]
fn rebuilding_ends_without_the_silent() {
    let mut home = Home::fresh(&[&host("entry-a")]);
    home.set_engine(UpstreamHealth::Live);
    home.pass(HomeConf::default().rebuild_max, &[], &[]);
    assert!(!home.home.is_rebuilding());
}

/// A grant's reply is lost, and before the host asks again the platform lists the engine as
/// leaving. Told the same grant again, the host would send new work there seconds later.
#[test]
fn unseen_grant_on_a_leaving_upstream_is_void() {
    let mut home = Home::serving();
    let a = host("entry-a");
    let old = home.ask_granted(1, &a, 4_000);
    home.set_engine(UpstreamHealth::Leaving);
    assert_eq!(home.ask(1, &a, 4_000), GrantStatus::Queued);
    home.set_engine(UpstreamHealth::Live);
    let new = home.ask_granted(1, &a, 4_000);
    assert_ne!(new.grant, old.grant);
    assert_eq!(
        home.ask(2, &a, 4_000),
        GrantStatus::Queued,
        "the old one may have been used"
    );
    let grants = vec![live(new.grant, 1, &a, 4_000, home.clock.now())];
    let actions = home.pass(Duration::from_secs(4), &[], &[(&a, grants)]);
    assert!(cancels(&actions).contains(&AttemptId(old.grant.0)));
    home.confirm(old.grant);
    home.ask_granted(2, &a, 4_000);
}

/// The connection to an engine breaks in the middle of an answer. The host tells its home at once,
/// but the engine goes on: its memory is free only when it has confirmed the cancel.
#[test]
fn failed_attempt_holds_memory_until_the_engine_confirms() {
    let mut home = Home::serving();
    let a = host("entry-a");
    let grant = home.ask_granted(1, &a, 6_000).grant;
    let actions = home.finish(&a, grant, AttemptOutcome::Failed);
    assert_eq!(cancels(&actions), [AttemptId(grant.0)]);
    home.finish(&a, grant, AttemptOutcome::NotSent);
    assert_eq!(home.ask(2, &a, 6_000), GrantStatus::Queued);
    home.confirm(grant);
    home.ask_granted(2, &a, 6_000);
}

/// A list was on its way while a grant ended, and still shows it. Taken for new, it would bring the
/// ended grant back and block memory that is free.
#[test]
fn list_from_before_an_end_does_not_bring_it_back() {
    let mut home = Home::serving();
    let a = host("entry-a");
    let grant = home.ask_granted(1, &a, 6_000).grant;
    home.clock.advance(Duration::from_secs(2));
    let asked = home.hear(HomeEvent::Tick);
    home.clock.advance(Duration::from_millis(10));
    home.finish(&a, grant, AttemptOutcome::Completed);
    home.list(&asked, &[running(grant, &a, 6_000)]);
    assert_eq!(home.home.ledger_len(), 0);
}

/// A host that waits for a grant dies or turns to another home, and asks no more. Its request must
/// not take a place in the queue, nor get a grant that nobody uses.
#[test]
fn requests_that_nobody_asks_for_are_forgotten() {
    let mut home = Home::serving();
    let (a, b) = (host("entry-a"), host("entry-b"));
    let grant = home.ask_granted(1, &a, 6_000).grant;
    home.ask(2, &b, 6_000);
    home.pass(
        Duration::from_secs(4),
        &[],
        &[(&a, vec![live(grant, 1, &a, 6_000, home.clock.now())])],
    );
    assert_eq!(home.home.requests_len(), 1);
}

/// A host drains. Requests that wait at its home are told at once to ask the next one, and are not
/// left to find out by a timeout.
#[test]
fn hand_over_sends_waiting_requests_on() {
    let mut home = Home::serving();
    let a = host("entry-a");
    home.ask_granted(1, &a, 6_000);
    home.ask(2, &a, 6_000);
    let answer = HomeAnswer {
        request: RequestId(2),
        status: GrantStatus::NotHome,
    };
    let pushed = HomeAction::Push {
        to: a.clone(),
        answer,
    };
    assert_eq!(home.hear(HomeEvent::HandOver), [pushed]);
    assert_eq!(home.ask(3, &a, 1_000), GrantStatus::NotHome);
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
fn answers_survive_the_wire(status: GrantStatus) {
    let pool: PoolId = "hall-a/llm-advisor/0".parse().unwrap();
    let request = RequestId(3);
    let answer = HomeAnswer { request, status };
    let message = wire::encode_answer(&pool, &answer);
    assert_eq!(wire::decode_answer(&message), Ok((pool, answer)));
}

/// Hosts' clocks differ, so a deadline travels as the time that remains.
#[test]
fn deadlines_travel_as_remaining_time() {
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
    let cut = banyanarch::peer::message::GrantRequest::default();
    assert_eq!(wire::decode_request(&cut, here).unwrap_err().field, "pool");
}

/// A host restarts, membership says so late, and the new process asks before anybody calls it alive.
/// Its grant came after the death that membership tells of: cancelling it would cut off an answer
/// that is being read.
#[test]
fn host_that_is_back_keeps_new_grants() {
    let mut home = Home::serving();
    let a = host("entry-a");
    home.join(&["entry-b", "entry-c"]);
    home.hear(HomeEvent::HostDead(a.clone()));
    home.pass(Duration::from_secs(8), &[], &[]);
    let grant = home.ask_granted(1, &a, 6_000).grant;
    let held = [running(grant, &a, 6_000)];
    let grants = vec![live(grant, 1, &a, 6_000, home.clock.now())];
    let actions = home.pass(Duration::from_secs(20), &held, &[(&a, grants)]);
    assert!(cancels(&actions).is_empty());
    assert_eq!(home.home.ledger_len(), 1);
}

/// A host is paused with a grant on its way; its home gives the grant up and cancels it. Awake, the
/// host asks again while the cancel is not confirmed yet. The same grant would be cancelled as soon
/// as it is used.
#[test]
fn grant_that_was_given_up_is_not_given_again() {
    let mut home = Home::serving();
    let a = host("entry-a");
    let old = home.ask_granted(1, &a, 4_000);
    let given_up = home.pass(Duration::from_secs(4), &[], &[(&a, Vec::new())]);
    assert!(!cancels(&given_up).is_empty());
    let new = home.ask_granted(1, &a, 4_000);
    assert_ne!(new.grant, old.grant);
    home.confirm(old.grant);
    assert_eq!(home.home.ledger_len(), 1);
    let now = home.clock.now();
    assert!(new.is_fresh(now - Duration::from_millis(600), now));
    assert!(!old.is_fresh(now - Duration::from_secs(4), now));
}

/// A refusal's reply is lost, and the host asks again: a second decision could contradict what the
/// first caller was told. But refusals come in thousands, and must be forgotten some time.
#[test]
fn refusals_are_remembered_for_a_while() {
    let mut home = Home::serving();
    let a = host("entry-a");
    let mut late = work(1, &a, 1_000, home.clock.now());
    late.deadline = home.clock.now();
    let event = HomeEvent::Request {
        from: a.clone(),
        work: late,
    };
    let first = home.hear(event.clone());
    home.pass(Duration::from_secs(1), &[], &[]);
    assert_eq!(home.hear(event), first);
    assert_eq!(home.home.requests_len(), 1);
    home.pass(Duration::from_secs(10), &[], &[]);
    assert_eq!(home.home.requests_len(), 0);
}

/// A host is cut off from all others but not from the engines, or wakes up from a pause, and holds
/// everybody else for dead. As the home of everything it would cancel what they are reading.
#[test]
fn host_that_is_alone_cancels_nothing() {
    let mut home = Home::serving();
    let (a, b) = (host("entry-a"), host("entry-b"));
    home.join(&["entry-c"]);
    let held = [
        running(GrantId(77), &a, 1_000),
        running(GrantId(78), &host("entry-x"), 1_000),
    ];
    home.hear(HomeEvent::HostDead(a.clone()));
    home.hear(HomeEvent::HostDead(b));
    let day = Duration::from_secs(86_400);
    home.pass(Duration::from_secs(80), &held, &[]);
    home.clock.advance(day);
    assert!(cancels(&home.pass(Duration::from_secs(80), &held, &[])).is_empty());
    home.join(&["entry-b", "entry-d"]);
    let cancelled = cancels(&home.pass(Duration::from_secs(80), &held, &[]));
    assert!(cancelled.contains(&AttemptId(77)) && cancelled.contains(&AttemptId(78)));
}

/// A host asks, gets a grant, and turns to another home before the reply comes. It never announces
/// here, and the engine never hears of it: only the engine's list can show that nothing is held.
#[test]
fn grant_that_nobody_ever_used_is_dropped() {
    let mut home = Home::serving();
    home.ask_granted(1, &host("entry-a"), 6_000);
    let actions = home.pass(Duration::from_secs(8), &[], &[]);
    assert!(cancels(&actions).is_empty());
    assert_eq!(home.home.ledger_len(), 0);
}

/// A host is silent for long, is held for dead, and the cancel of its attempt is lost. Then it is
/// back, still reading, and announces: the cancel must not be tried again.
#[test]
fn host_that_comes_back_goes_on_reading() {
    let mut home = Home::serving();
    let a = host("entry-a");
    home.join(&["entry-b", "entry-c"]);
    let grant = home.ask_granted(1, &a, 6_000).grant;
    let held = [running(grant, &a, 6_000)];
    home.hear(HomeEvent::HostDead(a.clone()));
    let lost = home.pass(Duration::from_millis(5_250), &held, &[]);
    assert_eq!(cancels(&lost), [AttemptId(grant.0)]);
    let grants = vec![live(grant, 1, &a, 6_000, home.clock.now())];
    let actions = home.pass(Duration::from_secs(20), &held, &[(&a, grants)]);
    assert!(cancels(&actions).is_empty());
}
