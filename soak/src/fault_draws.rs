//! Draws the faults of a seed. Rate limits, notices of upstreams, evacuations, restores of the store,
//! outages, floods, cuts between hosts and upstreams, silences of upstreams, and stores that turn some
//! hosts away have random generators of their own, so that they do not change which other faults a seed draws.

use std::ops::Range;
use std::time::Duration;

use banyanarch_platform::stand_in::ODD_ENTRIES;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::deployment::DOMAINS;
use crate::fault::Fault;
use crate::flood::Flood;
use crate::link_proxy::LinkMode;
use crate::run::SoakConf;
use crate::silent_share::SilentShare;
use crate::store::StoreMode;
use crate::upstream::UpstreamMode;

/// XORed with the seed of the run for the draws of rate limits.
const LIMITS_SEED_MASK: u64 = 0x11A7_7ED0;
/// XORed with the seed of the run for the draws of restores of the store.
const RESTORES_SEED_MASK: u64 = 0x5704_E7A0;

/// XORed with the seed of the run for the draws of evacuations.
const EVACUATIONS_SEED_MASK: u64 = 0x00E7_ACED;
/// XORed with the seed of the run for the draws of stores that turn hosts away before an evacuation.
const PARTIAL_OUTAGES_SEED_MASK: u64 = 0x00A3_7E1D;
/// XORed with the seed of the run for the draws of cuts between hosts and all upstreams.
const PATH_CUTS_SEED_MASK: u64 = 0x00C0_7A11;
/// XORed with the seed of the run for the draws of outages.
const OUTAGES_SEED_MASK: u64 = 0x0007_A6E5;
/// XORed with the seed of the run for the draws of odd entries.
const ODD_ENTRIES_SEED_MASK: u64 = 0x000D_DE27;
/// XORed with the seed of the run for the draws of outages while hosts restart.
const EARNED_OUTAGES_SEED_MASK: u64 = 0x00EA_27ED;
/// XORed with the seed of the run for the draws of restarts of all hosts.
const FULL_RESTARTS_SEED_MASK: u64 = 0x0F01_157A;
/// XORed with the seed of the run for the draws of notices of upstreams.
const NOTICES_SEED_MASK: u64 = 0x0B0F_F1EA;

/// XORed with the seed of the run for the draws of restarts of hosts alone.
const RESTARTS_SEED_MASK: u64 = 0x0057_A275;
/// XORed with the seed of the run for the draws of floods.
const FLOODS_SEED_MASK: u64 = 0x000F_100D;
/// XORed with the seed of the run for the draws of silences of upstreams.
const SILENCES_SEED_MASK: u64 = 0x0051_1E7C;

/// Draws the faults of a seed other than rate limits, notices and restores of the store, each with
/// the pause before it.
pub fn draw_faults(conf: &SoakConf) -> Vec<(Duration, Fault)> {
    let mut rng = StdRng::seed_from_u64(conf.seed);
    let gap_ms: u64 = rng.random_range(300..1_500);
    draw(conf, rng, gap_ms / 4..gap_ms * 2, |rng| {
        Fault::draw(rng, conf.size.hosts)
    })
}

/// Draws the rate limits that upstreams advertise, each with the pause before it.
pub(crate) fn draw_limits(conf: &SoakConf) -> Vec<(Duration, Fault)> {
    let rng = StdRng::seed_from_u64(conf.seed ^ LIMITS_SEED_MASK);
    draw(conf, rng, 1_000..5_000, |rng| {
        let upstream = rng.random_range(0..1_000);
        let per_s = f64::from(rng.random_range(5..60)) / 10.0;
        Fault::LimitUpstream(upstream, per_s, draw_duration(rng, 4_000..14_000))
    })
}

