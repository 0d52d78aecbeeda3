//! Requests for a list to the hosts that read the platform.

use std::net::SocketAddr;
use std::time::Duration;

use crate::decide::ReaderFailure;
use crate::gateway::catalog_sharing::CatalogReader;
use crate::gateway::catalog_sharing::ReadError;
use crate::gateway::catalog_sharing::ReadSource;
use crate::gateway::catalog_sharing::cursor::Cursor;
use crate::gateway::catalog_sharing::list_age::HOSTS_AGE_MAX;
use crate::gateway::catalog_sharing::list_age::RESPONSE_AGE_MAX;
use crate::gateway::catalog_sharing::message::ListKind;
use crate::gateway::catalog_sharing::message::ReadRequest;
use crate::gateway::catalog_sharing::message::ReadResponse;
use crate::gateway::catalog_sharing::peer_result::PeerResult;

/// Number of hosts from which a list is requested before this host reads the platform itself.
const READERS_TRIED_MAX: usize = 2;

impl CatalogReader {
    /// Requests a list from other hosts unless `source` is the platform. Returns the response and
    /// the time since boot at which its list was confirmed to be current, or none if the platform
    /// is to be called. After a response, this host's next read of the platform is a full one.
    pub(super) async fn request_from_peers(
        &mut self,
        source: ReadSource,
        list: ListKind,
        known_version: u64,
    ) -> Result<Option<(ReadResponse, Duration)>, ReadError> {
        if source == ReadSource::Platform {
            return Ok(None);
        }
        match self.request_from_readers(list, known_version).await {
            PeerResult::Fresh(response, confirmed_at) => {
                // A watch would resume before the version of this response.
                self.cursor = Cursor::default();
                Ok(Some((response, confirmed_at)))
            }
            PeerResult::Stale => Err(ReadError::PeersStale),
            PeerResult::Absent => Err(ReadError::Absent),
            PeerResult::NoResponse if source == ReadSource::Peers => Err(ReadError::PeersStale),
            PeerResult::NoResponse => Ok(None),
        }
    }

    /// Requests a list from the host that reads for this failure domain, and from the next one if
    /// it does not respond or has no fresh list. Hosts that fail are excluded from the selection
    /// for a while.
    async fn request_from_readers(&mut self, list: ListKind, known_version: u64) -> PeerResult {
        // Without a list, this host requests one only from hosts that it has received updates from:
        // waiting for a dead one would delay the moment from which this host can serve.
        let includes_unheard = known_version != 0;
        let mut result = PeerResult::NoResponse;
        for _ in 0..READERS_TRIED_MAX {
            let Some(reader) =
                self.gateway
                    .reader_selector
                    .select(&self.gateway, list, includes_unheard)
            else {
                // The other hosts have no fresh list, so this host reads the platform.
                return PeerResult::NoResponse;
            };
            result = self
                .request(reader.exchange_addr, list, known_version)
                .await;
            match result {
                PeerResult::Fresh(..) | PeerResult::Absent => return result,
                // The reader may have just started too.
                PeerResult::Stale if self.gateway.awaits_starting_reader() => return result,
                PeerResult::Stale if list == ListKind::Evacuations => {
                    let selector = &self.gateway.reader_selector;
                    selector.on_stale_evacuations(&reader.host);
                }
                // A host without this list may run the previous version and have fresh manifests
                // and upstreams.
                PeerResult::Stale if list.may_be_unknown() => {}
                PeerResult::Stale => self.mark_unavailable(&reader.host, ReaderFailure::Stale),
                PeerResult::NoResponse => {
                    self.mark_unavailable(&reader.host, ReaderFailure::NoResponse);
                }
            }
        }
        result
    }

    /// Requests a list from one host.
    async fn request(
        &mut self,
        addr: SocketAddr,
        list: ListKind,
        known_version: u64,
    ) -> PeerResult {
        let requested_at = self.gateway.clock.since_boot();
        let request = ReadRequest {
            list: list.into(),
            known_version,
            accepts_deltas: true,
            ..ReadRequest::default()
        };
        let Some(response) = self.client.request(addr, &request).await else {
            return PeerResult::NoResponse;
        };
        let age = Duration::from_millis(response.age_ms);
        let age_max = match list {
            ListKind::Routes | ListKind::Upstreams | ListKind::Evacuations => RESPONSE_AGE_MAX,
            ListKind::Hosts => HOSTS_AGE_MAX,
        };
        if response.is_absent && age <= age_max {
            return PeerResult::Absent;
        }
        if response.version == 0 || age > age_max {
            return PeerResult::Stale;
        }
        // The peer computed the age after `requested_at`, so this time is never too late.
        PeerResult::Fresh(response, requested_at.saturating_sub(age))
    }
}
