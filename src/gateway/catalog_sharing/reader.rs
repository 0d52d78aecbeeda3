//! Reads the platform's lists, through another host where one reads for this failure domain.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::exchange::ListedHost;
use crate::gateway::Catalog;
use crate::gateway::CatalogError;
use crate::gateway::CatalogRead;
use crate::gateway::Gateway;
use crate::gateway::RoutesRead;
use crate::gateway::UpstreamsRead;
use crate::gateway::Watch;
use crate::gateway::catalog_sharing::client::ShareClient;
use crate::gateway::catalog_sharing::cursor::Cursor;
use crate::gateway::catalog_sharing::message::Answer;
use crate::gateway::catalog_sharing::message::Ask;
use crate::gateway::catalog_sharing::message::HostEntry;
use crate::gateway::catalog_sharing::message::List;
use crate::gateway::catalog_sharing::reader_selector::Unfit;
use crate::units::HostId;
use crate::units::ObjectVersion;

/// An answer about lists that were read longer ago is not used: this host then reads for itself and
/// is no worse off than without the other. Two watches, and two answers of a slow platform.
pub(super) const ANSWER_AGE_MAX: Duration = Duration::from_millis(2_000);
/// The same of the list of hosts, which changes seldom; longer than the platform is mostly away, so that
/// not all hosts of a fleet ask it for their list when it is back.
const HOSTS_AGE_MAX: Duration = Duration::from_secs(15);

/// Hosts that are asked before this one reads for itself.
const READERS_TRIED_MAX: usize = 2;

/// What came of one read.
pub(crate) struct Read<T> {
    /// What was read; none if it is what is known already.
    pub(crate) changed: Option<T>,
    /// When, since boot, it was certainly the newest.
    pub(crate) proved_at: Duration,
    /// Whether newer content may follow at once.
    pub(crate) goes_on: bool,
}

/// Whom a read asks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Source {
    /// The host that reads for this failure domain; the platform if that is this host or if none answers.
    Any,
    /// Other hosts alone: this host is not due to ask the platform.
    Others,
    /// The platform.
    Platform,
}

/// Why a read gave nothing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum ReadError {
    /// The platform was asked.
    Catalog(CatalogError),
    /// Other hosts have nothing fresh; the platform was not asked.
    OthersStale,
}

impl From<CatalogError> for ReadError {
    fn from(err: CatalogError) -> Self {
        Self::Catalog(err)
    }
}

/// What came of asking other hosts.
enum Asked {
    /// One has a fresh answer, which was the newest at this time since boot.
    Fresh(Answer, Duration),
    /// Those that answered have nothing fresh.
    Stale,
    /// There is none to ask, or none that answers.
    Nobody,
}

/// Reads the lists for one host.
pub(crate) struct Reader {
    gateway: Arc<Gateway>,
    catalog: Arc<dyn Catalog>,
    cursor: Cursor,
    client: ShareClient,
}

impl Reader {
    pub(crate) fn new(gateway: Arc<Gateway>, catalog: Arc<dyn Catalog>) -> Self {
        Self {
            gateway,
            catalog,
            cursor: Cursor::default(),
            client: ShareClient::default(),
        }
    }

    /// Reads the manifest. Returns its text if it is another version than is held.
    pub(crate) async fn routes(&mut self, source: Source) -> Result<Read<String>, ReadError> {
        let (known, _) = self.gateway.catalog_cache.versions();
        let asked = self.ask_others(source, List::Routes, known).await?;
        let Some((answer, proved_at)) = asked else {
            return self.routes_of_platform(known).await;
        };
        let held = &self.gateway.catalog_cache;
        // An older version from a host that is a little behind proves the newer one as well.
        let changed = if answer.version <= known {
            held.renew_routes(proved_at);
            None
        } else {
            held.put_routes(answer.version, answer.routes.clone(), proved_at);
            Some(answer.routes)
        };
        Ok(Read {
            changed,
            proved_at,
            goes_on: false,
        })
    }