/// Draws the upstreams that say in their responses that they leave or want no requests, each with
/// the pause before it.
pub(crate) fn draw_notices(conf: &SoakConf) -> Vec<(Duration, Fault)> {
    let rng = StdRng::seed_from_u64(conf.seed ^ NOTICES_SEED_MASK);
    draw(conf, rng, 1_000..6_000, |rng| {
        let upstream = rng.random_range(0..1_000);
        if rng.random_ratio(1, 3) {
            Fault::LeaveUpstreamUnlisted(upstream, draw_duration(rng, 1_000..7_000))
        } else {
            let backoff = draw_duration(rng, 700..4_000);
            Fault::BackOffUpstream(upstream, backoff, draw_duration(rng, 500..9_000))
        }
    })
}

/// Draws the evacuations of failure domains, each with the pause before it.
pub(crate) fn draw_evacuations(conf: &SoakConf) -> Vec<(Duration, Fault)> {
    let rng = StdRng::seed_from_u64(conf.seed ^ EVACUATIONS_SEED_MASK);
    draw(conf, rng, 1_000..8_000, |rng| {
        let domain = rng.random_range(0..DOMAINS);
        Fault::EvacuateDomain(domain, draw_duration(rng, 1_000..9_000))
    })
}

/// Draws partial outages of the store, each with the pause before it: the store turns some hosts away
/// for some seconds, and soon after that a failure domain is evacuated.
pub(crate) fn draw_partial_outages(conf: &SoakConf) -> Vec<(Duration, Fault)> {
    let mut rng = StdRng::seed_from_u64(conf.seed ^ PARTIAL_OUTAGES_SEED_MASK);
    let outages = draw(conf, rng.clone(), 1_000..7_000, |rng| {
        let hosts = 0..conf.size.hosts;
        let turned_away = hosts.filter(|_| rng.random_ratio(2, 5)).collect();
        Fault::StoreTurnsAway(turned_away, draw_duration(rng, 2_500..6_000))
    });
    let mut faults = Vec::new();
    let mut at = Duration::ZERO;
    for (gap, outage) in outages {
        at += gap;
        let Fault::StoreTurnsAway(_, time) = outage else {
            continue;
        };
        if at > conf.faults_for {
            break;
        }
        let domain = rng.random_range(0..DOMAINS);
        let calm = draw_duration(&mut rng, 0..4_500);
        let evacuated = draw_duration(&mut rng, 7_000..12_000);
        at += time + calm;
        faults.push((gap, outage));
        faults.push((time + calm, Fault::EvacuateDomain(domain, evacuated)));
    }
    faults
}

/// Draws odd entries of another writer, each with the pause before it.
pub(crate) fn draw_odd_entries(conf: &SoakConf) -> Vec<(Duration, Fault)> {
    let rng = StdRng::seed_from_u64(conf.seed ^ ODD_ENTRIES_SEED_MASK);
    draw(conf, rng, 500..4_000, |rng| {
        let way = rng.random_range(0..ODD_ENTRIES);
        Fault::OddEntry(way, draw_duration(rng, 500..6_000))
    })
}

/// Draws the restores of the store from snapshots, each with the pause before it.
pub(crate) fn draw_restores(conf: &SoakConf) -> Vec<(Duration, Fault)> {
    let rng = StdRng::seed_from_u64(conf.seed ^ RESTORES_SEED_MASK);
    draw(conf, rng, 5_000..12_000, |rng| {
        let ranges_ms = [500..5_000, 100..1_500, 0..500];
        Fault::RestoreStore(ranges_ms.map(|range_ms| draw_duration(rng, range_ms)))
    })
}

