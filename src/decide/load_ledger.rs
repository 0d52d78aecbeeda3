//! The ledger of the load that all hosts put on all upstreams.
//!
//! Several hosts that choose an upstream at the same moment would choose the same one if each knew
//! only its own load. Each host therefore reports its load to the others within milliseconds. The
//! sum is more accurate than the load that the upstream itself reports, which lags by hundreds of
//! milliseconds.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;

use crate::decide::HostLoad;
use crate::decide::LoadSource;
use crate::decide::LoadUpdateKind;
use crate::decide::PrefillQueue;
use crate::decide::RequestLoad;
use crate::decide::UpstreamLoad;
use crate::decide::own_load::OwnLoad;
use crate::decide::peer_load_sum::PeerLoadSum;
use crate::decide::peer_loads::PeerLoad;
use crate::decide::peer_loads::PeerLoads;
use crate::units::HostId;
use crate::units::Tokens;
use crate::units::UpstreamId;

/// A source whose last report is older than this counts as dead or unreachable. Its load is
/// dropped, since upstreams end the work of a host that loses its connections. The time is four of
/// the usual intervals between reports, or two of the longest.
const PEER_EXPIRY: Duration = Duration::from_secs(1);

/// A host whose last report is younger than this is live and can be asked. The time is two of the
/// usual intervals between reports, or one of the longest with the largest delay of a message.
const PEER_LIVE_WITHIN: Duration = Duration::from_millis(700);

/// How long an engine's refusal to reserve memory limits the memory that is assumed to be free
/// there. Answers end in the meantime, and reservations of a dead host expire within seconds.
const REFUSAL_VALID_FOR: Duration = Duration::from_secs(1);

/// The load of this host and of its peers, by upstream.
///
/// Peers count while their reports have not expired.
#[derive(Debug, Default)]
pub struct LoadLedger {
    own_loads: IndexMap<UpstreamId, OwnLoad>,
    peers: IndexMap<LoadSource, PeerLoads>,
    /// The load of all peers, by upstream. Expired peers count until they are removed.
    peer_sums: IndexMap<UpstreamId, PeerLoadSum>,
    /// No peer expires before this time.
    next_expiry: Option<Instant>,
    /// The end of the prefill that all hosts have sent, by upstream.
    prefill_queue: PrefillQueue,
    /// The least amount of memory that an engine has refused to reserve, in tokens, and the time at
    /// which the refusal expires.
    refusals: IndexMap<UpstreamId, (Tokens, Instant)>,
}

impl LoadLedger {
    /// Adds the load of a request that this host has sent to an upstream.
    pub fn start_request(&mut self, upstream: &UpstreamId, load: &RequestLoad, now: Instant) {
        let has_prefill = !load.prefill_time.is_zero();
        let prefill_until =
            has_prefill.then(|| self.prefill_queue.on_sent(upstream, load.prefill_time, now));
        let new = || OwnLoad::new(now);
        let own = self.own_loads.entry(upstream.clone()).or_insert_with(new);
        own.start_request(load, prefill_until, now);
    }

    /// Records that the upstream has read the prompt of a request. Subtracts the load that ends
    /// with that, and clears it in `load` so that it is not subtracted again.
    pub fn finish_prefill(&mut self, upstream: &UpstreamId, load: &mut RequestLoad) {
        if let Some(own) = self.own_loads.get_mut(upstream) {
            own.finish_prefill(load);
        }
    }

    /// Subtracts the load of a request of this host that has ended.
    pub fn end_request(&mut self, upstream: &UpstreamId, load: &RequestLoad) {
        if let Some(own) = self.own_loads.get_mut(upstream) {
            own.end_request(load);
        }
    }

    /// Records a report of another host about its load at all upstreams, which replaces its
    /// previous reports. `incarnation` is a random number that the host draws at each start.
    pub fn record_host_loads(
        &mut self,
        host: HostId,
        incarnation: u64,
        loads: impl IntoIterator<Item = (UpstreamId, HostLoad)>,
        now: Instant,
    ) {
        self.record_loads(
            LoadSource::Host(host),
            incarnation,
            LoadUpdateKind::Snapshot,
            loads,
            now,
        );
    }

