//! Which host reads the platform for this one.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;

use crate::exchange::ListedHost;
use crate::gateway::Gateway;
use crate::units::HostId;

/// How long a host that had nothing fresh from the platform is passed over. Longer than a read, so
/// that a domain does not ask it again and again while it is cut off.
const UNFIT_FOR: Duration = Duration::from_secs(3);
/// How long a host that has just started may ask all others on the list: until they know of it and it
/// hears them. Where all hosts start at once they would else all read for themselves, some seven calls
/// each.
const STARTS_FOR: Duration = Duration::from_secs(3);

#[derive(Debug, Default)]
struct State {
    /// Hosts that had nothing fresh, and since when.
    unfit: IndexMap<HostId, Instant>,
    /// The host that was asked last; none while this host reads for itself.
    asked: Option<HostId>,
}

/// The hosts that could read for this one.
#[derive(Debug, Default)]
pub(crate) struct Readers(Mutex<State>);

impl Readers {
    /// Takes in that a host, maybe this one, had nothing fresh from the platform.
    pub(crate) fn on_unfit(&self, host: &HostId, now: Instant) {
        let mut state = self.lock();
        state.unfit.retain(|_, since| is_unfit(*since, now));
        state.unfit.insert(host.clone(), now);
    }

    /// Whether a host reads for this one, as far as the last question tells.
    ///
    /// Load it answers: each message of each other host asks this. Choosing among 300 hosts each time
    /// took a quarter of the processor time of a fleet of that size.
    pub(crate) fn is_asked(&self, host: &HostId) -> bool {
        self.lock().asked.as_ref() == Some(host)
    }

    /// Chooses the host that reads the platform for this failure domain; none if it is this one: of those
    /// that were heard lately and had something fresh, the one that collects news, else the first by
    /// name. `trusts_list` says whether right after the start those count as well that were not heard yet.
    pub(crate) fn choose(&self, gateway: &Gateway, trusts_list: bool) -> Option<ListedHost> {
        let now = gateway.clock.now();
        let hosts = gateway.beliefs.hosts();
        let collector = gateway.news_route().collector;
        let conf = &gateway.conf;
        let mut state = self.lock();
        let is_fit = |host: &HostId| state.unfit.get(host).is_none_or(|at| !is_unfit(*at, now));
        let ledger = gateway.ledger();
        let has_just_started = now.saturating_duration_since(gateway.started_at) < STARTS_FOR;
        let is_able = |listed: &&ListedHost| {
            let is_here = listed.host == conf.host;
            let lives = (trusts_list && has_just_started) || ledger.is_heard(&listed.host, now);
            (is_here || lives) && is_fit(&listed.host)
        };
        // A domain whose own hosts all have nothing fresh asks one of another.
        let rank = |listed: &&ListedHost| {
            let is_far = listed.domain != conf.domain;
            let collects = collector.as_ref() == Some(&listed.host);
            (is_far, !collects, listed.host.clone())
        };
        let first = hosts.iter().filter(is_able).min_by_key(rank);
        let other = first.filter(|first| first.host != conf.host).cloned();
        state.asked = other.as_ref().map(|other| other.host.clone());
        other
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn is_unfit(since: Instant, now: Instant) -> bool {
    now.saturating_duration_since(since) < UNFIT_FOR
}