/// Draws the outages, each with the pause before it: all upstreams fail requests, half of the times
/// while all hosts are killed again and again and the store is unavailable for a moment.
pub(crate) fn draw_outages(conf: &SoakConf) -> Vec<(Duration, Fault)> {
    let mut rng = StdRng::seed_from_u64(conf.seed ^ OUTAGES_SEED_MASK);
    let outages = draw(conf, rng.clone(), 6_000..20_000, |rng| {
        let mode = match rng.random_range(0..3) {
            0 => UpstreamMode::RejectsRequests,
            1 => UpstreamMode::TruncatesResponses,
            _ => UpstreamMode::RespondsWithError,
        };
        Fault::AllUpstreams(mode, draw_duration(rng, 3_000..10_000))
    });
    let mut faults = Vec::new();
    for outage in outages {
        faults.push(outage);
        if rng.random_ratio(1, 2) {
            continue;
        }
        for _ in 0..3 {
            let down = draw_duration(&mut rng, 50..300);
            let unavailable = draw_duration(&mut rng, 300..1_500);
            faults.push((
                draw_duration(&mut rng, 800..2_000),
                Fault::KillAllHosts(down),
            ));
            faults.push((down, Fault::Store(StoreMode::Unavailable, unavailable)));
        }
    }
    faults
}

/// Draws restarts of all hosts: killed at the same time or one after the other. The pauses between the
/// series of kills are longer than it takes until hosts that have started count as undisturbed.
pub(crate) fn draw_full_restarts(conf: &SoakConf) -> Vec<(Duration, Fault)> {
    let mut rng = StdRng::seed_from_u64(conf.seed ^ FULL_RESTARTS_SEED_MASK);
    let mut faults = Vec::new();
    let mut at = draw_duration(&mut rng, 9_000..14_000);
    let mut gap = at;
    while at < conf.faults_for {
        let kills = draw_kills(conf, &mut rng);
        at += kills.iter().map(|(gap, _)| *gap).sum::<Duration>();
        for (after, fault) in kills {
            faults.push((gap + after, fault));
            gap = Duration::ZERO;
        }
        gap = draw_duration(&mut rng, 6_000..9_000);
        at += gap;
    }
    faults
}

/// Draws outages of all upstreams, each with the pause before it, in which requests have earned
/// retries. Soon after the start of each, all hosts are killed, one to three times.
pub(crate) fn draw_earned_outages(conf: &SoakConf) -> Vec<(Duration, Fault)> {
    let mut rng = StdRng::seed_from_u64(conf.seed ^ EARNED_OUTAGES_SEED_MASK);
    let mut faults = Vec::new();
    let mut at = Duration::ZERO;
    while at < conf.faults_for {
        let gap = draw_duration(&mut rng, 11_000..15_000);
        let time = draw_duration(&mut rng, 8_000..12_000);
        at += gap + time;
        faults.push((gap, Fault::AllUpstreams(draw_outage_mode(&mut rng), time)));
        let mut pause = draw_duration(&mut rng, 1_000..4_000);
        for _ in 0..rng.random_range(1..=3) {
            for (after, fault) in draw_kills(conf, &mut rng) {
                faults.push((pause + after, fault));
                pause = Duration::ZERO;
            }
            pause = draw_duration(&mut rng, 1_500..3_000);
        }
    }
    faults
}

/// Draws how all hosts are killed: at the same time, or one after the other. The first has no pause
/// before it.
fn draw_kills(conf: &SoakConf, rng: &mut StdRng) -> Vec<(Duration, Fault)> {
    let down = draw_duration(rng, 50..300);
    if rng.random_ratio(1, 2) {
        return vec![(Duration::ZERO, Fault::KillAllHosts(down))];
    }
    let apart = draw_duration(rng, 100..700);
    let kill = |host| {
        let after = if host == 0 { Duration::ZERO } else { apart };
        (after, Fault::KillHost(host, down))
    };
    (0..conf.size.hosts).map(kill).collect()
}

/// Draws how upstreams fail all requests.
fn draw_outage_mode(rng: &mut StdRng) -> UpstreamMode {
    match rng.random_range(0..4) {
        0 => UpstreamMode::RejectsRequests,
        1 => UpstreamMode::TruncatesResponses,
        2 => UpstreamMode::DropsResponses,
        _ => UpstreamMode::RespondsWithError,
    }
}