    /// Records a report of a source, which replaces its previous reports about the same upstreams,
    /// or about all upstreams if `update_kind` is [`LoadUpdateKind::Snapshot`]. A new incarnation
    /// discards all earlier reports of the source.
    pub fn record_loads(
        &mut self,
        source: LoadSource,
        incarnation: u64,
        update_kind: LoadUpdateKind,
        loads: impl IntoIterator<Item = (UpstreamId, HostLoad)>,
        now: Instant,
    ) {
        self.expire_peers(now);
        let expires_at = now + PEER_EXPIRY;
        self.next_expiry = Some(self.next_expiry.map_or(expires_at, |at| at.min(expires_at)));
        let Self {
            peers,
            peer_sums,
            prefill_queue,
            ..
        } = self;
        let new = || PeerLoads::new(incarnation, now);
        let peer = peers.entry(source).or_insert_with(new);
        if peer.incarnation != incarnation {
            subtract_peer(peer_sums, peer);
            *peer = PeerLoads::new(incarnation, now);
        }
        peer.received_at = now;
        peer.messages_received += 1;
        for (upstream, load) in loads {
            let previous = peer.by_upstream.get(&upstream);
            prefill_queue.on_peer_update(
                &upstream,
                previous.and_then(|previous| previous.prefill_total),
                load.prefill,
                now,
            );
            let sum = match peer_sums.get_mut(&upstream) {
                Some(sum) => sum,
                None => peer_sums.entry(upstream.clone()).or_default(),
            };
            if let Some(PeerLoad {
                load: Some(load),
                received_at,
                ..
            }) = previous
            {
                sum.remove(load, *received_at);
            }
            sum.add(&load, now);
            let entry = PeerLoad {
                load: Some(load),
                received_at: now,
                message_number: peer.messages_received,
                prefill_total: Some(load.prefill.total),
            };
            peer.by_upstream.insert(upstream, entry);
        }
        if update_kind == LoadUpdateKind::Snapshot {
            remove_unnamed_loads(peer_sums, peer);
        }
    }

    /// Records that an engine has refused to reserve this much memory, or did not answer. For a
    /// second, the engine counts as having less memory free than the least amount refused.
    pub fn record_memory_refusal(&mut self, upstream: &UpstreamId, tokens: Tokens, now: Instant) {
        let until = now + REFUSAL_VALID_FOR;
        let least = self.refused_tokens(upstream, now);
        let tokens = least.map_or(tokens, |least| tokens.min(least));
        self.refusals.insert(upstream.clone(), (tokens, until));
    }

    /// The least amount of memory that the engine has recently refused to reserve.
    fn refused_tokens(&self, upstream: &UpstreamId, now: Instant) -> Option<Tokens> {
        let (tokens, until) = self.refusals.get(upstream)?;
        (*until > now).then_some(*tokens)
    }

    /// Removes sources whose reports have expired, together with their load.
    pub fn expire_peers(&mut self, now: Instant) {
        if self.next_expiry.is_none_or(|at| now < at) {
            return;
        }
        let Self {
            peers, peer_sums, ..
        } = self;
        peers.retain(|_, peer| {
            let is_live = peer.has_reported_within(PEER_EXPIRY, now);
            if !is_live {
                subtract_peer(peer_sums, peer);
            }
            is_live
        });
        let oldest = self.peers.values().map(|peer| peer.received_at).min();
        self.next_expiry = oldest.map(|received_at| received_at + PEER_EXPIRY);
    }

    /// Removes upstreams that are no longer listed and have no load left, the prefill totals of
    /// peers at upstreams that are no longer listed, drained prefill queues, and refusals that have
    /// expired.
    pub fn retain_listed(&mut self, is_listed: impl Fn(&UpstreamId) -> bool, now: Instant) {
        self.prefill_queue.remove_drained(now);
        self.refusals.retain(|_, (_, until)| *until > now);
        self.own_loads
            .retain(|id, own| own.is_reported(now) || is_listed(id));
        self.peer_sums
            .retain(|id, sum| is_listed(id) || *sum != PeerLoadSum::default());
        for peer in self.peers.values_mut() {
            peer.by_upstream.retain(|id, entry| {
                let is_listed = is_listed(id);
                if !is_listed {
                    entry.prefill_total = None;
                }
                is_listed || entry.load.is_some()
            });
        }
    }

