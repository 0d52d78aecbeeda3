//! What hosts know of each other's work at upstreams.
//!
//! Load it answers: several hosts that choose an upstream at the same moment, each by its own work
//! alone, all choose the same one. Each host tells the others its own part within milliseconds; the
//! sum is nearer to the truth than a report of the upstream, which lags by hundreds of milliseconds.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;

use crate::decide::HostLoad;
use crate::decide::LoadShare;
use crate::decide::LoadSource;
use crate::decide::LoadUpdateKind;
use crate::decide::PrefillQueue;
use crate::decide::UpstreamLoad;
use crate::decide::own_load::OwnLoad;
use crate::decide::peer_loads::PeerLoad;
use crate::decide::peer_loads::PeerLoads;
use crate::decide::peer_sum::PeerSum;
use crate::units::HostId;
use crate::units::Tokens;
use crate::units::UpstreamId;

/// A host that was not heard for this long has died or is cut off, and its work at upstreams ends
/// with its connections. Four of the usual intervals at which hosts send, two of the longest.
const PEER_KEPT_FOR: Duration = Duration::from_secs(1);

/// A host that was heard within this time is alive and can be asked: two of the usual intervals, one
/// of the longest with what a message may be late.
const PEER_HEARD_WITHIN: Duration = Duration::from_millis(700);

/// How long an engine's refusal to set memory aside is believed. What a dead host had set aside lapses after a few
/// seconds, and answers end meanwhile.
const REFUSAL_BELIEVED_FOR: Duration = Duration::from_secs(1);

/// The work of this host and of the others, by upstream.
#[derive(Debug, Default)]
pub struct LoadLedger {
    own: IndexMap<UpstreamId, OwnLoad>,
    peers: IndexMap<LoadSource, PeerLoads>,
    /// What the peers have said, added up.
    sums: IndexMap<UpstreamId, PeerSum>,
    /// No peer falls silent before this.
    next_silent_at: Option<Instant>,
    queue: PrefillQueue,
    /// Engines that have refused to set memory aside: how much, and until when that is believed.
    refused: IndexMap<UpstreamId, (Tokens, Instant)>,
}

impl LoadLedger {
    /// Takes in that a request was sent to an upstream.
    pub fn start(&mut self, upstream: &UpstreamId, share: &LoadShare, now: Instant) {
        let reads = !share.read_time.is_zero();
        let read_until = reads.then(|| self.queue.on_sent(upstream, share.read_time, now));
        let new = || OwnLoad::new(now);
        let own = self.own.entry(upstream.clone()).or_insert_with(new);
        own.start(share, read_until, now);
    }

    /// Takes in that its prompt has been read there, and takes out of the share what has ended with it.
    pub fn read_done(&mut self, upstream: &UpstreamId, share: &mut LoadShare) {
        if let Some(own) = self.own.get_mut(upstream) {
            own.read_done(share);
        }
    }

    /// Takes in that it has ended there.
    pub fn end(&mut self, upstream: &UpstreamId, share: &LoadShare) {
        if let Some(own) = self.own.get_mut(upstream) {
            own.end(share);
        }
    }

    /// Takes in what another host says of all its work, which replaces what it said before.
    /// `incarnation` is drawn at each start of that host.
    pub fn hear(
        &mut self,
        host: HostId,
        incarnation: u64,
        loads: impl IntoIterator<Item = (UpstreamId, HostLoad)>,
        now: Instant,
    ) {
        self.hear_part(
            LoadSource::Host(host),
            incarnation,
            LoadUpdateKind::Snapshot,
            loads,
            now,
        );
    }

    /// Takes in what a source says, which replaces what it said before of the same upstreams, or of all.
    pub fn hear_part(
        &mut self,
        source: LoadSource,
        incarnation: u64,
        extent: LoadUpdateKind,
        loads: impl IntoIterator<Item = (UpstreamId, HostLoad)>,
        now: Instant,
    ) {
        self.forget_silent(now);
        let silent_at = now + PEER_KEPT_FOR;
        self.next_silent_at = Some(
            self.next_silent_at
                .map_or(silent_at, |at| at.min(silent_at)),
        );
        let Self {
            peers, sums, queue, ..
        } = self;
        let new = || PeerLoads::new(incarnation, now);
        let peer = peers.entry(source).or_insert_with(new);
        if peer.incarnation != incarnation {
            take_away(sums, peer);
            *peer = PeerLoads::new(incarnation, now);
        }
        peer.heard_at = now;
        peer.messages += 1;
        for (upstream, load) in loads {
            let known = peer.by_upstream.get(&upstream);
            queue.on_peer_update(
                &upstream,
                known.and_then(|known| known.read_total),
                load.read,
                now,
            );
            let sum = match sums.get_mut(&upstream) {
                Some(sum) => sum,
                None => sums.entry(upstream.clone()).or_default(),
            };
            if let Some(PeerLoad {
                load: Some(load),
                heard_at,
                ..
            }) = known
            {
                sum.remove(load, *heard_at);
            }
            sum.add(&load, now);
            let said = PeerLoad {
                load: Some(load),
                heard_at: now,
                message: peer.messages,
                read_total: Some(load.read.total),
            };
            peer.by_upstream.insert(upstream, said);
        }
        if extent == LoadUpdateKind::Snapshot {
            end_unnamed(sums, peer);
        }
    }

