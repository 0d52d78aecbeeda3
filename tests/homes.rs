//! The assignment of pools to homes: hosts agree, the load is bounded, and changes move few pools.

use banyanarch::control::home_assignment::HomeTable;
use banyanarch::control::home_assignment::Member;
use banyanarch::control::home_assignment::POOL_UPSTREAMS_MAX;
use banyanarch::control::home_assignment::partition_upstreams;
use banyanarch::units::FailureDomainId;
use banyanarch::units::HostId;
use banyanarch::units::PoolId;
use banyanarch::units::TargetId;
use banyanarch::units::UpstreamId;
use indexmap::IndexMap;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use yare::parameterized;

fn domain() -> FailureDomainId {
    "hall-a".parse().unwrap()
}

fn target() -> TargetId {
    "llm-advisor".parse().unwrap()
}

fn members(count: usize) -> Vec<Member> {
    let member = |n| Member {
        host: format!("hall-a-{n:02}").parse().unwrap(),
        is_eligible: true,
    };
    (0..count).map(member).collect()
}

fn pools(count: u32) -> Vec<PoolId> {
    (0..count)
        .map(|n| PoolId::new(&domain(), &target(), n))
        .collect()
}

fn upstreams(count: usize) -> Vec<UpstreamId> {
    (0..count)
        .map(|n| format!("engine-{n}").parse().unwrap())
        .collect()
}

fn load(table: &HomeTable, pools: &[PoolId]) -> IndexMap<HostId, usize> {
    let mut load = IndexMap::new();
    for pool in pools {
        *load
            .entry(table.home_of(pool).unwrap().clone())
            .or_default() += 1;
    }
    load
}

/// Two hosts have the same view in different orders. If they assigned different homes, a pool would
/// have two ledgers, and its engines would get more work than they have memory for.
#[test]
fn hosts_with_the_same_view_agree() {
    let mut rng = StdRng::seed_from_u64(1);
    let (mut pools, mut members) = (pools(40), members(9));
    let first = HomeTable::new(&pools, &members);
    pools.shuffle(&mut rng);
    members.shuffle(&mut rng);
    let second = HomeTable::new(&pools, &members);
    for pool in &pools {
        assert_eq!(first.candidates(pool), second.candidates(pool));
        assert_eq!(first.candidates(pool).len(), 3);
    }
}

#[parameterized(
    small_site = { 9, 3 },
    few_pools = { 5, 7 },
    target_size = { 14, 67 },
    many_pools = { 200, 11 },
)]
fn no_host_is_home_to_many_more_pools_than_the_others(pool_count: u32, host_count: usize) {
    let (pools, mut members) = (pools(pool_count), members(host_count));
    for gone in 0..host_count - 1 {
        let table = HomeTable::new(&pools, &members);
        let alive = host_count - gone;
        let average = pools.len() as f64 / alive as f64;
        let most = load(&table, &pools).into_values().max().unwrap();
        assert!(
            most as f64 <= (1.25 * average).ceil(),
            "{most} pools on one host, average {average}"
        );
        members[gone].is_eligible = false;
    }
}

/// A home dies, and the next candidates take over its pools. If other pools moved too, their
/// ledgers would be rebuilt without need, and their callers would wait.
#[parameterized(
    small_site = { 9, 3 },
    target_size = { 14, 67 },
    full_hosts = { 64, 8 },
)]
fn the_death_of_a_host_moves_its_pools_only(pool_count: u32, host_count: usize) {
    let (pools, members) = (pools(pool_count), members(host_count));
    let before = HomeTable::new(&pools, &members);
    for dead in 0..host_count {
        let mut members = members.clone();
        members[dead].is_eligible = false;
        let after = HomeTable::new(&pools, &members);
        for pool in &pools {
            let was_home = before.home_of(pool) == Some(&members[dead].host);
            let expected = before.candidates(pool)[usize::from(was_home)].clone();
            assert_eq!(after.home_of(pool), Some(&expected), "{pool}");
        }
        let taken_over = after.pools_of(&members[dead].host).count();
        assert_eq!(taken_over, 0);
    }
}

#[test]
fn a_domain_without_eligible_hosts_has_no_homes() {
    let mut members = members(2);
    for member in &mut members {
        member.is_eligible = false;
    }
    let pools = pools(3);
    assert_eq!(HomeTable::new(&pools, &members).home_of(&pools[0]), None);
    assert_eq!(HomeTable::new(&pools, &[]).home_of(&pools[0]), None);
}

#[parameterized(
    one = { 1, 1 },
    small_site = { 20, 2 },
    full = { 24, 2 },
    target_size = { 152, 13 },
)]
fn pools_are_bounded_and_contain_all_upstreams(upstream_count: usize, pool_count: usize) {
    let pools = partition_upstreams(&domain(), &target(), &upstreams(upstream_count));
    assert_eq!(pools.len(), pool_count);
    let most = pools.values().map(Vec::len).max().unwrap();
    assert!(most <= POOL_UPSTREAMS_MAX, "{most} upstreams in one pool");
    let mut all: Vec<_> = pools.into_values().flatten().collect();
    all.sort();
    all.dedup();
    assert_eq!(all.len(), upstream_count);
}

/// An upstream is removed. Each other upstream that changes its pool moves its running work to
/// another ledger, so few may change.
#[test]
fn one_change_of_upstreams_moves_few_others() {
    let all = upstreams(150);
    let before = partition_upstreams(&domain(), &target(), &all);
    let pool_of = |pools: &IndexMap<PoolId, Vec<UpstreamId>>, id: &UpstreamId| {
        let found = pools.iter().find(|(_, members)| members.contains(id));
        found.map(|(pool, _)| pool.clone())
    };
    let mut moved = 0;
    for removed in 0..all.len() {
        let mut rest = all.clone();
        rest.remove(removed);
        let after = partition_upstreams(&domain(), &target(), &rest);
        let has_moved = |id: &&UpstreamId| pool_of(&before, id) != pool_of(&after, id);
        moved += rest.iter().filter(has_moved).count();
    }
    assert!(
        moved <= 2 * all.len(),
        "{moved} upstreams moved by {} removals",
        all.len()
    );
}
