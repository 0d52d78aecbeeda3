//! Tests of the gateway's smaller decisions: unreachable upstreams, retries, and instances.

use std::time::Duration;
use std::time::Instant;

use banyanarch::decide::HealthTracker;
use banyanarch::decide::HelperRelease;
use banyanarch::decide::HostLoad;
use banyanarch::decide::InstanceChoice;
use banyanarch::decide::InstanceView;
use banyanarch::decide::LoadLedger;
use banyanarch::decide::PrefillSent;
use banyanarch::decide::RequestLoad;
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

fn request_load(is_short: bool) -> RequestLoad {
    RequestLoad {
        takes_slot: true,
        is_short,
        pause: Some(ms(500)),
        prefill_time: ms(100),
        held_tokens: Tokens(5_000),
        helper_release: None,
        prefill_due: None,
    }
}

/// An engine dies without notice and stays listed for three heartbeats. It looks idle, so every
/// request tries it first and its caller loses part of a second, and again after each pause.
#[test]
fn an_upstream_that_does_not_connect_gets_no_request_until_a_connection_succeeds() {
    let (mut health, now) = (HealthTracker::default(), Instant::now());
    let (dead, here) = (upstream("dead"), domain("here"));
    health.on_fault(&dead, &here, UpstreamFault::ConnectRefused, now);
    assert!(!health.is_usable(&dead, &here, now + ms(100)));
    assert!(health.take_due_probes(now + ms(499)).is_empty());
    assert_eq!(health.next_probe_at(), Some(now + ms(500)));
    let retried_at = now + ms(501);
    assert_eq!(
        health.take_due_probes(retried_at),
        std::slice::from_ref(&dead)
    );
    assert!(
        health.take_due_probes(retried_at).is_empty(),
        "one probe at a time"
    );
    assert!(!health.is_usable(&dead, &here, retried_at));
    health.on_fault(&dead, &here, UpstreamFault::ConnectRefused, retried_at);
    assert!(
        health.take_due_probes(retried_at + ms(999)).is_empty(),
        "the pause grows each time"
    );
    assert_eq!(
        health.take_due_probes(retried_at + ms(1_001)),
        std::slice::from_ref(&dead)
    );
    health.on_connected(&dead, retried_at + ms(1_010));
    assert!(health.is_usable(&dead, &here, retried_at + ms(1_010)));
    assert_eq!(
        health.next_probe_at(),
        None,
        "no probe is due while all upstreams are reachable"
    );
}

/// A failure domain is unreachable. Each request tries its engines one after the other, a part of a
/// second each, until its deadline, although the engines of the own domain are idle. After each
/// pause all requests of the moment try the domain again.
#[test]
fn an_unreachable_domain_gets_no_request_until_it_is_reached() {
    let (mut health, now) = (HealthTracker::default(), Instant::now());
    let there = domain("there");
    let untried = upstream("c");
    health.on_fault(&upstream("a"), &there, UpstreamFault::ConnectTimeout, now);
    assert!(
        health.is_usable(&untried, &there, now),
        "a single engine may have died"
    );
    health.on_fault(&upstream("b"), &there, UpstreamFault::ConnectTimeout, now);
    assert!(!health.is_usable(&untried, &there, now + ms(500)));
    assert!(health.is_usable(&untried, &domain("here"), now));
    let later = now + ms(700);
    assert!(!health.is_usable(&untried, &there, later));
    let first = health.take_due_probes(later);
    assert_eq!(
        first.len(),
        1,
        "one upstream is probed for the whole domain"
    );
    health.on_fault(&first[0], &there, UpstreamFault::ConnectTimeout, later);
    let second = health.take_due_probes(later + ms(700));
    assert!(
        second != first,
        "the upstream probed before may itself be dead"
    );
    health.on_response(&upstream("a"), &there, later);
    assert!(health.is_usable(&untried, &there, later));
}