    /// The load of all hosts at one upstream, without that of peers whose reports have expired.
    pub fn load(&self, upstream: &UpstreamId, now: Instant) -> UpstreamLoad {
        let mut load = self.peer_load(upstream, now);
        load.prefill_backlog = self.prefill_queue.backlog(upstream, now);
        load.refused_tokens = self.refused_tokens(upstream, now);
        if let Some(own) = self.own_loads.get(upstream) {
            load.add(&own.snapshot(now));
        }
        load
    }

    /// The load of all peers at one upstream, without the prefill backlog and the refused memory.
    /// Peers whose reports have expired at `now` do not count.
    fn peer_load(&self, upstream: &UpstreamId, now: Instant) -> UpstreamLoad {
        if self.next_expiry.is_none_or(|at| now < at) {
            let sum = self.peer_sums.get(upstream);
            return sum.map_or_else(UpstreamLoad::default, |sum| sum.snapshot(now));
        }
        // Some peers have expired and are still part of the sums.
        let mut sum = PeerLoadSum::default();
        let live = self
            .peers
            .values()
            .filter(|peer| peer.has_reported_within(PEER_EXPIRY, now));
        for entry in live.filter_map(|peer| peer.by_upstream.get(upstream)) {
            if let Some(load) = &entry.load {
                sum.add(load, entry.received_at);
            }
        }
        sum.snapshot(now)
    }

    /// This host's own load by upstream, for reports to other hosts. Upstreams without load or
    /// recent prefill are left out.
    pub fn own_loads(&self, now: Instant) -> impl Iterator<Item = (&UpstreamId, HostLoad)> {
        let reported = self
            .own_loads
            .iter()
            .filter(move |(_, own)| own.is_reported(now));
        reported.map(move |(id, own)| (id, own.snapshot(now)))
    }

    /// Whether another host has recently sent a report, in either role of [`LoadSource`].
    pub fn is_host_live(&self, host: &HostId, now: Instant) -> bool {
        self.is_source_live(&LoadSource::Host(host.clone()), now)
            || self.is_collector_live(host, now)
    }

    /// Whether a host has recently sent a report as the collector of its failure domain.
    pub fn is_collector_live(&self, host: &HostId, now: Instant) -> bool {
        self.is_source_live(&LoadSource::Collector(host.clone()), now)
    }

    fn is_source_live(&self, source: &LoadSource, now: Instant) -> bool {
        let peer = self.peers.get(source);
        peer.is_some_and(|peer| peer.has_reported_within(PEER_LIVE_WITHIN, now))
    }

    /// Number of sources whose reports have not expired. A host that reports in both roles of
    /// [`LoadSource`] counts twice.
    pub fn live_peer_count(&self, now: Instant) -> usize {
        let is_live = |peer: &&PeerLoads| peer.has_reported_within(PEER_EXPIRY, now);
        self.peers.values().filter(is_live).count()
    }
}

/// Subtracts the load that a source has reported from the sums.
fn subtract_peer(peer_sums: &mut IndexMap<UpstreamId, PeerLoadSum>, peer: &PeerLoads) {
    for (upstream, load, received_at) in peer.loads() {
        if let Some(sum) = peer_sums.get_mut(upstream) {
            sum.remove(load, received_at);
        }
    }
}

/// Removes the load at upstreams that the last message of a source does not name.
fn remove_unnamed_loads(peer_sums: &mut IndexMap<UpstreamId, PeerLoadSum>, peer: &mut PeerLoads) {
    for (upstream, entry) in &mut peer.by_upstream {
        if entry.message_number == peer.messages_received {
            continue;
        }
        if let Some(load) = entry.load.take()
            && let Some(sum) = peer_sums.get_mut(upstream)
        {
            sum.remove(&load, entry.received_at);
        }
    }
}
