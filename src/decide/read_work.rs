//! How much engine time the longer prompts may take.
//!
//! Load it answers: more long prompts than engines can read. The time to read one grows with the
//! square of its length: the engine time of one prompt of 800,000 tokens reads a dozen of 200,000.
//! Without a bound the few largest fill all engines for seconds, and everybody else is late. So the
//! more of the engines' time is taken, the shorter prompts have to be to get in.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;

use crate::decide::load_ledger::PEER_KEPT_FOR;
use crate::units::HostId;

/// How far back prompts count; about the objective of the longest ones.
const MEMORY: Duration = Duration::from_secs(3);
/// The part of the engines' time up to which prompts of any length get in.
const FREE_PART: f64 = 0.25;
/// The part at which only prompts that take [`READ_TIME_BUSY`] get in.
const BUSY_PART: f64 = 0.8;
/// Engine time of the longest prompt that engines take at all: a million tokens are 50 s.
const READ_TIME_FREE: Duration = Duration::from_secs(60);
/// Engine time of a prompt of 250,000 tokens, which gets about half as many tokens read in a second
/// of engine time as one of 100,000.
const READ_TIME_BUSY: Duration = Duration::from_secs(4);

/// Engine time of the prompts that were sent lately, fading with time.
#[derive(Clone, Copy, Debug)]
struct Faded {
    work: Duration,
    at: Instant,
}

impl Faded {
    fn seen_at(&self, now: Instant) -> Duration {
        let age = now.saturating_duration_since(self.at).as_secs_f64();
        self.work.mul_f64((-age / MEMORY.as_secs_f64()).exp())
    }
}

/// Engine time of longer prompts of this host and the others.
#[derive(Debug, Default)]
pub struct ReadWork {
    own: Option<Faded>,
    peers: IndexMap<HostId, Faded>,
}

impl ReadWork {
    /// Takes in a prompt that this host sent.
    pub fn on_sent(&mut self, read_time: Duration, now: Instant) {
        let work = self.own(now) + read_time;
        self.own = Some(Faded { work, at: now });
    }

    /// Takes in what another host says of its own.
    pub fn hear(&mut self, host: HostId, work: Duration, now: Instant) {
        self.peers.insert(host, Faded { work, at: now });
    }

    /// This host's own, to be told to the others.
    pub fn own(&self, now: Instant) -> Duration {
        self.own.map_or(Duration::ZERO, |own| own.seen_at(now))
    }

    /// The engine time that a prompt may take now on this many engines.
    pub fn read_time_max(&self, engines: usize, now: Instant) -> Duration {
        let is_heard = |peer: &&Faded| now.saturating_duration_since(peer.at) < PEER_KEPT_FOR;
        let peers: Duration = self
            .peers
            .values()
            .filter(is_heard)
            .map(|peer| peer.seen_at(now))
            .sum();
        let capacity = MEMORY.as_secs_f64() * engines.max(1) as f64;
        let taken = (self.own(now) + peers).as_secs_f64() / capacity;
        let busy = ((taken - FREE_PART) / (BUSY_PART - FREE_PART)).clamp(0.0, 1.0);
        let ratio = READ_TIME_BUSY.as_secs_f64() / READ_TIME_FREE.as_secs_f64();
        READ_TIME_FREE.mul_f64(ratio.powf(busy))
    }
}
