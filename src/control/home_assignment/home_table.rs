//! The homes of all pools of one failure domain.

use indexmap::IndexMap;

use crate::control::home_assignment::assignment::pairs_by_weight;
use crate::units::HostId;
use crate::units::PoolId;

/// A host has at most this share of the average number of pools, in percent: enough room that
/// most pools stay where they hash to, and no host is home to many more than the others.
const LOAD_PERCENT_MAX: usize = 125;

/// How many hosts are named for a pool: its home and those that take over in turn.
const CANDIDATES: usize = 3;

/// A host of the failure domain that could be a home.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// The host.
    pub host: HostId,
    /// Whether it can be a home now: not dead and not leaving.
    pub is_eligible: bool,
}

/// The home of each pool, with the hosts that follow when it goes.
///
/// Pools are first assigned over all known members. Then the pools whose home is not eligible are
/// placed where there is room, and no other pool moves. So the death of one host moves its pools
/// only, and a host that is restarted under its name gets the same pools back. A member that is
/// forgotten changes the first step, and a few pools may move then.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HomeTable {
    candidates: IndexMap<PoolId, Vec<HostId>>,
}

impl HomeTable {
    /// The homes of `pools` over `members`, in whatever order these are given.
    pub fn new(pools: &[PoolId], members: &[Member]) -> Self {
        let layout = Layout::new(pools, members);
        let homes = layout.homes_without(&[]);
        let mut candidates: IndexMap<PoolId, Vec<HostId>> = IndexMap::new();
        let mut by_gone: IndexMap<Vec<&str>, IndexMap<&str, &str>> = IndexMap::new();
        for pool in pools {
            let mut ranked: Vec<&str> = homes.get(pool.as_str()).copied().into_iter().collect();
            while !ranked.is_empty() && ranked.len() < CANDIDATES {
                let homes = by_gone
                    .entry(ranked.clone())
                    .or_insert_with(|| layout.homes_without(&ranked));
                match homes.get(pool.as_str()) {
                    Some(next) => ranked.push(next),
                    None => break,
                }
            }
            candidates.insert(pool.clone(), layout.hosts(&ranked));
        }
        Self { candidates }
    }

    /// The home of a pool, then the hosts that take over in turn; empty when there is none.
    pub fn candidates(&self, pool: &PoolId) -> &[HostId] {
        self.candidates.get(pool).map_or(&[], Vec::as_slice)
    }

    /// The home of a pool.
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

/// The pairs of pools and members by falling weight.
struct Layout<'a> {
    pools: Vec<&'a str>,
    members: IndexMap<&'a str, &'a Member>,
    pairs: Vec<(&'a str, &'a str)>,
}

impl<'a> Layout<'a> {
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

    /// The home of each pool when the hosts in `gone` are not eligible either.
    fn homes_without(&self, gone: &[&str]) -> IndexMap<&'a str, &'a str> {
        let mut homes = IndexMap::new();
        let load_max = load_max_of(self.pools.len(), self.members.len());
        self.fill(&mut homes, load_max, |_| true);
        let is_eligible = |host: &str| {
            let member = self.members.get(host);
            member.is_some_and(|member| member.is_eligible) && !gone.contains(&host)
        };
        homes.retain(|_, host| is_eligible(host));
        let eligible = self.members.keys().filter(|host| is_eligible(host)).count();
        let load_max = load_max_of(self.pools.len(), eligible);
        self.fill(&mut homes, load_max, is_eligible);
        homes
    }

    fn fill(
        &self,
        homes: &mut IndexMap<&'a str, &'a str>,
        load_max: usize,
        is_wanted: impl Fn(&str) -> bool,
    ) {
        let mut load: IndexMap<&str, usize> = IndexMap::new();
        for host in homes.values() {
            *load.entry(host).or_default() += 1;
        }
        for (pool, host) in &self.pairs {
            let taken = load.entry(host).or_default();
            if *taken < load_max && !homes.contains_key(pool) && is_wanted(host) {
                *taken += 1;
                homes.insert(pool, host);
            }
        }
    }

    fn hosts(&self, names: &[&str]) -> Vec<HostId> {
        let member = |name: &&str| self.members.get(name).map(|member| member.host.clone());
        names.iter().filter_map(member).collect()
    }
}

fn load_max_of(pools: usize, hosts: usize) -> usize {
    (pools * LOAD_PERCENT_MAX).div_ceil(hosts.max(1) * 100)
}
