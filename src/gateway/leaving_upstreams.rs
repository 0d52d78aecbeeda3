//! Upstreams that have announced that they are leaving.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;

use crate::gateway::ListedUpstream;
use crate::units::UpstreamId;

/// How long an announcement is kept. Longer than a store that was restored from an older copy lists
/// these upstreams as not leaving.
const RETENTION: Duration = Duration::from_secs(60);

/// Incarnations of upstreams that have announced that they are leaving, and when they were last
/// listed so.
///
/// Without this record, hosts would send to an upstream again if the store is restored from a copy
/// that was made before its announcement.
#[derive(Debug, Default)]
pub(crate) struct LeavingUpstreams(IndexMap<UpstreamId, Instant>);

impl LeavingUpstreams {
    /// Returns the list with all upstreams marked that have announced that they are leaving.
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
