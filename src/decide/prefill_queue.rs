//! The time at which each upstream will have finished the prefill that all hosts have sent to it.
//!
//! Several hosts send long prompts to the same engines. The prefill time of each prompt is appended
//! to one queue for each engine, as in the engine itself. If each host counted down its own part
//! and the parts were summed, three hosts with 400 ms each would give 1,200 ms that are gone after
//! 400 ms, while the engine is busy for 1,200 ms, and forecasts would be seconds too short under
//! load.
//!
//! Other hosts report running totals, so the next message makes up for a lost one, and a repeated
//! message is not counted twice.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;

use crate::units::UpstreamId;

/// The mean delay before an engine starts a prefill: half of the step that is under way.
const PREFILL_START_DELAY: Duration = Duration::from_millis(25);

/// The prefill that one host has sent to one upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PrefillSent {
    /// The total prefill time of all prompts that the host has sent to the upstream since the host
    /// started.
    pub total: Duration,
    /// The time until the last of these prompts is processed, as estimated by the host.
    pub remaining: Duration,
}

/// The time at which each upstream is expected to have finished its prefill.
#[derive(Debug, Default)]
pub(crate) struct PrefillQueue {
    busy_until: IndexMap<UpstreamId, Instant>,
}

impl PrefillQueue {
    /// Records a prompt, or a part of a prompt, that this host sends. Returns the time at which its
    /// prefill is expected to be done.
    pub(crate) fn on_sent(
        &mut self,
        upstream: &UpstreamId,
        prefill_time: Duration,
        now: Instant,
    ) -> Instant {
        let until = self.busy_until.entry(upstream.clone()).or_insert(now);
        *until = (*until).max(now + PREFILL_START_DELAY) + prefill_time;
        *until
    }

    /// Records the prefill that another host reports as sent. `previous_total` is the total of its
    /// previous report, or `None` if there is no recent report or the host has restarted.
    pub(crate) fn on_peer_update(
        &mut self,
        upstream: &UpstreamId,
        previous_total: Option<Duration>,
        reported: PrefillSent,
        now: Instant,
    ) {
        let until = self.busy_until.entry(upstream.clone()).or_insert(now);
        *until = match previous_total {
            // Prefill that the reporting host counts as done is no longer pending.
            Some(previous_total) if previous_total <= reported.total => {
                let added = reported
                    .total
                    .saturating_sub(previous_total)
                    .min(reported.remaining);
                (*until).max(now) + added
            }
            // The remaining time may include work of other hosts that is already counted here.
            _ => (*until).max(now + reported.remaining),
        };
    }

    /// The time until an upstream has processed all prefill that was sent to it.
    pub(crate) fn backlog(&self, upstream: &UpstreamId, now: Instant) -> Duration {
        let until = self.busy_until.get(upstream);
        until.map_or(Duration::ZERO, |until| until.saturating_duration_since(now))
    }

    /// Removes upstreams without pending prefill.
    pub(crate) fn remove_drained(&mut self, now: Instant) {
        self.busy_until.retain(|_, until| *until > now);
    }
}
