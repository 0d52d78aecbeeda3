//! What a collector has gathered: from the hosts of its domain, and from the other collectors.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;

use crate::exchange::HostUpdate;
use crate::exchange::LimitEntry;
use crate::exchange::MessageScope;
use crate::exchange::PoisonEntry;
use crate::exchange::UpstreamHash;
use crate::exchange::limits_told::LimitsTold;
use crate::exchange::speaker::Loads;
use crate::exchange::speaker::Speaker;
use crate::exchange::turn::Turn;
use crate::units::HostId;

/// One that has said nothing for this long has died, or is cut off. As long as hosts remember a silent
/// one themselves.
const KEPT_FOR: Duration = Duration::from_secs(1);

/// What a collector has gathered.
#[derive(Debug)]
pub(crate) struct Gathered {
    /// The hosts of its domain, itself included.
    neighbours: IndexMap<HostId, Speaker>,
    /// The other domains, each by the collector that speaks for it.
    others: IndexMap<HostId, Speaker>,
    /// All hosts of its domain together.
    sum: Speaker,
    /// What the other collectors were told of limits.
    limits_told: LimitsTold,
}

impl Gathered {
    /// Nothing gathered.
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            neighbours: IndexMap::new(),
            others: IndexMap::new(),
            sum: Speaker::new(now),
            limits_told: LimitsTold::default(),
        }
    }

    /// Takes in what a host of the domain says.
    pub(crate) fn hear_neighbour(&mut self, host: HostId, news: HostUpdate, now: Instant) {
        let new = || Speaker::new(now);
        let neighbour = self.neighbours.entry(host).or_insert_with(new);
        neighbour.hear(news, now);
    }

    /// Takes in what another collector says.
    pub(crate) fn hear_other(&mut self, host: HostId, news: HostUpdate, now: Instant) {
        let new = || Speaker::new(now);
        self.others.entry(host).or_insert_with(new).hear(news, now);
    }

    /// Forgets collectors that no longer speak for their domain.
    pub(crate) fn keep_others(&mut self, speaks: impl Fn(&HostId) -> bool) {
        self.others.retain(|host, _| speaks(host));
    }

    /// Some receiver has heard nothing of this yet.
    pub(crate) fn tell_all_again(&mut self) {
        self.sum.tell_all_again();
        self.limits_told = LimitsTold::default();
        for other in self.others.values_mut() {
            other.tell_all_again();
        }
    }

    /// Forgets those that are silent.
    pub(crate) fn forget_silent(&mut self, now: Instant) {
        let is_kept =
            |speaker: &Speaker| now.saturating_duration_since(speaker.heard_at()) < KEPT_FOR;
        self.neighbours.retain(|_, neighbour| is_kept(neighbour));
        self.others.retain(|_, other| is_kept(other));
    }

    /// What is to be sent now; `own` is what this host says of itself.
    pub(crate) fn turn(&mut self, own: HostUpdate, now: Instant) -> Turn {
        let head = HostUpdate {
            loads: Vec::new(),
            unreachable_upstreams: Vec::new(),
            unreachable_domains: Vec::new(),
            poisons: Vec::new(),
            limits: Vec::new(),
            is_partial: true,
            ..own.clone()
        };
        if let Ok(host) = own.host.parse() {
            self.hear_neighbour(host, own, now);
        }
        let others = self.others.values_mut();
        let relay = HostUpdate {
            scope: MessageScope::Relay.into(),
            relayed: others.filter_map(|other| other.part(now)).collect(),
            ..head.clone()
        };
        let poisons = self.poisons(now);
        let head = HostUpdate {
            scope: MessageScope::Domain.into(),
            poisons,
            ..head
        };
        self.sum.set(head, self.sum_of_loads(), now);
        let mut domain = self.sum.part(now);
        if let Some(domain) = &mut domain {
            domain.limits = self.limits_told.part(self.sum_of_limits(now), now);
        }
        Turn { relay, domain }
    }

    /// The requests that crashed upstreams, as the hosts of the domain tell them.
    fn poisons(&mut self, now: Instant) -> Vec<PoisonEntry> {
        let neighbours = self.neighbours.values_mut();
        let mut poisons: Vec<PoisonEntry> =
            neighbours.flat_map(|n| n.poisons_to_tell(now)).collect();
        poisons.dedup();
        poisons
    }

    fn sum_of_limits(&self, now: Instant) -> Vec<LimitEntry> {
        let mut sum: IndexMap<UpstreamHash, LimitEntry> = IndexMap::new();
        for news in self.neighbours.values().flat_map(|n| n.limits(now)) {
            let known = sum.get(&news.upstream());
            let together = known.map_or(news, |known| known.plus(&news));
            sum.insert(news.upstream(), together);
        }
        sum.into_values().collect()
    }

    fn sum_of_loads(&self) -> Loads {
        let mut sum = Loads::new();
        for (upstream, load) in self.neighbours.values().flat_map(Speaker::loads) {
            match sum.get_mut(upstream) {
                Some(known) => known.add(load),
                None => {
                    sum.insert(*upstream, *load);
                }
            }
        }
        sum
    }
}
