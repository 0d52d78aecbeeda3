//! Which host reads the platform for this one.
//!
//! Each host tells in its news how old its lists are. Load it answers: the platform is away, or turns
//! away all hosts of a failure domain, for some seconds. Hosts that each try for themselves make a
//! thousand calls that give nothing, and each finds out by its own next try that the platform is back.
//! Here a domain tries together, and the first one that gets an answer is asked by all others at once.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;

use crate::exchange::ListedHost;
use crate::gateway::Gateway;
use crate::units::HostId;

/// How long a host that did not answer, or had nothing fresh, is passed over. Longer than a read, so that
/// a domain does not ask it again and again while it is cut off.
const UNFIT_FOR: Duration = Duration::from_secs(3);
/// How long a host that has just started may ask all others on the list: until they know of it and it
/// hears them. Where all hosts start at once they would else all read for themselves, some seven calls
/// each.
const STARTS_FOR: Duration = Duration::from_secs(3);
/// A host whose lists are older than this by its own word is not asked. One that reads without failures
/// has lists of up to 1.2 s, and its word may be half a second old.
const FRESH_FOR: Duration = Duration::from_secs(2);

/// Why a host is not to be asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Unfit {
    /// It did not answer.
    Silent,
    /// It had nothing fresh.
    Stale,
}

#[derive(Debug, Default)]
struct State {
    /// Hosts that are not to be asked, and since when.
    unfit: IndexMap<HostId, (Unfit, Instant)>,
    /// The host that was asked last; none while this host reads for itself.
    asked: Option<HostId>,
    /// When, since boot, the lists of each host were the newest by its own word.
    told: IndexMap<HostId, Duration>,
    /// When this host itself reached the platform last.
    reached_at: Option<Instant>,
}

impl State {
    fn is_fit(&self, host: &HostId, now: Instant) -> bool {
        let unfit = self.unfit.get(host);
        unfit.is_none_or(|(_, since)| !is_unfit(*since, now))
    }

    /// Whether its lists are fresh by its own word; none if it has not said. `at` is since boot.
    fn is_fresh(&self, host: &HostId, at: Duration) -> Option<bool> {
        let proved_at = self.told.get(host)?;
        Some(at.saturating_sub(*proved_at) <= FRESH_FOR)
    }
}

/// The hosts that could read for this one.
#[derive(Debug, Default)]
pub(crate) struct ReaderSelector(Mutex<State>);

impl ReaderSelector {
    /// Takes in that a host, maybe this one, is not to be asked for a while.
    pub(crate) fn on_unfit(&self, host: &HostId, why: Unfit, now: Instant) {
        let mut state = self.lock();
        state.unfit.retain(|_, (_, since)| is_unfit(*since, now));
        state.unfit.insert(host.clone(), (why, now));
    }

    /// Takes in that this host itself reached the platform.
    pub(crate) fn on_reached(&self, own: &HostId, now: Instant) {
        let mut state = self.lock();
        state.reached_at = Some(now);
        state.unfit.swap_remove(own);
    }

    /// When this host itself reached the platform last.
    pub(crate) fn reached_at(&self) -> Option<Instant> {
        self.lock().reached_at
    }

    /// Takes in when, since boot, a host's lists were the newest by its own word. Returns whether it can
    /// be asked. One that had nothing fresh before can be as soon as it has.
    pub(crate) fn on_told(
        &self,
        host: &HostId,
        proved_at: Duration,
        age: Duration,
        now: Instant,
    ) -> bool {
        let mut state = self.lock();
        if let Some((Unfit::Stale, since)) = state.unfit.get(host)
            && now.saturating_duration_since(*since) > age
        {
            state.unfit.swap_remove(host);
        }
        match state.told.get_mut(host) {
            Some(known) => *known = proved_at,
            None => {
                state.told.insert(host.clone(), proved_at);
            }
        }
        state.is_fit(host, now)
    }

    /// The hosts of this failure domain, this one included, that live and have nothing fresh: those that
    /// try to reach the platform together.
    pub(crate) fn trying(&self, gateway: &Gateway) -> u32 {
        let now = gateway.clock.now();
        let at = gateway.clock.since_boot();
        let hosts = gateway.platform_view.hosts();
        let state = self.lock();
        let ledger = gateway.ledger();
        let tries = |listed: &&ListedHost| {
            listed.domain == gateway.conf.domain
                && ledger.is_heard(&listed.host, now)
                && state.is_fresh(&listed.host, at) == Some(false)
        };
        let others = hosts.iter().filter(tries).count();
        u32::try_from(others).unwrap_or(u32::MAX).saturating_add(1)
    }

    /// Whether a host reads for this one, as far as the last question tells.
    ///
    /// Load it answers: each message of each other host asks this. Choosing among 300 hosts each time
    /// took a quarter of the processor time of a fleet of that size.
    pub(crate) fn is_asked(&self, host: &HostId) -> bool {
        self.lock().asked.as_ref() == Some(host)
    }

    /// Chooses the host that reads the platform for this failure domain; none if it is this one: of those
    /// that were heard lately and have something fresh, the one that collects news, else the first by
    /// name. `trusts_list` says whether right after the start those count as well that were not heard yet.
    pub(crate) fn choose(&self, gateway: &Gateway, trusts_list: bool) -> Option<ListedHost> {
        let now = gateway.clock.now();
        let hosts = gateway.platform_view.hosts();
        let collector = gateway.news_route().collector;
        let conf = &gateway.conf;
        let mut state = self.lock();
        let at = gateway.clock.since_boot();
        let ledger = gateway.ledger();
        let has_just_started = now.saturating_duration_since(gateway.started_at) < STARTS_FOR;
        let is_able = |listed: &&ListedHost| {
            let is_here = listed.host == conf.host;
            let lives = (trusts_list && has_just_started) || ledger.is_heard(&listed.host, now);
            let is_stale = state.is_fresh(&listed.host, at) == Some(false);
            (is_here || (lives && !is_stale)) && state.is_fit(&listed.host, now)
        };
        let has_nothing = !gateway.catalog_cache.is_fresh(at);
        // A domain whose own hosts all have nothing fresh asks one of another, and a host that has nothing
        // itself those first that said that they have something.
        let rank = |listed: &&ListedHost| {
            let is_far = listed.domain != conf.domain;
            let is_unknown = has_nothing && !state.told.contains_key(&listed.host);
            let collects = collector.as_ref() == Some(&listed.host);
            (is_far, is_unknown, !collects, listed.host.clone())
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
