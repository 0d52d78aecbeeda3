//! What hosts know of each other's work at upstreams.
//!
//! Load it answers: several hosts that choose an upstream at the same moment, each by its own work
//! alone, all choose the same one. Each host tells the others its own part within milliseconds; the
//! sum is nearer to the truth than a report of the upstream, which lags by hundreds of milliseconds.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;

use crate::units::HostId;
use crate::units::Tokens;
use crate::units::UpstreamId;

/// A host that was not heard for this long has died or is cut off, and its work at upstreams ends
/// with its connections. Four of the usual intervals at which hosts send, two of the longest.
pub(super) const PEER_KEPT_FOR: Duration = Duration::from_secs(1);

/// A host that was heard within this time is alive and can be asked: two of the usual intervals, one
/// of the longest with what a message may be late.
const PEER_HEARD_WITHIN: Duration = Duration::from_millis(700);

/// An engine begins to read with its next pass, on average after half of one.
const READ_START_DELAY: Duration = Duration::from_millis(25);

/// Work at one upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UpstreamLoad {
    /// Requests that were sent there and have not ended.
    pub in_flight: u32,
    /// Those of them whose prompt is short.
    pub short_in_flight: u32,
    /// The shortest pause that the caller of one of them accepts between two events.
    pub strictest_pause: Option<Duration>,
    /// Time until it has read in what was sent there.
    pub read_backlog: Duration,
    /// Memory that these requests take, in tokens.
    pub held_tokens: Tokens,
}

impl UpstreamLoad {
    fn add(&mut self, other: &Self) {
        self.in_flight += other.in_flight;
        self.short_in_flight += other.short_in_flight;
        self.strictest_pause = match (self.strictest_pause, other.strictest_pause) {
            (Some(own), Some(other)) => Some(own.min(other)),
            (own, other) => own.or(other),
        };
        self.read_backlog += other.read_backlog;
        self.held_tokens += other.held_tokens;
    }
}

/// What one request adds to one upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadShare {
    /// Whether it takes a place there; an engine that only reads a part gives no place.
    pub takes_place: bool,
    /// Whether its prompt is short.
    pub is_short: bool,
    /// The longest pause that its caller accepts between two events.
    pub pause: Option<Duration>,
    /// Time that reading its prompt takes there.
    pub read_time: Duration,
    /// Memory that it takes there.
    pub held_tokens: Tokens,
}

#[derive(Clone, Debug)]
struct OwnLoad {
    in_flight: u32,
    short_in_flight: u32,
    /// How many requests accept which pause.
    pauses: IndexMap<Duration, u32>,
    reads_until: Instant,
    held_tokens: Tokens,
}

impl OwnLoad {
    fn seen_at(&self, now: Instant) -> UpstreamLoad {
        UpstreamLoad {
            in_flight: self.in_flight,
            short_in_flight: self.short_in_flight,
            strictest_pause: self.pauses.keys().min().copied(),
            read_backlog: self.reads_until.saturating_duration_since(now),
            held_tokens: self.held_tokens,
        }
    }
}

#[derive(Clone, Debug)]
struct PeerLoads {
    heard_at: Instant,
    by_upstream: IndexMap<UpstreamId, UpstreamLoad>,
}

/// The work of this host and of the others, by upstream.
#[derive(Debug, Default)]
pub struct LoadLedger {
    own: IndexMap<UpstreamId, OwnLoad>,
    peers: IndexMap<HostId, PeerLoads>,
}

impl LoadLedger {
    /// Takes in that a request was sent to an upstream.
    pub fn start(&mut self, upstream: &UpstreamId, share: &LoadShare, now: Instant) {
        let own = self.own.entry(upstream.clone()).or_insert(OwnLoad {
            in_flight: 0,
            short_in_flight: 0,
            pauses: IndexMap::new(),
            reads_until: now,
            held_tokens: Tokens::ZERO,
        });
        own.in_flight += u32::from(share.takes_place);
        own.short_in_flight += u32::from(share.takes_place && share.is_short);
        if let Some(pause) = share.pause.filter(|_| share.takes_place) {
            *own.pauses.entry(pause).or_default() += 1;
        }
        if !share.read_time.is_zero() {
            own.reads_until = own.reads_until.max(now + READ_START_DELAY) + share.read_time;
        }
        own.held_tokens += share.held_tokens;
    }

    /// Takes in that it has ended there.
    pub fn end(&mut self, upstream: &UpstreamId, share: &LoadShare, now: Instant) {
        let Some(own) = self.own.get_mut(upstream) else {
            return;
        };
        let place = u32::from(share.takes_place);
        own.in_flight = own.in_flight.saturating_sub(place);
        own.short_in_flight = own
            .short_in_flight
            .saturating_sub(place * u32::from(share.is_short));
        if let Some(pause) = share.pause.filter(|_| share.takes_place)
            && let Some(count) = own.pauses.get_mut(&pause)
        {
            *count -= 1;
            if *count == 0 {
                own.pauses.swap_remove(&pause);
            }
        }
        own.held_tokens = own.held_tokens.saturating_sub(share.held_tokens);
        if own.in_flight == 0 && own.held_tokens == Tokens::ZERO && own.reads_until <= now {
            self.own.swap_remove(upstream);
        }
    }

    /// Takes in what another host says of its own work, which replaces what it said before.
    pub fn hear(&mut self, host: HostId, loads: IndexMap<UpstreamId, UpstreamLoad>, now: Instant) {
        let loads = PeerLoads {
            heard_at: now,
            by_upstream: loads,
        };
        self.peers.insert(host, loads);
    }

    /// Forgets hosts that have fallen silent.
    pub fn forget_silent(&mut self, now: Instant) {
        self.peers
            .retain(|_, peer| now.saturating_duration_since(peer.heard_at) < PEER_KEPT_FOR);
    }

    /// The work of all hosts at one upstream.
    pub fn load(&self, upstream: &UpstreamId, now: Instant) -> UpstreamLoad {
        let mut load = self
            .own
            .get(upstream)
            .map_or_else(UpstreamLoad::default, |own| own.seen_at(now));
        for peer in self.peers.values() {
            let age = now.saturating_duration_since(peer.heard_at);
            if age >= PEER_KEPT_FOR {
                continue;
            }
            if let Some(said) = peer.by_upstream.get(upstream) {
                let mut said = *said;
                said.read_backlog = said.read_backlog.saturating_sub(age);
                load.add(&said);
            }
        }
        load
    }

    /// This host's own work, to be told to the others.
    pub fn own(&self, now: Instant) -> impl Iterator<Item = (&UpstreamId, UpstreamLoad)> {
        let loads = self.own.iter().map(move |(id, own)| (id, own.seen_at(now)));
        loads.filter(|(_, load)| *load != UpstreamLoad::default())
    }

    /// Whether another host was heard within the last few of the intervals at which hosts send.
    pub fn is_heard(&self, host: &HostId, now: Instant) -> bool {
        let peer = self.peers.get(host);
        peer.is_some_and(|peer| now.saturating_duration_since(peer.heard_at) < PEER_HEARD_WITHIN)
    }

    /// The other hosts that were heard lately.
    pub fn peers_heard(&self, now: Instant) -> usize {
        let is_heard =
            |peer: &&PeerLoads| now.saturating_duration_since(peer.heard_at) < PEER_KEPT_FOR;
        self.peers.values().filter(is_heard).count()
    }
}
