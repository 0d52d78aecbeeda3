//! What a collector has gathered: from the hosts of its domain, and from other collectors.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;

use crate::exchange::HostNews;
use crate::exchange::PoisonNews;
use crate::exchange::Voice;
use crate::exchange::speaker::Loads;
use crate::exchange::speaker::Speaker;
use crate::units::HostId;

/// One that has said nothing for this long has died, or speaks elsewhere. As long as hosts remember a
/// silent one themselves.
const KEPT_FOR: Duration = Duration::from_secs(1);

/// A host that has asked this one to collect.
#[derive(Clone, Debug)]
struct Member {
    speaker: Speaker,
    addr: SocketAddr,
}

/// What a collector has gathered.
#[derive(Debug)]
pub(crate) struct Gathered {
    own: Speaker,
    members: IndexMap<HostId, Member>,
    others: IndexMap<HostId, Speaker>,
    /// All members and the collector itself together.
    sum: Speaker,
}

/// What a collector sends in one turn.
#[derive(Debug, Default)]
pub(crate) struct Turn {
    /// To the hosts that it collects from.
    pub(crate) relay: HostNews,
    /// To the other collectors; none if there is nothing new.
    pub(crate) collected: Option<HostNews>,
}

impl Gathered {
    /// Nothing gathered.
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            own: Speaker::new(now),
            members: IndexMap::new(),
            others: IndexMap::new(),
            sum: Speaker::new(now),
        }
    }

    /// Takes in what a host says that asks this one to collect.
    pub(crate) fn hear_member(
        &mut self,
        host: HostId,
        addr: SocketAddr,
        news: HostNews,
        now: Instant,
    ) {
        let is_first = !self.members.contains_key(&host);
        let new = || Member {
            speaker: Speaker::new(now),
            addr,
        };
        let member = self.members.entry(host).or_insert_with(new);
        member.addr = addr;
        member.speaker.hear(news, now);
        if is_first {
            self.tell_all_again();
        }
    }

    /// Takes in what another collector says.
    pub(crate) fn hear_other(&mut self, host: HostId, news: HostNews, now: Instant) {
        let new = || Speaker::new(now);
        self.others.entry(host).or_insert_with(new).hear(news, now);
    }

    /// Another collector has not heard of this one yet.
    pub(crate) fn tell_sum_again(&mut self) {
        self.sum.tell_all_again();
    }

    /// Forgets those that are silent.
    pub(crate) fn forget_silent(&mut self, now: Instant) {
        let is_kept =
            |speaker: &Speaker| now.saturating_duration_since(speaker.heard_at()) < KEPT_FOR;
        self.members.retain(|_, member| is_kept(&member.speaker));
        self.others.retain(|_, other| is_kept(other));
    }

    /// Whether any host asks this one to collect.
    pub(crate) fn has_members(&self) -> bool {
        !self.members.is_empty()
    }

    /// Where the hosts are that it collects from.
    pub(crate) fn member_addrs(&self) -> Vec<SocketAddr> {
        self.members.values().map(|member| member.addr).collect()
    }

    /// What is to be sent now; `own` is what this host says of itself.
    pub(crate) fn turn(&mut self, own: HostNews, now: Instant) -> Turn {
        let host = own.host.clone();
        self.own.hear(own, now);
        let mut relay = self.own.part(now).unwrap_or_default();
        let members = self.members.values_mut();
        let told = members.filter_map(|member| member.speaker.part(now));
        relay.relayed = told.collect();
        let poisons = relay.relayed.iter().chain([&relay]);
        let poisons = poisons.flat_map(|news| news.poisons.clone()).collect();
        let collected = self.collected(&relay, poisons, now);
        let others = self.others.values_mut();
        let told = others.filter_map(|other| other.part(now));
        relay.relayed.extend(told);
        relay.voice = Voice::Relay.into();
        relay.host = host;
        Turn { relay, collected }
    }

    fn collected(
        &mut self,
        own: &HostNews,
        poisons: Vec<PoisonNews>,
        now: Instant,
    ) -> Option<HostNews> {
        let head = HostNews {
            host: own.host.clone(),
            incarnation: own.incarnation,
            sequence: own.sequence,
            routes_version: own.routes_version,
            upstreams_version: own.upstreams_version,
            poisons,
            voice: Voice::Collected.into(),
            ..HostNews::default()
        };
        self.sum.set(head, self.sum_of_loads(), now);
        self.sum.part(now)
    }

    fn sum_of_loads(&self) -> Loads {
        let members = self.members.values().map(|member| &member.speaker);
        let mut sum = Loads::new();
        for (upstream, load) in members.chain([&self.own]).flat_map(Speaker::loads) {
            match sum.get_mut(upstream) {
                Some(known) => known.add(load),
                None => {
                    sum.insert(*upstream, *load);
                }
            }
        }
        sum
    }

    fn tell_all_again(&mut self) {
        self.own.tell_all_again();
        for member in self.members.values_mut() {
            member.speaker.tell_all_again();
        }
        for other in self.others.values_mut() {
            other.tell_all_again();
        }
    }
}
