//! What a host has read last, for itself and for others.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use log::warn;
use xxhash_rust::xxh3::xxh3_64;

use crate::exchange::ListedHost;
use crate::gateway::ListedUpstream;
use crate::gateway::UpstreamChange;
use crate::gateway::catalog_sharing::message::Answer;
use crate::gateway::catalog_sharing::message::Ask;
use crate::gateway::catalog_sharing::message::HostEntry;
use crate::gateway::catalog_sharing::message::List;
use crate::gateway::catalog_sharing::message::UpstreamEntry;
use crate::gateway::catalog_sharing::reader::ANSWER_AGE_MAX;
use crate::gateway::catalog_sharing::upstream_list::UpstreamList;
use crate::units::ObjectVersion;
use crate::units::whole_millis;

/// A list with the moment, since boot, at which it was certainly the newest.
#[derive(Clone, Debug)]
struct Proved<T> {
    version: u64,
    value: Arc<T>,
    proved_at: Duration,
}

impl<T> Proved<T> {
    /// The version and the age of the list, for an answer at `now`, since boot.
    fn head(&self, now: Duration) -> Answer {
        head(self.version, self.proved_at, now)
    }
}

#[derive(Debug, Default)]
struct Lists {
    routes: Option<Proved<String>>,
    upstreams: UpstreamList,
    /// The number by which the host that read them names them; 0 if they are to be told whole. A host of a
    /// former version counts in another way.
    upstreams_version: u64,
    upstreams_proved_at: Option<Duration>,
    hosts: Option<Proved<Vec<ListedHost>>>,
}

/// The lists as they were read last.
#[derive(Debug, Default)]
pub(crate) struct CatalogCache(Mutex<Lists>);

impl CatalogCache {
    /// Takes in a newer manifest. What was certain of the one before it is certain of this one.
    pub(crate) fn put_routes(&self, version: u64, text: String, proved_at: Duration) {
        let mut lists = self.lock();
        let before = lists.routes.as_ref().map(|routes| routes.proved_at);
        lists.routes = Some(Proved {
            version,
            value: Arc::new(text),
            proved_at: before.map_or(proved_at, |before| before.max(proved_at)),
        });
    }

    /// Takes in that the manifest was still the newest later than was known.
    pub(crate) fn renew_routes(&self, proved_at: Duration) {
        if let Some(routes) = &mut self.lock().routes {
            routes.proved_at = routes.proved_at.max(proved_at);
        }
    }

    /// Takes in all upstreams. Returns whether they are others than before.
    pub(crate) fn put_upstreams(&self, listed: &[ListedUpstream], proved_at: Duration) -> bool {
        let mut lists = self.lock();
        lists.upstreams_proved_at = Some(proved_at);
        let is_new = lists.upstreams.replace(listed);
        lists.upstreams_version = lists.upstreams.version();
        is_new
    }

    /// Takes in what has changed among the upstreams. Returns whether they are others than before.
    pub(crate) fn change_upstreams(&self, changes: Vec<UpstreamChange>) -> bool {
        let mut lists = self.lock();
        let is_new = lists.upstreams.apply(changes);
        lists.upstreams_version = lists.upstreams.version();
        is_new
    }

    /// Takes in what another host answered to a question for upstreams. Returns whether they are others
    /// than before.
    pub(crate) fn hear_upstreams(&self, answer: &Answer, proved_at: Duration) -> bool {
        let listed = answer.upstreams.iter().filter_map(UpstreamEntry::listed);
        let mut lists = self.lock();
        let is_new = if answer.is_partial {
            let gone = answer.gone.iter().filter_map(|name| name.parse().ok());
            let gone = gone.map(UpstreamChange::Removed);
            let is_new = lists
                .upstreams
                .apply(gone.chain(listed.map(UpstreamChange::Upserted)));
            if lists.upstreams.version() != answer.version {
                warn!("share: changes of the upstreams do not fit, asks for all of them");
                lists.upstreams_version = 0;
                return is_new;
            }
            is_new
        } else {
            lists
                .upstreams
                .replace(&listed.collect::<Vec<ListedUpstream>>())
        };
        lists.upstreams_version = answer.version;
        lists.upstreams_proved_at = Some(proved_at);
        is_new
    }

    /// Takes in that the upstreams were still the newest later than was known.
    pub(crate) fn renew_upstreams(&self, proved_at: Duration) {
        let mut lists = self.lock();
        lists.upstreams_proved_at = lists.upstreams_proved_at.max(Some(proved_at));
    }

    /// Takes in the hosts.
    pub(crate) fn put_hosts(&self, hosts: &[ListedHost], proved_at: Duration) {
        self.lock().hosts = Some(Proved {
            version: version_of(hosts),
            value: Arc::new(hosts.to_vec()),
            proved_at,
        });
    }

