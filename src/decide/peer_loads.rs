//! The latest reports of one source about load at upstreams.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;

use crate::decide::HostLoad;
use crate::units::UpstreamId;

/// The latest report of one source about one upstream.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PeerLoad {
    /// The load; none if an earlier report named the upstream and the latest does not.
    pub(crate) load: Option<HostLoad>,
    /// When the report was received.
    pub(crate) received_at: Instant,
    /// Number of the message that contained the report, counted per source.
    pub(crate) message_number: u64,
    /// The last reported running total of prefill time; none if the upstream has been off the list
    /// since.
    pub(crate) prefill_total: Option<Duration>,
}

/// The latest reports of one source about all upstreams.
#[derive(Clone, Debug)]
pub(crate) struct PeerLoads {
    /// Random number that the source draws at each start.
    pub(crate) incarnation: u64,
    /// When the last message was received; before the first, when the record was created.
    pub(crate) received_at: Instant,
    /// Number of messages received.
    pub(crate) messages_received: u64,
    /// Reports by upstream, including those whose load has ended.
    pub(crate) by_upstream: IndexMap<UpstreamId, PeerLoad>,
}

impl PeerLoads {
    /// Creates the record of a source before its first message. For expiry, the source counts as
    /// having reported at `now`.
    pub(crate) fn new(incarnation: u64, now: Instant) -> Self {
        Self {
            incarnation,
            received_at: now,
            messages_received: 0,
            by_upstream: IndexMap::new(),
        }
    }

    /// Whether the last message was received less than `within` ago.
    pub(crate) fn has_reported_within(&self, within: Duration, now: Instant) -> bool {
        now.saturating_duration_since(self.received_at) < within
    }

    /// The current load by upstream, with the time at which each report was received.
    pub(crate) fn loads(&self) -> impl Iterator<Item = (&UpstreamId, &HostLoad, Instant)> {
        self.by_upstream.iter().filter_map(|(id, entry)| {
            let load = entry.load.as_ref()?;
            Some((id, load, entry.received_at))
        })
    }
}
