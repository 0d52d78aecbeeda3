//! Polls upstreams for load reports and cache events, for the homes on this host.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::control::home::HomeEvent;
use crate::entry::UpstreamDirectory;
use crate::fleet::HomeDirectory;
use crate::fleet::HomeRunner;
use crate::units::UpstreamId;

/// The interval between polls. Engines' reports are themselves delayed by about this much, so
/// polling more often would yield no newer data.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Polls the upstreams of the homes on this host for as long as the process runs.
pub(crate) async fn run(
    homes: Arc<HomeRunner>,
    home_directory: Arc<dyn HomeDirectory>,
    upstreams: Arc<dyn UpstreamDirectory>,
) {
    let mut last_seqs: IndexMap<UpstreamId, u64> = IndexMap::new();
    loop {
        sleep(POLL_INTERVAL).await;
        let mut polls = JoinSet::new();
        let ids = homes
            .pool_loads()
            .into_iter()
            .flat_map(|(pool, _)| home_directory.upstreams_of(&pool));
        for id in ids {
            let after_seq = last_seqs.get(&id).copied().unwrap_or(0);
            polls.spawn(poll_one(
                Arc::clone(&homes),
                Arc::clone(&upstreams),
                id,
                after_seq,
            ));
        }
        while let Some(polled) = polls.join_next().await {
            if let Ok((id, seq)) = polled {
                last_seqs.insert(id, seq);
            }
        }
    }
}

/// Polls one upstream. Returns its id and the sequence number of the last cache event that was
/// read.
async fn poll_one(
    homes: Arc<HomeRunner>,
    upstreams: Arc<dyn UpstreamDirectory>,
    id: UpstreamId,
    after_seq: u64,
) -> (UpstreamId, u64) {
    let Some(client) = upstreams.upstream(&id) else {
        return (id, after_seq);
    };
    if let Ok(report) = client.load().await {
        let event = HomeEvent::LoadReport {
            upstream: id.clone(),
            report,
        };
        homes.send_to_homes_of_upstream(&id, &event);
    }
    let Ok(events) = client.cache_events(after_seq).await else {
        return (id, after_seq);
    };
    let seq = events
        .iter()
        .map(|event| event.seq)
        .max()
        .unwrap_or(after_seq);
    if !events.is_empty() {
        let event = HomeEvent::CacheEvents {
            upstream: id.clone(),
            events,
        };
        homes.send_to_homes_of_upstream(&id, &event);
    }
    (id, seq)
}