    /// Takes in that the hosts were the same later than was known.
    pub(crate) fn renew_hosts(&self, proved_at: Duration) {
        if let Some(hosts) = &mut self.lock().hosts {
            hosts.proved_at = hosts.proved_at.max(proved_at);
        }
    }

    /// The versions of manifest and upstreams; 0 for what was not read yet.
    pub(crate) fn versions(&self) -> (u64, u64) {
        let lists = self.lock();
        let routes = lists.routes.as_ref().map_or(0, |routes| routes.version);
        (routes, lists.upstreams_version)
    }

    /// The version of the manifest in the platform; 0 if it was not read yet.
    pub(crate) fn routes_version(&self) -> ObjectVersion {
        ObjectVersion(self.versions().0)
    }

    /// The version of the hosts; 0 if they were not read yet.
    pub(crate) fn hosts_version(&self) -> u64 {
        let lists = self.lock();
        lists.hosts.as_ref().map_or(0, |hosts| hosts.version)
    }

    /// The upstreams as they were read last; none before the first read.
    pub(crate) fn upstreams(&self) -> Option<Arc<Vec<ListedUpstream>>> {
        let lists = self.lock();
        lists.upstreams_proved_at?;
        Some(Arc::clone(lists.upstreams.listed()))
    }

    /// When, since boot, the upstreams were certainly the newest.
    pub(crate) fn upstreams_proved_at(&self) -> Option<Duration> {
        self.lock().upstreams_proved_at
    }

    /// When, since boot, manifest and upstreams were certainly the newest; none before both were read.
    pub(crate) fn proved_at(&self) -> Option<Duration> {
        let lists = self.lock();
        let routes = lists.routes.as_ref()?.proved_at;
        Some(routes.min(lists.upstreams_proved_at?))
    }

    /// Whether both lists are fresh enough at `now`, since boot, for other hosts to use them.
    pub(crate) fn is_fresh(&self, now: Duration) -> bool {
        self.proved_at()
            .is_some_and(|proved_at| is_fresh(proved_at, now))
    }

    /// Answers another host at `now`, since boot.
    pub(crate) fn answer(&self, ask: &Ask, now: Duration) -> Answer {
        let lists = self.lock();
        match List::try_from(ask.list) {
            Ok(List::Routes) => lists.routes.as_ref().map(|routes| {
                let mut answer = routes.head(now);
                if routes.version != ask.known_version {
                    answer.routes = routes.value.to_string();
                }
                answer
            }),
            Ok(List::Upstreams) => lists.upstreams_proved_at.map(|proved_at| {
                let head = head(lists.upstreams_version, proved_at, now);
                upstreams_for(&lists, ask, head)
            }),
            Ok(List::Hosts) => lists.hosts.as_ref().map(|hosts| {
                let mut answer = hosts.head(now);
                if hosts.version != ask.known_version {
                    answer.hosts = hosts.value.iter().map(HostEntry::from).collect();
                }
                answer
            }),
            // A newer host asks for a list that this one does not know.
            Err(_) => None,
        }
        .unwrap_or_default()
    }

    fn lock(&self) -> MutexGuard<'_, Lists> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Whether a list that was the newest at `proved_at` is fresh enough at `now`, both since boot.
pub(crate) fn is_fresh(proved_at: Duration, now: Duration) -> bool {
    now.saturating_sub(proved_at) <= ANSWER_AGE_MAX
}

/// An answer with nothing but the version and the age of a list.
fn head(version: u64, proved_at: Duration, now: Duration) -> Answer {
    Answer {
        version,
        age_ms: whole_millis(now.saturating_sub(proved_at)),
        ..Answer::default()
    }
}

/// What an asking host is missing of the upstreams, added to `head`.
fn upstreams_for(lists: &Lists, ask: &Ask, head: Answer) -> Answer {
    if lists.upstreams_version == ask.known_version {
        return head;
    }
    let list = &lists.upstreams;
    let changes = list.since(ask.known_version);
    let Some(changes) = changes.filter(|_| ask.takes_parts) else {
        return Answer {
            upstreams: list.listed().iter().map(UpstreamEntry::from).collect(),
            ..head
        };
    };
    let mut answer = Answer {
        is_partial: true,
        ..head
    };
    for change in changes {
        match change {
            UpstreamChange::Upserted(listed) => answer.upstreams.push((&listed).into()),
            UpstreamChange::Removed(name) => answer.gone.push(name.to_string()),
        }
    }
    answer
}

/// The same for the same hosts in the same order.
fn version_of(hosts: &[ListedHost]) -> u64 {
    // 0 stands for none.
    xxh3_64(format!("{hosts:?}").as_bytes()).max(1)
}
