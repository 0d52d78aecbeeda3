//! The smaller decisions of the gateway: whom to leave alone, who may retry, which instance.

use std::time::Duration;
use std::time::Instant;

use banyanarch::decide::HealthBook;
use banyanarch::decide::HelpsUntil;
use banyanarch::decide::HostLoad;
use banyanarch::decide::InstanceView;
use banyanarch::decide::LoadLedger;
use banyanarch::decide::LoadShare;
use banyanarch::decide::PrefillSent;
use banyanarch::decide::RetryBound;
use banyanarch::decide::RetryWindow;
use banyanarch::decide::UpstreamFault;
use banyanarch::decide::choose_instance;
use banyanarch::units::FailureDomainId;
use banyanarch::units::Tokens;
use banyanarch::units::UpstreamId;
use indexmap::IndexMap;
use yare::parameterized;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn upstream(name: &str) -> UpstreamId {
    name.parse().unwrap()
}

fn domain(name: &str) -> FailureDomainId {
    name.parse().unwrap()
}

fn share(is_short: bool) -> LoadShare {
    LoadShare {
        takes_place: true,
        is_short,
        pause: Some(ms(500)),
        read_time: ms(100),
        held_tokens: Tokens(5_000),
        helps: None,
        prefill_due: None,
    }
}

/// Callers of a dead engine lose part of a second each. It died without a word, stays on the list for
/// three heartbeats, and every request tries it first since it looks idle; and after each pause again.
#[test]
fn an_upstream_that_does_not_connect_gets_no_request_until_a_connection_comes_about() {
    let (mut health, now) = (HealthBook::default(), Instant::now());
    let (dead, here) = (upstream("dead"), domain("here"));
    health.on_fault(&dead, &here, UpstreamFault::ConnectRefused, now);
    assert!(!health.is_usable(&dead, &here, now + ms(100)));
    assert!(health.take_due(now + ms(499)).is_empty());
    assert_eq!(health.next_due(), Some(now + ms(500)));
    let tried = now + ms(501);
    assert_eq!(health.take_due(tried), std::slice::from_ref(&dead));
    assert!(health.take_due(tried).is_empty(), "one at a time");
    assert!(!health.is_usable(&dead, &here, tried));
    health.on_fault(&dead, &here, UpstreamFault::ConnectRefused, tried);
    assert!(
        health.take_due(tried + ms(999)).is_empty(),
        "longer each time"
    );
    assert_eq!(
        health.take_due(tried + ms(1_001)),
        std::slice::from_ref(&dead)
    );
    health.on_connected(&dead, tried + ms(1_010));
    assert!(health.is_usable(&dead, &here, tried + ms(1_010)));
    assert_eq!(
        health.next_due(),
        None,
        "nothing wakes a host that reaches all"
    );
}

/// A failure domain is cut off. Each request tries one engine there after the other, a part of a second
/// each, until its time is up, although the engines of the own domain are idle; and whenever the
/// pause is over, all requests of the moment try it again.
#[test]
fn a_domain_that_is_cut_off_is_left_alone_until_it_is_reached() {
    let (mut health, now) = (HealthBook::default(), Instant::now());
    let there = domain("there");
    let untried = upstream("c");
    health.on_fault(&upstream("a"), &there, UpstreamFault::ConnectTimeout, now);
    assert!(
        health.is_usable(&untried, &there, now),
        "one alone may have died"
    );
    health.on_fault(&upstream("b"), &there, UpstreamFault::ConnectTimeout, now);
    assert!(!health.is_usable(&untried, &there, now + ms(500)));
    assert!(health.is_usable(&untried, &domain("here"), now));
    let later = now + ms(700);
    assert!(!health.is_usable(&untried, &there, later));
    let first = health.take_due(later);
    assert_eq!(first.len(), 1, "one stands for all of them");
    health.on_fault(&first[0], &there, UpstreamFault::ConnectTimeout, later);
    let second = health.take_due(later + ms(700));
    assert!(second != first, "the one that was tried may itself be dead");
    health.on_answer(&upstream("a"), &there, later);
    assert!(health.is_usable(&untried, &there, later));
}