/// Draws the cuts between all hosts of one or two failure domains and all upstreams, each with the
/// pause before it.
pub(crate) fn draw_path_cuts(conf: &SoakConf) -> Vec<(Duration, Fault)> {
    let rng = StdRng::seed_from_u64(conf.seed ^ PATH_CUTS_SEED_MASK);
    draw(conf, rng, 3_000..14_000, |rng| {
        let uncut = rng.random_range(0..DOMAINS);
        let is_one_cut = rng.random_ratio(1, 2);
        let cut = (1..DOMAINS).map(|step| (uncut + step) % DOMAINS);
        let cut = cut.take(if is_one_cut { 1 } else { DOMAINS }).collect();
        let mode = match rng.random_range(0..3) {
            0 => LinkMode::Refuses,
            1 => LinkMode::RefusesNew,
            _ => LinkMode::Hangs,
        };
        Fault::UpstreamPaths(cut, mode, draw_duration(rng, 4_000..10_000))
    })
}

/// Draws the floods of customers, each with the pause before it and, most times, one upstream that
/// is gone or slow during the flood.
pub(crate) fn draw_floods(conf: &SoakConf) -> Vec<(Duration, Fault)> {
    let mut rng = StdRng::seed_from_u64(conf.seed ^ FLOODS_SEED_MASK);
    let floods = draw(conf, rng.clone(), 9_000..12_000, |rng| {
        Fault::Flood(Flood::draw(rng), draw_duration(rng, 4_000..7_000))
    });
    let mut faults = Vec::new();
    for flood in floods {
        faults.push(flood);
        let upstream = rng.random_range(0..1_000);
        let gap = draw_duration(&mut rng, 200..1_000);
        let time = draw_duration(&mut rng, 1_500..3_000);
        let slow = UpstreamMode::Slow(draw_duration(&mut rng, 300..1_500));
        match rng.random_range(0..4) {
            0 => {}
            1 => faults.push((gap, Fault::KillUpstream(upstream, time))),
            _ => faults.push((gap, Fault::Upstream(upstream, slow, time))),
        }
    }
    faults
}

/// Draws silences of upstreams, each after a change of the manifest and with the pause before it.
/// During some of them another change is made, and during some another silence of the same service
/// starts.
pub(crate) fn draw_silences(conf: &SoakConf, gap_ms: Range<u64>) -> Vec<(Duration, Fault)> {
    let mut rng = StdRng::seed_from_u64(conf.seed ^ SILENCES_SEED_MASK);
    let changes = draw(conf, rng.clone(), gap_ms, draw_manifest_change);
    let mut faults = Vec::new();
    for change in changes {
        faults.push(change);
        let share = SilentShare::draw(&mut rng);
        faults.push((
            draw_duration(&mut rng, 0..900),
            draw_silence(&mut rng, share, conf),
        ));
        if rng.random_ratio(1, 2) {
            let gap = draw_duration(&mut rng, 0..600);
            faults.push((gap, draw_manifest_change(&mut rng)));
        }
        if rng.random_ratio(1, 3) {
            let gap = draw_duration(&mut rng, 100..800);
            let share = share.draw_other(&mut rng);
            faults.push((gap, draw_silence(&mut rng, share, conf)));
        }
    }
    faults
}

fn draw_silence(rng: &mut StdRng, share: SilentShare, conf: &SoakConf) -> Fault {
    Fault::SilenceUpstreams(share, draw_duration(rng, 900..1_600)).stretched(conf.stretch)
}

fn draw_manifest_change(rng: &mut StdRng) -> Fault {
    if rng.random_ratio(2, 3) {
        Fault::MoveRoute
    } else {
        Fault::RevokeKey(rng.random_range(0..1_000))
    }
}

/// Draws kills and planned stops of hosts, each with the pause before it.
pub(crate) fn draw_restarts(conf: &SoakConf) -> Vec<(Duration, Fault)> {
    let rng = StdRng::seed_from_u64(conf.seed ^ RESTARTS_SEED_MASK);
    draw(conf, rng, 1_500..6_000, |rng| {
        let host = rng.random_range(0..conf.size.hosts);
        if rng.random_ratio(1, 2) {
            Fault::KillHost(host, draw_duration(rng, 100..2_000))
        } else {
            Fault::StopHost(host)
        }
    })
}

