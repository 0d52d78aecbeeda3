//! The host from which this one gets the platform's lists after its start, until it knows others.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use rand::random_range;
use tokio::time::sleep;

use crate::decide::ReaderSearch;
use crate::decide::SearchStep;
use crate::decide::StartingReader;
use crate::exchange::ListedHost;
use crate::gateway::Catalog;
use crate::gateway::CatalogError;
use crate::gateway::DecisionEvent;
use crate::gateway::Gateway;
use crate::gateway::ReaderClaim;
use crate::gateway::catalog_sharing::is_responding;
use crate::units::BoundedTime;
use crate::units::ObjectVersion;

/// How long the starting reader is preferred to other hosts, and selected although no update of it
/// has arrived. Within this time hosts learn of each other.
const PREFERRED_FOR: Duration = Duration::from_secs(10);
/// How long a host that has no lists yet requests them from the starting reader before it replaces
/// that reader.
const PATIENCE: Duration = Duration::from_secs(3);
/// The time after its start from which a host without lists reads the platform itself, whatever is
/// known of starting readers.
const SEARCHES_FOR: Duration = Duration::from_secs(15);

/// The result of the search for the starting reader.
#[derive(Clone, Debug)]
pub(crate) struct FoundReader {
    /// The starting reader, which may be this host.
    listed: ListedHost,
    is_own: bool,
    found_at: Instant,
}

impl Gateway {
    /// The starting reader of this host; none before it is found and after [`PREFERRED_FOR`].
    pub(crate) fn starting_reader(&self, now: Instant) -> Option<ListedHost> {
        let found = self.found_reader.borrow();
        let found = found.as_ref()?;
        let is_preferred = now.saturating_duration_since(found.found_at) < PREFERRED_FOR;
        is_preferred.then(|| found.listed.clone())
    }

    /// Whether this host reads the platform for others that start.
    pub(crate) fn is_starting_reader(&self) -> bool {
        let found = self.found_reader.borrow();
        found.as_ref().is_some_and(|found| found.is_own)
    }

    /// Whether this host has no complete lists yet and waits for those of another host.
    pub(crate) fn awaits_starting_reader(&self) -> bool {
        let uptime = self.clock.now().saturating_duration_since(self.started_at);
        let found = self.found_reader.borrow();
        let is_other = found.as_ref().is_some_and(|found| !found.is_own);
        is_other && uptime < SEARCHES_FOR && !self.has_lists()
    }

    /// Whether this host has read the manifest and the upstreams.
    fn has_lists(&self) -> bool {
        self.catalog_cache.confirmed_at().is_some()
    }

    /// Waits until the starting reader is found.
    pub(crate) async fn starting_reader_found(&self) {
        let mut found = self.found_reader.subscribe();
        // Fails only when the sender is dropped, which exists as long as this host.
        let _ = found.wait_for(Option::is_some).await;
    }
}

/// Finds the starting reader of this host, and another one if that has no lists. Other hosts reach
/// this one at `exchange_addr`.
pub(crate) async fn find_starting_reader(
    gateway: Arc<Gateway>,
    catalog: Arc<dyn Catalog>,
    exchange_addr: SocketAddr,
) {
    let conf = &gateway.conf;
    let mut search = ReaderSearch::new(conf.host.clone(), exchange_addr, conf.processors);
    loop {
        match search.next_step() {
            SearchStep::Look => match catalog.starting_reader(conf.domain.clone()).await {
                Ok(entry) => search.on_looked(entry),
                Err(err) => on_failed(&gateway, &mut search, &err),
            },
            // Hosts that failed at the same time must not call the platform at the same time.
            SearchStep::Wait(wait) => sleep(wait.scaled(random_range(0.75..1.25))).await,
            SearchStep::Claim(replaces) => {
                let claim = claim(&gateway, exchange_addr, replaces);
                match catalog
                    .claim_starting_reader(conf.domain.clone(), claim)
                    .await
                {
                    Ok(entry) => search.on_claimed(entry),
                    Err(err) => on_failed(&gateway, &mut search, &err),
                }
            }
            SearchStep::Request(entry) => {
                let has_responded = is_responding(entry.addr).await;
                search.on_requested(entry, has_responded);
            }
            SearchStep::Found(reader) => {
                set_found(&gateway, &reader, exchange_addr);
                let StartingReader::Other(entry) = reader else {
                    return;
                };
                sleep(PATIENCE).await;
                if !gateway.awaits_starting_reader() {
                    return;
                }
                search.on_stale(&entry);
            }
        }
    }
}

fn claim(gateway: &Gateway, addr: SocketAddr, replaces: Option<ObjectVersion>) -> ReaderClaim {
    ReaderClaim {
        host: gateway.conf.host.clone(),
        addr,
        replaces,
    }
}

fn on_failed(gateway: &Gateway, search: &mut ReaderSearch, err: &CatalogError) {
    gateway.log.record(DecisionEvent::StartingReaderFailed {
        error: err.to_string(),
    });
    search.on_failed();
}

/// Records and logs the starting reader.
fn set_found(gateway: &Gateway, reader: &StartingReader, own_addr: SocketAddr) {
    let conf = &gateway.conf;
    let (host, exchange_addr, is_own) = match reader {
        StartingReader::Own => (conf.host.clone(), own_addr, true),
        StartingReader::Other(entry) => (entry.host.clone(), entry.addr, false),
    };
    gateway.log.record(DecisionEvent::StartingReaderFound {
        reader: host.to_string(),
        is_own,
    });
    let listed = ListedHost {
        host,
        domain: conf.domain.clone(),
        exchange_addr,
        processors: None,
    };
    gateway.found_reader.send_replace(Some(FoundReader {
        listed,
        is_own,
        found_at: gateway.clock.now(),
    }));
}