/// Sixty hosts find out one after the other that an engine is dead and a domain cut off, each at the
/// cost of some callers.
#[test]
fn what_a_neighbour_could_not_reach_is_left_alone_too() {
    let now = Instant::now();
    let (mut finder, mut neighbour) = (HealthBook::default(), HealthBook::default());
    let (there, dead) = (domain("there"), upstream("a"));
    for id in ["a", "b"] {
        finder.on_fault(&upstream(id), &there, UpstreamFault::ConnectTimeout, now);
    }
    let told: Vec<UpstreamId> = finder.unreachable(now).cloned().collect();
    assert_eq!(told, [dead.clone(), upstream("b")]);
    assert!(finder.cut_off(now).eq([&there]));
    neighbour.hear_unreachable(&dead, &there, now);
    assert!(!neighbour.is_usable(&dead, &there, now));
    assert!(neighbour.is_usable(&upstream("c"), &there, now));
    neighbour.hear_cut_off(&there, now);
    assert!(!neighbour.is_usable(&upstream("c"), &there, now));
    // What was only heard is not told on, or it would go round for ever.
    assert_eq!(neighbour.unreachable(now).count(), 0);
    assert_eq!(neighbour.cut_off(now).count(), 0);
}

/// A host behind a broken link takes a sound engine for dead, and all of its domain believe it.
#[test]
fn what_answers_here_is_used_whatever_a_neighbour_says() {
    let (mut health, now) = (HealthBook::default(), Instant::now());
    let (sound, there) = (upstream("sound"), domain("there"));
    health.on_answer(&sound, &there, now);
    health.hear_unreachable(&sound, &there, now + ms(200));
    health.hear_cut_off(&there, now + ms(200));
    assert!(health.is_usable(&sound, &there, now + ms(200)));
}

/// A service fails every call that comes near it, its health answers are good, and it looks the
/// least busy because failing is quick.
#[test]
fn an_instance_that_fails_many_calls_comes_last() {
    let (mut health, now) = (HealthBook::default(), Instant::now());
    let (grey, here) = (upstream("grey"), domain("here"));
    for _ in 0..5 {
        health.on_fault(&grey, &here, UpstreamFault::Failed, now);
    }
    assert!(health.is_failing(&grey));
    assert!(
        health.is_usable(&grey, &here, now),
        "where it is all there is"
    );
    let view = |id: &UpstreamId, in_flight| InstanceView {
        id: id.clone(),
        in_flight,
        is_near: true,
        is_failing: health.is_failing(id),
    };
    let sound = upstream("sound");
    let views = [view(&grey, 0), view(&sound, 5)];
    assert_eq!(choose_instance(&views, 1), Some(&sound));
}

#[test]
fn an_instance_of_the_own_domain_comes_first_while_it_is_not_busier() {
    let view = |name: &str, in_flight, is_near| InstanceView {
        id: upstream(name),
        in_flight,
        is_near,
        is_failing: false,
    };
    let near = [view("near", 1, true), view("far", 0, false)];
    assert_eq!(choose_instance(&near, 0), Some(&upstream("near")));
    let busy = [view("near", 3, true), view("far", 0, false)];
    assert_eq!(choose_instance(&busy, 0), Some(&upstream("far")));
    assert_eq!(choose_instance(&[], 0), None);
}

const BOUND: RetryBound = RetryBound {
    per_request: 0.2,
    allowance: 100.0,
    window: Duration::from_secs(10),
};

/// All upstreams of a service fail and seven hosts send again at once, cut off from each other, each
/// with the whole allowance: the service gets seven times the load it was promised.
#[test]
fn the_retries_of_all_hosts_together_stay_within_the_bound() {
    let now = Instant::now();
    let retries: usize = (0..7)
        .map(|_| {
            let mut window = RetryWindow::default();
            for _ in 0..50 {
                window.on_request(&BOUND, now);
            }
            (0..500)
                .filter(|_| window.try_retry(&BOUND, 7, now))
                .count()
        })
        .sum();
    assert!(retries <= 100 + 70, "{retries} retries for 350 requests");
    assert!(retries >= 90, "the budget is there to be used: {retries}");
}

#[test]
fn a_retry_is_given_back_when_its_window_has_passed() {
    let now = Instant::now();
    let mut window = RetryWindow::default();
    while window.try_retry(&BOUND, 7, now) {}
    assert!(!window.try_retry(&BOUND, 7, now + ms(9_999)));
    assert!(window.try_retry(&BOUND, 7, now + ms(10_001)));
}

