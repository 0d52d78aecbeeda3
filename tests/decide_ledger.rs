//! Tests of the load ledger's sums against a plain recomputation from all reports.

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

/// The time after its last message at which a silent peer no longer counts.
const PEER_LIFETIME: Duration = Duration::from_secs(1);

/// The state of one peer in the reference.
struct Peer {
    incarnation: u64,
    updated_at: Instant,
    loads: BTreeMap<usize, (HostLoad, Instant)>,
}

/// A reference that recomputes each sum from the stored reports.
#[derive(Default)]
struct Reference {
    peers: BTreeMap<usize, Peer>,
}

impl Reference {
    fn record(
        &mut self,
        host: usize,
        incarnation: u64,
        kind: LoadUpdateKind,
        loads: &[(usize, HostLoad)],
        now: Instant,
    ) {
        let is_known = |peer: &Peer| {
            peer.incarnation == incarnation
                && now.saturating_duration_since(peer.updated_at) < PEER_LIFETIME
        };
        let known = self.peers.remove(&host).filter(is_known);
        let mut merged = known.map(|peer| peer.loads).unwrap_or_default();
        if kind == LoadUpdateKind::Snapshot {
            merged.clear();
        }
        merged.extend(
            loads
                .iter()
                .map(|(upstream, load)| (*upstream, (*load, now))),
        );
        let peer = Peer {
            incarnation,
            updated_at: now,
            loads: merged,
        };
        self.peers.insert(host, peer);
    }

    fn live_loads(&self, upstream: usize, now: Instant) -> Vec<(HostLoad, Instant)> {
        let is_live = |peer: &&Peer| now.saturating_duration_since(peer.updated_at) < PEER_LIFETIME;
        let live = self.peers.values().filter(is_live);
        live.filter_map(|peer| peer.loads.get(&upstream).copied())
            .collect()
    }
}

fn host(index: usize) -> HostId {
    format!("host-{index}").parse().unwrap()
}

fn upstream(index: usize) -> UpstreamId {
    format!("engine-{index}").parse().unwrap()
}

fn random_load(rng: &mut StdRng) -> HostLoad {
    let in_flight = rng.random_range(0..5);
    let pause = rng.random_range(0..4);
    let due = rng.random_range(0..3_000);
    HostLoad {
        in_flight,
        short_in_flight: rng.random_range(0..=in_flight),
        strictest_pause: (pause > 0).then(|| Duration::from_millis(200 * pause)),
        helping: rng.random_range(0..4),
        held_tokens: Tokens(rng.random_range(0..100_000)),
        prefill: PrefillSent::default(),
        prefill_due: (due > 1_500).then(|| Duration::from_millis(due)),
    }
}

/// Hosts report, fall silent, restart, and add and drop upstreams. Sums that are updated by
/// differences must not drift from the reports, or hosts avoid an engine that is free, or overload
/// one that is full.
#[parameterized(
    few = { 7, 23, 1 },
    seventy = { 69, 60, 2 },
    large = { 194, 195, 3 },
)]
fn the_sums_match_what_was_reported(hosts: usize, upstreams: usize, seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut now = Instant::now();
    let mut ledger = LoadLedger::default();
    let mut reference = Reference::default();
    for step in 0..3_000 {
        // From time to time all hosts are silent for long.
        let pause_ms = if step % 500 == 499 { 1_500 } else { 20 };
        now += Duration::from_millis(rng.random_range(0..pause_ms));
        let reporter = rng.random_range(0..hosts);
        let incarnation = u64::from(rng.random_range(0..20) == 0);
        let kind = if rng.random() {
            LoadUpdateKind::Snapshot
        } else {
            LoadUpdateKind::Delta
        };
        let entries = rng.random_range(0..6);
        let mut random_entry = || (rng.random_range(0..upstreams), random_load(&mut rng));
        let loads: Vec<(usize, HostLoad)> = (0..entries).map(|_| random_entry()).collect();
        let update = loads.iter().map(|(index, load)| (upstream(*index), *load));
        let source = LoadSource::Host(host(reporter));
        ledger.record_loads(source, incarnation, kind, update, now);
        reference.record(reporter, incarnation, kind, &loads, now);
        let queried = rng.random_range(0..upstreams);
        let queried_at = now + Duration::from_millis(rng.random_range(0..1_200));
        let live = reference.live_loads(queried, queried_at);
        let sum = ledger.load(&upstream(queried), queried_at);
        let in_flight: u32 = live.iter().map(|(load, _)| load.in_flight).sum();
        let short: u32 = live.iter().map(|(load, _)| load.short_in_flight).sum();
        let helping: u32 = live.iter().map(|(load, _)| load.helping).sum();
        let held: u64 = live.iter().map(|(load, _)| load.held_tokens.0).sum();
        let pause = live
            .iter()
            .filter_map(|(load, _)| load.strictest_pause)
            .min();
        let due = live.iter().filter_map(|(load, at)| {
            let due = load.prefill_due?;
            Some((*at + due).saturating_duration_since(queried_at))
        });
        assert_eq!(sum.in_flight, in_flight);
        assert_eq!(sum.short_in_flight, short);
        assert_eq!(sum.helping, helping);
        assert_eq!(sum.held_tokens, Tokens(held));
        assert_eq!(sum.strictest_pause, pause);
        assert_eq!(sum.prefill_due, due.min());
        if rng.random_range(0..10) == 0 {
            ledger.expire_peers(now);
            ledger.retain_listed(|id| id != &upstream(0), now);
        }
    }
}

/// A collector and the host that it runs on report different work under one host id.
#[test]
fn a_collector_does_not_replace_what_its_host_reported() {
    let now = Instant::now();
    let mut ledger = LoadLedger::default();
    let load = HostLoad {
        in_flight: 2,
        ..HostLoad::default()
    };
    ledger.record_host_loads(host(1), 7, [(upstream(1), load)], now);
    let collector = LoadSource::Collector(host(1));
    ledger.record_loads(
        collector,
        7,
        LoadUpdateKind::Snapshot,
        [(upstream(1), load)],
        now,
    );
    assert_eq!(ledger.load(&upstream(1), now).in_flight, 4);
    assert!(ledger.is_host_live(&host(1), now));
}