/// Draws pauses and faults until the time for faults is used up.
fn draw(
    conf: &SoakConf,
    mut rng: StdRng,
    gap_ms: Range<u64>,
    draw_fault: impl Fn(&mut StdRng) -> Fault,
) -> Vec<(Duration, Fault)> {
    let mut faults = Vec::new();
    let mut at = Duration::ZERO;
    loop {
        let gap = draw_duration(&mut rng, gap_ms.clone());
        at += gap;
        if at > conf.faults_for {
            return faults;
        }
        faults.push((gap, draw_fault(&mut rng).stretched(conf.stretch)));
    }
}

/// Draws a duration from a range in milliseconds.
fn draw_duration(rng: &mut StdRng, range_ms: Range<u64>) -> Duration {
    Duration::from_millis(rng.random_range(range_ms))
}

fn draw_link_mode(rng: &mut StdRng) -> LinkMode {
    match rng.random_range(0..4) {
        0 => LinkMode::Delayed(Duration::from_millis(rng.random_range(20..400))),
        1 => LinkMode::Stalled,
        2 => LinkMode::StalledToTarget,
        _ => LinkMode::Reset,
    }
}

fn draw_store_mode(rng: &mut StdRng) -> StoreMode {
    match rng.random_range(0..6) {
        0 => StoreMode::Slow(Duration::from_millis(rng.random_range(50..700))),
        1 => StoreMode::Unavailable,
        2 => StoreMode::TooManyRequests,
        3 => StoreMode::Unresponsive,
        4 => StoreMode::DropsWriteResponses,
        _ => StoreMode::DelaysWrites,
    }
}

/// Draws any faulty mode other than `Down`.
fn draw_upstream_mode(rng: &mut StdRng) -> UpstreamMode {
    match rng.random_range(0..7) {
        0 => UpstreamMode::Unresponsive,
        1 => UpstreamMode::Slow(Duration::from_millis(rng.random_range(50..1_500))),
        2 => UpstreamMode::RejectsRequests,
        3 => UpstreamMode::DropsResponses,
        4 => UpstreamMode::TruncatesResponses,
        5 => UpstreamMode::RespondsWithError,
        _ => UpstreamMode::NamesOtherRequest,
    }
}

impl Fault {
    /// Draws a fault for a deployment of this many hosts.
    pub(crate) fn draw(rng: &mut StdRng, hosts: usize) -> Self {
        let host = rng.random_range(0..hosts);
        let domain = rng.random_range(0..DOMAINS);
        let other = (domain + rng.random_range(1..DOMAINS)) % DOMAINS;
        let upstream = rng.random_range(0..1_000);
        let time = Duration::from_millis(rng.random_range(200..5_000));
        match rng.random_range(0..24) {
            0 | 1 => Self::KillHost(host, time / 3),
            2 if rng.random_ratio(1, 4) => Self::KillAllHosts(time / 3),
            2..=4 => Self::StopHost(host),
            5 | 6 => Self::PauseHost(host, time),
            7 => Self::ReloadHostSettings(host),
            8 | 9 => Self::Store(draw_store_mode(rng), time),
            10 => Self::StoreLink(host, draw_link_mode(rng), time),
            11 => Self::CallerLink(host, draw_link_mode(rng), time),
            12 | 13 => Self::PeerLinks(host, draw_link_mode(rng), time),
            14 | 15 => Self::UpstreamLinks(domain, other, draw_link_mode(rng), time),
            16 => Self::DomainLinks(domain, draw_link_mode(rng), time),
            17 | 18 => Self::Upstream(upstream, draw_upstream_mode(rng), time),
            19 | 20 => Self::KillUpstream(upstream, time / 2),
            21 => Self::LeaveUpstream(upstream),
            22 => Self::MoveRoute,
            _ => Self::RevokeKey(upstream),
        }
    }
}
