//! Reads the platform's lists: from the host that reads the platform for this failure domain, or
//! from the platform itself.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::decide::ReaderFailure;
use crate::exchange::ListedHost;
use crate::gateway::Catalog;
use crate::gateway::CatalogError;
use crate::gateway::CatalogRead;
use crate::gateway::EvacuationsRead;
use crate::gateway::Gateway;
use crate::gateway::RoutesRead;
use crate::gateway::UpstreamsRead;
use crate::gateway::Watch;
use crate::gateway::catalog_sharing::client::ReadClient;
use crate::gateway::catalog_sharing::cursor::Cursor;
use crate::gateway::catalog_sharing::message::HostEntry;
use crate::gateway::catalog_sharing::message::ListKind;
use crate::gateway::catalog_sharing::message::ReadRequest;
use crate::gateway::catalog_sharing::message::ReadResponse;
use crate::units::HostId;
use crate::units::ObjectVersion;

/// Largest age of the manifest or of the upstreams in the response of another host. If the list is
/// older, this host reads the platform itself, as it would without the other host. The limit covers
/// two watches and two responses of a slow platform.
pub(super) const RESPONSE_AGE_MAX: Duration = Duration::from_millis(2_000);
/// Largest age of the list of hosts, which changes rarely, in such a response. It is longer than
/// most outages of the platform, so that not all hosts of a fleet request the list from the
/// platform when it has recovered.
const HOSTS_AGE_MAX: Duration = Duration::from_secs(15);

/// Number of hosts from which a list is requested before this host reads the platform itself.
const READERS_TRIED_MAX: usize = 2;

/// The result of one read.
pub(crate) struct ReadOutcome<T> {
    /// The changed content; none if the cached one is still current.
    pub(crate) changed: Option<T>,
    /// The time since boot at which the list was confirmed to be current.
    pub(crate) confirmed_at: Duration,
    /// Whether the platform may have newer content already, so the next read is due immediately.
    pub(crate) has_more: bool,
}

/// Where a read gets the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReadSource {
    /// The host that reads for this failure domain; the platform if that is this host or if none
    /// responds.
    Any,
    /// Other hosts only, since this host is not to call the platform yet.
    Peers,
    /// The platform.
    Platform,
}

/// Why a read returned no list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum ReadError {
    /// A call to the platform failed.
    Catalog(CatalogError),
    /// No other host has a fresh list; the platform was not called.
    PeersStale,
    /// Another host has found that the platform has no such list; it was not called.
    Absent,
}

impl From<CatalogError> for ReadError {
    fn from(err: CatalogError) -> Self {
        Self::Catalog(err)
    }
}

