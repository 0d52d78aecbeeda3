//! The state that a collector aggregates from the hosts of its failure domain and from the
//! collectors of other domains.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;

use crate::exchange::HostUpdate;
use crate::exchange::MessageScope;
use crate::exchange::PartEvidenceEntry;
use crate::exchange::RateLimitEntry;
use crate::exchange::UpstreamHash;
use crate::exchange::UpstreamOutcomeEntry;
use crate::exchange::collector_messages::CollectorMessages;
use crate::exchange::customer_use_sum::CustomerUseSum;
use crate::exchange::part_evidence_entry::PartEvidenceKey;
use crate::exchange::received_outcomes::OutcomeKey;
use crate::exchange::sent_limits::SentLimits;
use crate::exchange::sent_outcomes::SentOutcomes;
use crate::exchange::sent_part_evidence::SentPartEvidence;
use crate::exchange::sent_uses::SentUses;
use crate::exchange::source_state::LoadsByUpstream;
use crate::exchange::source_state::SourceState;
use crate::units::HostId;

/// Time without an update after which a source counts as dead or partitioned. All hosts forget a
/// silent peer after the same time.
const SOURCE_TIMEOUT: Duration = Duration::from_secs(1);

/// The state that a collector aggregates.
#[derive(Debug)]
pub(crate) struct Aggregate {
    /// The hosts of the collector's failure domain, the collector included.
    neighbours: IndexMap<HostId, SourceState>,
    /// The other failure domains, each keyed by its active collector.
    remote_domains: IndexMap<HostId, SourceState>,
    /// The aggregated load of all hosts of the collector's failure domain.
    domain_total: SourceState,
    /// The rate limits last sent to the other collectors.
    sent_limits: SentLimits,
    /// What was last sent to the other collectors of the customers' use.
    sent_uses: SentUses,
    /// The outcomes of calls last sent to the other collectors.
    sent_outcomes: SentOutcomes,
    /// What was last sent to the other collectors about parts of prompts.
    sent_part_evidence: SentPartEvidence,
}

impl Aggregate {
    /// Creates an empty aggregate.
    pub(crate) fn new(host: &HostId, now: Instant) -> Self {
        Self {
            neighbours: IndexMap::new(),
            remote_domains: IndexMap::new(),
            domain_total: SourceState::new(now),
            sent_limits: SentLimits::default(),
            sent_uses: SentUses::default(),
            sent_outcomes: SentOutcomes::default(),
            sent_part_evidence: SentPartEvidence::new(host),
        }
    }

    /// Records an update of a host of the same failure domain.
    pub(crate) fn on_neighbour_update(&mut self, host: HostId, update: HostUpdate, now: Instant) {
        let new = || SourceState::new(now);
        let neighbour = self.neighbours.entry(host).or_insert_with(new);
        neighbour.on_update(update, now);
    }

    /// Records an update that another collector sent for its failure domain.
    pub(crate) fn on_domain_update(&mut self, host: HostId, update: HostUpdate, now: Instant) {
        let new = || SourceState::new(now);
        self.remote_domains
            .entry(host)
            .or_insert_with(new)
            .on_update(update, now);
    }

    /// Forgets collectors that no longer represent their failure domain.
    pub(crate) fn retain_remote(&mut self, is_active: impl Fn(&HostId) -> bool) {
        self.remote_domains.retain(|host, _| is_active(host));
    }

    /// Treats everything as not sent yet, for a recipient that has received nothing. The next
    /// messages carry the complete load, all rate limits and the use of all customers.
    pub(crate) fn resend_all(&mut self) {
        self.domain_total.resend_all();
        self.sent_limits = SentLimits::default();
        self.sent_uses = SentUses::default();
        self.sent_part_evidence.clear();
        for remote in self.remote_domains.values_mut() {
            remote.resend_all();
        }
    }

    /// Forgets sources that have timed out.
    pub(crate) fn expire_sources(&mut self, now: Instant) {
        let is_kept = |source: &SourceState| {
            now.saturating_duration_since(source.heard_at()) < SOURCE_TIMEOUT
        };
        self.neighbours.retain(|_, neighbour| is_kept(neighbour));
        self.remote_domains.retain(|_, remote| is_kept(remote));
    }

