//! Digests for other failure domains.

use std::time::Instant;

use rand::Rng;
use rand::seq::IndexedRandom;

use crate::control::home_assignment::rank;
use crate::control::membership::Membership;
use crate::control::membership::conf;
use crate::control::membership::membership_table::MembershipTable;
use crate::peer::message::DomainDigest;
use crate::peer::message::GossipBody;
use crate::units::FailureDomainId;
use crate::units::HostId;

impl Membership {
    /// Sends a digest of this failure domain to a host of the next other domain, and asks for its
    /// digest in return.
    pub(super) fn send_digest(&mut self, now: Instant) {
        let mut domains: Vec<FailureDomainId> = self.membership_table.domains().cloned().collect();
        let seeds = self.seeds.values();
        domains.extend(seeds.map(|seed| seed.failure_domain.clone()));
        domains.sort_unstable();
        domains.dedup();
        domains.retain(|domain| *domain != self.local_host.domain);
        // Other domains are asked in turn, so that each is asked within a known time.
        self.digest_round += 1;
        let Some(domain) = domains.get(self.digest_round % domains.len().max(1)) else {
            return;
        };
        self.domain_heard_at.entry(domain.clone()).or_insert(now);
        if let Some(host) = self.digest_receiver(domain) {
            let digest = DomainDigest {
                wants_reply: true,
                ..self.digest_of(&self.local_host.domain)
            };
            self.send(&host, GossipBody::Digest(digest), now);
        }
    }

    /// Chooses the receiver of a digest: usually one of the hosts of that failure domain that
    /// exchange digests, and in one case of four any known host there, since all known digest hosts
    /// may have been replaced during a network partition.
    fn digest_receiver(&mut self, domain: &FailureDomainId) -> Option<HostId> {
        let digest_hosts = digest_hosts(&self.membership_table, domain);
        if !digest_hosts.is_empty() && self.rng.random_ratio(3, 4) {
            return digest_hosts.choose(&mut self.rng).cloned();
        }
        let known = self
            .membership_table
            .iter()
            .filter(|view| view.domain == *domain);
        let mut all: Vec<HostId> = known.map(|view| view.id.clone()).collect();
        let seeds = self.seeds.values();
        let seeds = seeds.filter(|seed| seed.failure_domain == *domain);
        all.extend(seeds.map(|seed| seed.host.clone()));
        all.choose(&mut self.rng).cloned()
    }

    /// The digest of a failure domain in the view of this host, without a request for a reply.
    pub(super) fn digest_of(&self, domain: &FailureDomainId) -> DomainDigest {
        DomainDigest {
            domain: domain.to_string(),
            hash: self.membership_table.domain_hash(domain),
            wants_reply: false,
        }
    }

    /// Whether this host exchanges digests with other failure domains.
    pub(super) fn is_digest_host(&self) -> bool {
        digest_hosts(&self.membership_table, &self.local_host.domain).contains(&self.local_host.id)
    }
}

/// The hosts of a failure domain that exchange digests with other domains. All hosts with the same
/// view of that domain select the same hosts.
fn digest_hosts(membership_table: &MembershipTable, domain: &FailureDomainId) -> Vec<HostId> {
    let names: Vec<&str> = membership_table
        .live_hosts(domain)
        .map(|view| view.id.as_str())
        .collect();
    rank(domain.as_str(), &names)
        .into_iter()
        .take(conf::DIGEST_HOSTS)
        .filter_map(|name| name.parse().ok())
        .collect()
}
