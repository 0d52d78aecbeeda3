//! Upstreams that have announced that they are leaving.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;

use crate::gateway::ListedUpstream;
use crate::units::UpstreamId;

/// How long an announcement is remembered. A store that was restored from an older copy lists these
/// upstreams as not leaving for a shorter time.
const RETENTION: Duration = Duration::from_secs(60);

/// Incarnations of upstreams that have announced that they are leaving, with the time at which each
/// was last listed as leaving.
///
/// Without this record, hosts would send to an upstream again if the store is restored from a copy
/// that was made before its announcement.
#[derive(Debug, Default)]
pub(crate) struct LeavingUpstreams(IndexMap<UpstreamId, Instant>);

impl LeavingUpstreams {
    /// Records the upstreams that are listed as leaving, and returns the list with all upstreams
    /// marked that have announced it within [`RETENTION`].
    pub(crate) fn mark(
        &mut self,
        mut listed: Vec<ListedUpstream>,
        now: Instant,
    ) -> Vec<ListedUpstream> {
        self.0
            .retain(|_, at| now.saturating_duration_since(*at) < RETENTION);
        for upstream in &mut listed {
            if upstream.is_leaving {
                self.0.insert(upstream.id.clone(), now);
            }
            upstream.is_leaving |= self.0.contains_key(&upstream.id);
        }
        listed
    }
}