    async fn routes_of_platform(&mut self, known: u64) -> Result<Read<String>, ReadError> {
        // Before the question: what the answer shows is true at some moment after it.
        let asked_at = self.gateway.clock.since_boot();
        let object = (known != 0).then_some(ObjectVersion(known));
        let watch = self.cursor.watch();
        let mut read = self.catalog.routes(object, watch).await;
        self.time(watch, asked_at);
        if matches!(read, Err(CatalogError::HistoryExpired)) {
            self.cursor = Cursor::default();
            read = self.catalog.routes(object, None).await;
        }
        let read = self.take(read)?;
        let held = &self.gateway.catalog_cache;
        let RoutesRead::Changed { version, text } = read else {
            held.renew_routes(asked_at);
            return Ok(Read {
                changed: None,
                proved_at: asked_at,
                goes_on: false,
            });
        };
        let goes_on = watch.is_some();
        self.cursor.set_hurried(goes_on);
        // Only an answer without a change shows that there is no newer one.
        let proved_at = if goes_on { Duration::ZERO } else { asked_at };
        let is_news = version.0 > known;
        if is_news {
            held.put_routes(version.0, text.clone(), proved_at);
        }
        Ok(Read {
            changed: is_news.then_some(text),
            proved_at,
            goes_on,
        })
    }

    /// Reads the upstreams into what is held.
    pub(crate) async fn upstreams(&mut self, source: Source) -> Result<Read<()>, ReadError> {
        let (_, known) = self.gateway.catalog_cache.versions();
        let asked = self.ask_others(source, List::Upstreams, known).await?;
        let Some((answer, proved_at)) = asked else {
            return self.upstreams_of_platform().await;
        };
        let held = &self.gateway.catalog_cache;
        let has_changed = if answer.version == known {
            held.renew_upstreams(proved_at);
            false
        } else {
            // What this host has read itself may be newer: an upstream that it knows to leave must not
            // come back.
            let is_newer = held.upstreams_proved_at() < Some(proved_at);
            is_newer && held.hear_upstreams(&answer, proved_at)
        };
        Ok(Read {
            changed: has_changed.then_some(()),
            proved_at,
            goes_on: false,
        })
    }

    async fn upstreams_of_platform(&mut self) -> Result<Read<()>, ReadError> {
        let proved_at = self.gateway.clock.since_boot();
        let watch = self.cursor.watch();
        let mut read = self.catalog.upstreams(watch).await;
        self.time(watch, proved_at);
        if matches!(read, Err(CatalogError::HistoryExpired)) {
            self.cursor = Cursor::default();
            read = self.catalog.upstreams(None).await;
        }
        let read = self.take(read)?;
        let held = &self.gateway.catalog_cache;
        let mut goes_on = false;
        let has_changed = match read {
            UpstreamsRead::Snapshot(listed) => held.put_upstreams(&listed, proved_at),
            UpstreamsRead::Delta(changes) if changes.is_empty() => {
                held.renew_upstreams(proved_at);
                false
            }
            // Only an answer without a change shows that there are no more.
            UpstreamsRead::Delta(changes) => {
                goes_on = true;
                held.change_upstreams(changes)
            }
        };
        self.cursor.set_hurried(goes_on);
        Ok(Read {
            changed: has_changed.then_some(()),
            proved_at,
            goes_on,
        })
    }

    /// Reads the hosts. Returns them if they are others than are held.
    pub(crate) async fn hosts(
        &mut self,
        source: Source,
    ) -> Result<Option<Vec<ListedHost>>, ReadError> {
        let known = self.gateway.catalog_cache.hosts_version();
        let asked = self.ask_others(source, List::Hosts, known).await?;
        let held = &self.gateway.catalog_cache;
        let Some((answer, proved_at)) = asked else {
            let asked_at = self.gateway.clock.since_boot();
            let hosts = self.catalog.hosts().await?;
            held.put_hosts(&hosts, asked_at);
            return Ok((held.hosts_version() != known).then_some(hosts));
        };
        if answer.version == known {
            held.renew_hosts(proved_at);
            return Ok(None);
        }
        let hosts = answer.hosts.iter().filter_map(HostEntry::listed);
        let hosts: Vec<ListedHost> = hosts.collect();
        held.put_hosts(&hosts, proved_at);
        Ok(Some(hosts))
    }

