//! What a host has read last, for itself and for others.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use crate::gateway::Listed;
use crate::gateway::share::message::Answer;
use crate::gateway::share::message::Ask;
use crate::gateway::share::message::List;
use crate::gateway::share::message::UpstreamEntry;
use crate::units::whole_millis;

/// One list with the moment, since boot, at which it was certainly the newest.
#[derive(Clone, Debug)]
struct Proved<T> {
    version: u64,
    value: Arc<T>,
    proved_at: Duration,
}

#[derive(Debug, Default)]
struct Lists {
    routes: Option<Proved<String>>,
    upstreams: Option<Proved<Vec<Listed>>>,
}

/// The lists as they were read last.
#[derive(Debug, Default)]
pub(crate) struct Held(Mutex<Lists>);

impl Held {
    /// Takes in a manifest.
    pub(crate) fn put_routes(&self, version: u64, text: String, proved_at: Duration) {
        self.lock().routes = Some(Proved {
            version,
            value: Arc::new(text),
            proved_at,
        });
    }

    /// Takes in that the manifest was still the newest later than was known.
    pub(crate) fn renew_routes(&self, proved_at: Duration) {
        if let Some(routes) = &mut self.lock().routes {
            routes.proved_at = routes.proved_at.max(proved_at);
        }
    }

    /// Takes in upstreams. Returns whether they are others than before.
    pub(crate) fn put_upstreams(&self, listed: &[Listed], proved_at: Duration) -> bool {
        let version = version_of(listed);
        let mut lists = self.lock();
        let is_new = lists
            .upstreams
            .as_ref()
            .is_none_or(|u| u.version != version);
        lists.upstreams = Some(Proved {
            version,
            value: Arc::new(listed.to_vec()),
            proved_at,
        });
        is_new
    }

    /// Takes in that the upstreams were still the newest later than was known.
    pub(crate) fn renew_upstreams(&self, proved_at: Duration) {
        if let Some(upstreams) = &mut self.lock().upstreams {
            upstreams.proved_at = upstreams.proved_at.max(proved_at);
        }
    }

    /// The versions of manifest and upstreams; 0 for what was not read yet.
    pub(crate) fn versions(&self) -> (u64, u64) {
        let lists = self.lock();
        (
            lists.routes.as_ref().map_or(0, |routes| routes.version),
            lists.upstreams.as_ref().map_or(0, |u| u.version),
        )
    }

    /// The upstreams as they were read last.
    pub(crate) fn upstreams(&self) -> Option<Arc<Vec<Listed>>> {
        let lists = self.lock();
        lists.upstreams.as_ref().map(|u| Arc::clone(&u.value))
    }

    /// When, since boot, the upstreams were certainly the newest.
    pub(crate) fn upstreams_proved_at(&self) -> Option<Duration> {
        self.lock().upstreams.as_ref().map(|u| u.proved_at)
    }

    /// When, since boot, both lists were certainly the newest; none before both were read.
    pub(crate) fn proved_at(&self) -> Option<Duration> {
        let lists = self.lock();
        let routes = lists.routes.as_ref()?.proved_at;
        let upstreams = lists.upstreams.as_ref()?.proved_at;
        Some(routes.min(upstreams))
    }

    /// Answers another host at `now`, since boot.
    pub(crate) fn answer(&self, ask: &Ask, now: Duration) -> Answer {
        let lists = self.lock();
        let mut answer = Answer::default();
        match List::try_from(ask.list) {
            Ok(List::Routes) => {
                if let Some(routes) = &lists.routes {
                    prove(&mut answer, routes, now);
                    if routes.version != ask.known_version {
                        answer.routes.clone_from(&routes.value);
                    }
                }
            }
            Ok(List::Upstreams) => {
                if let Some(upstreams) = &lists.upstreams {
                    prove(&mut answer, upstreams, now);
                    if upstreams.version != ask.known_version {
                        let entries = upstreams.value.iter().map(UpstreamEntry::from);
                        answer.upstreams = entries.collect();
                    }
                }
            }
            // A newer host asks for a list that this one does not know.
            Err(_) => {}
        }
        answer
    }

    fn lock(&self) -> MutexGuard<'_, Lists> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn prove<T>(answer: &mut Answer, proved: &Proved<T>, now: Duration) {
    let age = now.saturating_sub(proved.proved_at);
    answer.version = proved.version;
    answer.age_ms = whole_millis(age);
}

/// The same for the same upstreams on every host.
fn version_of(listed: &[Listed]) -> u64 {
    let mut text = String::new();
    for upstream in listed {
        text.push_str(&format!("{upstream:?};"));
    }
    // 0 stands for none.
    xxh3_64(text.as_bytes()).max(1)
}
