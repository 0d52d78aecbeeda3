//! The table of the homes of all pools of one failure domain.

use indexmap::IndexMap;

use crate::control::home_assignment::assignment::pairs_by_weight;
use crate::units::HostId;
use crate::units::PoolId;

/// The maximum number of pools of one host, in percent of the average. At 125 most pools get the
/// home with their highest weight, and no host is the home of many more pools than the others.
const LOAD_PERCENT_MAX: usize = 125;

/// The number of hosts listed for a pool: its home and the hosts that take over in turn.
const CANDIDATES_PER_POOL: usize = 3;

/// A member of the failure domain, which may be eligible as a home.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// The host of the member.
    pub host: HostId,
    /// Whether the host can be a home now: it is neither dead nor leaving.
    pub is_eligible: bool,
}

/// The home of each pool and the hosts that take over if the home fails.
///
/// Pools are first assigned over all known members. Then the pools whose home is not eligible are
/// assigned to eligible members below the load limit, and no other pool moves. The death of a host
/// therefore moves only its own pools, and a host that restarts under the same name gets its pools
/// back. Removing a member changes the first step, so that a few other pools may move.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HomeTable {
    candidates: IndexMap<PoolId, Vec<HostId>>,
}

impl HomeTable {
    /// Assigns `pools` to `members`. The order of either does not matter.
    pub fn new(pools: &[PoolId], members: &[Member]) -> Self {
        let assigner = PoolAssigner::new(pools, members);
        let homes = assigner.homes_without(&[]);
        let mut candidates: IndexMap<PoolId, Vec<HostId>> = IndexMap::new();
        let mut homes_by_excluded: IndexMap<Vec<&str>, IndexMap<&str, &str>> = IndexMap::new();
        for pool in pools {
            let mut ranked: Vec<&str> = homes.get(pool.as_str()).copied().into_iter().collect();
            while !ranked.is_empty() && ranked.len() < CANDIDATES_PER_POOL {
                let homes = homes_by_excluded
                    .entry(ranked.clone())
                    .or_insert_with(|| assigner.homes_without(&ranked));
                match homes.get(pool.as_str()) {
                    Some(next) => ranked.push(next),
                    None => break,
                }
            }
            candidates.insert(pool.clone(), assigner.hosts(&ranked));
        }
        Self { candidates }
    }

    /// The home of a pool, followed by the hosts that take over in turn; empty if the pool has no
    /// home or is unknown.
    pub fn candidates(&self, pool: &PoolId) -> &[HostId] {
        self.candidates.get(pool).map_or(&[], Vec::as_slice)
    }

    /// The home of a pool; None if no host is eligible or the pool is unknown.
    pub fn home_of(&self, pool: &PoolId) -> Option<&HostId> {
        self.candidates(pool).first()
    }

    /// The pools whose home is `host`.
    pub fn pools_of<'a>(&'a self, host: &'a HostId) -> impl Iterator<Item = &'a PoolId> {
        self.candidates
            .iter()
            .filter(move |(_, hosts)| hosts.first() == Some(host))
            .map(|(pool, _)| pool)
    }
}

/// The pools, the members, and all pairs of both by descending weight, from which pools are
/// assigned to members.
struct PoolAssigner<'a> {
    pools: Vec<&'a str>,
    members: IndexMap<&'a str, &'a Member>,
    pairs: Vec<(&'a str, &'a str)>,
}

impl<'a> PoolAssigner<'a> {
    fn new(pools: &'a [PoolId], members: &'a [Member]) -> Self {
        let pools: Vec<&str> = pools.iter().map(PoolId::as_str).collect();
        let members: IndexMap<&str, &Member> = members
            .iter()
            .map(|member| (member.host.as_str(), member))
            .collect();
        let names: Vec<&str> = members.keys().copied().collect();
        let pairs = pairs_by_weight(&pools, &names);
        Self {
            pools,
            members,
            pairs,
        }
    }

    /// The home of each pool if the hosts in `excluded` are treated as not eligible, like those
    /// that are not eligible now. Empty if no eligible host is left.
    fn homes_without(&self, excluded: &[&str]) -> IndexMap<&'a str, &'a str> {
        let mut homes = IndexMap::new();
        let load_max = load_max_of(self.pools.len(), self.members.len());
        self.assign_remaining_pools(&mut homes, load_max, |_| true);
        let is_eligible = |host: &str| {
            let member = self.members.get(host);
            member.is_some_and(|member| member.is_eligible) && !excluded.contains(&host)
        };
        homes.retain(|_, host| is_eligible(host));
        let eligible = self.members.keys().filter(|host| is_eligible(host)).count();
        let load_max = load_max_of(self.pools.len(), eligible);
        self.assign_remaining_pools(&mut homes, load_max, is_eligible);
        homes
    }

    /// Assigns the pools that have no home in `homes` to hosts that `is_allowed` accepts, by
    /// descending weight.
    fn assign_remaining_pools(
        &self,
        homes: &mut IndexMap<&'a str, &'a str>,
        load_max: usize,
        is_allowed: impl Fn(&str) -> bool,
    ) {
        let mut load: IndexMap<&str, usize> = IndexMap::new();
        for host in homes.values() {
            *load.entry(host).or_default() += 1;
        }
        for (pool, host) in &self.pairs {
            let assigned = load.entry(host).or_default();
            if *assigned < load_max && !homes.contains_key(pool) && is_allowed(host) {
                *assigned += 1;
                homes.insert(pool, host);
            }
        }
    }

    fn hosts(&self, names: &[&str]) -> Vec<HostId> {
        let member = |name: &&str| self.members.get(name).map(|member| member.host.clone());
        names.iter().filter_map(member).collect()
    }
}

/// The maximum number of pools of one host if `pools` are spread over `hosts`.
fn load_max_of(pools: usize, hosts: usize) -> usize {
    (pools * LOAD_PERCENT_MAX).div_ceil(hosts.max(1) * 100)
}