    /// Takes in how long the platform took.
    fn time(&mut self, watch: Option<Watch>, asked_at: Duration) {
        let took = self.gateway.clock.since_boot().saturating_sub(asked_at);
        let wait = watch.map_or(Duration::ZERO, |watch| watch.wait);
        self.cursor.on_answered(wait, took);
    }

    /// Takes in where the next read goes on, and whether this host itself reaches the platform.
    fn take<T>(&mut self, read: Result<CatalogRead<T>, CatalogError>) -> Result<T, CatalogError> {
        let own = &self.gateway.conf.host;
        match read {
            Ok(read) => {
                let now = self.gateway.clock.now();
                self.gateway.reader_selector.on_reached(own, now);
                self.cursor.go_on(read.as_of);
                Ok(read.value)
            }
            Err(err) => {
                self.on_unfit(own, Unfit::Stale);
                self.cursor.set_hurried(true);
                if matches!(err, CatalogError::Malformed(_)) {
                    // The same changes would be as hard to read the next time.
                    self.cursor = Cursor::default();
                }
                Err(err)
            }
        }
    }

    fn on_unfit(&self, host: &HostId, why: Unfit) {
        let now = self.gateway.clock.now();
        self.gateway.reader_selector.on_unfit(host, why, now);
    }

    /// What another host has of a list; none if the platform is to be asked.
    async fn ask_others(
        &mut self,
        source: Source,
        list: List,
        known_version: u64,
    ) -> Result<Option<(Answer, Duration)>, ReadError> {
        if source == Source::Platform {
            return Ok(None);
        }
        match self.ask_readers(list, known_version).await {
            Asked::Fresh(answer, proved_at) => {
                // What this host's own reads would go on with is older than this.
                self.cursor = Cursor::default();
                Ok(Some((answer, proved_at)))
            }
            Asked::Stale => Err(ReadError::OthersStale),
            Asked::Nobody if source == Source::Others => Err(ReadError::OthersStale),
            Asked::Nobody => Ok(None),
        }
    }

    /// Asks the host that reads for this failure domain, and the next one if it has no fresh answer.
    async fn ask_readers(&mut self, list: List, known_version: u64) -> Asked {
        // A host with nothing yet asks only those that it has heard: a dead one costs it time in which it
        // can't serve.
        let trusts_list = known_version != 0;
        let mut asked = Asked::Nobody;
        for _ in 0..READERS_TRIED_MAX {
            let Some(reader) = self
                .gateway
                .reader_selector
                .choose(&self.gateway, trusts_list)
            else {
                // The others have nothing fresh, so it is this host's turn.
                return Asked::Nobody;
            };
            asked = self.ask(reader.exchange_addr, list, known_version).await;
            match asked {
                Asked::Fresh(..) => return asked,
                // One that has no list of hosts may be of a former version, and have fresh lists of the
                // rest.
                Asked::Stale if list == List::Hosts => {}
                Asked::Stale => self.on_unfit(&reader.host, Unfit::Stale),
                Asked::Nobody => self.on_unfit(&reader.host, Unfit::Silent),
            }
        }
        asked
    }

    async fn ask(&mut self, addr: SocketAddr, list: List, known_version: u64) -> Asked {
        let asked_at = self.gateway.clock.since_boot();
        let ask = Ask {
            list: list.into(),
            known_version,
            takes_parts: true,
        };
        let Some(answer) = self.client.ask(addr, &ask).await else {
            return Asked::Nobody;
        };
        let age = Duration::from_millis(answer.age_ms);
        let age_max = match list {
            List::Routes | List::Upstreams => ANSWER_AGE_MAX,
            List::Hosts => HOSTS_AGE_MAX,
        };
        if answer.version == 0 || age > age_max {
            return Asked::Stale;
        }
        // The age was taken after the question was asked here, so this errs to the safe side.
        Asked::Fresh(answer, asked_at.saturating_sub(age))
    }
}
