//! Upstreams that have said that they leave.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;

use crate::gateway::ListedUpstream;
use crate::units::UpstreamId;

/// How long it is remembered. Longer than a store that has come back from an older copy lists them as staying.
const REMEMBERED_FOR: Duration = Duration::from_secs(60);

/// UpstreamIncarnations of upstreams that have said that they leave, and when they were listed so last.
///
/// Failure it guards against: the store comes back from a copy that was made before an upstream said so, and hosts
/// send to it again.
#[derive(Debug, Default)]
pub(crate) struct Departed(IndexMap<UpstreamId, Instant>);

impl Departed {
    /// Takes in a list. Returns it with those that leave marked that said so before.
    pub(crate) fn mark(
        &mut self,
        mut listed: Vec<ListedUpstream>,
        now: Instant,
    ) -> Vec<ListedUpstream> {
        self.0
            .retain(|_, at| now.saturating_duration_since(*at) < REMEMBERED_FOR);
        for upstream in &mut listed {
            if upstream.is_leaving {
                self.0.insert(upstream.id.clone(), now);
            }
            upstream.is_leaving |= self.0.contains_key(&upstream.id);
        }
        listed
    }
}