fn sent(total_ms: u64, remaining_ms: u64) -> PrefillSent {
    PrefillSent {
        total: ms(total_ms),
        remaining: ms(remaining_ms),
    }
}

/// The peer says this of its work at an engine.
fn hear(
    ledger: &mut LoadLedger,
    engine: &UpstreamId,
    incarnation: u64,
    said: HostLoad,
    now: Instant,
) {
    let loads = IndexMap::from([(engine.clone(), said)]);
    ledger.hear("peer".parse().unwrap(), incarnation, loads, now);
}

/// Three hosts send a long prompt each to the same engine, which reads them one after the other for
/// 1.2 s. Each host counts its own part down by itself, so after 400 ms all believe that the engine
/// is idle, and send it more.
#[test]
fn what_several_hosts_sent_to_an_engine_is_read_one_after_the_other() {
    let now = Instant::now();
    let mut ledger = LoadLedger::default();
    let engine = upstream("e");
    for host in ["one", "two", "three"] {
        let nothing = IndexMap::from([(engine.clone(), HostLoad::default())]);
        ledger.hear(host.parse().unwrap(), 1, nothing, now);
        let load = HostLoad {
            read: sent(400, 400),
            ..HostLoad::default()
        };
        let loads = IndexMap::from([(engine.clone(), load)]);
        ledger.hear(host.parse().unwrap(), 1, loads, now);
    }
    assert_eq!(ledger.load(&engine, now).prefill_backlog, ms(1_200));
    assert_eq!(ledger.load(&engine, now + ms(400)).prefill_backlog, ms(800));
}

/// News come twice, or one is lost, or the host that sends them is started anew and counts from zero:
/// an engine is taken for busy that idles, or the other way round.
#[test]
fn what_was_sent_counts_once_whatever_becomes_of_the_news() {
    let now = Instant::now();
    let mut ledger = LoadLedger::default();
    let engine = upstream("e");
    let said = |total_ms, remaining_ms| HostLoad {
        read: sent(total_ms, remaining_ms),
        ..HostLoad::default()
    };
    // Of the first news it is not known how much of the total is still waiting.
    hear(&mut ledger, &engine, 1, said(90_000, 100), now);
    assert_eq!(ledger.load(&engine, now).prefill_backlog, ms(100));
    hear(&mut ledger, &engine, 1, said(90_000, 100), now);
    assert_eq!(
        ledger.load(&engine, now).prefill_backlog,
        ms(100),
        "told twice"
    );
    // Two prompts were sent, and only the second message arrives.
    hear(&mut ledger, &engine, 1, said(90_500, 600), now);
    assert_eq!(
        ledger.load(&engine, now).prefill_backlog,
        ms(600),
        "one was lost"
    );
    // What the sender takes for read is no longer waiting, also where its news was late.
    let later = now + ms(700);
    hear(&mut ledger, &engine, 1, said(90_800, 50), later);
    assert_eq!(ledger.load(&engine, later).prefill_backlog, ms(50));
    hear(&mut ledger, &engine, 2, said(30, 30), later + ms(100));
    let anew = ledger.load(&engine, later + ms(100)).prefill_backlog;
    assert_eq!(anew, ms(30), "it was started anew");
}

#[test]
fn work_of_all_hosts_adds_up_until_it_ends() {
    let now = Instant::now();
    let mut ledger = LoadLedger::default();
    let engine = upstream("e");
    ledger.start(&engine, &share(true), now);
    let peer = HostLoad {
        in_flight: 3,
        short_in_flight: 1,
        helping: 0,
        strictest_pause: Some(ms(200)),
        held_tokens: Tokens(100),
        read: sent(50, 50),
        prefill_due: None,
    };
    hear(&mut ledger, &engine, 1, peer, now);
    let load = ledger.load(&engine, now);
    assert_eq!((load.in_flight, load.short_in_flight), (4, 2));
    // The own part begins with the engine's next pass.
    assert_eq!(load.prefill_backlog, ms(125));
    assert_eq!(load.strictest_pause, Some(ms(200)));
    assert_eq!(load.held_tokens, Tokens(5_100));
    assert_eq!(ledger.load(&engine, now + ms(60)).prefill_backlog, ms(65));
    ledger.end(&engine, &share(true));
    let after = ledger.load(&engine, now + ms(200));
    assert_eq!(
        (after.in_flight, after.prefill_backlog),
        (3, Duration::ZERO)
    );
}