/// The result of requesting a list from other hosts.
enum PeerResult {
    /// A host responded with a fresh list, which was confirmed to be current at this time since
    /// boot.
    Fresh(ReadResponse, Duration),
    /// The hosts that responded have no fresh list.
    Stale,
    /// A host that reads the platform has found that it has no such list.
    Absent,
    /// There is no host to request the list from, or none responds.
    NoResponse,
}

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

    async fn routes_from_platform(&mut self, known: u64) -> Result<ReadOutcome<String>, ReadError> {
        // Taken before the call, since the response shows what was true at some moment after that.
        let requested_at = self.gateway.clock.since_boot();
        let object = (known != 0).then_some(ObjectVersion(known));
        let watch = self.cursor.watch();
        let mut read = self.catalog.routes(object, watch).await;
        self.record_duration(watch, requested_at);
        if matches!(read, Err(CatalogError::HistoryExpired)) {
            self.cursor = Cursor::default();
            read = self.catalog.routes(object, None).await;
        }
        if matches!(read, Err(CatalogError::NotFound)) {
            self.gateway.catalog_cache.set_routes_absent(requested_at);
        }
        let read = self.record_read(read, requested_at)?;
        let cache = &self.gateway.catalog_cache;
        let RoutesRead::Changed { version, text } = read else {
            cache.confirm_routes(requested_at);
            return Ok(ReadOutcome {
                changed: None,
                confirmed_at: requested_at,
                has_more: false,
            });
        };
        let has_more = watch.is_some();
        self.cursor.set_immediate(has_more);
        // Only a response without a change shows that there is no newer version.
        let confirmed_at = if has_more {
            Duration::ZERO
        } else {
            requested_at
        };
        let is_newer = version.0 > known;
        if is_newer {
            cache.set_routes(version.0, text.clone(), confirmed_at);
        }
        Ok(ReadOutcome {
            changed: is_newer.then_some(text),
            confirmed_at,
            has_more,
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

    async fn upstreams_from_platform(&mut self) -> Result<ReadOutcome<()>, ReadError> {
        let confirmed_at = self.gateway.clock.since_boot();
        let watch = self.cursor.watch();
        let mut read = self.catalog.upstreams(watch).await;
        self.record_duration(watch, confirmed_at);
        if matches!(read, Err(CatalogError::HistoryExpired)) {
            self.cursor = Cursor::default();
            read = self.catalog.upstreams(None).await;
        }
        let read = self.record_read(read, confirmed_at)?;
        let cache = &self.gateway.catalog_cache;
        let mut has_more = false;
        let has_changed = match read {
            UpstreamsRead::Snapshot(listed) => cache.replace_upstreams(&listed, confirmed_at),
            UpstreamsRead::Delta(changes) if changes.is_empty() => {
                cache.confirm_upstreams(confirmed_at);
                false
            }
            // Only a response without a change shows that there are no more changes.
            UpstreamsRead::Delta(changes) => {
                has_more = true;
                cache.apply_changes(changes)
            }
        };
        self.cursor.set_immediate(has_more);
        Ok(ReadOutcome {
            changed: has_changed.then_some(()),
            confirmed_at,
            has_more,
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

    async fn evacuations_from_platform(&mut self) -> Result<ReadOutcome<()>, ReadError> {
        let confirmed_at = self.gateway.clock.since_boot();
        let watch = self.cursor.watch();
        let mut read = self.catalog.evacuations(watch).await;
        self.record_duration(watch, confirmed_at);
        if matches!(read, Err(CatalogError::HistoryExpired)) {
            self.cursor = Cursor::default();
            read = self.catalog.evacuations(None).await;
        }
        let as_of = read.as_ref().ok().and_then(|read| read.as_of);
        let read = self.record_read(read, confirmed_at)?;
        let cache = &self.gateway.catalog_cache;
        let has_changed = match read {
            EvacuationsRead::Unchanged => {
                cache.confirm_evacuations(as_of, confirmed_at);
                false
            }
            EvacuationsRead::Snapshot(domains) => {
                cache.set_evacuations(domains, as_of, confirmed_at)
            }
        };
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

    /// Records the duration of a call to the platform, to shorten the wait of the next watch.
    fn record_duration(&mut self, watch: Option<Watch>, requested_at: Duration) {
        let took = self.gateway.clock.since_boot().saturating_sub(requested_at);
        let wait = watch.map_or(Duration::ZERO, |watch| watch.wait);
        self.cursor.record_duration(wait, took);
    }

    /// Records the result of a call to the platform, made at this time since boot: where the next
    /// read resumes, and whether this host itself reaches the platform.
    fn record_read<T>(
        &mut self,
        read: Result<CatalogRead<T>, CatalogError>,
        requested_at: Duration,
    ) -> Result<T, CatalogError> {
        let own = &self.gateway.conf.host;
        match read {
            Ok(read) => {
                let now = self.gateway.clock.now();
                self.gateway.reader_selector.on_platform_reached(own, now);
                // A platform that takes seconds to respond gives no lists that are recent enough,
                // so its late responses must not count as contact.
                let took = self.gateway.clock.since_boot().saturating_sub(requested_at);
                if let Some(contact_at) = now.checked_sub(took) {
                    self.gateway.evacuation_lease.on_contact(contact_at);
                }
                self.cursor.resume_after(read.as_of);
                Ok(read.value)
            }
            Err(err) => {
                self.mark_unavailable(own, ReaderFailure::Stale);
                self.cursor.set_immediate(true);
                if matches!(err, CatalogError::Malformed(_)) {
                    // Reading the same changes again would fail in the same way.
                    self.cursor = Cursor::default();
                }
                Err(err)
            }
        }
    }

    /// Excludes a host, which may be this one, from the selection of readers for a while.
    fn mark_unavailable(&self, host: &HostId, why: ReaderFailure) {
        let now = self.gateway.clock.now();
        self.gateway
            .reader_selector
            .mark_unavailable(host, why, now);
    }

    /// Requests a list from other hosts unless `source` is the platform. Returns the response and
    /// the time since boot at which its list was confirmed to be current, or none if the platform
    /// is to be called. After a response, this host's next read of the platform is a full one.
    async fn request_from_peers(
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
