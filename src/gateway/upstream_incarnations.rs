//! The incarnations of upstreams. An incarnation ends when the same upstream starts again.

use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Instant;

use indexmap::IndexMap;
use tokio::sync::watch;

use crate::gateway::ListedUpstream;
use crate::units::UpstreamId;
use crate::units::UpstreamName;

/// Largest number of names and of ended incarnations that are kept; the oldest are dropped. In the
/// largest deployment far fewer upstreams restart within the longest call.
const ENTRIES_MAX: usize = 2_048;

/// The latest incarnation of each upstream, and the calls that were lost with those that have
/// ended.
///
/// When a partitioned upstream restarts, the connections of its former incarnation stay silent, and
/// calls that were sent there would wait for their timeouts although no response will come. A call
/// that was sent after the restart to the former entry runs in the new incarnation; so a call is
/// lost only if the upstream could not be reached, or broke the connection, after the call was
/// sent.
#[derive(Debug)]
pub(crate) struct UpstreamIncarnations {
    latest: Mutex<IndexMap<UpstreamName, UpstreamId>>,
    /// The ended incarnations that were unreachable, each with the time at which this was last
    /// found. Calls that were sent to an incarnation before that time are lost.
    losses: watch::Sender<IndexMap<UpstreamId, Instant>>,
}

impl Default for UpstreamIncarnations {
    fn default() -> Self {
        Self {
            latest: Mutex::default(),
            losses: watch::Sender::new(IndexMap::new()),
        }
    }
}

impl UpstreamIncarnations {
    /// Applies the list of upstreams. `lost_at` returns when an incarnation was last found to be
    /// unreachable. Returns the incarnations that have ended.
    pub(crate) fn update(
        &self,
        listed: &[ListedUpstream],
        lost_at: impl Fn(&UpstreamId) -> Option<Instant>,
    ) -> Vec<UpstreamId> {
        let mut latest = self.latest.lock().unwrap_or_else(PoisonError::into_inner);
        let mut ended = Vec::new();
        for upstream in listed {
            let before = latest.insert(upstream.name.clone(), upstream.id.clone());
            ended.extend(before.filter(|before| *before != upstream.id));
        }
        drop_oldest(&mut latest);
        drop(latest);
        let losses = ended
            .iter()
            .filter_map(|id| Some((id.clone(), lost_at(id)?)));
        let losses: Vec<(UpstreamId, Instant)> = losses.collect();
        if !losses.is_empty() {
            self.losses.send_modify(|known| {
                known.extend(losses);
                drop_oldest(known);
            });
        }
        ended
    }

    /// Waits until a call that was sent to an incarnation at `sent_at` is lost: the incarnation has
    /// ended, and was found to be unreachable after the call was sent. Otherwise never returns.
    pub(crate) async fn wait_until_lost(&self, upstream: &UpstreamId, sent_at: Instant) {
        let mut losses = self.losses.subscribe();
        let is_lost = |losses: &IndexMap<UpstreamId, Instant>| {
            losses
                .get(upstream)
                .is_some_and(|lost_at| sent_at < *lost_at)
        };
        // Fails only when the sender is dropped, which lives as long as the host.
        let _ = losses.wait_for(is_lost).await;
    }
}

/// Drops the oldest entries beyond [`ENTRIES_MAX`].
fn drop_oldest<K: std::hash::Hash + Eq, V>(map: &mut IndexMap<K, V>) {
    let surplus = map.len().saturating_sub(ENTRIES_MAX);
    map.drain(..surplus);
}