    /// Returns the messages to send now and records them as sent. `own` is the update of this host
    /// alone, which is added to the load of the domain. `collectors` is the number of other collectors.
    pub(crate) fn next_messages(
        &mut self,
        own: HostUpdate,
        collectors: usize,
        now: Instant,
    ) -> CollectorMessages {
        let header = HostUpdate {
            loads: Vec::new(),
            unreachable_upstreams: Vec::new(),
            unreachable_domains: Vec::new(),
            limits: Vec::new(),
            customer_uses: Vec::new(),
            outcomes: Vec::new(),
            part_evidence: Vec::new(),
            is_partial: true,
            ..own.clone()
        };
        if let Ok(host) = own.host.parse() {
            if let Some(known) = self.neighbours.get_mut(&host) {
                known.forget_customer_uses();
            }
            self.on_neighbour_update(host, own, now);
        }
        let remote_domains = self.remote_domains.values_mut();
        let relay = HostUpdate {
            scope: MessageScope::Relay.into(),
            relayed: remote_domains
                .filter_map(|remote| remote.next_update(now))
                .collect(),
            ..header.clone()
        };
        let header = HostUpdate {
            scope: MessageScope::Domain.into(),
            ..header
        };
        self.domain_total.replace(header, self.total_loads(), now);
        let mut domain = self.domain_total.next_update(now);
        if let Some(domain) = &mut domain {
            domain.limits = self.sent_limits.take_due(self.total_limits(now), now);
            let uses = self.total_uses(now);
            domain.customer_uses = self.sent_uses.take_due(uses, now);
            domain.outcomes = self.sent_outcomes.take_due(self.total_outcomes(now), now);
            let evidence = self.total_part_evidence(now);
            domain.part_evidence = self.sent_part_evidence.take_due(evidence, collectors, now);
        }
        CollectorMessages { relay, domain }
    }

    /// The rate limits of upstreams, with the requests that all hosts of the domain have sent
    /// there.
    fn total_limits(&self, now: Instant) -> Vec<RateLimitEntry> {
        let mut sum: IndexMap<UpstreamHash, RateLimitEntry> = IndexMap::new();
        for entry in self
            .neighbours
            .values()
            .flat_map(|neighbour| neighbour.limits(now))
        {
            let known = sum.get(&entry.upstream());
            let combined = known.map_or(entry, |known| known.combined_with(&entry));
            sum.insert(entry.upstream(), combined);
        }
        sum.into_values().collect()
    }

    /// What customers want and use at all hosts of the domain together.
    fn total_uses(&self, now: Instant) -> CustomerUseSum {
        let neighbours = self.neighbours.values();
        neighbours
            .flat_map(|neighbour| neighbour.customer_uses(now))
            .collect()
    }

    /// The outcomes of the calls of all hosts of the domain, the worst first.
    fn total_outcomes(&self, now: Instant) -> Vec<UpstreamOutcomeEntry> {
        let mut sum: IndexMap<OutcomeKey, UpstreamOutcomeEntry> = IndexMap::new();
        let neighbours = self.neighbours.values();
        for entry in neighbours.flat_map(|neighbour| neighbour.outcomes(now)) {
            let known = sum.get(&entry.key());
            let total = known.map_or(*entry, |known| known.plus(entry));
            sum.insert(entry.key(), total);
        }
        let mut outcomes: Vec<UpstreamOutcomeEntry> = sum.into_values().collect();
        outcomes.sort_by_key(|entry| std::cmp::Reverse(entry.rank()));
        outcomes
    }

    /// What the hosts of the domain know of parts of prompts, each entry with its lowest age.
    fn total_part_evidence(&self, now: Instant) -> Vec<PartEvidenceEntry> {
        let mut known: IndexMap<PartEvidenceKey, PartEvidenceEntry> = IndexMap::new();
        let neighbours = self.neighbours.values();
        for entry in neighbours.flat_map(|neighbour| neighbour.part_evidence(now)) {
            let same = known.entry(entry.key()).or_insert_with(|| entry.clone());
            same.age_ms = same.age_ms.min(entry.age_ms);
        }
        known.into_values().collect()
    }

    /// The load of all hosts of the domain together.
    fn total_loads(&self) -> LoadsByUpstream {
        let mut sum = LoadsByUpstream::new();
        for (upstream, load) in self.neighbours.values().flat_map(SourceState::loads) {
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