/// Sixty hosts find out one after the other that an engine is dead and a domain unreachable, each
/// at the cost of some callers.
#[test]
fn upstreams_that_a_peer_cannot_reach_are_avoided() {
    let now = Instant::now();
    let (mut observer, mut peer) = (HealthTracker::default(), HealthTracker::default());
    let (there, dead) = (domain("there"), upstream("a"));
    for id in ["a", "b"] {
        observer.on_fault(&upstream(id), &there, UpstreamFault::ConnectTimeout, now);
    }
    let reported: Vec<UpstreamId> = observer.unreachable_upstreams(now).cloned().collect();
    assert_eq!(reported, [dead.clone(), upstream("b")]);
    assert!(observer.unreachable_domains(now).eq([&there]));
    peer.on_unreachable_report(&dead, &there, now);
    assert!(!peer.is_usable(&dead, &there, now));
    assert!(peer.is_usable(&upstream("c"), &there, now));
    peer.on_unreachable_domain_report(&there, now);
    assert!(!peer.is_usable(&upstream("c"), &there, now));
    // Reports of peers are not passed on, or they would circulate forever.
    assert_eq!(peer.unreachable_upstreams(now).count(), 0);
    assert_eq!(peer.unreachable_domains(now).count(), 0);
}

/// A host behind a broken link takes a healthy engine for dead, and all hosts of its domain believe
/// the report.
#[test]
fn an_upstream_that_answers_here_is_used_whatever_a_peer_reports() {
    let (mut health, now) = (HealthTracker::default(), Instant::now());
    let (healthy, there) = (upstream("healthy"), domain("there"));
    health.on_response(&healthy, &there, now);
    health.on_unreachable_report(&healthy, &there, now + ms(200));
    health.on_unreachable_domain_report(&there, now + ms(200));
    assert!(health.is_usable(&healthy, &there, now + ms(200)));
}

/// A service instance fails every call although its health checks succeed, and looks the least busy
/// because failing is quick.
#[test]
fn an_instance_that_fails_many_calls_comes_last() {
    let (mut health, now) = (HealthTracker::default(), Instant::now());
    let (failing, here) = (upstream("failing"), domain("here"));
    for _ in 0..5 {
        health.on_fault(&failing, &here, UpstreamFault::Failed, now);
    }
    assert!(health.is_failing(&failing));
    assert!(
        health.is_usable(&failing, &here, now),
        "usable if there is no other instance"
    );
    let view = |id: &UpstreamId, in_flight| InstanceView {
        id: id.clone(),
        in_flight,
        slots: None,
        connections_max: None,
        service_time: None,
        is_local: true,
        is_failing: health.is_failing(id),
    };
    let healthy = upstream("healthy");
    let views = [view(&failing, 0), view(&healthy, 5)];
    assert_eq!(
        choose_instance(&views, None, 1),
        InstanceChoice::Send(healthy)
    );
}

#[test]
fn an_instance_of_the_own_domain_comes_first_while_it_is_not_busier() {
    let view = |name: &str, in_flight, is_local| InstanceView {
        id: upstream(name),
        in_flight,
        slots: None,
        connections_max: None,
        service_time: None,
        is_local,
        is_failing: false,
    };
    let idle = [view("local", 1, true), view("remote", 0, false)];
    let send = |name| InstanceChoice::Send(upstream(name));
    assert_eq!(choose_instance(&idle, None, 0), send("local"));
    let busy = [view("local", 3, true), view("remote", 0, false)];
    assert_eq!(choose_instance(&busy, None, 0), send("remote"));
    assert_eq!(choose_instance(&[], None, 0), InstanceChoice::None);
}

fn sent(total_ms: u64, remaining_ms: u64) -> PrefillSent {
    PrefillSent {
        total: ms(total_ms),
        remaining: ms(remaining_ms),
    }
}

/// Applies a snapshot of the peer's work at an engine.
fn record_peer_loads(
    ledger: &mut LoadLedger,
    engine: &UpstreamId,
    incarnation: u64,
    update: HostLoad,
    now: Instant,
) {
    let loads = IndexMap::from([(engine.clone(), update)]);
    ledger.record_host_loads("peer".parse().unwrap(), incarnation, loads, now);
}

