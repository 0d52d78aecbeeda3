//! The latest report of one source about work at upstreams.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;

use crate::decide::HostLoad;
use crate::units::UpstreamId;

/// The latest report of one source about one upstream.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PeerLoad {
    /// The work; none if an earlier report named the upstream and the latest does not.
    pub(crate) load: Option<HostLoad>,
    /// When the report was received.
    pub(crate) received_at: Instant,
    /// Number of the message that contained the report, counted per source.
    pub(crate) message_number: u64,
    /// The last reported running total of reading time; none if the upstream has been off the list
    /// since.
    pub(crate) prefill_total: Option<Duration>,
}

/// The latest reports of one source about all upstreams.
#[derive(Clone, Debug)]
pub(crate) struct PeerLoads {
    /// Random number that the source draws at each start.
    pub(crate) incarnation: u64,
    /// When the last message was received.
    pub(crate) received_at: Instant,
    /// Number of messages received.
    pub(crate) messages_received: u64,
    /// Reports by upstream, including those whose work has ended.
    pub(crate) by_upstream: IndexMap<UpstreamId, PeerLoad>,
}

impl PeerLoads {
    /// A source of which no message was received yet.
    pub(crate) fn new(incarnation: u64, now: Instant) -> Self {
        Self {
            incarnation,
            received_at: now,
            messages_received: 0,
            by_upstream: IndexMap::new(),
        }
    }

    /// Whether a message was received less than `within` ago.
    pub(crate) fn heard_within(&self, within: Duration, now: Instant) -> bool {
        now.saturating_duration_since(self.received_at) < within
    }

    /// The current work by upstream, with the time at which each report was received.
    pub(crate) fn loads(&self) -> impl Iterator<Item = (&UpstreamId, &HostLoad, Instant)> {
        self.by_upstream.iter().filter_map(|(id, entry)| {
            let load = entry.load.as_ref()?;
            Some((id, load, entry.received_at))
        })
    }
}
