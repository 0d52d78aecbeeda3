//! The sums of the load ledger against a plain reckoning of all that was heard.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use banyanarch::decide::HostLoad;
use banyanarch::decide::LoadLedger;
use banyanarch::decide::LoadSource;
use banyanarch::decide::LoadUpdateKind;
use banyanarch::decide::PrefillSent;
use banyanarch::units::HostId;
use banyanarch::units::Tokens;
use banyanarch::units::UpstreamId;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use yare::parameterized;

/// What a peer is remembered for after its last message.
const KEPT_FOR: Duration = Duration::from_secs(1);

/// One host as the plain reckoning remembers it.
struct Peer {
    incarnation: u64,
    heard_at: Instant,
    loads: BTreeMap<usize, (HostLoad, Instant)>,
}

#[derive(Default)]
struct Reckoning {
    peers: BTreeMap<usize, Peer>,
}

impl Reckoning {
    fn hear(
        &mut self,
        host: usize,
        incarnation: u64,
        extent: LoadUpdateKind,
        loads: &[(usize, HostLoad)],
        now: Instant,
    ) {
        let is_known = |peer: &Peer| {
            peer.incarnation == incarnation
                && now.saturating_duration_since(peer.heard_at) < KEPT_FOR
        };
        let known = self.peers.remove(&host).filter(is_known);
        let mut kept = known.map(|peer| peer.loads).unwrap_or_default();
        if extent == LoadUpdateKind::Snapshot {
            kept.clear();
        }
        kept.extend(
            loads
                .iter()
                .map(|(upstream, load)| (*upstream, (*load, now))),
        );
        let peer = Peer {
            incarnation,
            heard_at: now,
            loads: kept,
        };
        self.peers.insert(host, peer);
    }

    fn heard(&self, upstream: usize, now: Instant) -> Vec<(HostLoad, Instant)> {
        let is_heard = |peer: &&Peer| now.saturating_duration_since(peer.heard_at) < KEPT_FOR;
        let heard = self.peers.values().filter(is_heard);
        heard
            .filter_map(|peer| peer.loads.get(&upstream).copied())
            .collect()
    }
}

fn host(index: usize) -> HostId {
    format!("host-{index}").parse().unwrap()
}

fn upstream(index: usize) -> UpstreamId {
    format!("engine-{index}").parse().unwrap()
}

fn drawn_load(rng: &mut StdRng) -> HostLoad {
    let in_flight = rng.random_range(0..5);
    let pause = rng.random_range(0..4);
    let due = rng.random_range(0..3_000);
    HostLoad {
        in_flight,
        short_in_flight: rng.random_range(0..=in_flight),
        strictest_pause: (pause > 0).then(|| Duration::from_millis(200 * pause)),
        helping: rng.random_range(0..4),
        held_tokens: Tokens(rng.random_range(0..100_000)),
        read: PrefillSent::default(),
        prefill_due: (due > 1_500).then(|| Duration::from_millis(due)),
    }
}

/// Hosts speak, fall silent, start anew, name upstreams and leave them out again. A sum that is kept
/// up to date by differences drifts from what they said, and hosts avoid an engine that is free, or
/// fill one that is full.
#[parameterized(
    few = { 7, 23, 1 },
    seventy = { 69, 60, 2 },
    large = { 194, 195, 3 },
)]
fn the_sums_are_what_was_heard(hosts: usize, upstreams: usize, seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut now = Instant::now();
    let mut ledger = LoadLedger::default();
    let mut reckoning = Reckoning::default();
    for step in 0..3_000 {
        // Now and then all are silent for long.
        let pause_ms = if step % 500 == 499 { 1_500 } else { 20 };
        now += Duration::from_millis(rng.random_range(0..pause_ms));
        let speaker = rng.random_range(0..hosts);
        let incarnation = u64::from(rng.random_range(0..20) == 0);
        let extent = if rng.random() {
            LoadUpdateKind::Snapshot
        } else {
            LoadUpdateKind::Delta
        };
        let named = rng.random_range(0..6);
        let mut drawn = || (rng.random_range(0..upstreams), drawn_load(&mut rng));
        let loads: Vec<(usize, HostLoad)> = (0..named).map(|_| drawn()).collect();
        let said = loads.iter().map(|(index, load)| (upstream(*index), *load));
        let source = LoadSource::Host(host(speaker));
        ledger.hear_part(source, incarnation, extent, said, now);
        reckoning.hear(speaker, incarnation, extent, &loads, now);
        let asked = rng.random_range(0..upstreams);
        let asked_at = now + Duration::from_millis(rng.random_range(0..1_200));
        let heard = reckoning.heard(asked, asked_at);
        let sum = ledger.load(&upstream(asked), asked_at);
        let in_flight: u32 = heard.iter().map(|(load, _)| load.in_flight).sum();
        let short: u32 = heard.iter().map(|(load, _)| load.short_in_flight).sum();
        let helping: u32 = heard.iter().map(|(load, _)| load.helping).sum();
        let held: u64 = heard.iter().map(|(load, _)| load.held_tokens.0).sum();
        let pause = heard
            .iter()
            .filter_map(|(load, _)| load.strictest_pause)
            .min();
        let due = heard.iter().filter_map(|(load, at)| {
            let due = load.prefill_due?;
            Some((*at + due).saturating_duration_since(asked_at))
        });
        assert_eq!(sum.in_flight, in_flight);
        assert_eq!(sum.short_in_flight, short);
        assert_eq!(sum.helping, helping);
        assert_eq!(sum.held_tokens, Tokens(held));
        assert_eq!(sum.strictest_pause, pause);
        assert_eq!(sum.prefill_due, due.min());
        if rng.random_range(0..10) == 0 {
            ledger.forget_silent(now);
            ledger.keep(|id| id != &upstream(0), now);
        }
    }
}

/// A collector and the host that it runs on speak of different work under one name.
#[test]
fn a_collector_does_not_replace_what_its_host_said() {
    let now = Instant::now();
    let mut ledger = LoadLedger::default();
    let load = HostLoad {
        in_flight: 2,
        ..HostLoad::default()
    };
    ledger.hear(host(1), 7, [(upstream(1), load)], now);
    let collector = LoadSource::Collector(host(1));
    ledger.hear_part(
        collector,
        7,
        LoadUpdateKind::Snapshot,
        [(upstream(1), load)],
        now,
    );
    assert_eq!(ledger.load(&upstream(1), now).in_flight, 4);
    assert!(ledger.is_heard(&host(1), now));
}
