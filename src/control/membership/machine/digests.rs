//! What the membership tells other failure domains.

use std::time::Instant;

use rand::Rng;
use rand::seq::IndexedRandom;

use crate::control::home_assignment::rank;
use crate::control::membership::Membership;
use crate::control::membership::conf;
use crate::control::membership::roster::Roster;
use crate::peer::message::DomainDigest;
use crate::peer::message::GossipBody;
use crate::units::FailureDomainId;
use crate::units::HostId;

impl Membership {
    pub(super) fn send_digest(&mut self, now: Instant) {
        let mut domains: Vec<FailureDomainId> = self.roster.domains().cloned().collect();
        let seeds = self.seeds.values();
        domains.extend(seeds.map(|seed| seed.failure_domain.clone()));
        domains.sort_unstable();
        domains.dedup();
        domains.retain(|domain| *domain != self.me.domain);
        // In turn, so that each is asked within a known time.
        self.digest_turn += 1;
        let Some(domain) = domains.get(self.digest_turn % domains.len().max(1)) else {
            return;
        };
        self.heard_domains.entry(domain.clone()).or_insert(now);
        if let Some(host) = self.digest_receiver(domain) {
            let digest = DomainDigest {
                wants_answer: true,
                ..self.digest_of(&self.me.domain)
            };
            self.send(&host, GossipBody::Digest(digest), now);
        }
    }

    /// One of the hosts that exchange digests there; now and then any host of that failure domain,
    /// since all that are known may have been replaced during a cut.
    fn digest_receiver(&mut self, domain: &FailureDomainId) -> Option<HostId> {
        let bridges = bridges(&self.roster, domain);
        if !bridges.is_empty() && self.rng.random_ratio(3, 4) {
            return bridges.choose(&mut self.rng).cloned();
        }
        let known = self.roster.iter().filter(|view| view.domain == *domain);
        let mut all: Vec<HostId> = known.map(|view| view.id.clone()).collect();
        let seeds = self.seeds.values();
        let seeds = seeds.filter(|seed| seed.failure_domain == *domain);
        all.extend(seeds.map(|seed| seed.host.clone()));
        all.choose(&mut self.rng).cloned()
    }

    pub(super) fn digest_of(&self, domain: &FailureDomainId) -> DomainDigest {
        DomainDigest {
            domain: domain.to_string(),
            hash: self.roster.domain_hash(domain),
            wants_answer: false,
        }
    }

    pub(super) fn is_bridge(&self) -> bool {
        bridges(&self.roster, &self.me.domain).contains(&self.me.id)
    }
}

/// The hosts of a failure domain that exchange digests with others: the same for all who see the
/// same hosts there.
fn bridges(roster: &Roster, domain: &FailureDomainId) -> Vec<HostId> {
    let names: Vec<&str> = roster
        .present(domain)
        .map(|view| view.id.as_str())
        .collect();
    rank(domain.as_str(), &names)
        .into_iter()
        .take(conf::BRIDGES)
        .filter_map(|name| name.parse().ok())
        .collect()
}
