//! Reads the platform's lists: from the host that reads the platform for this failure domain, or
//! from the platform itself.

mod peer_reads;
mod platform_reads;

use std::sync::Arc;

use crate::decide::ReaderFailure;
use crate::exchange::ListedHost;
use crate::gateway::Catalog;
use crate::gateway::Gateway;
use crate::gateway::catalog_sharing::ReadError;
use crate::gateway::catalog_sharing::ReadOutcome;
use crate::gateway::catalog_sharing::ReadSource;
use crate::gateway::catalog_sharing::client::ReadClient;
use crate::gateway::catalog_sharing::cursor::Cursor;
use crate::gateway::catalog_sharing::message::HostEntry;
use crate::gateway::catalog_sharing::message::ListKind;
use crate::units::HostId;

/// Reads one list of the platform repeatedly into this host's
/// [`CatalogCache`](super::CatalogCache). Its cursor belongs to that list, so each list needs a
/// reader of its own.
pub(crate) struct CatalogReader {
    gateway: Arc<Gateway>,
    catalog: Arc<dyn Catalog>,
    cursor: Cursor,
    client: ReadClient,
}

impl CatalogReader {
    pub(crate) fn new(gateway: Arc<Gateway>, catalog: Arc<dyn Catalog>) -> Self {
        Self {
            gateway,
            catalog,
            cursor: Cursor::default(),
            client: ReadClient::default(),
        }
    }

    /// Reads the manifest. Returns its text if its version differs from the cached one.
    pub(crate) async fn routes(
        &mut self,
        source: ReadSource,
    ) -> Result<ReadOutcome<String>, ReadError> {
        let (known, _) = self.gateway.catalog_cache.versions();
        let fetched = self
            .request_from_peers(source, ListKind::Routes, known)
            .await?;
        let Some((response, confirmed_at)) = fetched else {
            return self.routes_from_platform(known).await;
        };
        let cache = &self.gateway.catalog_cache;
        // A host that lags slightly responds with an older version. This confirms the newer one
        // too.
        let changed = if response.version <= known {
            cache.confirm_routes(confirmed_at);
            None
        } else {
            cache.set_routes(response.version, response.routes.clone(), confirmed_at);
            Some(response.routes)
        };
        Ok(ReadOutcome {
            changed,
            confirmed_at,
            has_more: false,
        })
    }

    /// Reads the upstreams into the cache. `changed` says whether they differ from those before.
    pub(crate) async fn upstreams(
        &mut self,
        source: ReadSource,
    ) -> Result<ReadOutcome<()>, ReadError> {
        let (_, known) = self.gateway.catalog_cache.versions();
        let fetched = self
            .request_from_peers(source, ListKind::Upstreams, known)
            .await?;
        let Some((response, confirmed_at)) = fetched else {
            return self.upstreams_from_platform().await;
        };
        let cache = &self.gateway.catalog_cache;
        let has_changed = if response.version == known {
            cache.confirm_upstreams(confirmed_at);
            false
        } else {
            // The list that this host has read itself may be newer: an upstream that this host
            // knows to be leaving must not come back.
            let is_newer = cache.upstreams_confirmed_at() < Some(confirmed_at);
            is_newer && cache.apply_response(&response, confirmed_at)
        };
        Ok(ReadOutcome {
            changed: has_changed.then_some(()),
            confirmed_at,
            has_more: false,
        })
    }

    /// Reads the evacuations into the cache. `changed` says whether they differ from those before.
    pub(crate) async fn evacuations(
        &mut self,
        source: ReadSource,
    ) -> Result<ReadOutcome<()>, ReadError> {
        let known = self.gateway.catalog_cache.evacuations_version();
        let fetched = self
            .request_from_peers(source, ListKind::Evacuations, known)
            .await?;
        let Some((response, confirmed_at)) = fetched else {
            return self.evacuations_from_platform().await;
        };
        let cache = &self.gateway.catalog_cache;
        let has_changed = cache.apply_evacuations(&response, confirmed_at);
        Ok(ReadOutcome {
            changed: has_changed.then_some(()),
            confirmed_at,
            has_more: false,
        })
    }

    /// Reads the hosts. Returns them if they differ from the cached ones.
    pub(crate) async fn hosts(
        &mut self,
        source: ReadSource,
    ) -> Result<Option<Vec<ListedHost>>, ReadError> {
        let known = self.gateway.catalog_cache.hosts_version();
        let fetched = self
            .request_from_peers(source, ListKind::Hosts, known)
            .await?;
        let cache = &self.gateway.catalog_cache;
        let Some((response, confirmed_at)) = fetched else {
            let requested_at = self.gateway.clock.since_boot();
            let hosts = self.catalog.hosts().await?;
            cache.set_hosts(&hosts, requested_at);
            return Ok((cache.hosts_version() != known).then_some(hosts));
        };
        if response.version == known {
            cache.confirm_hosts(confirmed_at);
            return Ok(None);
        }
        let hosts = response.hosts.iter().filter_map(HostEntry::decode);
        let hosts: Vec<ListedHost> = hosts.collect();
        cache.set_hosts(&hosts, confirmed_at);
        Ok(Some(hosts))
    }

    /// Excludes a host, which may be this one, from the selection of readers for a while.
    fn mark_unavailable(&self, host: &HostId, why: ReaderFailure) {
        let now = self.gateway.clock.now();
        self.gateway
            .reader_selector
            .mark_unavailable(host, why, now);
    }
}
