//! Reads of the platform itself.

use std::time::Duration;

use crate::decide::ReaderFailure;
use crate::gateway::CatalogError;
use crate::gateway::CatalogRead;
use crate::gateway::EvacuationsRead;
use crate::gateway::RoutesRead;
use crate::gateway::UpstreamsRead;
use crate::gateway::Watch;
use crate::gateway::catalog_sharing::CatalogReader;
use crate::gateway::catalog_sharing::ReadError;
use crate::gateway::catalog_sharing::ReadOutcome;
use crate::gateway::catalog_sharing::cursor::Cursor;
use crate::units::ObjectVersion;

impl CatalogReader {
    pub(super) async fn routes_from_platform(
        &mut self,
        known: u64,
    ) -> Result<ReadOutcome<String>, ReadError> {
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

    pub(super) async fn upstreams_from_platform(&mut self) -> Result<ReadOutcome<()>, ReadError> {
        let confirmed_at = self.gateway.clock.since_boot();
        let watch = self.cursor.watch();
        let mut read = self.catalog.upstreams(watch).await;
        self.record_duration(watch, confirmed_at);
        if matches!(read, Err(CatalogError::HistoryExpired)) {
            self.cursor = Cursor::default();
            read = self.catalog.upstreams(None).await;
        }
        let as_of = read.as_ref().ok().and_then(|read| read.as_of);
        let read = self.record_read(read, confirmed_at)?;
        let cache = &self.gateway.catalog_cache;
        cache.set_upstreams_as_of(as_of);
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

    pub(super) async fn evacuations_from_platform(&mut self) -> Result<ReadOutcome<()>, ReadError> {
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
}
