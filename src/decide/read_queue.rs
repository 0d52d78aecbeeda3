//! When each upstream will have read in what all hosts have sent there.
//!
//! Load it answers: several hosts send long prompts to the same engines. Each prompt's time is added
//! to one queue an engine, as the engine itself does. If each host counted down its own part alone
//! and the parts were added up, three hosts with 400 ms each would make 1,200 ms that are gone after
//! 400 ms, while the engine reads for 1,200 ms: forecasts fell short by seconds under load.
//!
//! What other hosts sent is known by running totals. A lost message is made up for by the next one,
//! and none is counted twice.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;

use crate::units::UpstreamId;

/// An engine begins to read with its next pass, on average after half of one.
const READ_START_DELAY: Duration = Duration::from_millis(25);

/// What one host has sent to one upstream to be read in.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PrefillSent {
    /// Reading time of all that it has sent there since its start.
    pub total: Duration,
    /// Time until the last of it is read in, as far as that host knows.
    pub remaining: Duration,
}

/// The expected ends of reading, by upstream.
#[derive(Debug, Default)]
pub(crate) struct PrefillQueue {
    until: IndexMap<UpstreamId, Instant>,
}

impl PrefillQueue {
    /// Takes in a prompt, or a part of one, that this host sends. Returns when it will have been
    /// read.
    pub(crate) fn on_sent(
        &mut self,
        upstream: &UpstreamId,
        read_time: Duration,
        now: Instant,
    ) -> Instant {
        let until = self.until.entry(upstream.clone()).or_insert(now);
        *until = (*until).max(now + READ_START_DELAY) + read_time;
        *until
    }

    /// Takes in what another host says that it has sent; `known` is what it said before, none if it
    /// was not heard for a while or was started anew.
    pub(crate) fn on_peer_update(
        &mut self,
        upstream: &UpstreamId,
        known: Option<Duration>,
        said: PrefillSent,
        now: Instant,
    ) {
        let until = self.until.entry(upstream.clone()).or_insert(now);
        *until = match known {
            // What that host takes for read by now is no longer waiting.
            Some(known) if known <= said.total => {
                let new = said.total.saturating_sub(known).min(said.remaining);
                (*until).max(now) + new
            }
            // How much of its time is other hosts' work, counted here already, is not known.
            _ => (*until).max(now + said.remaining),
        };
    }

    /// Time until an upstream has read in all that was sent there.
    pub(crate) fn backlog(&self, upstream: &UpstreamId, now: Instant) -> Duration {
        let until = self.until.get(upstream);
        until.map_or(Duration::ZERO, |until| until.saturating_duration_since(now))
    }

    /// Forgets upstreams with nothing left to read.
    pub(crate) fn remove_drained(&mut self, now: Instant) {
        self.until.retain(|_, until| *until > now);
    }
}
