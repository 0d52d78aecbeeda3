//! UpstreamIncarnations of upstreams that are over because the same upstream has started again.

use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Instant;

use indexmap::IndexMap;
use tokio::sync::watch;

use crate::gateway::ListedUpstream;
use crate::units::UpstreamId;
use crate::units::UpstreamName;

/// Names and ended lives that are remembered, the latest. Far more than the upstreams of the largest
/// deployment that restart within the longest call.
const REMEMBERED_MAX: usize = 2_048;

/// Which life of each upstream is the latest, and which are over.
///
/// Failure it guards against: an upstream behind a cut restarts. The connections of its former life
/// are silent, and what was sent there waits for their timeouts although nobody will answer. A call
/// that was sent after the restart, by the old entry, runs in the new life; so a call is lost only if
/// the upstream could not be reached, or broke off, after the call was sent.
#[derive(Debug)]
pub(crate) struct UpstreamIncarnations {
    latest: Mutex<IndexMap<UpstreamName, UpstreamId>>,
    /// Calls sent to a life before the instant are lost.
    ended: watch::Sender<IndexMap<UpstreamId, Instant>>,
}

impl Default for UpstreamIncarnations {
    fn default() -> Self {
        Self {
            latest: Mutex::default(),
            ended: watch::Sender::new(IndexMap::new()),
        }
    }
}

impl UpstreamIncarnations {
    /// Takes in the list of upstreams. `lost_at` says when a life was last seen to be out of reach.
    /// Returns the lives that are over.
    pub(crate) fn update(
        &self,
        listed: &[ListedUpstream],
        lost_at: impl Fn(&UpstreamId) -> Option<Instant>,
    ) -> Vec<UpstreamId> {
        let mut latest = self.latest.lock().unwrap_or_else(PoisonError::into_inner);
        let mut over = Vec::new();
        for upstream in listed {
            let before = latest.insert(upstream.name.clone(), upstream.id.clone());
            over.extend(before.filter(|before| *before != upstream.id));
        }
        shorten(&mut latest);
        drop(latest);
        let ended = over
            .iter()
            .filter_map(|id| Some((id.clone(), lost_at(id)?)));
        let ended: Vec<(UpstreamId, Instant)> = ended.collect();
        if !ended.is_empty() {
            self.ended.send_modify(|known| {
                known.extend(ended);
                shorten(known);
            });
        }
        over
    }

    /// Waits until a call that was sent to a life at `sent_at` is lost with it.
    pub(crate) async fn wait_until_lost(&self, upstream: &UpstreamId, sent_at: Instant) {
        let mut ended = self.ended.subscribe();
        let is_lost = |ended: &IndexMap<UpstreamId, Instant>| {
            ended
                .get(upstream)
                .is_some_and(|lost_at| sent_at < *lost_at)
        };
        // Fails only when the sender is gone, which lives as long as the host.
        let _ = ended.wait_for(is_lost).await;
    }
}

/// Forgets the first entries beyond [`REMEMBERED_MAX`].
fn shorten<K: std::hash::Hash + Eq, V>(map: &mut IndexMap<K, V>) {
    let surplus = map.len().saturating_sub(REMEMBERED_MAX);
    map.drain(..surplus);
}