/// Three hosts send a long prompt each to the same engine, which processes them one after the other
/// for 1.2 s. If each host counted down its own part alone, all would take the engine for idle
/// after 400 ms and send it more.
#[test]
fn prefill_from_several_hosts_is_processed_one_after_the_other() {
    let now = Instant::now();
    let mut ledger = LoadLedger::default();
    let engine = upstream("e");
    for host in ["one", "two", "three"] {
        let nothing = IndexMap::from([(engine.clone(), HostLoad::default())]);
        ledger.record_host_loads(host.parse().unwrap(), 1, nothing, now);
        let load = HostLoad {
            prefill: sent(400, 400),
            ..HostLoad::default()
        };
        let loads = IndexMap::from([(engine.clone(), load)]);
        ledger.record_host_loads(host.parse().unwrap(), 1, loads, now);
    }
    assert_eq!(ledger.load(&engine, now).prefill_backlog, ms(1_200));
    assert_eq!(ledger.load(&engine, now + ms(400)).prefill_backlog, ms(800));
}

/// A message is repeated, a message is lost, or the sending host restarts and counts from zero. In
/// none of these cases may an idle engine count as busy, or a busy one as idle.
#[test]
fn sent_prefill_counts_once_if_messages_are_repeated_or_lost() {
    let now = Instant::now();
    let mut ledger = LoadLedger::default();
    let engine = upstream("e");
    let update = |total_ms, remaining_ms| HostLoad {
        prefill: sent(total_ms, remaining_ms),
        ..HostLoad::default()
    };
    // The first message does not tell how much of the total is still pending.
    record_peer_loads(&mut ledger, &engine, 1, update(90_000, 100), now);
    assert_eq!(ledger.load(&engine, now).prefill_backlog, ms(100));
    record_peer_loads(&mut ledger, &engine, 1, update(90_000, 100), now);
    assert_eq!(
        ledger.load(&engine, now).prefill_backlog,
        ms(100),
        "the message was repeated"
    );
    // Two prompts were sent, and only the second message arrives.
    record_peer_loads(&mut ledger, &engine, 1, update(90_500, 600), now);
    assert_eq!(
        ledger.load(&engine, now).prefill_backlog,
        ms(600),
        "one message was lost"
    );
    // Prefill that the sender counts as done is no longer pending, even if its message was late.
    let later = now + ms(700);
    record_peer_loads(&mut ledger, &engine, 1, update(90_800, 50), later);
    assert_eq!(ledger.load(&engine, later).prefill_backlog, ms(50));
    record_peer_loads(&mut ledger, &engine, 2, update(30, 30), later + ms(100));
    let restarted = ledger.load(&engine, later + ms(100)).prefill_backlog;
    assert_eq!(restarted, ms(30), "the host has restarted");
}

#[test]
fn work_of_all_hosts_adds_up_until_it_ends() {
    let now = Instant::now();
    let mut ledger = LoadLedger::default();
    let engine = upstream("e");
    ledger.start_request(&engine, &request_load(true), now);
    let peer = HostLoad {
        in_flight: 3,
        short_in_flight: 1,
        helping: 0,
        strictest_pause: Some(ms(200)),
        held_tokens: Tokens(100),
        prefill: sent(50, 50),
        prefill_due: None,
    };
    record_peer_loads(&mut ledger, &engine, 1, peer, now);
    let load = ledger.load(&engine, now);
    assert_eq!((load.in_flight, load.short_in_flight), (4, 2));
    // The own prefill starts with the engine's next step.
    assert_eq!(load.prefill_backlog, ms(125));
    assert_eq!(load.strictest_pause, Some(ms(200)));
    assert_eq!(load.held_tokens, Tokens(5_100));
    assert_eq!(ledger.load(&engine, now + ms(60)).prefill_backlog, ms(65));
    ledger.end_request(&engine, &request_load(true));
    let after = ledger.load(&engine, now + ms(200));
    assert_eq!(
        (after.in_flight, after.prefill_backlog),
        (3, Duration::ZERO)
    );
}

