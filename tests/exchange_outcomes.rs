//! Collectors that add up the outcomes of calls of their failure domains and relay those of others.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use banyanarch::exchange::ExchangeState;
use banyanarch::exchange::HostUpdate;
use banyanarch::exchange::ListedHost;
use banyanarch::exchange::MessageScope;
use banyanarch::exchange::SendReason;
use banyanarch::exchange::UpstreamOutcomeEntry;
use banyanarch::units::Millicores;

const HOSTS: u16 = 40;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn name(index: u16) -> String {
    format!("host-{index:02}")
}

fn domain(index: u16) -> &'static str {
    ["domain-a", "domain-b"][usize::from(index % 2)]
}

/// Hosts of two failure domains, of which the first of each is the strongest.
fn hosts() -> Arc<Vec<ListedHost>> {
    let listed = (0..HOSTS).map(|index| ListedHost {
        host: name(index).parse().unwrap(),
        domain: domain(index).parse().unwrap(),
        exchange_addr: ([127, 0, 0, 1], 9_000 + index).into(),
        processors: Some(Millicores(if index < 2 { 900 } else { 100 })),
    });
    Arc::new(listed.collect())
}

fn state(index: u16, start: Instant) -> ExchangeState {
    let mut state = ExchangeState::new(
        name(index).parse().unwrap(),
        domain(index).parse().unwrap(),
        start,
    );
    state.set_hosts(&hosts(), start);
    state
}

fn entry(calls: u32, failures: u32) -> UpstreamOutcomeEntry {
    UpstreamOutcomeEntry {
        upstream_hash: 7,
        calls,
        failures,
        ..UpstreamOutcomeEntry::default()
    }
}

fn update(index: u16, outcomes: Vec<UpstreamOutcomeEntry>) -> HostUpdate {
    HostUpdate {
        host: name(index),
        incarnation: 1,
        outcomes,
        ..HostUpdate::default()
    }
}

/// The messages of a state that are due now, with their scope.
fn due(state: &mut ExchangeState, index: u16, now: Instant) -> Vec<(MessageScope, HostUpdate)> {
    state.request_send(SendReason::Change);
    let messages = state.due_messages(|| update(index, Vec::new()), now);
    let updates = messages.into_iter().map(|message| message.update);
    updates.map(|update| (update.scope(), update)).collect()
}

fn of_scope(messages: Vec<(MessageScope, HostUpdate)>, scope: MessageScope) -> HostUpdate {
    let mut matching = messages.into_iter().filter(|(of, _)| *of == scope);
    matching.next().expect("a message of this scope").1
}

/// Guards against collectors that forward the outcomes of one host alone, or of none, and against
/// those of a dead host that count for ever.
#[test]
fn a_collector_adds_up_the_outcomes_of_its_domain_and_relays_those_of_others() {
    let start = Instant::now();
    let (mut first, mut second) = (state(0, start), state(1, start));
    let now = start + ms(1_000);
    first.on_message(update(2, vec![entry(5, 2)]), now);
    first.on_message(update(4, vec![entry(3, 1)]), now);
    let sent = of_scope(due(&mut first, 0, now), MessageScope::Domain);
    assert_eq!(sent.outcomes, [entry(8, 3)]);

    let (accepted, _) = second.on_message(sent, now);
    assert_eq!(accepted.last().unwrap().outcomes, [entry(8, 3)]);
    let relay = of_scope(due(&mut second, 1, now), MessageScope::Relay);
    assert_eq!(relay.relayed[0].outcomes, [entry(8, 3)]);
    assert_eq!(relay.outcomes, []);

    let later = now + ms(600);
    first.on_message(update(2, vec![entry(6, 2)]), later);
    let sent = of_scope(due(&mut first, 0, now + ms(1_100)), MessageScope::Domain);
    assert_eq!(sent.outcomes, [entry(6, 2)], "the other host is silent");
}

/// Guards against updates that carry every change of the outcomes, which change with each call.
#[test]
fn the_outcomes_of_an_upstream_are_sent_four_times_a_second() {
    let start = Instant::now();
    let mut state = state(2, start);
    let mut sent = 0;
    for step in 0..200 {
        state.request_send(SendReason::Change);
        let own = || update(2, vec![entry(step, 1)]);
        let messages = state.due_messages(own, start + ms(u64::from(step) * 10));
        let hosts = messages
            .iter()
            .filter(|m| m.update.scope() == MessageScope::Host);
        sent += hosts.filter(|m| !m.update.outcomes.is_empty()).count();
    }
    assert!((4..=8).contains(&sent), "{sent} in two seconds");
}
