//! What one source of news has said last of work at upstreams.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;

use crate::decide::HostLoad;
use crate::units::UpstreamId;

/// What one source has said of the work at one upstream.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PeerLoad {
    /// The work; none if it named the upstream before and does no longer.
    pub(crate) load: Option<HostLoad>,
    /// When it said so.
    pub(crate) heard_at: Instant,
    /// In which of its messages.
    pub(crate) message: u64,
    /// What it has said last of its reading total there; none if the upstream was off the list since.
    pub(crate) read_total: Option<Duration>,
}

/// What one source has said last.
#[derive(Clone, Debug)]
pub(crate) struct PeerLoads {
    /// Drawn at its start.
    pub(crate) incarnation: u64,
    /// When it was heard last.
    pub(crate) heard_at: Instant,
    /// Messages heard of it.
    pub(crate) messages: u64,
    /// The work by upstream, also where it has ended.
    pub(crate) by_upstream: IndexMap<UpstreamId, PeerLoad>,
}

impl PeerLoads {
    /// A source that was not heard before.
    pub(crate) fn new(incarnation: u64, now: Instant) -> Self {
        Self {
            incarnation,
            heard_at: now,
            messages: 0,
            by_upstream: IndexMap::new(),
        }
    }

    /// Whether it was heard within this time.
    pub(crate) fn is_heard(&self, within: Duration, now: Instant) -> bool {
        now.saturating_duration_since(self.heard_at) < within
    }

    /// The work that it speaks of now, and when it did.
    pub(crate) fn loads(&self) -> impl Iterator<Item = (&UpstreamId, &HostLoad, Instant)> {
        self.by_upstream.iter().filter_map(|(id, said)| {
            let load = said.load.as_ref()?;
            Some((id, load, said.heard_at))
        })
    }
}