/// A host dies with twenty answers on an engine. The engine drops the work when the connections
/// break, but if other hosts kept counting it the engine would idle.
#[test]
fn the_work_of_a_silent_host_is_removed() {
    let now = Instant::now();
    let mut ledger = LoadLedger::default();
    let engine = upstream("e");
    let peer = HostLoad {
        in_flight: 20,
        ..HostLoad::default()
    };
    record_peer_loads(&mut ledger, &engine, 1, peer, now);
    assert_eq!(ledger.load(&engine, now + ms(900)).in_flight, 20);
    assert_eq!(ledger.load(&engine, now + ms(1_000)).in_flight, 0);
    assert_eq!(ledger.live_peer_count(now + ms(1_000)), 0);
}

/// A long prompt is made late by the next one from another host, if that host does not know that a
/// caller waits for the prompt in prefill.
#[test]
fn hosts_know_when_prefill_in_progress_is_due() {
    let now = Instant::now();
    let mut ledger = LoadLedger::default();
    let engine = upstream("e");
    let due_in = |due| RequestLoad {
        prefill_due: Some(now + ms(due)),
        ..request_load(false)
    };
    let prefill_due = |ledger: &LoadLedger, at| ledger.load(&engine, now + ms(at)).prefill_due;
    ledger.start_request(&engine, &due_in(900), now);
    ledger.start_request(&engine, &due_in(700), now);
    assert_eq!(prefill_due(&ledger, 100), Some(ms(600)));
    let peer = HostLoad {
        prefill_due: Some(ms(400)),
        ..HostLoad::default()
    };
    record_peer_loads(&mut ledger, &engine, 1, peer, now);
    assert_eq!(
        prefill_due(&ledger, 100),
        Some(ms(300)),
        "the reported time counts down"
    );
    let nothing = HostLoad::default();
    record_peer_loads(&mut ledger, &engine, 1, nothing, now + ms(100));
    ledger.finish_prefill(&engine, &mut due_in(700));
    assert_eq!(prefill_due(&ledger, 100), Some(ms(800)));
    assert_eq!(prefill_due(&ledger, 900), None, "the due time has passed");
    ledger.end_request(&engine, &due_in(900));
    assert_eq!(prefill_due(&ledger, 100), None);
}

/// Engines refuse prompts that hosts send, because they help as many other engines as they have
/// slots, and hosts know only of the answers that are generated there.
#[parameterized(
    reads_a_part = { HelperRelease::PromptRead, 0 },
    keeps_a_part = { HelperRelease::AnswerEnded, 1 },
)]
fn an_engine_counts_as_helping_until_it_is_done(until: HelperRelease, after_reading: u32) {
    let now = Instant::now();
    let mut ledger = LoadLedger::default();
    let engine = upstream("e");
    let mut request = RequestLoad {
        takes_slot: false,
        helper_release: Some(until),
        ..request_load(false)
    };
    ledger.start_request(&engine, &request, now);
    let peer = HostLoad {
        helping: 2,
        ..HostLoad::default()
    };
    record_peer_loads(&mut ledger, &engine, 1, peer, now);
    assert_eq!(ledger.load(&engine, now).helping, 3);
    ledger.finish_prefill(&engine, &mut request);
    ledger.finish_prefill(&engine, &mut request);
    assert_eq!(ledger.load(&engine, now).helping, 2 + after_reading);
    ledger.end_request(&engine, &request);
    assert_eq!(ledger.load(&engine, now).helping, 2);
}

/// Many hosts lose power at once. The memory that they had reserved is in no ledger until the
/// reservations expire, so each prompt is offered to the same engines again, and hundreds of
/// reservations are refused.
#[test]
fn an_engine_that_has_refused_memory_is_not_asked_for_as_much_at_once() {
    let now = Instant::now();
    let mut ledger = LoadLedger::default();
    let engine = upstream("e");
    let refused = |ledger: &LoadLedger, at| ledger.load(&engine, now + ms(at)).refused_tokens;
    assert_eq!(refused(&ledger, 0), None);
    ledger.record_memory_refusal(&engine, Tokens(100_000), now);
    ledger.record_memory_refusal(&engine, Tokens(200_000), now + ms(500));
    assert_eq!(refused(&ledger, 600), Some(Tokens(100_000)));
    assert_eq!(refused(&ledger, 1_500), None);
    ledger.record_memory_refusal(&engine, Tokens(300_000), now + ms(2_000));
    assert_eq!(refused(&ledger, 2_100), Some(Tokens(300_000)));
}