/// A host dies with twenty answers on an engine. Its connections broke and the engine dropped the
/// work, but the others go on counting it, and the engine idles.
#[test]
fn the_work_of_a_host_that_has_fallen_silent_is_forgotten() {
    let now = Instant::now();
    let mut ledger = LoadLedger::default();
    let engine = upstream("e");
    let peer = HostLoad {
        in_flight: 20,
        ..HostLoad::default()
    };
    hear(&mut ledger, &engine, 1, peer, now);
    assert_eq!(ledger.load(&engine, now + ms(900)).in_flight, 20);
    assert_eq!(ledger.load(&engine, now + ms(1_000)).in_flight, 0);
    assert_eq!(ledger.peers_heard(now + ms(1_000)), 0);
}

/// An archive is made late by the next one, which another host sends: it does not know that somebody
/// waits for what is being read there.
#[test]
fn hosts_know_when_what_is_being_read_has_to_be_done() {
    let now = Instant::now();
    let mut ledger = LoadLedger::default();
    let engine = upstream("e");
    let due_in = |due| LoadShare {
        prefill_due: Some(now + ms(due)),
        ..share(false)
    };
    let prefill_due = |ledger: &LoadLedger, at| ledger.load(&engine, now + ms(at)).prefill_due;
    ledger.start(&engine, &due_in(900), now);
    ledger.start(&engine, &due_in(700), now);
    assert_eq!(prefill_due(&ledger, 100), Some(ms(600)));
    let peer = HostLoad {
        prefill_due: Some(ms(400)),
        ..HostLoad::default()
    };
    hear(&mut ledger, &engine, 1, peer, now);
    assert_eq!(
        prefill_due(&ledger, 100),
        Some(ms(300)),
        "the news grow old"
    );
    let nothing = HostLoad::default();
    hear(&mut ledger, &engine, 1, nothing, now + ms(100));
    ledger.read_done(&engine, &mut due_in(700));
    assert_eq!(prefill_due(&ledger, 100), Some(ms(800)));
    assert_eq!(prefill_due(&ledger, 900), None, "it is late already");
    ledger.end(&engine, &due_in(900));
    assert_eq!(prefill_due(&ledger, 100), None);
}

/// Engines turn prompts away that hosts send: they help as many others as they have slots, and hosts
/// know only of the answers that are written there.
#[parameterized(
    reads_a_part = { HelpsUntil::Read, 0 },
    keeps_a_part = { HelpsUntil::Ended, 1 },
)]
fn an_engine_counts_as_helping_until_it_is_done(until: HelpsUntil, after_reading: u32) {
    let now = Instant::now();
    let mut ledger = LoadLedger::default();
    let engine = upstream("e");
    let mut share = LoadShare {
        takes_place: false,
        helps: Some(until),
        ..share(false)
    };
    ledger.start(&engine, &share, now);
    let peer = HostLoad {
        helping: 2,
        ..HostLoad::default()
    };
    hear(&mut ledger, &engine, 1, peer, now);
    assert_eq!(ledger.load(&engine, now).helping, 3);
    ledger.read_done(&engine, &mut share);
    ledger.read_done(&engine, &mut share);
    assert_eq!(ledger.load(&engine, now).helping, 2 + after_reading);
    ledger.end(&engine, &share);
    assert_eq!(ledger.load(&engine, now).helping, 2);
}

/// Hundreds of orders to set memory aside are refused after many hosts have lost power at once: what they had set
/// aside is on nobody's books until it lapses, and each prompt is offered to the same engines again.
#[test]
fn an_engine_that_has_refused_memory_is_not_asked_for_as_much_at_once() {
    let now = Instant::now();
    let mut ledger = LoadLedger::default();
    let engine = upstream("e");
    let refused = |ledger: &LoadLedger, at| ledger.load(&engine, now + ms(at)).refused_tokens;
    assert_eq!(refused(&ledger, 0), None);
    ledger.memory_refused(&engine, Tokens(100_000), now);
    ledger.memory_refused(&engine, Tokens(200_000), now + ms(500));
    assert_eq!(refused(&ledger, 600), Some(Tokens(100_000)));
    assert_eq!(refused(&ledger, 1_500), None);
    ledger.memory_refused(&engine, Tokens(300_000), now + ms(2_000));
    assert_eq!(refused(&ledger, 2_100), Some(Tokens(300_000)));
}
