//! One host of the simulated fleet.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use banyanarch::decide::CustomerShares;
use banyanarch::decide::CustomerUse;
use banyanarch::decide::LoadLedger;
use banyanarch::decide::LoadSource;
use banyanarch::decide::LoadUpdateKind;
use banyanarch::decide::PartQuarantine;
use banyanarch::exchange::CustomerUseEntry;
use banyanarch::exchange::ExchangeState;
use banyanarch::exchange::HostUpdate;
use banyanarch::exchange::ListedHost;
use banyanarch::exchange::LoadEntry;
use banyanarch::exchange::MessageScope;
use banyanarch::exchange::OutgoingUpdate;
use banyanarch::exchange::PartEvidenceEntry;
use banyanarch::exchange::RateLimitEntry;
use banyanarch::exchange::UpstreamHash;
use banyanarch::units::UpstreamId;
use indexmap::IndexMap;

use super::requests;

/// A host, its exchange and what it knows of the load of others.
pub struct Node {
    pub listed: ListedHost,
    pub hosts: Arc<Vec<ListedHost>>,
    pub exchange: ExchangeState,
    pub ledger: LoadLedger,
    pub shares: CustomerShares,
    pub part_quarantine: PartQuarantine,
    /// The largest number of customer entries in one message of this host.
    pub customer_uses_max: usize,
    pub is_up: bool,
    pub is_paused: bool,
    pub is_partitioned: bool,
    /// The updates that arrived while the host was paused.
    pub missed: Vec<Arc<HostUpdate>>,
    /// When the host is next due to send; none if no wake event is scheduled.
    pub wakes_at: Option<Duration>,
    /// The number of restarts so far.
    pub incarnation: u64,
    /// The number of this host's requests at each upstream.
    own: IndexMap<UpstreamId, u32>,
    /// The sends of this host to an upstream that has named a limit.
    pub sent: Option<RateLimitEntry>,
    /// The sends to that upstream that each source has reported.
    heard_sends: IndexMap<LoadSource, u32>,
}

impl Node {
    pub fn new(listed: ListedHost, now: Instant) -> Self {
        Self {
            exchange: ExchangeState::new(listed.host.clone(), listed.domain.clone(), now),
            listed,
            hosts: Arc::default(),
            ledger: LoadLedger::default(),
            shares: CustomerShares::default(),
            part_quarantine: PartQuarantine::default(),
            customer_uses_max: 0,
            is_up: true,
            is_paused: false,
            is_partitioned: false,
            missed: Vec::new(),
            wakes_at: None,
            incarnation: 0,
            own: IndexMap::new(),
            sent: None,
            heard_sends: IndexMap::new(),
        }
    }

    /// Resets the host to the state after a start, with the next incarnation.
    pub fn restart(&mut self, now: Instant) {
        let listed = self.listed.clone();
        let next = Self {
            hosts: Arc::clone(&self.hosts),
            incarnation: self.incarnation + 1,
            is_partitioned: self.is_partitioned,
            ..Self::new(listed, now)
        };
        *self = next;
    }

    /// Sets the number of this host's requests at an upstream.
    pub fn set_requests(&mut self, upstream: &UpstreamId, requests: u32) {
        self.own.insert(upstream.clone(), requests);
    }

    pub fn in_flight(&self, upstream: &UpstreamId) -> u32 {
        self.own.get(upstream).copied().unwrap_or(0)
    }

    /// The requests that all hosts have sent to the limited upstream, as far as this host knows.
    pub fn known_sends(&self) -> u32 {
        let own = self.sent.map_or(0, |entry| entry.sent_in_window);
        own + self.heard_sends.values().sum::<u32>()
    }

    pub fn due_messages(&mut self, now: Instant) -> Vec<OutgoingUpdate> {
        let own = &self.own;
        let (host, incarnation) = (&self.listed.host, self.incarnation);
        let sent = self.sent;
        let uses = self.shares.own_use(now);
        let evidence = self.part_quarantine.evidence(now);
        let update = || {
            let busy = own.iter().filter(|(_, in_flight)| **in_flight > 0);
            let loads = busy.map(|(upstream, in_flight)| LoadEntry {
                upstream: upstream.to_string(),
                in_flight: *in_flight,
                ..LoadEntry::default()
            });
            HostUpdate {
                host: host.to_string(),
                incarnation: incarnation + 1,
                loads: loads.collect(),
                limits: sent.into_iter().collect(),
                customer_uses: uses.iter().map(CustomerUseEntry::from).collect(),
                part_evidence: evidence
                    .iter()
                    .cloned()
                    .map(PartEvidenceEntry::from)
                    .collect(),
                ..HostUpdate::default()
            }
        };
        let outgoing = self.exchange.due_messages(update, now);
        let entries = outgoing
            .iter()
            .map(|outgoing| outgoing.update.customer_uses.len());
        self.customer_uses_max = entries.fold(self.customer_uses_max, usize::max);
        outgoing
    }

    pub fn on_message(
        &mut self,
        update: HostUpdate,
        names: &IndexMap<UpstreamHash, UpstreamId>,
        now: Instant,
    ) -> Option<OutgoingUpdate> {
        let (accepted, forwarded) = self.exchange.on_message(update, now);
        for update in accepted {
            let host = update.host.parse().unwrap();
            let source = match update.scope() {
                MessageScope::Domain => LoadSource::Collector(host),
                _ => LoadSource::Host(host),
            };
            for limit in &update.limits {
                self.heard_sends
                    .insert(source.clone(), limit.sent_in_window);
            }
            for evidence in update
                .part_evidence
                .iter()
                .filter_map(PartEvidenceEntry::evidence)
            {
                self.part_quarantine.on_evidence(evidence, now);
            }
            let kind = if update.is_partial {
                LoadUpdateKind::Delta
            } else {
                LoadUpdateKind::Snapshot
            };
            let uses = update.customer_uses.iter().map(CustomerUse::from);
            self.shares
                .record_use(&source, update.incarnation, uses, now);
            let id = |load: &LoadEntry| names[&load.hash()].clone();
            let loads = update.loads.iter();
            let loads = loads.map(|load| (id(load), requests(load.in_flight)));
            self.ledger
                .record_loads(source, update.incarnation, kind, loads, now);
        }
        self.ledger.expire_peers(now);
        forwarded
    }
}