    /// Takes in that an engine has refused to set this much memory aside, or did not answer.
    pub fn memory_refused(&mut self, upstream: &UpstreamId, tokens: Tokens, now: Instant) {
        let until = now + REFUSAL_BELIEVED_FOR;
        let least = self.refused_tokens(upstream, now);
        let tokens = least.map_or(tokens, |least| tokens.min(least));
        self.refused.insert(upstream.clone(), (tokens, until));
    }

    fn refused_tokens(&self, upstream: &UpstreamId, now: Instant) -> Option<Tokens> {
        let (tokens, until) = self.refused.get(upstream)?;
        (*until > now).then_some(*tokens)
    }

    /// Forgets hosts that have fallen silent.
    pub fn forget_silent(&mut self, now: Instant) {
        if self.next_silent_at.is_none_or(|at| now < at) {
            return;
        }
        let Self { peers, sums, .. } = self;
        peers.retain(|_, peer| {
            let is_kept = peer.is_heard(PEER_KEPT_FOR, now);
            if !is_kept {
                take_away(sums, peer);
            }
            is_kept
        });
        let first = self.peers.values().map(|peer| peer.heard_at).min();
        self.next_silent_at = first.map(|heard_at| heard_at + PEER_KEPT_FOR);
    }

    /// Forgets upstreams that are off the list and have no work left.
    pub fn keep(&mut self, is_listed: impl Fn(&UpstreamId) -> bool, now: Instant) {
        self.queue.remove_drained(now);
        self.refused.retain(|_, (_, until)| *until > now);
        self.own.retain(|id, own| own.is_told(now) || is_listed(id));
        self.sums
            .retain(|id, sum| is_listed(id) || *sum != PeerSum::default());
        for peer in self.peers.values_mut() {
            peer.by_upstream.retain(|id, said| {
                let is_listed = is_listed(id);
                if !is_listed {
                    said.read_total = None;
                }
                is_listed || said.load.is_some()
            });
        }
    }

    /// The work of all hosts at one upstream.
    pub fn load(&self, upstream: &UpstreamId, now: Instant) -> UpstreamLoad {
        let mut load = self.load_of_peers(upstream, now);
        load.prefill_backlog = self.queue.backlog(upstream, now);
        load.refused_tokens = self.refused_tokens(upstream, now);
        if let Some(own) = self.own.get(upstream) {
            load.add(&own.seen_at(now));
        }
        load
    }

    fn load_of_peers(&self, upstream: &UpstreamId, now: Instant) -> UpstreamLoad {
        if self.next_silent_at.is_none_or(|at| now < at) {
            let sum = self.sums.get(upstream);
            return sum.map_or_else(UpstreamLoad::default, |sum| sum.seen_at(now));
        }
        // Some have fallen silent and were not forgotten yet.
        let mut sum = PeerSum::default();
        let heard = self
            .peers
            .values()
            .filter(|peer| peer.is_heard(PEER_KEPT_FOR, now));
        for said in heard.filter_map(|peer| peer.by_upstream.get(upstream)) {
            if let Some(load) = &said.load {
                sum.add(load, said.heard_at);
            }
        }
        sum.seen_at(now)
    }

    /// This host's own work, to be told to the others.
    pub fn own(&self, now: Instant) -> impl Iterator<Item = (&UpstreamId, HostLoad)> {
        let told = self.own.iter().filter(move |(_, own)| own.is_told(now));
        told.map(move |(id, own)| (id, own.seen_at(now)))
    }

    /// Whether another host was heard within the last few of the intervals at which hosts send.
    pub fn is_heard(&self, host: &HostId, now: Instant) -> bool {
        self.has_spoken(&LoadSource::Host(host.clone()), now) || self.speaks_for_domain(host, now)
    }

    /// Whether a host was heard so lately to speak for all hosts of its failure domain.
    pub fn speaks_for_domain(&self, host: &HostId, now: Instant) -> bool {
        self.has_spoken(&LoadSource::Collector(host.clone()), now)
    }

    fn has_spoken(&self, source: &LoadSource, now: Instant) -> bool {
        let peer = self.peers.get(source);
        peer.is_some_and(|peer| peer.is_heard(PEER_HEARD_WITHIN, now))
    }

    /// The other hosts, or those that speak for them, that were heard lately.
    pub fn peers_heard(&self, now: Instant) -> usize {
        let is_heard = |peer: &&PeerLoads| peer.is_heard(PEER_KEPT_FOR, now);
        self.peers.values().filter(is_heard).count()
    }
}

/// Takes all that a source has said out of the sums.
fn take_away(sums: &mut IndexMap<UpstreamId, PeerSum>, peer: &PeerLoads) {
    for (upstream, load, heard_at) in peer.loads() {
        if let Some(sum) = sums.get_mut(upstream) {
            sum.remove(load, heard_at);
        }
    }
}

/// Ends the work at upstreams that the last message of a source did not name.
fn end_unnamed(sums: &mut IndexMap<UpstreamId, PeerSum>, peer: &mut PeerLoads) {
    for (upstream, said) in &mut peer.by_upstream {
        if said.message == peer.messages {
            continue;
        }
        if let Some(load) = said.load.take()
            && let Some(sum) = sums.get_mut(upstream)
        {
            sum.remove(&load, said.heard_at);
        }
    }
}
